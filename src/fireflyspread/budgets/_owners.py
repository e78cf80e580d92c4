"""Reserves tokens at the node that owns a program's budget account."""

import abc
import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from fireflyspread._ranking import rank_nodes
from fireflyspread.budgets._accounts import BudgetAccounts, Grant
from fireflyspread.budgets._peer_health import PeerHealth
from fireflyspread.budgets._placed import PlacedPrograms
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    FireflyError,
    OverloadedError,
    PeerError,
    PeerUnconnectedError,
    PeerUnreadyError,
    StoreError,
)

__all__ = ["MIN_WAIT", "BudgetOwners", "BudgetPeers", "Reservation"]

_LOG = logging.getLogger(__name__)

# Nodes that may lend to a program: the owner, or the second node of the ranking if the
# owner does not answer.
_MAX_LENDERS = 2
# Nodes that may draw for a program, from the top of its ranking.
_MAX_DRAWING_NODES = 8
# Seconds that a turn may always wait for its reservation. A draw takes 4 ms in a
# healthy store; routes with a long latency target allow more.
MIN_WAIT = 0.15
# Seconds after which to retry a turn that no node could reserve tokens for.
_RETRY_AFTER = 0.3


class BudgetPeers(abc.ABC):
    """Requests to the budget accounts of other nodes."""

    @abc.abstractmethod
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
        """Ask ``node`` to reserve tokens for a turn within ``max_wait`` seconds.

        Raises
        ------
        BudgetExceededError, OverloadedError
            The node refused; see ``BudgetAccounts.grant``.
        StoreError
            The node does not reach the store and, being of an earlier release, writes
            through no other node.
        PeerUnreadyError
            The node has just started and does not know the other nodes yet.
        PeerError
            The node did not answer.
        """

    @abc.abstractmethod
    async def report_drawn(
        self, node: str, program: str, budget: int, drawn: int
    ) -> None:
        """Report to ``node`` the tokens drawn for a program; raises ``PeerError``."""

    @abc.abstractmethod
    async def return_tokens(self, node: str, program: str, tokens: int) -> None:
        """Return tokens to ``node`` that a turn did not use; raises ``PeerError``."""


class Reservation:
    """Tokens reserved for one turn; close it when the turn has ended.

    Attributes
    ----------
    is_new : bool
        Whether this is the first turn of its program.
    """

    def __init__(self, grant: Grant, return_tokens: Callable[[int], None]) -> None:
        self.is_new = grant.is_new
        self._left = grant.tokens
        self._return_tokens = return_tokens
        self._is_open = True

    def spend(self, tokens: int) -> None:
        """Count tokens that were sent to the caller."""
        self._left -= tokens

    def close(self) -> None:
        """Return the tokens that the turn did not use."""
        if self._is_open:
            self._is_open = False
            self._return_tokens(self._left)


