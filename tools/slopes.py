"""Measures how memory, CPU time and message sizes grow, for docs/CAPACITY.md.

Each slope is that of a least-squares line through several sizes, with its standard
error. Run with ``make slopes``.
"""

import argparse
import asyncio
import gc
import random
import statistics
import time
import tracemalloc
from collections.abc import Callable

import msgspec
from attrs import frozen

from fireflyspread.bundle import ActiveBundle, Bundle, Team, hash_key
from fireflyspread.clock import ManualClock
from fireflyspread.limits import ShareLimiter, TokenGrant, TokenPeers
from fireflyspread.nodes import Hello, encode_message, find_neighbours
from fireflyspread.programs import IntentTable, Program, ProgramTable
from fireflyspread.recovery import (
    SLOT_COUNT,
    IntentDeclared,
    Member,
    MembersDocument,
    OutcomeRecorded,
    ProgramOpened,
    SlotRow,
    TurnRecorded,
    encode_records,
    find_slot,
)

__all__ = ["main"]

_REPEATS = 5


@frozen
class Slope:
    """Line ``intercept + slope * x`` with the standard error of the slope."""

    intercept: float
    slope: float
    standard_error: float

    @classmethod
    def from_points(cls, points: list[tuple[float, float]]) -> "Slope":
        """Fit a line by least squares."""
        xs, ys = [x for x, _ in points], [y for _, y in points]
        fit = statistics.linear_regression(xs, ys)
        mean = statistics.fmean(xs)
        x_squares = sum((x - mean) ** 2 for x in xs)
        residuals = sum((y - fit.intercept - fit.slope * x) ** 2 for x, y in points)
        standard_error = (residuals / max(1, len(points) - 2) / x_squares) ** 0.5
        return cls(fit.intercept, fit.slope, standard_error)


def _measure_cpu(work: Callable[[], object]) -> float:
    """Return the minimum CPU time of several runs in seconds."""
    min_seconds = float("inf")
    for _ in range(_REPEATS):
        start = time.process_time()
        work()
        min_seconds = min(min_seconds, time.process_time() - start)
    return min_seconds


def _measure_memory(work: Callable[[], object]) -> float:
    """Return the bytes of memory that the result of ``work`` occupies."""
    gc.collect()
    tracemalloc.start()
    result = work()
    gc.collect()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del result
    return float(used)


def _make_bundle(teams: int) -> Bundle:
    return Bundle.from_config(
        {
            "teams": [
                {"name": f"team-{i}", "rate": 20, "burst": 40} for i in range(teams)
            ],
            "keys": [
                {"digest": hash_key(f"key-{i}"), "team": f"team-{i}"}
                for i in range(teams)
            ],
            "targets": [],
            "routes": [],
        }
    )


def _open_programs(count: int, turns: int) -> ProgramTable:
    table = ProgramTable(ManualClock(), max_programs=count)
    for number in range(count):
        subject = f"p-{number:024x}"
        opened = ProgramOpened(
            slot=find_slot(subject),
            subject=subject,
            team=f"team-{number % 100}",
            budget=200_000,
            reserved=2048,
            opened_at=0.0,
        )
        table.apply(opened)
        program = table.get(subject)
        assert program is not None
        for _ in range(turns):
            table.apply(_make_turn(program, 3072))
    return table


