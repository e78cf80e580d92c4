"""Comparison of placements on replicas of uneven speed, in virtual time.

Run ``python -m tools.placement_simulation`` for the tables of the design notes.
"""

import argparse
import asyncio
import random
from collections.abc import Callable, Sequence

from attrs import define, evolve, field, frozen

from fireflyspread.bundle import Replica, Target, TargetKind
from fireflyspread.clock import Clock
from fireflyspread.exceptions import FireflyError
from fireflyspread.routing import (
    Choice,
    CompletionPlacement,
    LeastReportedLoadPlacement,
    LoadReport,
    LoadShare,
    LoadShares,
    Placement,
    PolicyScheduler,
    PromptPlacement,
    Result,
    RoundRobinPlacement,
    Work,
)
from fireflyspread.routing._placement import ReplicaState
from tests.routing.virtual_time import LoopClock, run_virtual
from tools.placement_replicas import (
    Speeds,
    UnevenEngine,
    UnevenService,
    UnevenTurn,
)

__all__ = ["Scenario", "Variant", "list_variants", "simulate"]

_ZONES = "abc"
_LONG_TOKENS = 4096
_SHARED_PART = ("shared", 800)
_DEADLINE_SECONDS = 3.0


@frozen(kw_only=True)
class Scenario:
    """What is simulated.

    Attributes
    ----------
    rate : float
        Programs per second; twice as many during the third quarter.
    long_fraction : float
        Fraction of the programs that begin with a long prompt.
    is_uneven : bool
        ``Speeds`` describes it.
    """

    nodes: int
    is_uneven: bool = True
    seconds: float = 12.0
    rate: float = 30.0
    long_fraction: float = 0.15
    engines: int = 18
    services: int = 12
    seed: int = 1


MakePlacement = Callable[["Simulation", Clock, random.Random, str], Placement]


@frozen(kw_only=True)
class Variant:
    """A placement to compare.

    Attributes
    ----------
    exchange_seconds : float
        Interval at which up to 48 nodes exchange loads; 0 if they do not.
    long_priority : int
        Added to the priority of turns with a long uncached prompt.
    """

    name: str
    make: MakePlacement
    exchange_seconds: float = 0.0
    long_priority: int = 0


@define
class Results:
    """Seconds by kind: turns until the first event and the end, and calls."""

    first: dict[str, list[float]] = field(factory=lambda: {"short": [], "long": []})
    end: dict[str, list[float]] = field(
        factory=lambda: {"short": [], "long": [], "call": []}
    )
    failed: int = 0
    preemptions: int = 0
    computed_tokens: int = 0

    def add(self, other: "Results") -> None:
        """Add the results of another run."""
        for kind, values in other.first.items():
            self.first[kind] += values
        for kind, values in other.end.items():
            self.end[kind] += values
        self.failed += other.failed
        self.preemptions += other.preemptions
        self.computed_tokens += other.computed_tokens


