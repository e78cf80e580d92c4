"""Limiters of several nodes that answer each other without network delay."""

import asyncio
import random

from fireflyspread.bundle import Team
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import NoAuthorityError, PeerError, RateLimitedError
from fireflyspread.limits import ShareLimiter, TokenGrant, TokenPeers

NAMES = ("entry-1", "entry-2", "entry-3", "entry-4")
LARGE = Team(name="scans", rate=100.0, burst=32.0)
SMALL = Team(name="lids", rate=2.0, burst=4.0)
TEAMS = {team.name: team for team in (LARGE, SMALL)}
# Seconds; longer than the time during which a share must not grow.
SETTLED = 2.5


class DirectPeers(TokenPeers):
    """Calls the limiter of the other node directly and injects faults."""

    def __init__(self, cluster: "Cluster", requester: str) -> None:
        self._cluster = cluster
        self._requester = requester

    async def acquire(
        self, member: str, team: str, amount: float, epoch: int
    ) -> TokenGrant:
        cluster = self._cluster
        cluster.requests.append((self._requester, member, amount))
        await asyncio.sleep(0)
        if member in cluster.unreachable:
            raise PeerError(f"{member} did not answer")
        grant = cluster.limiters[member].grant(
            team, amount, epoch, requester=self._requester
        )
        cluster.clock.advance(cluster.answer_delay)
        if cluster.lose_answers:
            raise PeerError("the answer was lost")
        return grant


class Cluster:
    """Four members of one epoch with the same bundle."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.requests: list[tuple[str, str, float]] = []
        self.unreachable: set[str] = set()
        self.without_authority: set[str] = set()
        self.answer_delay = 0.0
        self.lose_answers = False
        self.limiters = {name: self.build(name) for name in NAMES}

    def build(self, name: str) -> ShareLimiter:
        def check() -> None:
            if name in self.without_authority:
                raise NoAuthorityError("no authority")

        return ShareLimiter(
            name,
            DirectPeers(self, name),
            clock=self.clock,
            rng=random.Random(7),
            check_authority=check,
        )

    def start(self, epoch: int = 5) -> None:
        for limiter in self.limiters.values():
            limiter.set_teams(TEAMS)
            limiter.set_members(epoch, NAMES)

    def fill(self) -> None:
        """Start the limiters and advance the clock until all buckets are full."""
        self.start()
        self.clock.advance(SETTLED + 10.0)

    async def count_admitted(self, name: str, team: Team, attempts: int = 100) -> int:
        """Return how many of ``attempts`` consecutive requests are admitted."""
        admitted = 0
        for _ in range(attempts):
            try:
                await self.limiters[name].acquire(team)
            except RateLimitedError:
                continue
            admitted += 1
        return admitted

    def find_homes(self, team: Team) -> list[str]:
        homes: list[str] = self.dump("entry-1", team)["homes"]
        return homes

    def dump(self, name: str, team: Team) -> dict:
        limiter = self.limiters[name]
        limiter.grant(team.name, 0.0, 0)
        state: dict = limiter.dump()["teams"][team.name]
        return state
