"""Runs planned programs against the caller API and checks every answer."""

import asyncio
import hashlib
import random
import time
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from attrs import define, field
from hdrh.histogram import HdrHistogram

from standins._answers import verify_answer
from tools.client import CallerClient, CallError, RateChecker
from tools.workload import Call, ChildProgram, Pause, Plan, Step, Turn, compute_budget

__all__ = ["ProgramRunner", "Stats", "run_closed", "run_open"]

_MICROSECONDS = 1_000_000
_MAX_DURATION_MICROSECONDS = 3600 * _MICROSECONDS


def _make_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_DURATION_MICROSECONDS, 3)


@define
class Stats:
    """Results of a run; durations are recorded in microseconds."""

    histograms: dict[str, HdrHistogram] = field(factory=dict)
    counts: Counter[str] = field(factory=Counter)
    failures: Counter[str] = field(factory=Counter)
    failed: list[str] = field(factory=list)
    mismatches: list[str] = field(factory=list)
    teams: dict[str, HdrHistogram] = field(factory=dict)
    tokens: Counter[str] = field(factory=Counter)

    def record(self, name: str, seconds: float) -> None:
        """Add a duration."""
        _record(self.histograms, name, seconds)

    def record_team(self, team: str, seconds: float) -> None:
        """Add the duration of a program without its pauses, divided by its steps."""
        _record(self.teams, team, seconds)


def _record(table: dict[str, HdrHistogram], name: str, seconds: float) -> None:
    histogram = table.setdefault(name, _make_histogram())
    histogram.record_value(
        max(1, min(_MAX_DURATION_MICROSECONDS, int(seconds * _MICROSECONDS)))
    )