def get_quantile(values: Sequence[float], fraction: float) -> float:
    """Return a quantile of values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


class Simulation:
    """Nodes with their schedulers, replicas and programs."""

    def __init__(self, scenario: Scenario, variant: Variant) -> None:
        self.scenario = scenario
        self.variant = variant
        self.results = Results()
        self._rng = random.Random(f"programs-{scenario.seed}")
        names = [f"e{n}" for n in range(scenario.engines)]
        calls = [f"s{n}" for n in range(scenario.services)]
        self.speeds = Speeds(
            names + calls,
            random.Random(f"speeds-{scenario.seed}"),
            is_uneven=scenario.is_uneven,
        )
        self.engines = {
            name: UnevenEngine(
                replica=_make_replica(name, n), read_slowdown=self._get_speed(name)
            )
            for n, name in enumerate(names)
        }
        self.services = {
            name: UnevenService(
                replica=_make_replica(name, n), read_slowdown=self._get_speed(name)
            )
            for n, name in enumerate(calls)
        }
        self.targets = {
            "model": _make_target("model", [e.replica for e in self.engines.values()]),
            "call": _make_target("call", [s.replica for s in self.services.values()]),
        }
        self.nodes: list[PolicyScheduler] = []
        self._shares: list[LoadShares] = []
        self._sequence = 0

    def _get_speed(self, name: str) -> Callable[[], float]:
        return lambda: self.speeds.values[name]

    async def run(self) -> Results:
        """Run the programs and return the results."""
        loop = asyncio.get_running_loop()
        clock = LoopClock(loop)
        for n in range(self.scenario.nodes):
            rng = random.Random(f"node-{self.scenario.seed}-{n}")
            zone = _ZONES[n % 3]
            scheduler = PolicyScheduler(
                clock, rng, placement=self.variant.make(self, clock, rng, zone)
            )
            scheduler.set_node_count(self.scenario.nodes)
            scheduler.set_targets(self.targets.values())
            self.nodes.append(scheduler)
            self._shares.append(LoadShares())
        background = [asyncio.create_task(self.speeds.run())]
        if self.variant.exchange_seconds:
            background += [
                asyncio.create_task(self._exchange(n)) for n in range(len(self.nodes))
            ]
        programs: list[asyncio.Task[None]] = []
        started_at = loop.time()
        while (progress := (loop.time() - started_at) / self.scenario.seconds) < 1:
            factor = 2.0 if 0.5 <= progress < 0.75 else 1.0
            await asyncio.sleep(self._rng.expovariate(factor * self.scenario.rate))
            seed = self._rng.random()
            name = f"p{len(programs)}"
            programs.append(
                asyncio.create_task(self._run_program(name, random.Random(seed)))
            )
        await asyncio.wait(programs)
        for task in background:
            task.cancel()
        for engine in self.engines.values():
            self.results.preemptions += engine.preemptions
            self.results.computed_tokens += engine.computed_tokens
        return self.results

    async def _exchange(self, number: int) -> None:
        """Exchange loads with the zone's aggregator; aggregators with each other."""
        loop = asyncio.get_running_loop()
        interval = self.variant.exchange_seconds * max(1.0, len(self.nodes) / 48)
        count = min(len(_ZONES), len(self.nodes))
        is_aggregator = number < count
        others = range(count) if is_aggregator else [number % count]
        await asyncio.sleep(interval * (number + 1) / len(self.nodes))
        while True:
            for other in others:
                if other == number:
                    continue
                own = self._sum_up(number, str(other), is_aggregator)
                await asyncio.sleep(0.001)
                self._shares[other].merge(
                    str(number), own, is_aggregator=is_aggregator, now=loop.time()
                )
                answer = self._sum_up(other, str(number), is_aggregator)
                await asyncio.sleep(0.001)
                if is_aggregator:
                    self._shares[number].merge(
                        str(other), answer, is_aggregator=True, now=loop.time()
                    )
                else:
                    self.nodes[number].record_load_shares(answer)
            if is_aggregator:
                sums = self._shares[number].sum_up(
                    {}, asker=str(number), is_aggregator=False, now=loop.time()
                )
                self.nodes[number].record_load_shares(sums)
            await asyncio.sleep(interval)

    def _sum_up(
        self, number: int, asker: str, is_aggregator: bool
    ) -> dict[str, LoadShare]:
        own = self.nodes[number].read_load_shares()
        now = asyncio.get_running_loop().time()
        return self._shares[number].sum_up(
            own, asker=asker, is_aggregator=is_aggregator, now=now
        )

    async def _run_program(self, name: str, rng: random.Random) -> None:
        is_long = rng.random() < self.scenario.long_fraction
        tokens = rng.randint(8_000, 24_000) if is_long else rng.randint(200, 1500)
        parts: tuple[tuple[str, int], ...] = (_SHARED_PART, (f"{name}-0", tokens))
        try:
            for number in range(rng.randint(3, 6)):
                if number:
                    parts += ((f"{name}-{number}", rng.randint(100, 900)),)
                await self._run_turn(name, parts, rng)
                if rng.random() < 0.6:
                    await self._run_call(name, rng)
        except FireflyError:
            self.results.failed += 1

    def _make_work(self, program: str, **fields: object) -> Work:
        self._sequence += 1
        work = Work(
            request=f"{program}-{self._sequence}",
            team="t",
            weight=1.0,
            program=program,
            fingerprint=f"{program}-{self._sequence}",
            cost=1.0,
            deadline=asyncio.get_running_loop().time() + _DEADLINE_SECONDS,
        )
        return evolve(work, **fields)  # type: ignore[arg-type]

    async def _run_turn(
        self, program: str, parts: tuple[tuple[str, int], ...], rng: random.Random
    ) -> None:
        loop = asyncio.get_running_loop()
        node, output_tokens = rng.randrange(len(self.nodes)), rng.randint(50, 100)
        started_at = loop.time()
        prompt = sum(tokens for _, tokens in parts)
        work = self._make_work(
            program,
            parts=parts,
            cost=float(output_tokens),
            held_tokens=prompt + 120,
        )
        ticket = await self.nodes[node].acquire(work, self.targets["model"])
        engine = self.engines[ticket.replica.name]
        is_long = parts[-1][1] >= _LONG_TOKENS
        turn = UnevenTurn(
            parts=parts,
            output_tokens=output_tokens,
            priority=5 + self.variant.long_priority * is_long,
            first=loop.create_future(),
            done=loop.create_future(),
        )
        await asyncio.sleep(0.001)
        engine.submit(turn)
        await turn.first
        kind = "long" if is_long else "short"
        self.results.first[kind].append(loop.time() - started_at)
        self._report(node, ticket.replica.name, engine)
        self.nodes[node].record_begin(ticket)
        await turn.done
        self.results.end[kind].append(loop.time() - started_at)
        self.nodes[node].release(ticket, Result.ANSWERED)

    async def _run_call(self, program: str, rng: random.Random) -> None:
        loop = asyncio.get_running_loop()
        node, started_at = rng.randrange(len(self.nodes)), loop.time()
        work = self._make_work(program)
        ticket = await self.nodes[node].acquire(work, self.targets["call"])
        service = self.services[ticket.replica.name]
        await asyncio.sleep(0.001)
        await service.serve(rng.uniform(0.014, 0.21))
        self._report(node, ticket.replica.name, service)
        self.results.end["call"].append(loop.time() - started_at)
        self.nodes[node].release(ticket, Result.ANSWERED)

    def _report(
        self, node: int, name: str, replica: UnevenEngine | UnevenService
    ) -> None:
        running, waiting = replica.read_load()
        report = LoadReport(
            running=running,
            waiting=waiting,
            cache_used=0,
            cache_capacity=0,
            received_at=asyncio.get_running_loop().time(),
            slowdown=replica.read_slowdown(),
            has_slowdown=True,
        )
        self.nodes[node].report_load(name, report)


