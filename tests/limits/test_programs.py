"""A team beyond its rate: what its programs get."""

import asyncio
import random

import pytest
from attrs import define

from fireflyspread.bundle import Team
from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, RateLimitedError
from fireflyspread.limits import Demand, ShareLimiter, TokenGrant, TokenPeers
from tests.routing.virtual_time import LoopClock, run_virtual

TEAM = Team(name="labs", rate=22.0, burst=57.0)
NODES = ("a", "b", "c", "d")
# Requests of a program, and seconds between the end of one and the next.
REQUESTS = 18
PAUSE = 0.12
DEMAND = Demand(requests=REQUESTS, seconds=REQUESTS * PAUSE)
SECONDS = 40.0
MESSAGE_SECONDS = 0.002
# Times that a caller sends a refused first turn again, and the pause between.
RETRIES = 5
RETRY_SECONDS = 0.25


class Cluster(TokenPeers):
    """Limiters of several nodes that ask each other by messages that take time."""

    def __init__(self, clock: Clock) -> None:
        self.limiters = {
            name: ShareLimiter(
                name,
                self,
                clock=clock,
                rng=random.Random(1),
                check_authority=lambda: None,
                trusts_new_teams=True,
                burst_for_each_home=20.0,
            )
            for name in NODES
        }
        for limiter in self.limiters.values():
            limiter.replace_members(NODES, since=-float("inf"))
            limiter.set_teams({TEAM.name: TEAM})

    async def acquire(
        self,
        member: str,
        team: str,
        amount: float,
        epoch: int,
        *,
        patience: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant:
        await asyncio.sleep(MESSAGE_SECONDS)
        if member not in self.limiters:
            raise PeerError(f"{member} is gone")
        return self.limiters[member].grant(
            team, amount, epoch, patience=patience, demand=demand
        )


@define
class Outcome:
    """What the programs of one play got."""

    begun: int = 0
    whole: int = 0
    refused: int = 0
    passed: int = 0
    wasted: int = 0


class Play:
    """Programs of one team that begin at random moments."""

    def __init__(self, *, seed: int, per_second: float, plans: bool) -> None:
        self.outcome = Outcome()
        self.times: list[float] = []
        self._rng = random.Random(seed)
        self._per_second = per_second
        self._plans = plans

    async def run(self) -> Outcome:
        loop = asyncio.get_running_loop()
        self._cluster, self._clock = Cluster(LoopClock(loop)), LoopClock(loop)
        end, tasks = loop.time() + SECONDS, []
        while loop.time() < end:
            await asyncio.sleep(self._rng.expovariate(self._per_second))
            tasks.append(asyncio.create_task(self._run_program()))
        await asyncio.gather(*tasks)
        return self.outcome

    async def _run_program(self) -> None:
        if not await self._begin():
            self.outcome.refused += 1
            return
        self.outcome.begun += 1
        for done in range(1, REQUESTS):
            await asyncio.sleep(PAUSE)
            if not await self._send(None):
                self.outcome.wasted += done
                return
        self.outcome.whole += 1

    async def _begin(self) -> bool:
        for _ in range(RETRIES + 1):
            if await self._send(DEMAND if self._plans else None):
                return True
            await asyncio.sleep(RETRY_SECONDS)
        return False

    async def _send(self, demand: Demand | None) -> bool:
        limiter = self._cluster.limiters[self._rng.choice(NODES)]
        patience = 0.5 if self._plans else 0.0
        try:
            await limiter.acquire(TEAM, patience=patience, demand=demand)
        except RateLimitedError:
            return False
        self.outcome.passed += 1
        self.times.append(self._clock.read_monotonic())
        return True


def play(seed: int, per_second: float, *, plans: bool = True) -> Play:
    """Play programs; return what they got."""
    result = Play(seed=seed, per_second=per_second, plans=plans)
    run_virtual(result.run())
    return result


class TestPrograms:
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("per_second", [2.0, 4.0, 8.0])
    def test_programs_that_begin_end_whole(self, seed, per_second):
        """Guards against a rate spent on programs that are refused midway.

        A program that begins is promised its rate, so at most one in twenty may fail.
        """
        outcome = play(seed, per_second).outcome
        assert outcome.whole >= 0.95 * outcome.begun

    @pytest.mark.parametrize("seed", range(4))
    def test_rate_is_used(self, seed):
        """Guards against programs refused although the rate would hold them.

        A fifth may stay unused, since programs begin only as a whole.
        """
        outcome = play(seed, 4.0).outcome
        possible = (TEAM.burst + TEAM.rate * SECONDS) / REQUESTS
        assert outcome.whole >= 0.8 * possible

    @pytest.mark.parametrize("seed", range(4))
    def test_more_programs_end_whole_than_without_a_plan(self, seed):
        """Guards against admission that helps nobody."""
        planned = play(seed, 4.0).outcome.whole
        assert planned > play(seed, 4.0, plans=False).outcome.whole

    def test_team_in_its_rate_loses_nothing(self):
        """Guards against new programs refused although the rate holds them."""
        outcome = play(1, 0.5).outcome
        assert outcome.whole == outcome.begun
        assert outcome.refused == 0

    @pytest.mark.parametrize("seed", range(4))
    def test_rate_is_kept(self, seed):
        """Guards against tokens taken ahead that are used before they accrue."""
        times = play(seed, 8.0).times
        window = 5.0
        most = TEAM.burst + TEAM.rate * window
        for start, first in enumerate(times):
            count = sum(first <= time < first + window for time in times[start:])
            assert count <= most
