"""Simulated replicas for the comparison of policies, in virtual time."""

import asyncio
import heapq
import random
from collections import OrderedDict
from collections.abc import Iterator
from itertools import count

from attrs import define, field

from fireflyspread.bundle import Replica, Target, TargetKind
from fireflyspread.exceptions import ReplicaCrashedError, TargetUnreachableError
from tools.policy_workload import Deployment

__all__ = ["ZONES", "SimulatedEngine", "SimulatedReplica", "make_targets"]

ZONES = "abc"

# Tokens decoded between two looks at the number of requests on the replica.
_SLICE_TOKENS = 40
_CHUNK_TOKENS = 2048


class PriorityGate:
    """Lets one task through at a time, the most urgent one first."""

    def __init__(self) -> None:
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._numbers = count()
        self._is_busy = False

    async def enter(self, priority: int) -> None:
        """Wait for the turn of this task; a lower number is more urgent."""
        if not self._is_busy:
            self._is_busy = True
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (priority, next(self._numbers), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Let the next task through."""
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)
                return
        self._is_busy = False


@define
class SimulatedReplica:
    """A replica that runs a number of requests at once and queues the rest."""

    replica: Replica
    concurrency: int
    slowness: float = 1.0
    is_down: bool = False
    running: int = 0
    waiters: list[tuple[int, int, asyncio.Future[None]]] = field(factory=list)
    numbers: Iterator[int] = field(factory=count)
    # A dict, because the order of a set of tasks differs between runs.
    tasks: dict[asyncio.Task[object], None] = field(factory=dict)

    async def enter(self, priority: int = 0) -> None:
        """Wait for a place; raises ``TargetUnreachableError`` while down."""
        if self.is_down:
            raise TargetUnreachableError("down")
        if self.running < self.concurrency:
            self.running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (priority, next(self.numbers), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.leave()
            raise

    def leave(self) -> None:
        """Give the place to the next request."""
        while self.waiters:
            _, _, future = heapq.heappop(self.waiters)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1

    async def crash(self, seconds: float) -> None:
        """Cut off all requests and stay down for a time."""
        self.is_down = True
        for task in tuple(self.tasks):
            task.cancel()
        self.forget_sessions()
        await asyncio.sleep(seconds)
        self.is_down = False

    def forget_sessions(self) -> None:
        """Drop what is in memory."""

    async def serve(self, seconds: float) -> None:
        """Serve one call of a service."""
        await self._run(self._work(seconds))

    async def _work(self, seconds: float) -> None:
        await self.enter()
        try:
            await asyncio.sleep(seconds * self.slowness)
        finally:
            self.leave()

    async def _run(self, work: object) -> None:
        # A task of its own can be cut off by a crash without the caller's task.
        task: asyncio.Task[object] = asyncio.ensure_future(work)  # type: ignore
        self.tasks[task] = None
        try:
            await asyncio.wait([task])
        finally:
            task.cancel()
            self.tasks.pop(task, None)
        if task.cancelled():
            raise ReplicaCrashedError("crashed")
        task.result()


@define
class SimulatedEngine(SimulatedReplica):
    """A model engine with a KV cache that drops the session used longest ago.

    Parameters
    ----------
    capacity : int
        Tokens of KV cache.
    prefill_rate : float
        Prompt tokens per second; one prompt is computed at a time.
    token_seconds : float
        Time of a token when the replica runs one request; each further request adds
        a twentieth.
    """

    rng: random.Random = field(factory=random.Random)
    capacity: int = 400_000
    prefill_rate: float = 8_000.0
    token_seconds: float = 0.02
    used: int = 0
    sessions: OrderedDict[str, int] = field(factory=OrderedDict)
    active: dict[str, int] = field(factory=dict)
    evicted: list[str] = field(factory=list)
    gate: PriorityGate = field(factory=PriorityGate)

    async def answer(
        self,
        program: str,
        prompt: int,
        prefix: int,
        completion: int,
        *,
        priority: int = 0,
        poison: bool = False,
    ) -> int:
        """Answer a turn and return the prompt tokens that were cached."""
        cached = [0]
        work = self._answer(
            program, prompt, prefix, completion, priority, poison, cached
        )
        await self._run(work)
        return cached[0]

    async def _answer(
        self,
        program: str,
        prompt: int,
        prefix: int,
        completion: int,
        priority: int,
        poison: bool,
        cached: list[int],
    ) -> None:
        await self.enter(priority)
        try:
            held = self.sessions.pop(program, 0)
            cached[0] = min(held, prefix)
            self.used += prompt + completion - held
            self.active[program] = prompt + completion
            self._make_room()
            await self._compute_prompt(prompt - cached[0], priority)
            if poison:
                asyncio.get_running_loop().call_soon(self._start_crash)
                await asyncio.sleep(1e6)
            for begin in range(0, completion, _SLICE_TOKENS):
                tokens = min(_SLICE_TOKENS, completion - begin)
                speed = self.token_seconds * (1 + 0.05 * (self.running - 1))
                await asyncio.sleep(tokens * speed * self.slowness)
            self.sessions[program] = self.active[program]
        except asyncio.CancelledError:
            self.used -= self.active.get(program, 0)
            raise
        finally:
            self.active.pop(program, None)
            self.leave()

    async def _compute_prompt(self, tokens: int, priority: int) -> None:
        """Compute a prompt in chunks, between which urgent ones come first."""
        for begin in range(0, tokens, _CHUNK_TOKENS):
            chunk = min(_CHUNK_TOKENS, tokens - begin)
            await self.gate.enter(priority)
            try:
                await asyncio.sleep(chunk / self.prefill_rate * self.slowness)
            finally:
                self.gate.leave()

    def _start_crash(self) -> None:
        task = asyncio.ensure_future(self.crash(10.0))
        self.restart = task

    restart: "asyncio.Future[None] | None" = None

    def _make_room(self) -> None:
        while self.used > self.capacity and self.sessions:
            program, tokens = self.sessions.popitem(last=False)
            self.used -= tokens
            self.evicted.append(program)

    def release(self, program: str) -> None:
        """Drop the session of a program that is not running."""
        self.used -= self.sessions.pop(program, 0)

    def forget_sessions(self) -> None:
        self.evicted.extend(self.sessions)
        self.used -= sum(self.sessions.values())
        self.sessions.clear()


def make_targets(
    deployment: Deployment,
) -> tuple[dict[str, Target], dict[str, SimulatedReplica]]:
    """Return the targets of a deployment and their replicas, by name."""
    targets: dict[str, Target] = {}
    simulated: dict[str, SimulatedReplica] = {}
    for name, kind, number, places in (
        ("model", TargetKind.ENGINE, deployment.engines, 8),
        ("service", TargetKind.SERVICE, deployment.services, 16),
    ):
        replicas = tuple(
            Replica(
                name=f"{name}-{i}",
                url=f"http://127.0.0.1:{i + 1}",
                zone=ZONES[i % 3],
                vm=f"vm-{name}-{i}",
            )
            for i in range(number)
        )
        targets[name] = Target(
            name=name, kind=kind, half="h", replicas=replicas, concurrency=places
        )
        for replica in replicas:
            simulated[replica.name] = (
                SimulatedEngine(replica, places, capacity=deployment.cache_tokens)
                if kind is TargetKind.ENGINE
                else SimulatedReplica(replica, places)
            )
    return targets, simulated
