"""Rate limiter that splits every rate equally over the members."""

from collections.abc import Iterable, Mapping
from typing import Any

from fireflyspread.bundle import Team
from fireflyspread.clock import Clock
from fireflyspread.exceptions import RateLimitedError
from fireflyspread.limits._bucket import Bucket, Segment, Share
from fireflyspread.limits._demand import Demand
from fireflyspread.limits._limiter import RateLimiter

__all__ = ["StaticSplitLimiter"]


class StaticSplitLimiter(RateLimiter):
    """Admits an equal part of each rate on every member, without messages.

    It is the baseline to which the benchmark compares ``ShareLimiter``. A bucket holds
    at least one token, because otherwise a team with a small burst would never be
    served. The sum over all members may therefore exceed the team's burst.

    ``max_wait`` and ``demand`` are ignored: no request waits, and programs are not
    admitted by their demand.
    """

    def __init__(self, *, clock: Clock) -> None:
        self._clock = clock
        self._epoch = 0
        self._member_count = 1
        self._teams: dict[str, Team] = {}
        self._buckets: dict[str, Bucket] = {}

    async def acquire(
        self,
        team: Team,
        amount: float = 1.0,
        *,
        max_wait: float = 0.0,
        demand: Demand | None = None,
    ) -> None:
        bucket = self._buckets.setdefault(team.name, Bucket(team.name))
        limits = self._teams.get(team.name, team)
        share = Share(
            limits.rate / self._member_count,
            max(1.0, limits.burst / self._member_count),
        )
        bucket.accrue([Segment(self._clock.read_monotonic(), share)])
        if not bucket.take(amount):
            raise RateLimitedError(
                f"team {team.name} has used up its rate on this node; retry later",
                retry_after=(amount - bucket.level) / share.rate,
            )

    def set_members(self, epoch: int, names: Iterable[str]) -> None:
        if epoch > self._epoch:
            self._epoch = epoch
            self._member_count = max(1, len(frozenset(names)))

    def set_teams(self, teams: Mapping[str, Team]) -> None:
        self._teams = dict(teams)

    def dump(self) -> dict[str, Any]:
        levels = {name: bucket.level for name, bucket in self._buckets.items()}
        return {"epoch": self._epoch, "members": self._member_count, "levels": levels}
