"""Token bucket of one team on one home node."""

import asyncio
import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from attrs import define, field

from fireflyspread.limits._demand import Commitments

__all__ = ["NO_SHARE", "Bucket", "HomeEstimate", "Segment", "Share", "Waiter"]

# Tokens; rounding errors in sums of floating-point shares are smaller than this.
_ROUNDING_TOLERANCE = 1e-9


class Share(NamedTuple):
    """Part of a team's rate and burst that one node may use.

    Attributes
    ----------
    rate : float
        Tokens per second.
    burst : float
        Tokens that the bucket holds at most.
    """

    rate: float
    burst: float


NO_SHARE = Share(0.0, 0.0)


class Segment(NamedTuple):
    """A share and the monotonic time at which it ends."""

    end: float
    share: Share


@define(eq=False)
class Waiter:
    """A request that waits for tokens from other home nodes.

    Attributes
    ----------
    amount : float
        Tokens that the request needs.
    served : asyncio.Future of float
        Monotonic time at which the tokens were taken.
    homes_asked : int
        Home nodes that were asked for tokens on behalf of this request.
    """

    amount: float
    served: asyncio.Future[float]
    homes_asked: int = 0


@define
class HomeEstimate:
    """Estimated bucket level of another home node.

    Attributes
    ----------
    level : float
        Tokens left at ``time``, in monotonic seconds.
    empty_until : float
        Monotonic time before which the home node has no whole token.
    """

    level: float
    time: float
    empty_until: float = -math.inf


class _OutstandingGrant(NamedTuple):
    expires: float
    requester: str
    amount: float


@define(eq=False)
class Bucket:
    """Tokens of one team and the requests that wait for more.

    The level is negative while tokens are taken that have yet to accrue.

    Tokens granted to another node count against the burst until that node must have
    used or dropped them. Otherwise the bucket would refill while the grant is in
    flight, and a window of time that begins in between would see both amounts.

    Attributes
    ----------
    name : str
        Name of the team.
    time : float
        Monotonic seconds until which tokens have accrued.
    share : Share
        Share in force at ``time``.
    share_until : float
        Monotonic seconds until which that share stays in force.
    revision : int
        Revision of the ledger's members and limits from which the share was taken; -1
        before the first.
    waiters : deque of Waiter
        Waiting requests in order of arrival.
    collector : asyncio.Task or None
        Requests tokens from other home nodes while requests wait.
    estimates : dict of str to HomeEstimate
        Estimated levels of the other home nodes by name.
    commitments : Commitments
        Programs admitted at this bucket.
    """

    name: str
    level: float = 0.0
    time: float = -math.inf
    share: Share = NO_SHARE
    share_until: float = -math.inf
    revision: int = -1
    waiters: deque[Waiter] = field(factory=deque)
    collector: asyncio.Task[None] | None = None
    estimates: dict[str, HomeEstimate] = field(factory=dict)
    commitments: Commitments = field(factory=Commitments)
    _outstanding: deque[_OutstandingGrant] = field(factory=deque)
    _reserved: float = 0.0

    @property
    def reserved(self) -> float:
        """Tokens granted to other nodes that may still be unused."""
        return self._reserved

    @property
    def reserved_until(self) -> float:
        """Monotonic time at which the last reserved tokens stop counting."""
        return self._outstanding[-1].expires if self._outstanding else -math.inf

    @property
    def capacity(self) -> float:
        """Tokens that the bucket may hold at most now."""
        return max(0.0, self.share.burst - self._reserved)

    def accrue(self, segments: Iterable[Segment]) -> None:
        """Add the tokens of consecutive segments; the first begins at ``time``."""
        for end, share in segments:
            self.share = share
            while self._outstanding and self._outstanding[0].expires <= end:
                self._fill(self._outstanding[0].expires)
                self._reserved -= self._outstanding.popleft().amount
                if not self._outstanding:
                    self._reserved = 0.0
            self._fill(end)

    def take(self, amount: float) -> bool:
        """Take ``amount`` tokens if the bucket holds that many."""
        if self.level + _ROUNDING_TOLERANCE < amount:
            return False
        self.level = max(0.0, self.level - amount)
        return True

    def find_wait(self, amount: float) -> float:
        """Return the seconds until ``amount`` has accrued; may be infinite."""
        missing = amount - self.level
        if missing <= _ROUNDING_TOLERANCE:
            return 0.0
        return missing / self.share.rate if self.share.rate > 0.0 else math.inf

    def take_in_advance(self, amount: float, max_wait: float) -> float | None:
        """Take tokens that accrue within ``max_wait`` seconds.

        Returns
        -------
        float or None
            Seconds after which the tokens may be used; None if they take longer.
        """
        wait = self.find_wait(amount)
        if wait > max_wait:
            return None
        self.level -= amount
        return wait

    def take_up_to(self, amount: float) -> float:
        """Take ``amount`` or, if the bucket holds less, all whole tokens.

        A fraction stays: granted to a node that cannot complete it, it would be lost.
        """
        part = amount
        if not self.take(part):
            part = max(0.0, math.floor(self.level + _ROUNDING_TOLERANCE))
            self.take(part)
        return part

    def put(self, amount: float) -> None:
        """Add tokens granted by another node, up to the capacity."""
        self.level = max(self.level, min(self.capacity, self.level + amount))

    def reserve(self, amount: float, *, requester: str, expires: float) -> None:
        """Count granted tokens against the burst until the grant expires."""
        if amount > 0.0:
            self._outstanding.append(_OutstandingGrant(expires, requester, amount))
            self._reserved += amount

    def release(self, requester: str) -> None:
        """Stop counting grants to a node that has used or dropped them."""
        kept = deque(g for g in self._outstanding if g.requester != requester)
        if len(kept) != len(self._outstanding):
            self._outstanding = kept
            self._reserved = sum(g.amount for g in kept)

    def _fill(self, end: float) -> None:
        capacity = self.capacity
        self.level = min(self.level, capacity)
        if self.share.rate > 0.0 and end > self.time:
            gain = self.share.rate * (end - self.time)
            self.level = min(capacity, self.level + gain)
        self.time = max(self.time, end)
