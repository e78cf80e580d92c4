"""Limiters of several nodes that answer each other at once."""

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
# Longer than the time for which a share must not grow.
SETTLED = 2.5


class DirectPeers(TokenPeers):
    """Calls the limiter of the other node, with faults on request."""

    def __init__(self, cluster: "Cluster", asker: str) -> None:
        self._cluster = cluster
        self._asker = asker

    async def acquire(
        self, member: str, team: str, amount: float, epoch: int
    ) -> TokenGrant:
        cluster = self._cluster
        cluster.asks.append((self._asker, member, amount))
        await asyncio.sleep(0)
        if member in cluster.gone:
            raise PeerError(f"{member} did not answer")
        grant = cluster.limiters[member].grant(team, amount, epoch, asker=self._asker)
        cluster.clock.advance(cluster.answer_delay)
        if cluster.lose_answers:
            raise PeerError("the answer was lost")
        return grant


class Cluster:
    """Four members of one epoch with the same bundle."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.asks: list[tuple[str, str, float]] = []
        self.gone: set[str] = set()
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
        """Start and wait until all buckets are full."""
        self.start()
        self.clock.advance(SETTLED + 10.0)

    async def count(self, name: str, team: Team, most: int = 100) -> int:
        """Return how many of ``most`` requests are admitted one after another."""
        admitted = 0
        for _ in range(most):
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