class CompleteKnowledgePlacement(Placement):
    """Knows speed, requests, caches and prompts of all replicas at this moment."""

    def __init__(self, simulation: Simulation) -> None:
        self._simulation = simulation
        self._sent: dict[str, list[float]] = {}

    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        now = asyncio.get_running_loop().time()
        best = self._find_best(work, free, now)
        self._sent.setdefault(best.replica.name, []).append(now)
        return best

    def explain(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> Choice:
        now = asyncio.get_running_loop().time()
        return Choice(
            replica=self._find_best(work, free, now),
            rule="the lowest completion by complete knowledge",
        )

    def _find_best(
        self, work: Work, free: Sequence[ReplicaState], now: float
    ) -> ReplicaState:
        return min(free, key=lambda s: (self._estimate(work, s, now), s.replica.name))

    def _estimate(self, work: Work, state: ReplicaState, now: float) -> float:
        name = state.replica.name
        # Requests on their way, which the replica does not count yet.
        sent = [at for at in self._sent.get(name, ()) if now - at < 0.001]
        self._sent[name] = sent
        if name in self._simulation.services:
            service = self._simulation.services[name]
            load = service.count + len(sent)
            wait = max(0, load - service.slots + 1) / service.slots
            return (1 + wait) * service.read_slowdown()
        engine = self._simulation.engines[name]
        load = sum(engine.read_load()) + len(sent)
        uncached = engine.cache.count_uncached(work.parts)
        backlog = sum(turn.uncached for turn in engine.running)
        prefill = (uncached + backlog) / engine.prefill_rate
        running = min(load, engine.slots)
        answer = work.cost * engine.step_seconds * (1 + 2 * engine.crowding * running)
        wait = max(0, load - engine.slots + 1) * 0.25 / engine.slots
        delay = 0.5 * uncached / engine.prefill_rate * running
        if engine.held_tokens + work.held_tokens > engine.capacity_tokens:
            delay += 1.0
        return (wait + prefill + answer + delay) * engine.read_slowdown()


def _make_replica(name: str, number: int) -> Replica:
    zone = _ZONES[number % 3]
    return Replica(name=name, url=f"http://10.0.0.1:{number}", zone=zone, vm=name)


def _make_target(name: str, replicas: list[Replica]) -> Target:
    return Target(
        name=name,
        kind=TargetKind.SERVICE,
        half="h",
        concurrency=6,
        replicas=tuple(replicas),
    )


def _make_round_robin(
    simulation: Simulation, clock: Clock, rng: random.Random, zone: str
) -> RoundRobinPlacement:
    placement = RoundRobinPlacement()
    # Nodes that all began with the same replica would send to it together.
    placement._last = f"e{rng.randrange(simulation.scenario.engines)}"
    return placement


def _make_prompt(
    simulation: Simulation, clock: Clock, rng: random.Random, zone: str
) -> PromptPlacement:
    placement = PromptPlacement(rng, zone=zone)
    placement.set_cache_tokens(77_276)
    return placement


def make_completion(**options: object) -> MakePlacement:
    """Return a function that makes the new placement with options."""

    def make(
        simulation: Simulation, clock: Clock, rng: random.Random, zone: str
    ) -> CompletionPlacement:
        base = PromptPlacement(rng, zone=zone)
        placement = CompletionPlacement(
            base,
            clock,
            rng,
            zone=zone,
            **options,  # type: ignore[arg-type]
        )
        placement.set_cache_tokens(77_276)
        return placement

    return make


def list_variants() -> list[Variant]:
    """Return the placements of the comparison."""
    return [
        Variant(name="round robin", make=_make_round_robin),
        Variant(name="least load", make=lambda *_: LeastReportedLoadPlacement()),
        Variant(name="prompt parts (today)", make=_make_prompt),
        Variant(name="completion, alone", make=make_completion()),
        Variant(
            name="completion",
            make=make_completion(),
            exchange_seconds=0.05,
        ),
        Variant(
            name="complete knowledge",
            make=lambda simulation, *_: CompleteKnowledgePlacement(simulation),
        ),
    ]


def simulate(scenario: Scenario, variant: Variant) -> Results:
    """Return the results of one placement."""
    return run_virtual(Simulation(scenario, variant).run())


def main() -> None:
    """Print the tables."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--nodes", type=int, nargs="+", default=[10, 30, 100])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--even", action="store_true", help="constant speeds")
    args = parser.parse_args()
    for nodes in args.nodes:
        print(f"{nodes} nodes: ms at p50/p95/p99")
        for variant in list_variants():
            results = Results()
            for seed in range(args.seeds):
                scenario = Scenario(
                    nodes=nodes,
                    is_uneven=not args.even,
                    seconds=args.seconds,
                    rate=args.rate,
                    seed=seed,
                )
                results.add(simulate(scenario, variant))
            print(describe(variant.name, results))


def describe(name: str, results: Results) -> str:
    """Return one row of the table."""
    columns = [
        results.first["short"],
        results.first["long"],
        results.end["short"],
        results.end["long"],
        results.end["call"],
    ]
    cells = [
        "/".join(f"{1000 * get_quantile(c, q):.0f}" for q in (0.5, 0.95, 0.99))
        for c in columns
    ]
    cells += [
        str(results.failed),
        str(results.preemptions),
        f"{results.computed_tokens / 1e6:.1f}",
    ]
    return f"| {name:24} | " + " | ".join(f"{cell:>13}" for cell in cells) + " |"


if __name__ == "__main__":
    main()
