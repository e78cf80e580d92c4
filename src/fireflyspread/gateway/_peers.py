"""Messages between gateway nodes about budgets and configurations."""

import asyncio
import logging
import random
from collections.abc import Callable

from fireflyspread.budgets import BudgetAccounts, BudgetPeers, Grant, HandOver
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    BudgetExceededError,
    BundleError,
    NoAuthorityError,
    OverloadedError,
    PeerError,
    PeerGoneError,
    PeerUnconnectedError,
    PeerUnreadyError,
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

__all__ = ["ConfigExchange", "NodeBudgetPeers", "register_budget_handlers"]

_LOG = logging.getLogger(__name__)

# Seconds for one message; the latency between nodes is a few milliseconds.
_MESSAGE_TIMEOUT = 0.15
# Seconds after which a reservation counts as unanswered. Turns wait less.
_RESERVE_TIMEOUT = 0.55
# Seconds that the owner waits if the requesting node does not say how long it waits.
_DEFAULT_WAIT = 0.5
# Part of that time after which the owner answers, so that the answer is in time.
_ANSWER_FRACTION = 0.9
# Seconds to take over tokens of a former owner; no turn waits for all of it.
_HAND_OVER_TIMEOUT = 0.5
# Seconds after which to retry a turn that no node could reserve tokens for.
_RETRY_AFTER = 0.3
_UNREADY = "this node does not know the other nodes or their loans yet"
# Seconds between requests to other nodes while the store is unavailable.
_EXCHANGE_INTERVAL = 0.3
# Nodes that are asked at the same time.
_ASKED_AT_ONCE = 16
# Seconds between checks whether the store is unavailable.
_CHECK_INTERVAL = 0.05
# Seconds for which the answer of another node counts.
_ANSWER_TTL = 0.8


class NodeBudgetPeers(BudgetPeers):
    """Sends messages about programs' budgets to other nodes."""

    def __init__(self, client: PeerClient, roster: Roster, *, node: str) -> None:
        self._client = client
        self._roster = roster
        self._node = node

    async def _ask(self, node: str, message: Message, *, timeout: float) -> Message:
        address = self._roster.get_peer_address(node)
        return await self._client.ask(address, message, timeout=timeout)

    async def grant(
        self,
        node: str,
        program: str,
        budget: int,
        max_tokens: int,
        *,
        may_lend: bool,
        max_wait: float,
    ) -> Grant:
        message = ReserveBudget(
            node=self._node,
            program=program,
            budget=budget,
            most=max_tokens,
            may_lend=may_lend,
            max_wait=max_wait,
        )
        timeout = max(_RESERVE_TIMEOUT, max_wait)
        answer = await self._ask(node, message, timeout=timeout)
        if not isinstance(answer, BudgetReserved):
            raise PeerError(f"{node} answered {type(answer).__name__}")
        if answer.code == BudgetExceededError.code:
            raise BudgetExceededError(answer.reason)
        if answer.code == NoAuthorityError.code:
            raise PeerUnreadyError(answer.reason)
        if answer.code and not answer.has_helpers:
            raise StoreError(answer.reason)
        if answer.code:
            raise OverloadedError(answer.reason, retry_after=_RETRY_AFTER)
        return Grant(answer.tokens, answer.is_new, answer.drawn)

    async def report_drawn(
        self, node: str, program: str, budget: int, drawn: int
    ) -> None:
        message = NoteDrawn(
            node=self._node, program=program, budget=budget, drawn=drawn
        )
        await self._ask(node, message, timeout=_MESSAGE_TIMEOUT)

    async def return_tokens(self, node: str, program: str, tokens: int) -> None:
        message = ReturnBudget(node=self._node, program=program, tokens=tokens)
        await self._ask(node, message, timeout=_MESSAGE_TIMEOUT)

    async def request_hand_over(
        self,
        node: str,
        program: str,
        amount: int,
        drawn: dict[str, int],
        request: str,
    ) -> HandOver:
        """Take over tokens of a program that ``node`` owned before.

        Raises
        ------
        PeerGoneError
            The node is known to have ended.
        PeerError
            The node did not answer.
        """
        message = TakeAllowance(
            node=self._node,
            program=program,
            amount=amount,
            drawn=drawn,
            request=request,
        )
        if self._roster.is_gone(node):
            raise PeerGoneError(f"{node} is no longer a member")
        try:
            answer = await self._ask(node, message, timeout=_HAND_OVER_TIMEOUT)
        except PeerUnconnectedError as exc:
            if self._roster.has_lease(node):
                raise
            # Its lease has ended and nothing listens at its address.
            raise PeerGoneError(f"{node} has lost its lease: {exc.message}") from exc
        if not isinstance(answer, AllowanceTaken):
            raise PeerError(f"{node} answered {type(answer).__name__}")
        return HandOver(answer.amount, answer.recipients)


