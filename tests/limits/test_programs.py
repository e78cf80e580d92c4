"""Tests of the admission of programs of a team that exceeds its rate."""

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
# Requests of a program, and seconds between two of them.
REQUESTS = 18
PAUSE_SECONDS = 0.12
DEMAND = Demand(requests=REQUESTS, seconds=REQUESTS * PAUSE_SECONDS)
SIMULATED_SECONDS = 40.0
MESSAGE_SECONDS = 0.002
# Retries of a refused first turn, and the seconds between them.
RETRIES = 5
RETRY_SECONDS = 0.25


class Cluster(TokenPeers):
    """Limiters of several nodes whose messages take ``MESSAGE_SECONDS``."""

    def __init__(self, clock: Clock) -> None:
        self.limiters = {
            name: ShareLimiter(
                name,
                self,
                clock=clock,
                rng=random.Random(1),
                check_authority=lambda: None,
                new_teams_start_full=True,
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
        max_wait: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant:
        await asyncio.sleep(MESSAGE_SECONDS)
        if member not in self.limiters:
            raise PeerError(f"{member} is unreachable")
        return self.limiters[member].grant(
            team, amount, epoch, max_wait=max_wait, demand=demand
        )


@define
class Outcome:
    """Counts of programs and requests of one simulation.

    Attributes
    ----------
    wasted : int
        Requests admitted for programs that were refused midway.
    """

    begun: int = 0
    completed: int = 0
    refused: int = 0
    admitted: int = 0
    wasted: int = 0


class Simulation:
    """Programs of one team that begin at random times."""

    def __init__(
        self, *, seed: int, starts_per_second: float, uses_demand: bool
    ) -> None:
        self.outcome = Outcome()
        self.times: list[float] = []
        self._rng = random.Random(seed)
        self._starts_per_second = starts_per_second
        self._uses_demand = uses_demand

    async def run(self) -> Outcome:
        loop = asyncio.get_running_loop()
        self._cluster, self._clock = Cluster(LoopClock(loop)), LoopClock(loop)
        end, tasks = loop.time() + SIMULATED_SECONDS, []
        while loop.time() < end:
            await asyncio.sleep(self._rng.expovariate(self._starts_per_second))
            tasks.append(asyncio.create_task(self._run_program()))
        await asyncio.gather(*tasks)
        return self.outcome

    async def _run_program(self) -> None:
        if not await self._begin():
            self.outcome.refused += 1
            return
        self.outcome.begun += 1
        for done in range(1, REQUESTS):
            await asyncio.sleep(PAUSE_SECONDS)
            if not await self._send(None):
                self.outcome.wasted += done
                return
        self.outcome.completed += 1

    async def _begin(self) -> bool:
        for _ in range(RETRIES + 1):
            if await self._send(DEMAND if self._uses_demand else None):
                return True
            await asyncio.sleep(RETRY_SECONDS)
        return False

    async def _send(self, demand: Demand | None) -> bool:
        limiter = self._cluster.limiters[self._rng.choice(NODES)]
        max_wait = 0.5 if self._uses_demand else 0.0
        try:
            await limiter.acquire(TEAM, max_wait=max_wait, demand=demand)
        except RateLimitedError:
            return False
        self.outcome.admitted += 1
        self.times.append(self._clock.read_monotonic())
        return True


def simulate(
    seed: int, starts_per_second: float, *, uses_demand: bool = True
) -> Simulation:
    """Run a simulation in virtual time and return it."""
    result = Simulation(
        seed=seed, starts_per_second=starts_per_second, uses_demand=uses_demand
    )
    run_virtual(result.run())
    return result


class TestPrograms:
    @pytest.mark.parametrize("seed", range(4))
    @pytest.mark.parametrize("starts_per_second", [2.0, 4.0, 8.0])
    def test_admitted_programs_complete(self, seed, starts_per_second):
        """Guards against a rate spent on programs that are refused midway.

        Admission covers all requests of a program, so at most one in twenty may fail.
        """
        outcome = simulate(seed, starts_per_second).outcome
        assert outcome.completed >= 0.95 * outcome.begun

    @pytest.mark.parametrize("seed", range(4))
    def test_rate_is_used(self, seed):
        """Guards against programs refused although the rate covers them.

        A fifth of the rate may stay unused, because only complete programs are
        admitted.
        """
        outcome = simulate(seed, 4.0).outcome
        possible = (TEAM.burst + TEAM.rate * SIMULATED_SECONDS) / REQUESTS
        assert outcome.completed >= 0.8 * possible

    @pytest.mark.parametrize("seed", range(4))
    def test_more_programs_complete_than_without_demand(self, seed):
        """Guards against admission by demand that completes no more programs."""
        with_demand = simulate(seed, 4.0).outcome.completed
        assert with_demand > simulate(seed, 4.0, uses_demand=False).outcome.completed

    def test_team_within_its_rate_is_not_refused(self):
        """Guards against new programs refused although the rate covers them."""
        outcome = simulate(1, 0.5).outcome
        assert outcome.completed == outcome.begun
        assert outcome.refused == 0

    @pytest.mark.parametrize("seed", range(4))
    def test_rate_is_kept(self, seed):
        """Guards against tokens taken in advance that are used before they accrue."""
        times = simulate(seed, 8.0).times
        window = 5.0
        max_requests = TEAM.burst + TEAM.rate * window
        for start, first in enumerate(times):
            count = sum(first <= time < first + window for time in times[start:])
            assert count <= max_requests