def _make_turn(program: Program, size: int) -> TurnRecorded:
    number = len(program.turns) + 1
    text = f"{number:08d}" * (size // 8)
    added = msgspec.json.encode([{"role": "user", "content": text}])
    return TurnRecorded(
        slot=program.slot,
        subject=program.id,
        turn=number,
        request_digest="0" * 64,
        added=added,
        answer=b'{"prompt_tokens":100000,"completion_tokens":500}',
        spent=770,
        reserved=2048,
        chain=program.history.preview(added),
        context_tokens=number * 770,
    )


def _make_document(nodes: int) -> MembersDocument:
    members = tuple(
        Member(
            name=f"entry-{i:03d}",
            incarnation=f"{i:032x}",
            zone="a",
            vm=f"vm-{i:03d}",
            internal="10.100.100.100:8100",
            peers="10.100.100.100:8200",
            monitor=f"entry-{i + 1:03d}",
            lease=2**60,
        )
        for i in range(nodes)
    )
    rows = tuple(SlotRow(owner=members[i % nodes].name) for i in range(SLOT_COUNT))
    return MembersDocument(epoch=1, write_id="0" * 32, members=members, slots=rows)


class _NoPeers(TokenPeers):
    async def acquire(
        self, member: str, team: str, amount: float, epoch: int
    ) -> TokenGrant:
        return TokenGrant(0.0)


def _make_limiter(nodes: int, teams: int) -> ShareLimiter:
    limiter = ShareLimiter(
        "entry-0",
        _NoPeers(),
        clock=ManualClock(),
        rng=random.Random(1),
        check_authority=lambda: None,
    )
    team_limits = {f"t{i}": Team(name=f"t{i}", rate=20, burst=40) for i in range(teams)}
    limiter.set_teams(team_limits)
    limiter.set_members(1, [f"entry-{i}" for i in range(nodes)])

    async def use_all_teams() -> None:
        for team in team_limits.values():
            limiter.grant(team.name, 1.0, 1, requester="x")

    asyncio.run(use_all_teams())
    return limiter


def _fit(sizes: list[int], measure: Callable[[int], float]) -> Slope:
    return Slope.from_points([(float(size), measure(size)) for size in sizes])


def _measure_bundles() -> list[tuple[str, str, Slope]]:
    teams = [500, 1000, 2000, 4000]
    encoded = {count: _make_bundle(count).to_json() for count in teams}
    return [
        (
            "bundle, canonical JSON",
            "bytes a team",
            _fit(teams, lambda n: len(encoded[n])),
        ),
        (
            "bundle, parse and check",
            "CPU s a team",
            _fit(teams, lambda n: _measure_cpu(lambda: Bundle.from_json(encoded[n]))),
        ),
        (
            "bundle in force, memory",
            "bytes a team",
            _fit(
                teams,
                lambda n: _measure_memory(
                    lambda: _build_indexes(
                        ActiveBundle(version=1, bundle=_make_bundle(n))
                    )
                ),
            ),
        ),
        (
            "rate bucket in use, memory (4 nodes)",
            "bytes a team",
            _fit(teams, lambda n: _measure_memory(lambda: _make_limiter(4, n))),
        ),
    ]


def _measure_nodes() -> list[tuple[str, str, Slope]]:
    nodes = [4, 20, 100, 350]
    encoded = {n: msgspec.json.encode(_make_document(n)) for n in nodes}
    names = {n: [f"entry-{i:03d}" for i in range(n)] for n in nodes}
    hello = len(encode_message(Hello(node="entry-000", epoch=1, bundle_version=1)))
    return [
        (
            "members document, JSON",
            "bytes a node",
            _fit(nodes, lambda n: len(encoded[n])),
        ),
        (
            "members document, decode",
            "CPU s a node",
            _fit(
                nodes,
                lambda n: _measure_cpu(
                    lambda: msgspec.json.decode(encoded[n], type=MembersDocument)
                ),
            ),
        ),
        (
            "Hello messages in one interval, request and answer",
            "bytes a node",
            _fit(
                nodes,
                lambda n: 2.0 * hello * len(find_neighbours(names[n], names[n][0])),
            ),
        ),
        (
            "change of members in the limiter (1000 teams)",
            "CPU s a node",
            _fit(nodes, lambda n: _measure_member_change(n, 1000)),
        ),
    ]


def _measure_programs() -> list[tuple[str, str, Slope]]:
    return [
        (
            "open program without turns, memory",
            "bytes a program",
            _fit(
                [100, 200, 400],
                lambda n: _measure_memory(lambda: _open_programs(n, 0)),
            ),
        ),
        (
            "turn of 3 KiB, memory",
            "bytes a turn",
            _fit(
                [1, 4, 16],
                lambda n: _measure_memory(lambda: _open_programs(50, n)) / 50,
            ),
        ),
        (
            "turn record of 3 KiB, encoded",
            "bytes a record",
            _fit([1, 10, 100], lambda n: float(len(_encode_turns(n)))),
        ),
        (
            "intent with outcome, memory",
            "bytes an intent",
            _fit(
                [500, 1000, 2000], lambda n: _measure_memory(lambda: _make_intents(n))
            ),
        ),
    ]


def _build_indexes(active: ActiveBundle) -> ActiveBundle:
    assert active.teams is not None and active.keys is not None
    return active


def _make_intents(count: int) -> IntentTable:
    table = IntentTable(ManualClock())
    for number in range(count):
        declared = table.begin(f"team/key-{number:032x}", "0" * 64, "charges")
        assert isinstance(declared, IntentDeclared)
        table.apply(
            OutcomeRecorded(
                slot=declared.slot,
                subject=declared.subject,
                status=200,
                content_type="application/json",
                body=bytes(200),
                recorded_at=0.0,
            )
        )
    return table


def _encode_turns(count: int) -> bytes:
    table = _open_programs(1, 0)
    program = next(iter(table))
    return encode_records(tuple(_make_turn(program, 3072) for _ in range(count)))


def _measure_member_change(nodes: int, teams: int) -> float:
    limiter = _make_limiter(4, teams)
    names = [f"entry-{i}" for i in range(nodes)]
    epochs = iter(range(2, 2 + _REPEATS))
    return _measure_cpu(lambda: limiter.set_members(next(epochs), names))


def main() -> None:
    """Print the slopes as Markdown."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.parse_args()
    print("Command: `make slopes` (sizes and data are fixed, no random input)\n")
    print("| what | unit | at size 0 | slope | standard error |")
    print("|---|---|---|---|---|")
    for name, unit, slope in (
        *_measure_bundles(),
        *_measure_nodes(),
        *_measure_programs(),
    ):
        print(
            f"| {name} | {unit} | {slope.intercept:.4g} | {slope.slope:.4g} "
            f"| {slope.standard_error:.2g} |"
        )


if __name__ == "__main__":
    main()
