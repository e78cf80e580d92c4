"""Reserves tokens at the node that owns a program's budget account."""

import abc
import asyncio
import logging
from collections.abc import Callable, Iterable

from fireflyspread._ranking import rank_nodes
from fireflyspread.budgets._accounts import BudgetAccounts, Grant
from fireflyspread.clock import Clock
from fireflyspread.exceptions import OverloadedError, PeerError, StoreError

__all__ = ["BudgetOwners", "BudgetPeers", "Reservation"]

_LOG = logging.getLogger(__name__)

# Nodes that may lend to a program: the owner, or the second node of the ranking if the
# owner does not answer.
_MAX_LENDERS = 2
# Nodes that may draw for a program, from the top of its ranking.
_MAX_DRAWING_NODES = 8
# Seconds during which a node that did not answer is skipped.
_UNREACHABLE_BACKOFF = 1.0
# Seconds after which to retry a turn that no node could reserve tokens for.
_RETRY_AFTER = 0.3


class BudgetPeers(abc.ABC):
    """Requests to the budget accounts of other nodes."""

    @abc.abstractmethod
    async def grant(
        self, node: str, program: str, budget: int, max_tokens: int, *, may_lend: bool
    ) -> Grant:
        """Ask ``node`` to reserve tokens for a turn.

        Raises
        ------
        BudgetExceededError, OverloadedError
            The node refused; see ``BudgetAccounts.grant``.
        StoreError
            The node does not reach the store.
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
    program and not once per node that the program visits. The next nodes of the
    ranking draw or lend in place of an owner that does not answer or does not reach
    the store.
    """

    def __init__(
        self,
        accounts: BudgetAccounts,
        peers: BudgetPeers,
        *,
        node: str,
        clock: Clock,
        list_members: Callable[[], Iterable[str]],
    ) -> None:
        self._accounts = accounts
        self._peers = peers
        self._node = node
        self._clock = clock
        self._list_members = list_members
        self._unreachable: dict[str, float] = {}
        self._return_tasks: set[asyncio.Task[None]] = set()

    async def reserve(self, program: str, budget: int, max_tokens: int) -> Reservation:
        """Reserve ``max_tokens`` tokens for a turn.

        Raises
        ------
        BudgetExceededError
            The budget does not cover the turn.
        OverloadedError
            No node can decide now; retry the turn later.
        """
        nodes = self._rank(program)
        # Other nodes may draw in place of the owner, so that an owner that does not
        # reach the store does not stop its programs.
        for may_lend in (False, True):
            for node in nodes[:_MAX_LENDERS] if may_lend else nodes:
                try:
                    return await self._reserve_at(
                        node, program, budget, max_tokens, may_lend=may_lend
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
        self, node: str, program: str, budget: int, max_tokens: int, *, may_lend: bool
    ) -> Reservation:
        if node == self._node:
            grant = await self._accounts.grant(
                program, budget, max_tokens, may_lend=may_lend
            )
            await self._report_to_owner(node, program, budget, grant)
            return Reservation(
                grant, lambda left: self._accounts.return_tokens(program, left)
            )
        now = self._clock.read_monotonic()
        if self._unreachable.get(node, 0.0) > now:
            raise PeerError(
                f"{node} did not answer within the last {_UNREACHABLE_BACKOFF:g} s"
            )
        try:
            grant = await self._peers.grant(
                node, program, budget, max_tokens, may_lend=may_lend
            )
        except PeerError:
            self._unreachable[node] = now + _UNREACHABLE_BACKOFF
            raise
        await self._report_to_owner(node, program, budget, grant)
        return Reservation(grant, self._make_return_callback(node, program))

    async def _report_to_owner(
        self, node: str, program: str, budget: int, grant: Grant
    ) -> None:
        """Report to the owner what another node has drawn in its place."""
        owner = self._rank(program)[0]
        if owner == node:
            return
        if owner == self._node:
            self._accounts.report_drawn(program, budget, grant.drawn)
        elif self._unreachable.get(owner, 0.0) <= self._clock.read_monotonic():
            try:
                await self._peers.report_drawn(owner, program, budget, grant.drawn)
            except PeerError as exc:
                _LOG.info(
                    "draw not reported to the owner of the account: %s",
                    exc,
                    extra={"program": program, "node": owner},
                )

    def _rank(self, program: str) -> list[str]:
        return rank_nodes(self._list_members(), program)[:_MAX_DRAWING_NODES]

    def _make_return_callback(self, node: str, program: str) -> Callable[[int], None]:
        def start(left: int) -> None:
            if left:
                task = asyncio.create_task(self._return(node, program, left))
                self._return_tasks.add(task)
                task.add_done_callback(self._return_tasks.discard)

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
