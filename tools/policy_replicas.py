"""Replicas in virtual time for the comparison of policies."""

import asyncio
import heapq
import random
from collections import OrderedDict
from collections.abc import Iterator
from itertools import count

from attrs import define, field

from fireflyspread.bundle import Replica, Target, TargetKind
from fireflyspread.exceptions import ReplicaCrashedError, TargetUnreachableError
from tools.policy_workload import SimulatedDeployment

__all__ = ["ZONES", "SimulatedEngine", "SimulatedReplica", "make_targets"]

ZONES = "abc"

# Tokens decoded before the speed is adapted to the number of running requests.
_DECODE_SLICE_TOKENS = 40
# Prompt tokens computed before a more urgent prompt may come first.
_PREFILL_CHUNK_TOKENS = 2048


class PriorityLock:
    """Mutex granted to the most urgent waiter, and among equals to the first."""

    def __init__(self) -> None:
        self._waiters: list[tuple[int, int, asyncio.Future[None]]] = []
        self._sequence = count()
        self._is_held = False

    async def acquire(self, priority: int) -> None:
        """Acquire the lock; a lower priority is more urgent."""
        if not self._is_held:
            self._is_held = True
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiters, (priority, next(self._sequence), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release the lock or hand it to the next waiter."""
        while self._waiters:
            _, _, future = heapq.heappop(self._waiters)
            if not future.done():
                future.set_result(None)
                return
        self._is_held = False


@define
class SimulatedReplica:
    """A replica with a number of slots and a queue.

    Attributes
    ----------
    concurrency : int
        Number of slots.
    slowdown : float
        Factor by which all durations are multiplied.
    is_down : bool
        Whether all requests fail.
    running : int
        Occupied slots.
    """

    replica: Replica
    concurrency: int
    slowdown: float = 1.0
    is_down: bool = False
    running: int = 0
    waiters: list[tuple[int, int, asyncio.Future[None]]] = field(factory=list)
    sequence: Iterator[int] = field(factory=count)
    # A dict, because the iteration order of a set of tasks differs between runs.
    tasks: dict[asyncio.Task[object], None] = field(factory=dict)

    async def acquire_slot(self, priority: int = 0) -> None:
        """Wait for a slot; a lower priority is more urgent.

        Raises
        ------
        TargetUnreachableError
            The replica is down.
        """
        if self.is_down:
            raise TargetUnreachableError("down")
        if self.running < self.concurrency:
            self.running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self.waiters, (priority, next(self.sequence), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release_slot()
            raise

    def release_slot(self) -> None:
        """Release a slot or hand it to the next request."""
        while self.waiters:
            _, _, future = heapq.heappop(self.waiters)
            if not future.done():
                future.set_result(None)
                return
        self.running -= 1

    async def crash(self, seconds: float) -> None:
        """Abort all requests, drop all sessions and be down for a number of seconds."""
        self.is_down = True
        for task in tuple(self.tasks):
            task.cancel()
        self.clear_sessions()
        await asyncio.sleep(seconds)
        self.is_down = False

    def clear_sessions(self) -> None:
        """Drop all sessions; a service has none."""

    async def serve(self, seconds: float) -> None:
        """Serve one call that takes a number of seconds."""
        await self._run(self._serve(seconds))

    async def _serve(self, seconds: float) -> None:
        await self.acquire_slot()
        try:
            await asyncio.sleep(seconds * self.slowdown)
        finally:
            self.release_slot()

    async def _run(self, work: object) -> None:
        # A crash cancels this task without cancelling the task of the caller.
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
    """A model engine with a KV cache that evicts the least recently used session.

    Parameters
    ----------
    capacity_tokens : int
        Size of the KV cache.
    prefill_rate : float
        Prompt tokens per second; one chunk of a prompt is computed at a time.
    token_seconds : float
        Seconds per token while one request runs; each further request adds 5 %.
    """

    rng: random.Random = field(factory=random.Random)
    capacity_tokens: int = 400_000
    prefill_rate: float = 8_000.0
    token_seconds: float = 0.02
    used_tokens: int = 0
    sessions: OrderedDict[str, int] = field(factory=OrderedDict)
    active: dict[str, int] = field(factory=dict)
    evicted: list[str] = field(factory=list)
    prefill_lock: PriorityLock = field(factory=PriorityLock)

    async def answer(
        self,
        program: str,
        prompt_tokens: int,
        prefix_tokens: int,
        completion_tokens: int,
        *,
        priority: int = 0,
        is_poison: bool = False,
    ) -> int:
        """Answer a turn and return the number of cached prompt tokens.

        Parameters
        ----------
        prompt_tokens, prefix_tokens : int
            Length of the prompt and of the history in it.
        completion_tokens : int
            Length of the answer.
        priority : int
            A lower one is more urgent.
        is_poison : bool
            Whether the request crashes the replica.
        """
        cached_tokens = [0]
        work = self._answer(
            program,
            prompt_tokens,
            prefix_tokens,
            completion_tokens,
            priority,
            is_poison,
            cached_tokens,
        )
        await self._run(work)
        return cached_tokens[0]

    async def _answer(
        self,
        program: str,
        prompt_tokens: int,
        prefix_tokens: int,
        completion_tokens: int,
        priority: int,
        is_poison: bool,
        cached_tokens: list[int],
    ) -> None:
        await self.acquire_slot(priority)
        try:
            held_tokens = self.sessions.pop(program, 0)
            cached_tokens[0] = min(held_tokens, prefix_tokens)
            self.used_tokens += prompt_tokens + completion_tokens - held_tokens
            self.active[program] = prompt_tokens + completion_tokens
            self._evict_sessions()
            await self._compute_prompt(prompt_tokens - cached_tokens[0], priority)
            if is_poison:
                asyncio.get_running_loop().call_soon(self._start_crash)
                await asyncio.sleep(1e6)
            for begin in range(0, completion_tokens, _DECODE_SLICE_TOKENS):
                tokens = min(_DECODE_SLICE_TOKENS, completion_tokens - begin)
                token_seconds = self.token_seconds * (1 + 0.05 * (self.running - 1))
                await asyncio.sleep(tokens * token_seconds * self.slowdown)
            self.sessions[program] = self.active[program]
        except asyncio.CancelledError:
            self.used_tokens -= self.active.get(program, 0)
            raise
        finally:
            self.active.pop(program, None)
            self.release_slot()

    async def _compute_prompt(self, tokens: int, priority: int) -> None:
        """Compute a prompt in chunks; more urgent prompts may run between them."""
        for begin in range(0, tokens, _PREFILL_CHUNK_TOKENS):
            chunk = min(_PREFILL_CHUNK_TOKENS, tokens - begin)
            await self.prefill_lock.acquire(priority)
            try:
                await asyncio.sleep(chunk / self.prefill_rate * self.slowdown)
            finally:
                self.prefill_lock.release()

    def _start_crash(self) -> None:
        task = asyncio.ensure_future(self.crash(10.0))
        self.crash_task = task

    crash_task: "asyncio.Future[None] | None" = None

    def _evict_sessions(self) -> None:
        while self.used_tokens > self.capacity_tokens and self.sessions:
            program, tokens = self.sessions.popitem(last=False)
            self.used_tokens -= tokens
            self.evicted.append(program)

    def release_session(self, program: str) -> None:
        """Drop the session of a program that has no running request."""
        self.used_tokens -= self.sessions.pop(program, 0)

    def clear_sessions(self) -> None:
        """Drop all sessions and report them as evicted."""
        self.evicted.extend(self.sessions)
        self.used_tokens -= sum(self.sessions.values())
        self.sessions.clear()


def make_targets(
    deployment: SimulatedDeployment,
) -> tuple[dict[str, Target], dict[str, SimulatedReplica]]:
    """Return the targets and the simulated replicas of a deployment, by name."""
    targets: dict[str, Target] = {}
    simulated: dict[str, SimulatedReplica] = {}
    for name, kind, number, slots in (
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
            name=name, kind=kind, half="h", replicas=replicas, concurrency=slots
        )
        for replica in replicas:
            simulated[replica.name] = (
                SimulatedEngine(replica, slots, capacity_tokens=deployment.cache_tokens)
                if kind is TargetKind.ENGINE
                else SimulatedReplica(replica, slots)
            )
    return targets, simulated
