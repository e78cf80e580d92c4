"""Token bucket of one team on one home node."""

import asyncio
import math
from collections import deque
from collections.abc import Iterable
from typing import NamedTuple

from attrs import define, field

from fireflyspread.limits._demand import Commitments

__all__ = ["NO_SHARE", "Bucket", "HomeEstimate", "Segment", "Share", "Waiter"]

# Sums of floating-point shares miss a whole token by less than this.
_ROUNDING = 1e-9


class Share(NamedTuple):
    """Part of a team's figures that a node may use.

    Attributes
    ----------
    rate : float
        Tokens per second.
    burst : float
        Most tokens in the bucket.
    """

    rate: float
    burst: float


NO_SHARE = Share(0.0, 0.0)


class Segment(NamedTuple):
    """A time until which a share holds."""

    end: float
    share: Share


@define(eq=False)
class Waiter:
    """A request that waits for tokens of other home nodes."""

    amount: float
    served: asyncio.Future[float]
    asks: int = 0


@define
class HomeEstimate:
    """What another home node is expected to hold.

    Attributes
    ----------
    level : float
        Tokens it had left at ``time``.
    empty_until : float
        Time before which it has no whole token.
    """

    level: float
    time: float
    empty_until: float = -math.inf


class _Reserve(NamedTuple):
    expires: float
    asker: str
    amount: float


@define(eq=False)
class Bucket:
    """Tokens of one team, and the requests that wait for more.

    The level is negative while tokens that have yet to accrue are taken.

    Tokens granted to another node still count against the burst until that node must
    have used or dropped them. Otherwise the bucket would fill again while they
    travel, and a window of time that begins meanwhile would see both.
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
    _reserves: deque[_Reserve] = field(factory=deque)
    _reserved: float = 0.0

    @property
    def reserved(self) -> float:
        """Tokens granted to other nodes that may still be unused."""
        return self._reserved

    @property
    def reserved_until(self) -> float:
        """Time at which the last of these tokens stops to count."""
        return self._reserves[-1].expires if self._reserves else -math.inf

    @property
    def room(self) -> float:
        """Most tokens that the bucket may hold now."""
        return max(0.0, self.share.burst - self._reserved)

    def accrue(self, segments: Iterable[Segment]) -> None:
        """Add what accrued during consecutive segments that begin at ``time``."""
        for end, share in segments:
            self.share = share
            while self._reserves and self._reserves[0].expires <= end:
                self._fill(self._reserves[0].expires)
                self._reserved -= self._reserves.popleft().amount
                if not self._reserves:
                    self._reserved = 0.0
            self._fill(end)

    def take(self, amount: float) -> bool:
        """Take ``amount`` tokens if there are as many."""
        if self.level + _ROUNDING < amount:
            return False
        self.level = max(0.0, self.level - amount)
        return True

    def find_wait(self, amount: float) -> float:
        """Return the seconds until ``amount`` has accrued; may be infinite."""
        missing = amount - self.level
        if missing <= _ROUNDING:
            return 0.0
        return missing / self.share.rate if self.share.rate > 0.0 else math.inf

    def take_ahead(self, amount: float, patience: float) -> float | None:
        """Take tokens that accrue within ``patience`` seconds.

        Returns
        -------
        float or None
            Seconds after which they may be used; None if it takes longer.
        """
        wait = self.find_wait(amount)
        if wait > patience:
            return None
        self.level -= amount
        return wait

    def take_part(self, amount: float) -> float:
        """Take ``amount`` or, if there are fewer, all whole tokens.

        A fraction that is given away to a node that cannot complete it is lost.
        """
        part = amount
        if not self.take(part):
            part = max(0.0, math.floor(self.level + _ROUNDING))
            self.take(part)
        return part

    def put(self, amount: float) -> None:
        """Add tokens of another node as far as there is room."""
        self.level = max(self.level, min(self.room, self.level + amount))

    def reserve(self, amount: float, *, asker: str, expires: float) -> None:
        """Count granted tokens against the burst until they must have been used."""
        if amount > 0.0:
            self._reserves.append(_Reserve(expires, asker, amount))
            self._reserved += amount

    def release(self, asker: str) -> None:
        """Stop counting the tokens granted to a node that has handled them."""
        kept = deque(r for r in self._reserves if r.asker != asker)
        if len(kept) != len(self._reserves):
            self._reserves = kept
            self._reserved = sum(r.amount for r in kept)

    def _fill(self, end: float) -> None:
        room = self.room
        self.level = min(self.level, room)
        if self.share.rate > 0.0 and end > self.time:
            gain = self.share.rate * (end - self.time)
            self.level = min(room, self.level + gain)
        self.time = max(self.time, end)
