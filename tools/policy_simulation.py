"""Simulation of the nodes of one deployment under one policy."""

import asyncio
import random
from collections.abc import Callable

from attrs import define, evolve, frozen

from fireflyspread.bundle import Target
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    FireflyError,
    OverloadedError,
    QuarantinedError,
    ReplicaCrashedError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.routing import (
    CacheHints,
    LoadReport,
    PolicyScheduler,
    Result,
    SessionRetentionPolicy,
    Work,
)
from tests.routing.virtual_time import LoopClock
from tools.policy_replicas import ZONES, SimulatedEngine, SimulatedReplica, make_targets
from tools.policy_results import Results
from tools.policy_workload import SimulatedDeployment, SimulatedStep, draw_program

__all__ = ["Policy", "Simulation"]

_NODES = 4
_REPORT_INTERVAL_SECONDS = 0.5
_REPORT_LATENCY_SECONDS = 0.25
_FLOOD_FACTOR = 8.0
# A step is not retried after this time, which is also the latency of a failed program.
_STEP_TIMEOUT_SECONDS = 400.0
_REQUEST_TIMEOUT_SECONDS = 60.0
# Rate limit of a team relative to its normal load.
_RATE_HEADROOM = 2.0


@frozen(kw_only=True)
class Policy:
    """Policy of one row of the table.

    Attributes
    ----------
    make_scheduler : callable
        Returns a scheduler for a clock, a random generator and the zone of the node.
    releases_sessions : bool
        Whether nodes release idle sessions under cache pressure.
    """

    name: str
    make_scheduler: Callable[[Clock, random.Random, str], PolicyScheduler]
    releases_sessions: bool = False


@define
class _Node:
    scheduler: PolicyScheduler
    hints: CacheHints
    retention: SessionRetentionPolicy