class BudgetOwners:
    """Reserves tokens at the owners of programs' budget accounts.

    Turns of one program arrive at many nodes. The members are ranked by rendezvous
    hashing and the first one owns the account, so that the store is asked once per
    program and not once per node that the program visits. The owner keeps its accounts
    while it is slow or the store refuses it: turns that cannot be decided in time are
    refused, and the owner writes through other nodes. The next node of the ranking
    takes over from an owner that has lost its lease or has not answered this node for
    a second.

    Parameters
    ----------
    is_ready : callable
        Returns whether this node may own accounts.
    """

    def __init__(
        self,
        accounts: BudgetAccounts,
        peers: BudgetPeers,
        *,
        node: str,
        clock: Clock,
        list_members: Callable[[], Iterable[str]],
        is_ready: Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_ready = is_ready
        self._accounts = accounts
        self._peers = peers
        self._node = node
        self._clock = clock
        self._list_members = list_members
        self._health = PeerHealth(clock)
        self._placed = PlacedPrograms(clock)
        self._tasks: set[asyncio.Task[Any]] = set()
        self._refused = 0

    async def reserve(
        self,
        program: str,
        budget: int,
        max_tokens: int,
        *,
        max_wait: float = MIN_WAIT,
    ) -> Reservation:
        """Reserve ``max_tokens`` tokens for a turn.

        Parameters
        ----------
        max_wait : float
            Seconds after which the turn is refused.

        Raises
        ------
        BudgetExceededError
            The budget does not cover the turn.
        OverloadedError
            No node can decide now; retry the turn later.
        """
        try:
            async with asyncio.timeout(max_wait):
                return await self._reserve(program, budget, max_tokens, max_wait)
        except TimeoutError as exc:
            self._refused += 1
            raise OverloadedError(
                f"no tokens were reserved for the turn within {max_wait:g} s; retry",
                retry_after=_RETRY_AFTER,
            ) from exc
        except OverloadedError:
            self._refused += 1
            raise

    async def _reserve(
        self, program: str, budget: int, max_tokens: int, max_wait: float
    ) -> Reservation:
        nodes = self._rank(program)
        node = self._choose_owner(program, nodes)
        try:
            return await self._reserve_at(
                node,
                program,
                budget,
                max_tokens,
                may_lend=node in nodes[:_MAX_LENDERS],
                max_wait=max_wait,
            )
        except (PeerUnconnectedError, PeerUnreadyError):
            if self._choose_owner(program, nodes) != node:
                return await self._reserve(program, budget, max_tokens, max_wait)
            raise OverloadedError(
                "no node that may own the program's budget is available; retry",
                retry_after=_RETRY_AFTER,
            ) from None
        except PeerError as exc:
            raise OverloadedError(
                f"the owner of the program's budget did not answer: {exc}; retry",
                retry_after=_RETRY_AFTER,
            ) from exc
        except StoreError as exc:
            if node == self._node and self._accounts.writer.has_helpers:
                raise OverloadedError(
                    f"the program's budget cannot be drawn: {exc}; retry",
                    retry_after=_RETRY_AFTER,
                ) from exc
            _LOG.info(
                "tokens not reserved: %s",
                exc,
                extra={"program": program, "node": node},
            )
        others = [each for each in nodes if each != node]
        return await self._reserve_at_others(
            others, nodes, program, budget, max_tokens, max_wait
        )

    def _choose_owner(self, program: str, nodes: list[str]) -> str:
        """Return the first node that answers, or the one that took over before.

        A program stays at the node that has taken over, so that it moves once.
        """
        placed = self._placed.get(program)
        if placed in nodes and self._may_own(placed):
            return placed
        return next((n for n in nodes if self._may_own(n)), nodes[0])

    def _may_own(self, node: str) -> bool:
        return (
            self._is_ready() if node == self._node else not self._health.is_lost(node)
        )

    async def _reserve_at_others(
        self,
        others: list[str],
        nodes: list[str],
        program: str,
        budget: int,
        max_tokens: int,
        max_wait: float,
    ) -> Reservation:
        """Reserve at other nodes in place of an owner of an earlier release.

        Such an owner writes through no other node while the store refuses it.
        """
        for may_lend in (False, True):
            for node in nodes[:_MAX_LENDERS] if may_lend else others:
                try:
                    return await self._reserve_at(
                        node,
                        program,
                        budget,
                        max_tokens,
                        may_lend=may_lend,
                        max_wait=max_wait,
                    )
                except (PeerError, StoreError) as exc:
                    _LOG.info(
                        "tokens not reserved: %s",
                        exc,
                        extra={"program": program, "node": node},
                    )
        raise OverloadedError(
            "no node that may draw for the program reaches its budget; retry",
            retry_after=_RETRY_AFTER,
        )

    async def _reserve_at(
        self,
        node: str,
        program: str,
        budget: int,
        max_tokens: int,
        *,
        may_lend: bool,
        max_wait: float,
    ) -> Reservation:
        if node == self._node:
            grant = await self._accounts.grant(
                program, budget, max_tokens, may_lend=may_lend, max_wait=max_wait
            )
            give_back = self._make_local_return(program)
        else:
            grant = await self._ask(
                node, program, budget, max_tokens, may_lend, max_wait
            )
            give_back = self._make_return_callback(node, program)
        self._report_to_owner(node, program, budget, grant)
        return Reservation(grant, give_back)

    async def _ask(
        self,
        node: str,
        program: str,
        budget: int,
        max_tokens: int,
        may_lend: bool,
        max_wait: float,
    ) -> Grant:
        """Ask a node; raises ``PeerError`` at once if it is late with other answers.

        The request goes on if the turn no longer waits for it: a late answer shows
        that the node is there, and its tokens are returned.
        """
        if not self._health.may_ask(node):
            raise PeerError(f"{node} is late with its answer to another turn")
        sent_at = self._clock.read_monotonic()
        task = asyncio.create_task(
            self._peers.grant(
                node, program, budget, max_tokens, may_lend=may_lend, max_wait=max_wait
            )
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda done: self._note_end(node, sent_at, done))
        try:
            return await asyncio.shield(task)
        except (PeerUnconnectedError, PeerUnreadyError) as exc:
            self._health.note_unavailable(node, exc.message)
            raise
        except asyncio.CancelledError:
            if not task.done():
                self._health.note_late(node, sent_at)
            task.add_done_callback(lambda done: self._return_late(node, program, done))
            raise

    def _note_end(self, node: str, sent_at: float, task: asyncio.Task[Grant]) -> None:
        if task.cancelled():
            return
        exc = task.exception()
        if isinstance(exc, PeerUnconnectedError | PeerUnreadyError):
            return
        if isinstance(exc, PeerError):
            self._health.note_miss(node, sent_at)
            return
        self._health.note_answer(node)
        if exc is not None and not isinstance(exc, FireflyError):
            _LOG.error("a request to a budget account failed", exc_info=exc)

    def _return_late(self, node: str, program: str, task: asyncio.Task[Grant]) -> None:
        if not task.cancelled() and task.exception() is None:
            self._make_return_callback(node, program)(task.result().tokens)

    def _report_to_owner(
        self, node: str, program: str, budget: int, grant: Grant
    ) -> None:
        """Report to the owner what another node has drawn in its place."""
        owner = self._rank(program)[0]
        if owner == node:
            return
        self._placed.set(program, node)
        if owner == self._node:
            self._accounts.report_drawn(program, budget, grant.drawn)
        elif not self._health.is_lost(owner) or self._health.may_ask(owner):
            self._start(self._report(owner, program, budget, grant.drawn))

    async def _report(self, owner: str, program: str, budget: int, drawn: int) -> None:
        sent_at = self._clock.read_monotonic()
        try:
            await self._peers.report_drawn(owner, program, budget, drawn)
        except PeerError as exc:
            self._health.note_miss(owner, sent_at)
            _LOG.info(
                "draw not reported to the owner of the account: %s",
                exc,
                extra={"program": program, "node": owner},
            )
        else:
            self._health.note_answer(owner)

    def _rank(self, program: str) -> list[str]:
        return rank_nodes(self._list_members(), program)[:_MAX_DRAWING_NODES]

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _make_local_return(self, program: str) -> Callable[[int], None]:
        return lambda left: self._accounts.return_tokens(program, left)

    def _make_return_callback(self, node: str, program: str) -> Callable[[int], None]:
        def start(left: int) -> None:
            if left:
                self._start(self._return(node, program, left))

        return start

    async def _return(self, node: str, program: str, left: int) -> None:
        try:
            await self._peers.return_tokens(node, program, left)
        except PeerError as exc:
            # Tokens that are not returned count as spent.
            _LOG.warning(
                "unused tokens not returned: %s",
                exc,
                extra={"program": program, "node": node, "tokens": left},
            )

    def list_gauges(self) -> list[tuple[str, float]]:
        """Return the gauges of reservations at this node."""
        return [
            ("budgets.owners_lost", self._health.count_lost()),
            ("budgets.refused", self._refused),
        ]
