"""Compares rate limiters under even and skewed load, in simulated time.

The table has for each limiter and load:

- wrongly refused: requests that one central token bucket with the team's full rate and
  burst would have admitted, minus those that the limiter admitted, as a share of the
  former, over all teams and for the worst team;
- greatest overshoot: maximum number of requests by which a window of any length T
  exceeds rate * T + burst, over all teams;
- peer requests/s for each node: requests for tokens that a node sends to its peers.
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
# Rate and burst of each team; a few teams are large.
TEAM_LIMITS = ((60, 64), (30, 32), (20, 32), (10, 16), (5, 10), (5, 8), (2, 4), (1, 2))
TEAMS = {
    f"team-{number}": Team(name=f"team-{number}", rate=rate, burst=burst)
    for number, (rate, burst) in enumerate(TEAM_LIMITS)
}
FLOODING_TEAM = "team-1"
# Offered load relative to the rate of the team.
FLOOD_FACTOR = 8.0
NORMAL_FACTOR = 0.7
# Weights of the nodes among which the requests are spread.
LOADS = {
    "even": (1.0, 1.0, 1.0, 1.0),
    "zipf": (1.0, 1 / 2, 1 / 3, 1 / 4),
    "one node": (1.0, 0.0, 0.0, 0.0),
}
LATENCY_SECONDS = 0.001
# No requests are sent before this time.
IDLE_SECONDS = 60.0
# From the loss of a node until the load balancer excludes it.
BALANCER_DELAY_SECONDS = 1.0
# From the loss of a node until the other nodes apply the next epoch; they do so within
# MAX_MEMBERS_JITTER_SECONDS of each other.
MEMBERS_DELAY_SECONDS = 7.0
MAX_MEMBERS_JITTER_SECONDS = 0.5


@define
class Simulation:
    """Event queue in order of simulated time, and the limiters of the nodes."""

    clock: ManualClock = field(factory=lambda: ManualClock(0.0))
    events: list[tuple[float, int, Callable[[], None]]] = field(factory=list)
    sequence: itertools.count = field(factory=itertools.count)
    lost_nodes: set[str] = field(factory=set)
    limiters: dict[str, RateLimiter] = field(factory=dict)
    peer_requests: int = 0

    def schedule(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (time, next(self.sequence), action))

    async def run(self) -> None:
        while self.events:
            time, _, action = heapq.heappop(self.events)
            self.clock.advance(max(0.0, time - self.clock.read_monotonic()))
            action()
            for _ in range(4):
                await asyncio.sleep(0)


@define
class SimulatedPeers(TokenPeers):
    """Peers with ``LATENCY_SECONDS`` each way; a lost node does not answer."""

    simulation: Simulation
    requester: str

    async def acquire(
        self, member: str, team: str, amount: float, epoch: int
    ) -> TokenGrant:
        simulation = self.simulation
        simulation.peer_requests += 1
        answer: asyncio.Future[TokenGrant] = asyncio.get_running_loop().create_future()
        now = simulation.clock.read_monotonic()

        def fail() -> None:
            answer.set_exception(PeerError(f"{member} did not answer"))

        def deliver() -> None:
            if member in simulation.lost_nodes:
                simulation.schedule(now + GRANT_TIMEOUT, fail)
                return
            limiter = simulation.limiters[member]
            assert isinstance(limiter, ShareLimiter)
            grant = limiter.grant(team, amount, epoch, requester=self.requester)
            simulation.schedule(
                now + 2 * LATENCY_SECONDS, lambda: answer.set_result(grant)
            )

        simulation.schedule(now + LATENCY_SECONDS, deliver)
        return await answer


@define
class ReferenceBucket:
    """Token bucket with the full rate and burst of a team.

    Attributes
    ----------
    refilled_at : float
        Time of the last refill, in simulated seconds.
    tokens, min_tokens : float
        Current number of tokens and its minimum; negative if overdrawn.
    """

    team: Team
    refilled_at: float = 0.0
    tokens: float = field(init=False)
    min_tokens: float = 0.0

    def __attrs_post_init__(self) -> None:
        self.tokens = self.team.burst

    def refill(self, now: float) -> None:
        refilled = self.tokens + self.team.rate * (now - self.refilled_at)
        self.tokens, self.refilled_at = min(self.team.burst, refilled), now

    def admit(self, now: float) -> bool:
        """Take a token if there is one and return whether there was."""
        self.refill(now)
        if self.tokens < 1.0 - 1e-9:
            return False
        self.tokens -= 1.0
        return True

    def consume(self, now: float) -> None:
        """Take a token even if that overdraws the bucket."""
        self.refill(now)
        self.tokens -= 1.0
        self.min_tokens = min(self.min_tokens, self.tokens)


@frozen
class Result:
    """Results of one run; refusals as shares, the overshoot in requests."""

    wrongly_refused: float
    worst_team: float
    overshoot: float
    peer_requests_per_second: float


async def measure(
    kind: str, load: str, node_lost: bool, *, seed: int, duration: float
) -> Result:
    """Run one kind of limiter under one load.

    Parameters
    ----------
    kind : str
        ``"share"`` or ``"static"``.
    load : str
        Key of ``LOADS``.
    node_lost : bool
        Whether the first node is lost after half of ``duration``.
    duration : float
        Simulated seconds during which requests arrive.
    """
    simulation = Simulation()
    for name in NODES:
        simulation.limiters[name] = make_limiter(kind, name, simulation, seed)
        simulation.limiters[name].set_teams(TEAMS)
        simulation.limiters[name].set_members(2, NODES)
    central = {name: ReferenceBucket(team) for name, team in TEAMS.items()}
    observed = {name: ReferenceBucket(team) for name, team in TEAMS.items()}
    expected = dict.fromkeys(TEAMS, 0)
    admitted = dict.fromkeys(TEAMS, 0)
    tasks: set[asyncio.Task[None]] = set()

    async def request(node: str, team: str) -> None:
        try:
            await simulation.limiters[node].acquire(TEAMS[team])
        except FireflyError:
            return
        admitted[team] += 1
        observed[team].consume(simulation.clock.read_monotonic())

    def arrive(node: str, team: str) -> None:
        # A request to a lost node reaches no limiter.
        if node in simulation.lost_nodes:
            return
        expected[team] += central[team].admit(simulation.clock.read_monotonic())
        task = asyncio.get_running_loop().create_task(request(node, team))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    lost_at = IDLE_SECONDS + duration / 2 if node_lost else float("inf")
    schedule_requests(
        simulation, arrive, LOADS[load], seed=seed, duration=duration, lost_at=lost_at
    )
    if node_lost:
        schedule_node_loss(simulation, lost_at, seed=seed)
    await simulation.run()
    refused = {team: max(0, expected[team] - admitted[team]) for team in TEAMS}
    return Result(
        wrongly_refused=sum(refused.values()) / sum(expected.values()),
        worst_team=max(refused[team] / expected[team] for team in TEAMS),
        overshoot=max(0.0 - bucket.min_tokens for bucket in observed.values()),
        peer_requests_per_second=simulation.peer_requests / duration / len(NODES),
    )


def make_limiter(
    kind: str, name: str, simulation: Simulation, seed: int
) -> RateLimiter:
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


def schedule_requests(
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
        factor = FLOOD_FACTOR if name == FLOODING_TEAM else NORMAL_FACTOR
        time = IDLE_SECONDS
        while (
            time := time + rng.expovariate(team.rate * factor)
        ) < IDLE_SECONDS + duration:
            live = NODES if time < lost_at + BALANCER_DELAY_SECONDS else NODES[1:]
            node_weights = weights[: len(live)]
            (node,) = rng.choices(live, node_weights)
            simulation.schedule(time, lambda n=node, t=name: arrive(n, t))


def schedule_node_loss(simulation: Simulation, lost_at: float, *, seed: int) -> None:
    """Schedule the loss of the first node and the next epoch without it."""
    rng = random.Random(seed)
    simulation.schedule(lost_at, lambda: simulation.lost_nodes.add(NODES[0]))
    for name in NODES[1:]:
        applied_at = (
            lost_at
            + MEMBERS_DELAY_SECONDS
            + rng.uniform(0.0, MAX_MEMBERS_JITTER_SECONDS)
        )
        limiter = simulation.limiters[name]
        simulation.schedule(applied_at, lambda x=limiter: x.set_members(3, NODES[1:]))


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=120.0, help="seconds")
    arguments = parser.parse_args()
    print("| load | node lost | limiter | wrongly refused | worst team |", end="")
    print(" greatest overshoot (requests) | peer requests/s for each node |")
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
            f"| {result.overshoot:.2f} | {result.peer_requests_per_second:.1f} |"
        )


if __name__ == "__main__":
    main()
