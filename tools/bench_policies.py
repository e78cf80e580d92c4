"""Compares scheduling policies in simulated time; prints a table in Markdown.

Four nodes with one policy serve the programs of a deployment. One team sends eight
times its usual load in the middle half of the time; one model replica is five times
slower for a while, another one crashes, and a few requests crash every replica that
runs them. The first row is the whole policy; the others replace it by a baseline or
switch off one part.
"""

import argparse
import math
import random
import statistics
import time
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor

from attrs import frozen

from fireflyspread.clock import Clock
from fireflyspread.routing import (
    FairQueue,
    FifoQueue,
    LeastReportedLoadPlacement,
    Placement,
    PolicyScheduler,
    PrefixAwarePlacement,
    Quarantine,
    Queue,
    ReplicaHealth,
    RetryBudget,
    RoundRobinPlacement,
)
from tests.routing.virtual_time import run_virtual
from tools.policy_results import Results
from tools.policy_simulation import Policy, Simulation
from tools.policy_workload import DEPLOYMENTS

__all__ = ["main", "make_policies"]


@frozen(kw_only=True)
class _Parts:
    """The parts of a scheduler; the defaults are the whole policy."""

    queue: Callable[[], Queue] = FairQueue
    placement: Callable[[random.Random, str], Placement] = lambda rng, zone: (
        PrefixAwarePlacement(rng, zone=zone)
    )
    max_ejected: float = 0.5
    slow_factor: float = 3.0
    quarantine_ttl: float = 600.0
    retry_fraction: float = 0.1
    refuses_late: bool = True

    def make(self, clock: Clock, rng: random.Random, zone: str) -> PolicyScheduler:
        """Return a scheduler of these parts."""
        return PolicyScheduler(
            clock,
            rng,
            queue_factory=self.queue,
            placement=self.placement(rng, zone),
            quarantine=Quarantine(clock, ttl=self.quarantine_ttl),
            retries=RetryBudget(fraction=self.retry_fraction),
            health_factory=lambda clock: ReplicaHealth(
                clock,
                max_ejected_fraction=self.max_ejected,
                slow_factor=self.slow_factor,
            ),
            refuses_early=self.refuses_late,
        )


def _make_baseline(placement: Callable[[], Placement]) -> _Parts:
    return _Parts(
        queue=FifoQueue,
        placement=lambda rng, zone: placement(),
        max_ejected=0.0,
        quarantine_ttl=0.0,
        refuses_late=False,
    )


def _ignore_prefix(rng: random.Random, zone: str) -> Placement:
    return PrefixAwarePlacement(rng, zone=zone, uses_holder=False)


def make_policies() -> list[Policy]:
    """Return the rows of the table."""
    rows: list[tuple[str, _Parts, bool]] = [
        ("whole policy", _Parts(), False),
        ("round robin, FIFO", _make_baseline(RoundRobinPlacement), False),
        (
            "least reported load, FIFO",
            _make_baseline(LeastReportedLoadPlacement),
            False,
        ),
        ("without fair queue", _Parts(queue=FifoQueue), False),
        (
            "without interactive first",
            _Parts(queue=lambda: FairQueue(interactive_lead=0.0)),
            False,
        ),
        (
            "with least attained",
            _Parts(queue=lambda: FairQueue(max_attained_delay=5.0)),
            False,
        ),
        (
            "without prefix",
            _Parts(placement=_ignore_prefix),
            False,
        ),
        ("without ejection", _Parts(max_ejected=0.0), False),
        ("without quarantine", _Parts(quarantine_ttl=0.0), False),
        ("without early refusal", _Parts(refuses_late=False), False),
        ("without retry budget", _Parts(retry_fraction=1e9), False),
        ("with session release under pressure", _Parts(), True),
        ("without ejection of slow", _Parts(slow_factor=1e9), False),
    ]
    return [
        Policy(name=name, make_scheduler=parts.make, uses_keeper=uses_keeper)
        for name, parts, uses_keeper in rows
    ]


@frozen
class _Row:
    median: float
    p95: float
    interactive: float
    wasted: float
    worst_slowdown: float
    worst_team: str
    worst_share: float
    refused: float
    failed: int
    crashes: int


