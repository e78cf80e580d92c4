"""Compare rate limiters under even and skewed load, in simulated time.

Two figures are printed for each limiter and load:

- wrongly refused: requests that one central token bucket with the team's whole rate
  and burst would have admitted, less those the limiter admitted, as a share of the
  former, summed over the teams (and the worst team);
- greatest overshoot: the most requests by which any window of any length T exceeds
  rate * T + burst, over all teams.
"""

import argparse
import asyncio
import heapq
import itertools
import random
from collections.abc import Callable, Sequence

from attrs import define, field, frozen

from fireflyspread.bundle import Team
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import FireflyError, PeerError
from fireflyspread.limits import (
    GRANT_TIMEOUT,
    RateLimiter,
    ShareLimiter,
    StaticSplitLimiter,
    TokenGrant,
    TokenPeers,
)

NODES = ("entry-1", "entry-2", "entry-3", "entry-4")
# Rates and bursts of 8 teams, a few of them large.
FIGURES = ((60, 64), (30, 32), (20, 32), (10, 16), (5, 10), (5, 8), (2, 4), (1, 2))
TEAMS = {
    f"team-{number}": Team(name=f"team-{number}", rate=rate, burst=burst)
    for number, (rate, burst) in enumerate(FIGURES)
}
LOUD_TEAM = "team-1"
LOUD_FACTOR = 8.0
# Offered load of the other teams relative to their rates.
USUAL_FACTOR = 0.7
LOADS = {
    "even": (1.0, 1.0, 1.0, 1.0),
    "zipf": (1.0, 1 / 2, 1 / 3, 1 / 4),
    "one node": (1.0, 0.0, 0.0, 0.0),
}
# Seconds.
LATENCY = 0.001
IDLE = 60.0
# After the loss of a node: until the load balancer and the members notice.
BALANCER_DELAY = 1.0
MEMBERS_DELAY = 7.0
SEEN_WITHIN = 0.5


@define
class Simulation:
    """Events in the order of time."""

    clock: ManualClock = field(factory=lambda: ManualClock(0.0))
    events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    numbers: itertools.count = field(factory=itertools.count)
    lost: set[str] = field(factory=set)
    limiters: dict[str, RateLimiter] = field(factory=dict)
    asks: int = 0

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (time, next(self.numbers), action))

    async def run(self) -> None:
        while self.events:
            time, _, action = heapq.heappop(self.events)
            self.clock.advance(max(0.0, time - self.clock.read_monotonic()))
            action()
            for _ in range(4):
                await asyncio.sleep(0)


@define
class SimulatedPeers(TokenPeers):
    """Messages that take ``LATENCY`` each way, or get lost at a lost node."""

    simulation: Simulation
    asker: str

    async def acquire(
        self, member: str, team: str, amount: float, epoch: int
    ) -> TokenGrant:
        simulation = self.simulation
        simulation.asks += 1
        answer: asyncio.Future[TokenGrant] = asyncio.get_running_loop().create_future()
        now = simulation.clock.read_monotonic()

        def fail() -> None:
            answer.set_exception(PeerError(f"{member} did not answer"))

        def deliver() -> None:
            if member in simulation.lost:
                simulation.schedule(now + GRANT_TIMEOUT, fail)
                return
            home = simulation.limiters[member]
            assert isinstance(home, ShareLimiter)
            grant = home.grant(team, amount, epoch, requester=self.asker)
            simulation.schedule(now + 2 * LATENCY, lambda: answer.set_result(grant))

        simulation.schedule(now + LATENCY, deliver)
        return await answer


@define
class Reference:
    """Token bucket with the whole figures of a team."""

    team: Team
    time: float = 0.0
    level: float = field(init=False)
    lowest: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.level = self.team.burst

    def accrue(self, now: float) -> None:
        gained = self.level + self.team.rate * (now - self.time)
        self.level, self.time = min(self.team.burst, gained), now

    def admit(self, now: float) -> bool:
        """Take a token if there is one."""
        self.accrue(now)
        if self.level < 1.0 - 1e-9:
            return False
        self.level -= 1.0
        return True

    def count(self, now: float) -> None:
        """Take a token in any case and note by how much the bucket is overdrawn."""
        self.accrue(now)
        self.level -= 1.0
        self.lowest = min(self.lowest, self.level)


@frozen
class Result:
    """Figures of one run."""

    wrongly_refused: float
    worst_team: float
    overshoot: float
    asks_per_second: float


