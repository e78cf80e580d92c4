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
from tools.policy_workload import Deployment, SimulatedStep, draw_program

__all__ = ["Policy", "Simulation"]

_NODES = 4
_REPORT_SECONDS = 0.5
_REPORT_LAG = 0.25
_FLOOD_FACTOR = 8.0
# Seconds after which a program gives up; also the latency of one that failed.
_PATIENCE = 400.0
_TURN_SECONDS = 60.0
_RATE_HEADROOM = 2.0


@frozen(kw_only=True)
class Policy:
    """One row of the table."""

    name: str
    make_scheduler: Callable[[Clock, random.Random, str], PolicyScheduler]
    uses_keeper: bool = False


@define
class _Node:
    scheduler: PolicyScheduler
    hints: CacheHints
    keeper: SessionRetentionPolicy


class Simulation:
    """Four nodes, their replicas and the programs of all teams.

    Parameters
    ----------
    seconds : float
        Time during which programs arrive. The flood lasts from a quarter to three
        quarters of it.
    """

    def __init__(
        self, deployment: Deployment, policy: Policy, seed: int, seconds: float
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
        """Run and return the results."""
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
        background.append(asyncio.create_task(self._disturb()))
        background.append(asyncio.create_task(self._gossip()))
        await self._arrive()
        while self._programs:
            await asyncio.wait(self._programs)
        for task in background:
            task.cancel()
        return self.results

    async def _report(self, replica: SimulatedReplica) -> None:
        loop, name = asyncio.get_running_loop(), replica.replica.name
        await asyncio.sleep(self._rng.uniform(0, _REPORT_SECONDS))
        while True:
            await asyncio.sleep(_REPORT_SECONDS)
            engine = replica if isinstance(replica, SimulatedEngine) else None
            values = (
                replica.running,
                len(replica.waiters),
                engine.used if engine else 0,
                engine.capacity if engine else 0,
            )
            evicted: tuple[str, ...] = ()
            if engine is not None:
                evicted = tuple(engine.evicted)
                engine.evicted.clear()
            if not replica.is_down:
                loop.call_later(_REPORT_LAG, self._deliver, name, values, evicted)

    def _deliver(
        self, name: str, values: tuple[int, int, int, int], evicted: tuple[str, ...]
    ) -> None:
        now = asyncio.get_running_loop().time()
        running, waiting, used, capacity = values
        report = LoadReport(
            running=running,
            waiting=waiting,
            cache_used=used,
            cache_capacity=capacity,
            received_at=now,
        )
        engine = self._replicas[name]
        for node in self._nodes:
            node.hints.evict(name, evicted)
            if self._policy.uses_keeper and isinstance(engine, SimulatedEngine):
                for program in node.keeper.choose_releases(name, used, capacity):
                    engine.release(program)
                    node.hints.forget(program)
                    node.keeper.forget(program)
            node.scheduler.report_load(name, report)

    async def _disturb(self) -> None:
        """One slow replica, and one crash of another."""
        await asyncio.sleep(self._seconds * 0.15)
        self._replicas["model-1"].slowness = 5.0
        await asyncio.sleep(self._seconds * 0.35)
        self._replicas["model-1"].slowness = 1.0
        await asyncio.sleep(self._seconds * 0.05)
        self.results.crashes += 1
        await self._replicas["model-0"].crash(10.0)

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(0.5)
            for i, node in enumerate(self._nodes):
                found = node.scheduler.quarantine
                for other in self._nodes:
                    if other is not node:
                        other.scheduler.quarantine.merge(
                            f"n{i}", found.list_suspects(), found.list_quarantined()
                        )

    async def _arrive(self) -> None:
        loop = asyncio.get_running_loop()
        rng = random.Random(f"arrivals-{self._seed}")
        flood_team = self._deployment.flood
        number, next_poison = 0, 0.4
        end = loop.time() + self._seconds
        while loop.time() < end:
            part = 1 - (end - loop.time()) / self._seconds
            shares = [
                team.share * (_FLOOD_FACTOR if self._is_flood(part, team.name) else 1)
                for team in self._deployment.teams
            ]
            await asyncio.sleep(rng.expovariate(self._deployment.rate * sum(shares)))
            team = rng.choices(self._deployment.teams, shares)[0].name
            shapes = self._deployment.shapes
            shape = rng.choices(list(shapes), list(shapes.values()))[0]
            steps = draw_program(rng, shape)
            is_poison = part >= next_poison and team != flood_team
            if is_poison:
                next_poison += 0.2
            number += 1
            task = asyncio.create_task(
                self._run_program(f"p{number}", team, steps, is_poison)
            )
            self._programs.add(task)
            task.add_done_callback(self._programs.discard)

    def _is_flood(self, part: float, team: str) -> bool:
        return team == self._deployment.flood and 0.25 <= part < 0.75

    async def _run_program(
        self, program: str, team: str, steps: list[SimulatedStep], is_poison: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        node = self._nodes[sum(program.encode()) % _NODES]
        results = self.results.teams[team]
        begin, paused, ideal, history, attained = loop.time(), 0.0, 0.0, 0, 0.0
        try:
            for number, step in enumerate(steps):
                node.keeper.begin_pause(
                    program, _get_holder(node, program), step.tool, history
                )
                await asyncio.sleep(step.pause)
                node.keeper.end_pause(program)
                paused += step.pause
                ideal += step.call_seconds + 4 * self._deployment.latency
                ideal += step.new_tokens / 8_000 + step.completion * 0.023
                await self._run_step(
                    node, program, number, team, step, history, attained, is_poison
                )
                if step.completion:
                    history += step.new_tokens + step.completion
                    attained += step.new_tokens + step.completion
        except FireflyError:
            if is_poison:
                return
            results.failed += 1
            results.latencies.append(_PATIENCE)
            results.slowdowns.append(_PATIENCE / max(ideal, 0.1))
            return
        finally:
            node.keeper.forget(program)
            self._end_session(node, program)
        latency = loop.time() - begin - paused
        results.latencies.append(latency)
        results.slowdowns.append(latency / max(ideal, 0.1))
        if any(step.is_interactive for step in steps):
            results.interactive.append(latency)

    def _end_session(self, node: _Node, program: str) -> None:
        node.hints.forget(program)
        for replica in self._replicas.values():
            if isinstance(replica, SimulatedEngine):
                replica.release(program)

    async def _run_step(
        self,
        node: _Node,
        program: str,
        number: int,
        team: str,
        step: SimulatedStep,
        history: int,
        attained: float,
        is_poison: bool,
    ) -> None:
        """Run one step; refused steps are sent again as the refusal says."""
        loop = asyncio.get_running_loop()
        results = self.results.teams[team]
        give_up = loop.time() + _PATIENCE
        results.offered += step.new_tokens + step.completion
        while True:
            is_inside = self._take_rate(team)
            results.requests += 1
            results.inside += is_inside
            name = f"{program}-{number}"
            work = self._make_work(
                node, name, program, team, step, history, attained, is_poison
            )
            try:
                await asyncio.sleep(2 * self._deployment.latency)
                await self._run_attempts(node, work, step, is_poison, history)
                break
            except QuarantinedError:
                results.refused_inside += is_inside and not is_poison
                raise
            except FireflyError as exc:
                refused = isinstance(exc, OverloadedError)
                results.refused_inside += is_inside and refused and not is_poison
                if loop.time() > give_up or is_poison:
                    raise
                delay = exc.retry_after or 1.0
                await asyncio.sleep(delay * self._rng.uniform(0.8, 1.2))
        results.served += step.new_tokens + step.completion

    def _take_rate(self, team: str) -> bool:
        """Return whether a request is inside the team's rate."""
        now = asyncio.get_running_loop().time()
        results = self.results.teams[team]
        share = next(t.share for t in self._deployment.teams if t.name == team)
        # About nine steps make a program.
        rate = self._deployment.rate * share * 9 * _RATE_HEADROOM
        gained = (now - results.credit_at) * rate if results.credit_at else 0.0
        results.credit = min(20.0, results.credit + gained)
        results.credit_at = now
        if results.credit < 1:
            return False
        results.credit -= 1
        return True

    def _make_work(
        self,
        node: _Node,
        name: str,
        program: str,
        team: str,
        step: SimulatedStep,
        history: int,
        attained: float,
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
            # The worst case of the answer is what a node can know.
            cost=float(max(1, step.new_tokens + 2 * step.completion)),
            deadline=now + _TURN_SECONDS,
            is_interactive=step.is_interactive,
            attained_tokens=attained,
            holder=hint.replica if hint else None,
            prefix_tokens=min(hint.tokens, history) if hint else 0,
        )

    async def _run_attempts(
        self,
        node: _Node,
        work: Work,
        step: SimulatedStep,
        is_poison: bool,
        history: int,
    ) -> None:
        target = self._targets["model" if step.completion else "service"]
        excluded: frozenset[str] = frozenset()
        while True:
            work = evolve(work, excluded=excluded)
            ticket = await node.scheduler.acquire(work, target)
            result, used, name = Result.CANCELLED, 0, ticket.replica.name
            try:
                used = await self._dispatch(node, work, name, step, is_poison, history)
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
                node.scheduler.release(ticket, result, tokens=used)

    async def _dispatch(
        self,
        node: _Node,
        work: Work,
        name: str,
        step: SimulatedStep,
        is_poison: bool,
        history: int,
    ) -> int:
        replica = self._replicas[name]
        if not isinstance(replica, SimulatedEngine):
            await replica.serve(step.call_seconds)
            return 0
        prompt = history + step.new_tokens
        cached = await replica.answer(
            work.program,
            prompt,
            history,
            step.completion,
            priority=0 if step.is_interactive else 1,
            poison=is_poison,
        )
        self.results.prefix += history
        self.results.recomputed += history - cached
        node.hints.record(work.program, name, prompt + step.completion)
        return prompt - cached + step.completion


def _get_holder(node: _Node, program: str) -> str:
    hint = node.hints.get(program)
    return "" if hint is None else hint.replica