def register_budget_handlers(
    server: PeerServer,
    accounts: BudgetAccounts,
    *,
    node: str,
    is_ready: Callable[[], bool] = lambda: True,
) -> None:
    """Handle other nodes' messages about the programs that this node owns.

    Parameters
    ----------
    is_ready : callable
        Returns whether this node knows the other nodes, the loan servers and the loans
        of lost nodes. A node that starts while the store or the loan servers are
        unavailable does not, and leaves its programs to the next node of their ranking.
    """

    async def reserve(message: ReserveBudget) -> Message:
        if not is_ready():
            return BudgetReserved(
                node=node, tokens=0, code=NoAuthorityError.code, reason=_UNREADY
            )
        try:
            grant = await accounts.grant(
                message.program,
                message.budget,
                message.most,
                may_lend=message.may_lend,
                max_wait=_ANSWER_FRACTION * (message.max_wait or _DEFAULT_WAIT),
            )
        except (BudgetExceededError, OverloadedError, StoreError) as exc:
            return BudgetReserved(
                node=node,
                tokens=0,
                code=exc.code,
                reason=exc.message,
                has_helpers=accounts.writer.has_helpers,
            )
        return BudgetReserved(
            node=node, tokens=grant.tokens, is_new=grant.is_new, drawn=grant.drawn
        )

    async def report_drawn(message: NoteDrawn) -> Message:
        if not is_ready():
            # An answer would count as one of a node that can own accounts.
            raise PeerError(_UNREADY)
        accounts.report_drawn(message.program, message.budget, message.drawn)
        return BudgetReserved(node=node, tokens=0)

    async def return_budget(message: ReturnBudget) -> Message:
        accounts.return_tokens(message.program, message.tokens)
        return BudgetReserved(node=node, tokens=0)

    async def hand_over(message: TakeAllowance) -> Message:
        amount = accounts.hand_over(
            message.program, message.amount, message.drawn, message.request
        )
        _LOG.info(
            "unspent tokens handed over to another node",
            extra={"program": message.program, "node": message.node, "tokens": amount},
        )
        return AllowanceTaken(
            node=node,
            amount=amount,
            recipients=accounts.list_recipients(message.program),
        )

    server.register(ReserveBudget, reserve)
    server.register(ReturnBudget, return_budget)
    server.register(NoteDrawn, report_drawn)
    server.register(TakeAllowance, hand_over)


class ConfigExchange:
    """Asks the other nodes for newer configurations while the store is unavailable.

    They also answer whether the store is unavailable to them.
    """

    def __init__(
        self,
        client: PeerClient,
        roster: Roster,
        configs: ConfigHolder,
        *,
        node: str,
        is_store_unavailable: Callable[[], bool],
        decode: Callable[[bytes], ForwardingConfig],
        clock: Clock,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._client = client
        self._roster = roster
        self._configs = configs
        self._node = node
        self._is_store_unavailable = is_store_unavailable
        self._decode = decode
        self._answers: dict[str, tuple[bool, float]] = {}
        self._clock = clock

    def is_outage(self) -> bool:
        """Return whether the store is unavailable to a majority of nodes.

        Also requires that no recent answer of a node says it is available.
        """
        if not self._is_store_unavailable():
            return False
        oldest = self._clock.read_monotonic() - _ANSWER_TTL
        recent = [
            is_unavailable
            for is_unavailable, at in self._answers.values()
            if at >= oldest
        ]
        members = len(self._roster.list_peers()) + 1
        return all(recent) and 2 * (len(recent) + 1) > members

    def register(self, server: PeerServer) -> None:
        """Answer other nodes with the active configuration if it is newer."""

        async def answer(message: FetchConfig) -> Message:
            version = self._configs.version
            is_newer = version > message.config_version
            raw = self._configs.get().raw if is_newer else b""
            return ConfigFetched(
                node=self._node,
                config_version=version,
                config=raw,
                is_away=self._is_store_unavailable(),
            )

        server.register(FetchConfig, answer)

    async def run(self) -> None:
        """Ask until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL)
            if self._is_store_unavailable():
                await self._ask_all()
                await asyncio.sleep(_EXCHANGE_INTERVAL)

    async def _ask_all(self) -> None:
        """Ask a few nodes, and the others too if none of them reaches the store.

        If the store refuses only some nodes, asking all would cost each of them a
        message to every node in each round.
        """
        addresses = [peer.peers for peer in self._roster.list_peers()]
        self._rng.shuffle(addresses)
        for start in range(0, len(addresses), _ASKED_AT_ONCE):
            asked = addresses[start : start + _ASKED_AT_ONCE]
            answers = await asyncio.gather(*(self._ask(each) for each in asked))
            if any(answers):
                return

    async def _ask(self, address: str) -> bool:
        """Ask one node; return whether it answers that it reaches the store."""
        message = FetchConfig(node=self._node, config_version=self._configs.version)
        try:
            answer = await self._client.ask(address, message, timeout=_MESSAGE_TIMEOUT)
            if not isinstance(answer, ConfigFetched):
                raise PeerError(f"{address} answered {type(answer).__name__}")
            now = self._clock.read_monotonic()
            self._answers[address] = (answer.is_away, now)
            if answer.config:
                self._configs.offer(self._decode(answer.config), source=answer.node)
            return not answer.is_away
        except (PeerError, BundleError) as exc:
            _LOG.debug("no configuration from %s: %s", address, exc)
            return False
