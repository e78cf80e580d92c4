"""What gateway nodes ask each other."""

import asyncio
import logging
from collections.abc import Callable

from fireflyspread.budgets import BudgetAccounts, BudgetPeers, Grant
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    BudgetExceededError,
    BundleError,
    OverloadedError,
    PeerError,
    StoreError,
)
from fireflyspread.forwarding import ConfigHolder, ForwardingConfig
from fireflyspread.nodes import (
    AllowanceTaken,
    BudgetReserved,
    ConfigFetched,
    FetchConfig,
    Message,
    NoteDrawn,
    PeerClient,
    PeerServer,
    ReserveBudget,
    ReturnBudget,
    TakeAllowance,
)
from fireflyspread.recovery import Roster

__all__ = ["ConfigExchange", "NodeAllowancePeers", "register_budgets"]

_LOG = logging.getLogger(__name__)

# Seconds for one message; nodes are a few milliseconds apart.
_ASK_TIMEOUT = 0.15
# Seconds for a reservation, for which the keeper may have to ask a slow store.
_RESERVE_TIMEOUT = 0.55
_RETRY = 0.3
# Seconds between questions to other nodes while the store does not answer.
_EXCHANGE_INTERVAL = 0.3
# Seconds between looks whether the store is away.
_CHECK_INTERVAL = 0.05
# Seconds for which the answer of another node holds.
_ANSWER_SECONDS = 0.8


class NodeAllowancePeers(BudgetPeers):
    """Asks other nodes for programs' budgets by messages."""

    def __init__(self, client: PeerClient, roster: Roster, *, node: str) -> None:
        self._client = client
        self._roster = roster
        self._node = node

    async def _ask(self, node: str, question: Message, *, timeout: float) -> Message:
        found = self._roster.find(node)
        if found is None:
            raise PeerError(f"{node} is no member; ask another node")
        return await self._client.ask(found.peers, question, timeout=timeout)

    async def grant(
        self, node: str, program: str, budget: int, max_tokens: int, *, may_lend: bool
    ) -> Grant:
        question = ReserveBudget(
            node=self._node,
            program=program,
            budget=budget,
            most=max_tokens,
            may_lend=may_lend,
        )
        answer = await self._ask(node, question, timeout=_RESERVE_TIMEOUT)
        if not isinstance(answer, BudgetReserved):
            raise PeerError(f"{node} answered {type(answer).__name__}")
        if answer.code == BudgetExceededError.code:
            raise BudgetExceededError(answer.reason)
        if answer.code == StoreError.code:
            raise StoreError(answer.reason)
        if answer.code:
            raise OverloadedError(answer.reason, retry_after=_RETRY)
        return Grant(answer.tokens, answer.is_new, answer.drawn)

    async def report_drawn(
        self, node: str, program: str, budget: int, drawn: int
    ) -> None:
        question = NoteDrawn(
            node=self._node, program=program, budget=budget, drawn=drawn
        )
        await self._ask(node, question, timeout=_ASK_TIMEOUT)

    async def return_tokens(self, node: str, program: str, tokens: int) -> None:
        question = ReturnBudget(node=self._node, program=program, tokens=tokens)
        await self._ask(node, question, timeout=_ASK_TIMEOUT)

    async def take(
        self, node: str, program: str, amount: int, drawn: dict[str, int]
    ) -> int:
        """Return what ``node`` gives up of a program it kept before."""
        question = TakeAllowance(
            node=self._node, program=program, amount=amount, drawn=drawn
        )
        answer = await self._ask(node, question, timeout=_ASK_TIMEOUT)
        if not isinstance(answer, AllowanceTaken):
            raise PeerError(f"{node} answered {type(answer).__name__}")
        return answer.amount


def register_budgets(server: PeerServer, book: BudgetAccounts, *, node: str) -> None:
    """Answer other nodes' questions about the programs kept here."""

    async def reserve(message: ReserveBudget) -> Message:
        try:
            grant = await book.grant(
                message.program,
                message.budget,
                message.most,
                may_lend=message.may_lend,
            )
        except (BudgetExceededError, OverloadedError, StoreError) as exc:
            return BudgetReserved(
                node=node, tokens=0, code=exc.code, reason=exc.message
            )
        return BudgetReserved(
            node=node, tokens=grant.tokens, is_new=grant.is_new, drawn=grant.drawn
        )

    async def note_drawn(message: NoteDrawn) -> Message:
        book.report_drawn(message.program, message.budget, message.drawn)
        return BudgetReserved(node=node, tokens=0)

    async def take_back(message: ReturnBudget) -> Message:
        book.return_tokens(message.program, message.tokens)
        return BudgetReserved(node=node, tokens=0)

    async def give_up(message: TakeAllowance) -> Message:
        amount = book.hand_over(message.program, message.amount, message.drawn)
        _LOG.info(
            "allowance given up",
            extra={"program": message.program, "node": message.node, "tokens": amount},
        )
        return AllowanceTaken(node=node, amount=amount)

    server.register(ReserveBudget, reserve)
    server.register(ReturnBudget, take_back)
    server.register(NoteDrawn, note_drawn)
    server.register(TakeAllowance, give_up)


class ConfigExchange:
    """Asks the other nodes while the store is away: for newer configurations, and
    whether it is away for them too.
    """

    def __init__(
        self,
        client: PeerClient,
        roster: Roster,
        configs: ConfigHolder,
        *,
        node: str,
        is_away: Callable[[], bool],
        decode: Callable[[bytes], ForwardingConfig],
        clock: Clock,
    ) -> None:
        self._client = client
        self._roster = roster
        self._configs = configs
        self._node = node
        self._is_away = is_away
        self._decode = decode
        self._answers: dict[str, tuple[bool, float]] = {}
        self._clock = clock

    def is_outage(self) -> bool:
        """Return whether most nodes say that the store is away and none denies it."""
        if not self._is_away():
            return False
        since = self._clock.read_monotonic() - _ANSWER_SECONDS
        recent = [away for away, at in self._answers.values() if at >= since]
        members = len(self._roster.list_peers()) + 1
        return all(recent) and 2 * (len(recent) + 1) > members

    def register(self, server: PeerServer) -> None:
        """Answer other nodes with the configuration in force here."""

        async def answer(message: FetchConfig) -> Message:
            version = self._configs.version
            is_newer = version > message.config_version
            raw = self._configs.get().raw if is_newer else b""
            return ConfigFetched(
                node=self._node,
                config_version=version,
                config=raw,
                is_away=self._is_away(),
            )

        server.register(FetchConfig, answer)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL)
            if self._is_away():
                await asyncio.gather(
                    *(self._ask(peer.peers) for peer in self._roster.list_peers())
                )
                await asyncio.sleep(_EXCHANGE_INTERVAL)

    async def _ask(self, address: str) -> None:
        question = FetchConfig(node=self._node, config_version=self._configs.version)
        try:
            answer = await self._client.ask(address, question, timeout=_ASK_TIMEOUT)
            if not isinstance(answer, ConfigFetched):
                raise PeerError(f"{address} answered {type(answer).__name__}")
            now = self._clock.read_monotonic()
            self._answers[address] = (answer.is_away, now)
            if answer.config:
                self._configs.offer(self._decode(answer.config), source=answer.node)
        except (PeerError, BundleError) as exc:
            _LOG.debug("no configuration from %s: %s", address, exc)