class Simulation:
    """Four nodes, their replicas and the programs of all teams.

    Parameters
    ----------
    seconds : float
        Simulated time during which programs arrive; the flood lasts from a quarter to
        three quarters of it.
    """

    def __init__(
        self, deployment: SimulatedDeployment, policy: Policy, seed: int, seconds: float
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._seed = seed
        self._seconds = seconds
        self._rng = random.Random(f"run-{seed}")
        self._replicas: dict[str, SimulatedReplica] = {}
        self._targets: dict[str, Target] = {}
        self._nodes: list[_Node] = []
        self._programs: set[asyncio.Task[None]] = set()
        self._weights = {team.name: team.weight for team in deployment.teams}
        self.results = Results()

    async def run(self) -> Results:
        """Run the simulation and return its results."""
        loop = asyncio.get_running_loop()
        self._begin = loop.time()
        self._targets, self._replicas = make_targets(self._deployment)
        clock = LoopClock(loop)
        for i in range(_NODES):
            rng = random.Random(f"node-{self._seed}-{i}")
            scheduler = self._policy.make_scheduler(clock, rng, ZONES[i % 3])
            scheduler.set_node_count(_NODES)
            scheduler.set_targets(self._targets.values())
            self._nodes.append(
                _Node(
                    scheduler,
                    CacheHints(),
                    SessionRetentionPolicy(
                        clock, low_watermark=0.9, high_watermark=1.0
                    ),
                )
            )
        background = [
            asyncio.create_task(self._report(replica))
            for replica in self._replicas.values()
        ]
        background.append(asyncio.create_task(self._inject_faults()))
        background.append(asyncio.create_task(self._gossip()))
        await self._start_programs()
        while self._programs:
            await asyncio.wait(self._programs)
        for task in background:
            task.cancel()
        return self.results

    async def _report(self, replica: SimulatedReplica) -> None:
        loop, name = asyncio.get_running_loop(), replica.replica.name
        await asyncio.sleep(self._rng.uniform(0, _REPORT_INTERVAL_SECONDS))
        while True:
            await asyncio.sleep(_REPORT_INTERVAL_SECONDS)
            engine = replica if isinstance(replica, SimulatedEngine) else None
            values = (
                replica.running,
                len(replica.waiters),
                engine.used_tokens if engine else 0,
                engine.capacity_tokens if engine else 0,
            )
            evicted: tuple[str, ...] = ()
            if engine is not None:
                evicted = tuple(engine.evicted)
                engine.evicted.clear()
            if not replica.is_down:
                loop.call_later(
                    _REPORT_LATENCY_SECONDS, self._deliver, name, values, evicted
                )

    def _deliver(
        self, name: str, values: tuple[int, int, int, int], evicted: tuple[str, ...]
    ) -> None:
        now = asyncio.get_running_loop().time()
        running, waiting, used_tokens, capacity_tokens = values
        report = LoadReport(
            running=running,
            waiting=waiting,
            cache_used=used_tokens,
            cache_capacity=capacity_tokens,
            received_at=now,
        )
        engine = self._replicas[name]
        for node in self._nodes:
            node.hints.evict(name, evicted)
            if self._policy.releases_sessions and isinstance(engine, SimulatedEngine):
                for program in node.retention.choose_releases(
                    name, used_tokens, capacity_tokens
                ):
                    engine.release_session(program)
                    node.hints.forget(program)
                    node.retention.forget(program)
            node.scheduler.report_load(name, report)

    async def _inject_faults(self) -> None:
        """Slow down one replica, then crash another one."""
        await asyncio.sleep(self._seconds * 0.15)
        self._replicas["model-1"].slowdown = 5.0
        await asyncio.sleep(self._seconds * 0.35)
        self._replicas["model-1"].slowdown = 1.0
        await asyncio.sleep(self._seconds * 0.05)
        self.results.crashes += 1
        await self._replicas["model-0"].crash(10.0)

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            for i, node in enumerate(self._nodes):
                report = node.scheduler.quarantine.make_report()
                for other in self._nodes:
                    if other is not node:
                        other.scheduler.quarantine.merge(f"n{i}", report)

    async def _start_programs(self) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(f"arrivals-{self._seed}")
        flooding_team = self._deployment.flooding_team
        number, next_poison = 0, 0.4
        end = loop.time() + self._seconds
        while loop.time() < end:
            progress = 1 - (end - loop.time()) / self._seconds
            shares = [
                team.share
                * (_FLOOD_FACTOR if self._is_flooding(progress, team.name) else 1)
                for team in self._deployment.teams
            ]
            await asyncio.sleep(rng.expovariate(self._deployment.rate * sum(shares)))
            team = rng.choices(self._deployment.teams, shares)[0].name
            shapes = self._deployment.shapes
            shape = rng.choices(list(shapes), list(shapes.values()))[0]
            steps = draw_program(rng, shape)
            is_poison = progress >= next_poison and team != flooding_team
            if is_poison:
                next_poison += 0.2
            number += 1
            task = asyncio.create_task(
                self._run_program(f"p{number}", team, steps, is_poison)
            )
            self._programs.add(task)
            task.add_done_callback(self._programs.discard)

    def _is_flooding(self, progress: float, team: str) -> bool:
        return team == self._deployment.flooding_team and 0.25 <= progress < 0.75

    async def _run_program(
        self, program: str, team: str, steps: list[SimulatedStep], is_poison: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        node = self._nodes[sum(program.encode()) % _NODES]
        results = self.results.teams[team]
        started_at, pause_seconds, ideal_seconds, history_tokens, attained_tokens = (
            loop.time(),
            0.0,
            0.0,
            0,
            0.0,
        )
        try:
            for number, step in enumerate(steps):
                node.retention.begin_pause(
                    program, _get_holder(node, program), step.tool, history_tokens
                )
                await asyncio.sleep(step.pause)
                node.retention.end_pause(program)
                pause_seconds += step.pause
                ideal_seconds += step.call_seconds + 4 * self._deployment.latency
                ideal_seconds += (
                    step.new_tokens / 8_000 + step.completion_tokens * 0.023
                )
                await self._run_step(
                    node,
                    program,
                    number,
                    team,
                    step,
                    history_tokens,
                    attained_tokens,
                    is_poison,
                )
                if step.completion_tokens:
                    history_tokens += step.new_tokens + step.completion_tokens
                    attained_tokens += step.new_tokens + step.completion_tokens
        except FireflyError:
            if is_poison:
                return
            results.failed += 1
            results.latencies.append(_STEP_TIMEOUT_SECONDS)
            results.slowdowns.append(_STEP_TIMEOUT_SECONDS / max(ideal_seconds, 0.1))
            return
        finally:
            node.retention.forget(program)
            self._end_session(node, program)
        latency = loop.time() - started_at - pause_seconds
        results.latencies.append(latency)
        results.slowdowns.append(latency / max(ideal_seconds, 0.1))
        if any(step.is_interactive for step in steps):
            results.interactive_latencies.append(latency)

    def _end_session(self, node: _Node, program: str) -> None:
        node.hints.forget(program)
        for replica in self._replicas.values():
            if isinstance(replica, SimulatedEngine):
                replica.release_session(program)

    async def _run_step(
        self,
        node: _Node,
        program: str,
        number: int,
        team: str,
        step: SimulatedStep,
        history_tokens: int,
        attained_tokens: float,
        is_poison: bool,
    ) -> None:
        """Run one step; a refused request is retried after its retry-after."""
        loop = asyncio.get_running_loop()
        results = self.results.teams[team]
        deadline = loop.time() + _STEP_TIMEOUT_SECONDS
        results.offered_tokens += step.new_tokens + step.completion_tokens
        while True:
            is_within_rate = self._take_token(team)
            results.requests += 1
            results.requests_within_rate += is_within_rate
            name = f"{program}-{number}"
            work = self._make_work(
                node,
                name,
                program,
                team,
                step,
                history_tokens,
                attained_tokens,
                is_poison,
            )
            try:
                await asyncio.sleep(2 * self._deployment.latency)
                await self._run_attempts(node, work, step, is_poison, history_tokens)
                break
            except QuarantinedError:
                results.refused_within_rate += is_within_rate and not is_poison
                raise
            except FireflyError as exc:
                is_refused = isinstance(exc, OverloadedError)
                results.refused_within_rate += (
                    is_within_rate and is_refused and not is_poison
                )
                if loop.time() > deadline or is_poison:
                    raise
                delay = exc.retry_after or 1.0
                await asyncio.sleep(delay * self._rng.uniform(0.8, 1.2))
        results.served_tokens += step.new_tokens + step.completion_tokens

    def _take_token(self, team: str) -> bool:
        """Take a token of the team and return whether there was one."""
        now = asyncio.get_running_loop().time()
        results = self.results.teams[team]
        share = next(t.share for t in self._deployment.teams if t.name == team)
        # A program has about nine steps.
        rate = self._deployment.rate * share * 9 * _RATE_HEADROOM
        refill = (now - results.refilled_at) * rate if results.refilled_at else 0.0
        results.bucket_tokens = min(20.0, results.bucket_tokens + refill)
        results.refilled_at = now
        if results.bucket_tokens < 1:
            return False
        results.bucket_tokens -= 1
        return True

    def _make_work(
        self,
        node: _Node,
        name: str,
        program: str,
        team: str,
        step: SimulatedStep,
        history_tokens: int,
        attained_tokens: float,
        is_poison: bool,
    ) -> Work:
        hint = node.hints.get(program)
        now = asyncio.get_running_loop().time()
        return Work(
            request=name,
            team=team,
            weight=self._weights[team],
            program=program,
            fingerprint="poison" if is_poison else name,
            # A node knows only an upper bound of the answer's tokens.
            cost=float(max(1, step.new_tokens + 2 * step.completion_tokens)),
            deadline=now + _REQUEST_TIMEOUT_SECONDS,
            is_interactive=step.is_interactive,
            attained_tokens=attained_tokens,
            holder=hint.replica if hint else None,
            prefix_tokens=min(hint.tokens, history_tokens) if hint else 0,
        )

    async def _run_attempts(
        self,
        node: _Node,
        work: Work,
        step: SimulatedStep,
        is_poison: bool,
        history_tokens: int,
    ) -> None:
        target = self._targets["model" if step.completion_tokens else "service"]
        excluded: frozenset[str] = frozenset()
        while True:
            work = evolve(work, excluded=excluded)
            ticket = await node.scheduler.acquire(work, target)
            result, used_tokens, name = Result.CANCELLED, 0, ticket.replica.name
            try:
                used_tokens = await self._dispatch(
                    node, work, name, step, is_poison, history_tokens
                )
                result = Result.ANSWERED
                return
            except TargetError as exc:
                if isinstance(exc, ReplicaCrashedError):
                    self.results.crashes += is_poison
                    result = Result.CRASHED
                elif isinstance(exc, TargetUnreachableError):
                    result = Result.UNREACHABLE
                excluded |= {name}
                if not node.scheduler.may_retry(work):
                    raise
            finally:
                node.scheduler.release(ticket, result, tokens=used_tokens)

    async def _dispatch(
        self,
        node: _Node,
        work: Work,
        name: str,
        step: SimulatedStep,
        is_poison: bool,
        history_tokens: int,
    ) -> int:
        replica = self._replicas[name]
        if not isinstance(replica, SimulatedEngine):
            await replica.serve(step.call_seconds)
            return 0
        prompt_tokens = history_tokens + step.new_tokens
        cached_tokens = await replica.answer(
            work.program,
            prompt_tokens,
            history_tokens,
            step.completion_tokens,
            priority=0 if step.is_interactive else 1,
            is_poison=is_poison,
        )
        self.results.prefix_tokens += history_tokens
        self.results.recomputed_tokens += history_tokens - cached_tokens
        node.hints.record(work.program, name, prompt_tokens + step.completion_tokens)
        return prompt_tokens - cached_tokens + step.completion_tokens


def _get_holder(node: _Node, program: str) -> str:
    hint = node.hints.get(program)
    return "" if hint is None else hint.replica