class ProgramRunner:
    """Runs programs as callers of their teams do.

    Parameters
    ----------
    nodes : list of str
        Base URLs of the nodes.
    keys : dict of str to str
        Key of each team.
    bundle : dict
        Active bundle, for the rate limits of the teams.
    time_scale : float
        Factor by which the pauses are multiplied.
    timeout : float
        Seconds that a request may take, with all its retries.
    seed : int
        Seed of the retries' jitter.
    """

    def __init__(
        self,
        nodes: list[str],
        keys: dict[str, str],
        bundle: dict[str, Any],
        *,
        time_scale: float = 1.0,
        timeout: float = 60.0,
        seed: int = 0,
    ) -> None:
        self.stats = Stats()
        self.rate_checkers = {
            team["name"]: RateChecker(team["rate"], team["burst"])
            for team in bundle["teams"]
        }
        # One client for each team and node, as a load balancer spreads connections.
        self._clients = {
            team: [
                CallerClient(
                    nodes[start:] + nodes[:start],
                    key,
                    timeout=timeout,
                    rng=random.Random(f"{seed}/{team}/{start}"),
                    rate_checker=self.rate_checkers.get(team),
                )
                for start in range(len(nodes))
            ]
            for team, key in keys.items()
        }
        self._time_scale = time_scale

    async def __aenter__(self) -> "ProgramRunner":
        for client in self._list_clients():
            await client.__aenter__()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for client in self._list_clients():
            await client.__aexit__(*exc)

    @property
    def retries(self) -> Counter[str]:
        """Refusals and failures that allow a retry, by code."""
        total: Counter[str] = Counter()
        for client in self._list_clients():
            total.update(client.retries)
        return total

    @property
    def wrong_refusals(self) -> dict[str, int]:
        """Requests refused although they were within the rate limit, by team."""
        return {t: c.wrong_refusals for t, c in self.rate_checkers.items()}

    async def run(self, plan: Plan, *, started_at: float | None = None) -> bool:
        """Run one program and return whether it finished correctly."""
        started_at = time.monotonic() if started_at is None else started_at
        clients = self._clients[plan.team]
        client = clients[plan.index % len(clients)]
        stats = self.stats
        try:
            if plan.budget:
                program = await client.open_program(plan.budget)
                await self._run_steps(client, program, plan.steps)
                await client.end_program(program)
            else:
                await self._run_steps(client, None, plan.steps)
        except CallError as exc:
            stats.counts["programs failed"] += 1
            stats.failures[f"{plan.shape}: {exc.code} ({exc.outcome})"] += 1
            stats.failed.append(f"{plan.index} {plan.shape}: {exc}")
            return False
        seconds = time.monotonic() - started_at
        stats.counts["programs finished"] += 1
        stats.record("program", seconds)
        stats.record(f"program {plan.shape}", seconds)
        active_seconds = max(0.0, seconds - plan.pause_seconds * self._time_scale)
        stats.record_team(plan.team, active_seconds / len(plan.steps))
        return True

    async def _run_steps(
        self, client: CallerClient, program: str | None, steps: tuple[Step, ...]
    ) -> None:
        contents: list[str] = []
        number = 0
        for step in steps:
            match step:
                case Pause():
                    await asyncio.sleep(step.seconds * self._time_scale)
                case Turn():
                    assert program is not None
                    number += 1
                    contents.append(step.text)
                    answer = await self._run_turn(client, program, number, step)
                    self._check(program, number, verify_answer(contents, answer))
                    contents.append(answer)
                case Call():
                    number += 1
                    await self._run_call(client, program, number, step)
                case ChildProgram():
                    assert program is not None
                    await self._run_sub_agent(client, program, step)

    async def _run_turn(
        self, client: CallerClient, program: str, number: int, step: Turn
    ) -> str:
        message = {"role": "user", "content": step.text}
        answer = await client.run_turn(
            program, number, [message], model=step.model, max_tokens=step.max_tokens
        )
        stats = self.stats
        stats.record("first token", answer.time_to_first_token)
        stats.record("turn", answer.seconds)
        for gap in answer.gaps:
            stats.record("between tokens", gap)
        usage = answer.usage
        details = usage.get("prompt_tokens_details") or {}
        stats.counts["turns"] += 1
        stats.counts["turns pending"] += answer.durability == "pending"
        stats.tokens["prompt"] += int(usage.get("prompt_tokens", 0))
        stats.tokens["cached"] += int(details.get("cached_tokens", 0))
        stats.tokens["completion"] += int(usage.get("completion_tokens", 0))
        return answer.text

    async def _run_call(
        self, client: CallerClient, program: str | None, number: int, step: Call
    ) -> None:
        started_at = time.monotonic()
        answer = await client.call(
            step.route,
            step.body,
            program=program,
            turn=number,
            idempotency_key=step.key,
        )
        self.stats.record("call", time.monotonic() - started_at)
        self.stats.counts["calls"] += 1
        expected = hashlib.sha256(step.body).hexdigest()
        actual = msgspec.json.decode(answer).get("digest")
        problem = (
            None
            if actual == expected
            else f"answer to a body with digest {actual}, sent {expected}"
        )
        self._check(program or step.route, number, problem)

    async def _run_sub_agent(
        self, client: CallerClient, parent: str, step: ChildProgram
    ) -> None:
        budget = compute_budget(step.steps)
        child = await client.open_program(budget, parent=parent)
        await self._run_steps(client, child, step.steps)
        await client.end_program(child)
        self.stats.counts["sub-agents"] += 1

    def _check(self, program: str, number: int, problem: str | None) -> None:
        if problem is not None:
            self.stats.mismatches.append(f"{program} turn {number}: {problem}")

    def _list_clients(self) -> list[CallerClient]:
        return [client for clients in self._clients.values() for client in clients]


async def run_closed(
    runner: ProgramRunner,
    make_plan: Callable[[int], Plan],
    *,
    programs: int,
    concurrency: int,
) -> None:
    """Keep ``concurrency`` programs running until ``programs`` have ended."""
    indices = iter(range(programs))

    async def run_next() -> None:
        for index in indices:
            await runner.run(make_plan(index))

    await asyncio.gather(*(run_next() for _ in range(min(concurrency, programs))))


async def run_open(
    runner: ProgramRunner,
    make_plan: Callable[[int], Plan],
    *,
    programs: int,
    rate: float,
    seed: int,
) -> None:
    """Start ``rate`` programs per second, independent of how many are running.

    Latencies count from the planned start, so they include delays of this process.
    """
    rng = random.Random(f"arrivals/{seed}")
    planned_start = time.monotonic()
    tasks: list[asyncio.Task[bool]] = []
    for index in range(programs):
        planned_start += rng.expovariate(rate)
        await asyncio.sleep(max(0.0, planned_start - time.monotonic()))
        plan = make_plan(index)
        tasks.append(asyncio.create_task(runner.run(plan, started_at=planned_start)))
    await asyncio.gather(*tasks)
