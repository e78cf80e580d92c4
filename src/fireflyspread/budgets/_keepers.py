"""Finds the node that keeps a program's budget."""

import abc
import asyncio
import logging
from collections.abc import Callable, Iterable

import xxhash

from fireflyspread.budgets._book import AllowanceBook, Grant
from fireflyspread.clock import Clock
from fireflyspread.exceptions import OverloadedError, PeerError, StoreError

__all__ = ["AllowancePeers", "BudgetKeepers", "Reservation"]

_LOG = logging.getLogger(__name__)

# Nodes that may lend to a program: the first of its ranking, or the second when the
# first does not answer.
_LENDERS = 2
# Nodes that may draw for a program, in the order of its ranking.
_DRAWERS = 8
# Seconds for which a node that did not answer is passed over.
_UNREACHABLE_PAUSE = 1.0
_RETRY = 0.3


class AllowancePeers(abc.ABC):
    """Way to the other nodes that keep budgets."""

    @abc.abstractmethod
    async def grant(
        self, node: str, program: str, budget: int, most: int, *, may_lend: bool
    ) -> Grant:
        """Ask ``node`` to set tokens aside.

        Raises
        ------
        BudgetExceededError, OverloadedError
            What the node decided.
        StoreError
            The node does not reach the store.
        PeerError
            The node did not answer.
        """

    @abc.abstractmethod
    async def note_drawn(
        self, node: str, program: str, budget: int, drawn: int
    ) -> None:
        """Tell ``node`` what was drawn for a program; raises ``PeerError``."""

    @abc.abstractmethod
    async def give_back(self, node: str, program: str, tokens: int) -> None:
        """Give ``node`` what a turn did not use; raises ``PeerError``."""


class Reservation:
    """Tokens set aside for one turn; close it when the turn has ended.

    Attributes
    ----------
    is_new : bool
        Whether this is the first turn of its program.
    """

    def __init__(self, grant: Grant, give_back: Callable[[int], None]) -> None:
        self.is_new = grant.is_new
        self._left = grant.tokens
        self._give_back = give_back
        self._is_open = True

    def spend(self, tokens: int) -> None:
        """Count tokens that were handed to the caller."""
        self._left -= tokens

    def close(self) -> None:
        """Give back what the turn did not use."""
        if self._is_open:
            self._is_open = False
            self._give_back(self._left)


class BudgetKeepers:
    """Reserves budget at the node that keeps a program.

    Turns of one program arrive at many nodes. One of them, by rendezvous hashing over
    the members, keeps the account, so that the store is asked once for a program and
    not once for each node that it visits.
    """

    def __init__(
        self,
        book: AllowanceBook,
        peers: AllowancePeers,
        *,
        node: str,
        clock: Clock,
        list_members: Callable[[], Iterable[str]],
    ) -> None:
        self._book = book
        self._peers = peers
        self._node = node
        self._clock = clock
        self._list_members = list_members
        self._unreachable: dict[str, float] = {}
        self._returns: set[asyncio.Task[None]] = set()

    async def reserve(self, program: str, budget: int, most: int) -> Reservation:
        """Set ``most`` tokens aside for a turn.

        Raises
        ------
        BudgetExceededError
            The budget does not hold the turn.
        OverloadedError
            No keeper can say so now; the turn may come back.
        """
        keepers = self._rank(program)
        # Any node may draw from the store, so that a node that does not reach it does
        # not stop the programs that it keeps.
        for may_lend in (False, True):
            for keeper in keepers[:_LENDERS] if may_lend else keepers:
                try:
                    return await self._ask(
                        keeper, program, budget, most, may_lend=may_lend
                    )
                except (PeerError, StoreError) as exc:
                    _LOG.info(
                        "no budget from a keeper: %s",
                        exc,
                        extra={"program": program, "node": keeper},
                    )
        raise OverloadedError(
            "no node that keeps the program's budget can reach it; retry",
            retry_after=_RETRY,
        )

    async def _ask(
        self, keeper: str, program: str, budget: int, most: int, *, may_lend: bool
    ) -> Reservation:
        if keeper == self._node:
            grant = await self._book.grant(program, budget, most, may_lend=may_lend)
            await self._tell_first(keeper, program, budget, grant)
            return Reservation(grant, lambda left: self._book.give_back(program, left))
        now = self._clock.read_monotonic()
        if self._unreachable.get(keeper, 0.0) > now:
            raise PeerError(f"{keeper} did not answer a moment ago")
        try:
            grant = await self._peers.grant(
                keeper, program, budget, most, may_lend=may_lend
            )
        except PeerError:
            self._unreachable[keeper] = now + _UNREACHABLE_PAUSE
            raise
        await self._tell_first(keeper, program, budget, grant)
        return Reservation(grant, self._make_return(keeper, program))

    async def _tell_first(
        self, keeper: str, program: str, budget: int, grant: Grant
    ) -> None:
        """Tell the first keeper what another one has drawn in its place."""
        first = self._rank(program)[0]
        if first == keeper:
            return
        if first == self._node:
            self._book.note_drawn(program, budget, grant.drawn)
        elif self._unreachable.get(first, 0.0) <= self._clock.read_monotonic():
            try:
                await self._peers.note_drawn(first, program, budget, grant.drawn)
            except PeerError as exc:
                _LOG.info(
                    "first keeper not told of a draw: %s",
                    exc,
                    extra={"program": program, "node": first},
                )

    def _rank(self, program: str) -> list[str]:
        members = sorted(
            self._list_members(),
            key=lambda name: xxhash.xxh3_64_intdigest(f"{name}/{program}".encode()),
        )
        return members[:_DRAWERS]

    def _make_return(self, keeper: str, program: str) -> Callable[[int], None]:
        def start(left: int) -> None:
            if left:
                task = asyncio.create_task(self._return(keeper, program, left))
                self._returns.add(task)
                task.add_done_callback(self._returns.discard)

        return start

    async def _return(self, keeper: str, program: str, left: int) -> None:
        try:
            await self._peers.give_back(keeper, program, left)
        except PeerError as exc:
            # What is not given back counts as spent.
            _LOG.warning(
                "unused budget not given back: %s",
                exc,
                extra={"program": program, "node": keeper, "tokens": left},
            )
