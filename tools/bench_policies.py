"""Compares scheduling policies in simulated time; prints a table in Markdown.

Four nodes with one policy serve the programs of a deployment. In the middle half of the
run, one team sends eight times its normal load. One model replica is five times slower
for 35 % of the run, another one crashes, and a few requests crash every replica that
runs them. The first row is the whole policy; the others replace it with a baseline or
change one part of it.
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
class _SchedulerOptions:
    """Options of a scheduler; the defaults are the whole policy."""

    queue: Callable[[], Queue] = FairQueue
    placement: Callable[[random.Random, str], Placement] = lambda rng, zone: (
        PrefixAwarePlacement(rng, zone=zone)
    )
    max_ejected_fraction: float = 0.5
    slow_factor: float = 3.0
    quarantine_ttl: float = 600.0
    retry_fraction: float = 0.1
    refuses_early: bool = True

    def make(self, clock: Clock, rng: random.Random, zone: str) -> PolicyScheduler:
        """Return a scheduler with these options."""
        return PolicyScheduler(
            clock,
            rng,
            queue_factory=self.queue,
            placement=self.placement(rng, zone),
            quarantine=Quarantine(clock, ttl=self.quarantine_ttl),
            retries=RetryBudget(fraction=self.retry_fraction),
            health_factory=lambda clock: ReplicaHealth(
                clock,
                max_ejected_fraction=self.max_ejected_fraction,
                slow_factor=self.slow_factor,
            ),
            refuses_early=self.refuses_early,
        )


def _make_baseline(placement: Callable[[], Placement]) -> _SchedulerOptions:
    return _SchedulerOptions(
        queue=FifoQueue,
        placement=lambda rng, zone: placement(),
        max_ejected_fraction=0.0,
        quarantine_ttl=0.0,
        refuses_early=False,
    )


def _ignore_prefix(rng: random.Random, zone: str) -> Placement:
    return PrefixAwarePlacement(rng, zone=zone, uses_holder=False)


def make_policies() -> list[Policy]:
    """Return the rows of the table."""
    rows: list[tuple[str, _SchedulerOptions, bool]] = [
        ("whole policy", _SchedulerOptions(), False),
        ("round robin, FIFO", _make_baseline(RoundRobinPlacement), False),
        (
            "least reported load, FIFO",
            _make_baseline(LeastReportedLoadPlacement),
            False,
        ),
        ("without fair queue", _SchedulerOptions(queue=FifoQueue), False),
        (
            "without priority of interactive requests",
            _SchedulerOptions(queue=lambda: FairQueue(interactive_lead=0.0)),
            False,
        ),
        (
            "with least attained service first",
            _SchedulerOptions(queue=lambda: FairQueue(max_attained_delay=5.0)),
            False,
        ),
        (
            "without placement by prefix",
            _SchedulerOptions(placement=_ignore_prefix),
            False,
        ),
        ("without ejection", _SchedulerOptions(max_ejected_fraction=0.0), False),
        ("without quarantine", _SchedulerOptions(quarantine_ttl=0.0), False),
        ("without early refusal", _SchedulerOptions(refuses_early=False), False),
        ("without retry budget", _SchedulerOptions(retry_fraction=1e9), False),
        ("with session release under pressure", _SchedulerOptions(), True),
        (
            "without ejection of slow replicas",
            _SchedulerOptions(slow_factor=1e9),
            False,
        ),
    ]
    return [
        Policy(
            name=name, make_scheduler=options.make, releases_sessions=releases_sessions
        )
        for name, options, releases_sessions in rows
    ]


@frozen
class _Row:
    """Results of one run; times in seconds, the other floats as ratios."""

    median_latency: float
    p95_latency: float
    p95_interactive_latency: float
    recomputed_fraction: float
    worst_slowdown: float
    worst_team: str
    min_served_fraction: float
    refused_fraction: float
    failed: int
    crashes: int


def _run(deployment: str, row: int, seed: int, seconds: float) -> _Row:
    policy = make_policies()[row]
    simulation = Simulation(DEPLOYMENTS[deployment], policy, seed, seconds)
    return _summarise(deployment, run_virtual(simulation.run()))


def _summarise(deployment: str, results: Results) -> _Row:
    flooding_team = DEPLOYMENTS[deployment].flooding_team
    others = {n: t for n, t in results.teams.items() if n != flooding_team}
    all_teams = results.teams.values()
    latencies = [x for team in all_teams for x in team.latencies]
    interactive = [x for team in all_teams for x in team.interactive_latencies]
    slowdowns = {n: _compute_quantile(t.slowdowns, 0.95) for n, t in others.items()}
    worst = max(slowdowns, key=lambda name: slowdowns[name])
    within_rate = sum(team.requests_within_rate for team in all_teams)
    refused = sum(team.refused_within_rate for team in all_teams)
    return _Row(
        _compute_quantile(latencies, 0.5),
        _compute_quantile(latencies, 0.95),
        _compute_quantile(interactive, 0.95),
        results.recomputed_tokens / max(1, results.prefix_tokens),
        slowdowns[worst],
        worst,
        min(
            team.served_tokens / max(1.0, team.offered_tokens)
            for team in others.values()
        ),
        refused / max(1, within_rate),
        sum(team.failed for team in all_teams),
        results.crashes,
    )


def _compute_quantile(values: Sequence[float], fraction: float) -> float:
    ordered = sorted(values) or [0.0]
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]


def _compare(values: Sequence[float], whole: Sequence[float]) -> str:
    """Return the geometric mean ratio over the seeds and its standard error."""
    log_ratios = [math.log(a / b) for a, b in zip(values, whole, strict=True)]
    mean = math.exp(statistics.fmean(log_ratios))
    if len(log_ratios) < 2:
        return f"{mean:.2f}"
    standard_error = statistics.stdev(log_ratios) / math.sqrt(len(log_ratios))
    return f"{mean:.2f} ± {mean * standard_error:.2f}"


def _format(name: str, rows: Sequence[_Row], whole: Sequence[_Row]) -> str:
    def mean(values: Sequence[float]) -> float:
        return statistics.fmean(values)

    worst = max(rows, key=lambda row: row.worst_slowdown)
    cells = [
        name,
        f"{mean([r.median_latency for r in rows]):.2f}",
        f"{mean([r.p95_latency for r in rows]):.1f}",
        _compare([r.p95_latency for r in rows], [r.p95_latency for r in whole]),
        f"{mean([r.p95_interactive_latency for r in rows]):.2f}",
        f"{100 * mean([r.recomputed_fraction for r in rows]):.1f}",
        f"{mean([r.worst_slowdown for r in rows]):.2f} ({worst.worst_team})",
        _compare([r.worst_slowdown for r in rows], [r.worst_slowdown for r in whole]),
        f"{mean([r.min_served_fraction for r in rows]):.3f}",
        f"{100 * mean([r.refused_fraction for r in rows]):.2f}",
        f"{mean([r.failed for r in rows]):.1f}",
        f"{mean([r.crashes for r in rows]):.1f}",
    ]
    return "| " + " | ".join(cells) + " |"


_HEADER = (
    "| policy | median (s) | p95 (s) | p95 relative to whole policy "
    "| interactive p95 (s) | recomputed prefix (%) "
    "| worst team: p95 slowdown | slowdown relative to whole policy "
    "| worst team: served/offered tokens "
    "| wrongly refused (%) | failed programs | crashes |"
)


def main(arguments: Sequence[str] | None = None) -> None:
    """Run the comparison."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), action="append")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--runs", type=int, default=3, help="number of seeds, from --seed on"
    )
    parser.add_argument("--seconds", type=float, default=400.0)
    parser.add_argument(
        "--rows", type=int, nargs="*", help="indices of policies, from 0 on"
    )
    parser.add_argument("--processes", type=int, default=4)
    options = parser.parse_args(arguments)
    policies = make_policies()
    rows = options.rows or list(range(len(policies)))
    started_at = time.monotonic()
    with ProcessPoolExecutor(options.processes) as pool:
        for deployment in options.deployment or sorted(DEPLOYMENTS, reverse=True):
            futures_by_row = {
                row: [
                    pool.submit(_run, deployment, row, seed, options.seconds)
                    for seed in range(options.seed, options.seed + options.runs)
                ]
                for row in rows
            }
            print(f"\n### {deployment}\n\n{_HEADER}\n|" + "---|" * 12)
            whole: list[_Row] = []
            for row, futures in futures_by_row.items():
                results = [future.result() for future in futures]
                whole = whole or results
                print(_format(policies[row].name, results, whole), flush=True)
    print(f"\nWall time {time.monotonic() - started_at:.0f} s.")


if __name__ == "__main__":
    main()