def _run(deployment: str, row: int, seed: int, seconds: float) -> _Row:
    policy = make_policies()[row]
    simulation = Simulation(DEPLOYMENTS[deployment], policy, seed, seconds)
    return _summarise(deployment, run_virtual(simulation.run()))


def _summarise(deployment: str, results: Results) -> _Row:
    flood = DEPLOYMENTS[deployment].flood
    others = {n: t for n, t in results.teams.items() if n != flood}
    everyone = results.teams.values()
    latencies = [x for team in everyone for x in team.latencies]
    interactive = [x for team in everyone for x in team.interactive]
    slowdowns = {n: _quantile(t.slowdowns, 0.95) for n, t in others.items()}
    worst = max(slowdowns, key=lambda name: slowdowns[name])
    inside = sum(team.inside for team in everyone)
    refused = sum(team.refused_inside for team in everyone)
    return _Row(
        _quantile(latencies, 0.5),
        _quantile(latencies, 0.95),
        _quantile(interactive, 0.95),
        results.recomputed / max(1, results.prefix),
        slowdowns[worst],
        worst,
        min(team.served / max(1.0, team.offered) for team in others.values()),
        refused / max(1, inside),
        sum(team.failed for team in everyone),
        results.crashes,
    )


def _quantile(values: Sequence[float], part: float) -> float:
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))]


def _compare(values: Sequence[float], whole: Sequence[float]) -> str:
    """Return the mean ratio over the seeds with its standard error."""
    logs = [math.log(a / b) for a, b in zip(values, whole, strict=True)]
    mean = math.exp(statistics.fmean(logs))
    if len(logs) < 2:
        return f"{mean:.2f}"
    error = statistics.stdev(logs) / math.sqrt(len(logs))
    return f"{mean:.2f} ± {mean * error:.2f}"


def _format(name: str, rows: Sequence[_Row], whole: Sequence[_Row]) -> str:
    def mean(values: Sequence[float]) -> float:
        return statistics.fmean(values)

    worst = max(rows, key=lambda row: row.worst_slowdown)
    cells = [
        name,
        f"{mean([r.median for r in rows]):.2f}",
        f"{mean([r.p95 for r in rows]):.1f}",
        _compare([r.p95 for r in rows], [r.p95 for r in whole]),
        f"{mean([r.interactive for r in rows]):.2f}",
        f"{100 * mean([r.wasted for r in rows]):.1f}",
        f"{mean([r.worst_slowdown for r in rows]):.2f} ({worst.worst_team})",
        _compare([r.worst_slowdown for r in rows], [r.worst_slowdown for r in whole]),
        f"{mean([r.worst_share for r in rows]):.3f}",
        f"{100 * mean([r.refused for r in rows]):.2f}",
        f"{mean([r.failed for r in rows]):.1f}",
        f"{mean([r.crashes for r in rows]):.1f}",
    ]
    return "| " + " | ".join(cells) + " |"


_HEADER = (
    "| policy | median (s) | p95 (s) | p95 to whole | interactive p95 (s) "
    "| wasted cache (%) "
    "| worst team: p95 slowdown | the same to whole | worst team: served/asked "
    "| wrongly refused (%) | failed programs | crashes |"
)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), action="append")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=3, help="seeds from --seed on")
    parser.add_argument("--seconds", type=float, default=400.0)
    parser.add_argument("--rows", type=int, nargs="*", help="numbers of policies")
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args(arguments)
    policies = make_policies()
    rows = options.rows or list(range(len(policies)))
    begun = time.monotonic()
    with ProcessPoolExecutor(options.processes) as pool:
        for deployment in options.deployment or sorted(DEPLOYMENTS, reverse=True):
            jobs = {
                row: [
                    pool.submit(_run, deployment, row, seed, options.seconds)
                    for seed in range(options.seed, options.seed + options.runs)
                ]
                for row in rows
            }
            print(f"\n### {deployment}\n\n{_HEADER}\n|" + "---|" * 12)
            whole: list[_Row] = []
            for row, futures in jobs.items():
                results = [future.result() for future in futures]
                whole = whole or results
                print(_format(policies[row].name, results, whole), flush=True)
    print(f"\nWall time {time.monotonic() - begun:.0f} s.")


if __name__ == "__main__":
    main()