async def measure(
    kind: str, load: str, node_lost: bool, *, seed: int, duration: float
) -> Result:
    """Run one limiter under one load."""
    simulation = Simulation()
    for name in NODES:
        simulation.limiters[name] = build(kind, name, simulation, seed)
        simulation.limiters[name].set_teams(TEAMS)
        simulation.limiters[name].set_members(2, NODES)
    central = {name: Reference(team) for name, team in TEAMS.items()}
    observed = {name: Reference(team) for name, team in TEAMS.items()}
    wanted = dict.fromkeys(TEAMS, 0)
    admitted = dict.fromkeys(TEAMS, 0)
    running: set[asyncio.Task[None]] = set()

    async def request(node: str, team: str) -> None:
        try:
            await simulation.limiters[node].acquire(TEAMS[team])
        except FireflyError:
            return
        admitted[team] += 1
        observed[team].count(simulation.clock.read_monotonic())

    def arrive(node: str, team: str) -> None:
        # A request to a node that is gone reaches no limiter.
        if node in simulation.lost:
            return
        wanted[team] += central[team].admit(simulation.clock.read_monotonic())
        task = asyncio.get_running_loop().create_task(request(node, team))
        running.add(task)
        task.add_done_callback(running.discard)

    lost_at = IDLE + duration / 2 if node_lost else float("inf")
    plan_requests(
        simulation, arrive, LOADS[load], seed=seed, duration=duration, lost_at=lost_at
    )
    if node_lost:
        plan_loss(simulation, lost_at, seed=seed)
    await simulation.run()
    refused = {team: max(0, wanted[team] - admitted[team]) for team in TEAMS}
    return Result(
        wrongly_refused=sum(refused.values()) / sum(wanted.values()),
        worst_team=max(refused[team] / wanted[team] for team in TEAMS),
        overshoot=max(0.0 - reference.lowest for reference in observed.values()),
        asks_per_second=simulation.asks / duration / len(NODES),
    )


def build(kind: str, name: str, simulation: Simulation, seed: int) -> RateLimiter:
    """Return the limiter of one node."""
    if kind == "static":
        return StaticSplitLimiter(clock=simulation.clock)
    return ShareLimiter(
        name,
        SimulatedPeers(simulation, name),
        clock=simulation.clock,
        rng=random.Random(f"{seed}/{name}"),
        check_authority=lambda: None,
    )


def plan_requests(
    simulation: Simulation,
    arrive: Callable[[str, str], None],
    weights: Sequence[float],
    *,
    seed: int,
    duration: float,
    lost_at: float,
) -> None:
    """Schedule Poisson arrivals of all teams."""
    rng = random.Random(seed)
    for name, team in TEAMS.items():
        factor = LOUD_FACTOR if name == LOUD_TEAM else USUAL_FACTOR
        time = IDLE
        while (time := time + rng.expovariate(team.rate * factor)) < IDLE + duration:
            live = NODES if time < lost_at + BALANCER_DELAY else NODES[1:]
            node_weights = weights[: len(live)]
            (node,) = rng.choices(live, node_weights)
            simulation.schedule(time, lambda n=node, t=name: arrive(n, t))


def plan_loss(simulation: Simulation, lost_at: float, *, seed: int) -> None:
    """Schedule the loss of the first node and the epoch without it."""
    rng = random.Random(seed)
    simulation.schedule(lost_at, lambda: simulation.lost.add(NODES[0]))
    for name in NODES[1:]:
        seen_at = lost_at + MEMBERS_DELAY + rng.uniform(0.0, SEEN_WITHIN)
        limiter = simulation.limiters[name]
        simulation.schedule(seen_at, lambda x=limiter: x.set_members(3, NODES[1:]))


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=120.0, help="seconds")
    arguments = parser.parse_args()
    print("| load | node lost | limiter | wrongly refused | worst team |", end="")
    print(" greatest overshoot (requests) | questions/s for each node |")
    print("|---|---|---|---|---|---|---|")
    for load, node_lost, kind in itertools.product(
        LOADS, (False, True), ("share", "static")
    ):
        result = asyncio.run(
            measure(
                kind,
                load,
                node_lost,
                seed=arguments.seed,
                duration=arguments.duration,
            )
        )
        print(
            f"| {load} | {'yes' if node_lost else 'no'} | {kind} "
            f"| {result.wrongly_refused:.2%} | {result.worst_team:.2%} "
            f"| {result.overshoot:.2f} | {result.asks_per_second:.1f} |"
        )


if __name__ == "__main__":
    main()
