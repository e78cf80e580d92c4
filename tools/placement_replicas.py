"""Replicas of uneven speed in virtual time, for the comparison of placements."""

import asyncio
import heapq
import random
from collections.abc import Callable
from itertools import count

from attrs import define, field

from fireflyspread.bundle import Replica
from fireflyspread.routing import PromptCache

__all__ = ["Speeds", "UnevenEngine", "UnevenService", "UnevenTurn"]

_CHUNK_TOKENS = 2048
# Tokens that are generated at once while no prompt is computed.
_TOKENS_PER_PASS = 4
_TOKENS_PER_EVENT = 19


@define(eq=False, kw_only=True)
class UnevenTurn:
    """A turn on an engine.

    Attributes
    ----------
    uncached : int
        Prompt tokens to compute, set when the turn is admitted.
    generated : int
        Tokens of the answer so far.
    first, done : asyncio.Future
        First event, and end of the answer.
    """

    parts: tuple[tuple[str, int], ...]
    output_tokens: int
    priority: int
    first: asyncio.Future[None]
    done: asyncio.Future[None]
    uncached: int = 0
    generated: int = 0
    sequence: int = 0

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache."""
        return sum(tokens for _, tokens in self.parts) + self.generated


@define(eq=False, kw_only=True)
class UnevenEngine:
    """Model engine that computes prompts in chunks between the tokens of answers.

    Attributes
    ----------
    read_slowdown : callable
        Factor of all durations at this moment.
    preemptions : int
        Turns that were put back because memory ran out.
    """

    replica: Replica
    read_slowdown: Callable[[], float]
    slots: int = 6
    capacity_tokens: int = 77_276
    prefill_rate: float = 187_000.0
    step_seconds: float = 0.00218
    crowding: float = 0.05
    running: list[UnevenTurn] = field(factory=list)
    waiting: list[tuple[int, int, UnevenTurn]] = field(factory=list)
    cache: PromptCache = field(init=False)
    preemptions: int = 0
    computed_tokens: int = 0
    _sequence: "count[int]" = field(factory=count)
    _is_busy: bool = False

    def __attrs_post_init__(self) -> None:
        self.cache = PromptCache(self.capacity_tokens)

    def submit(self, turn: UnevenTurn) -> None:
        """Add a turn."""
        turn.sequence = next(self._sequence)
        heapq.heappush(self.waiting, (turn.priority, turn.sequence, turn))
        if not self._is_busy:
            self._is_busy = True
            self._pass()

    @property
    def held_tokens(self) -> int:
        """Tokens of KV cache that the running turns hold."""
        return sum(turn.held_tokens for turn in self.running)

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.slots:
            _, _, turn = self.waiting[0]
            tokens = turn.held_tokens
            if self.running and self.held_tokens + tokens > self.capacity_tokens:
                victim = max(self.running, key=lambda t: (t.priority, t.sequence))
                if victim.priority <= turn.priority:
                    return
                self._preempt(victim)
                continue
            heapq.heappop(self.waiting)
            turn.uncached = self.cache.count_uncached(turn.parts) + turn.generated
            self.computed_tokens += turn.uncached
            self.cache.capacity_tokens = max(
                0, self.capacity_tokens - self.held_tokens - tokens
            )
            self.cache.add(turn.parts)
            self.running.append(turn)
        while len(self.running) > 1 and self.held_tokens > self.capacity_tokens:
            self._preempt(max(self.running, key=lambda t: (t.priority, t.sequence)))

    def _preempt(self, turn: UnevenTurn) -> None:
        self.preemptions += 1
        self.running.remove(turn)
        heapq.heappush(self.waiting, (turn.priority, turn.sequence, turn))

    def _pass(self) -> None:
        self._admit()
        if not self.running:
            self._is_busy = False
            return
        budget = _CHUNK_TOKENS
        prompts = [turn for turn in self.running if turn.uncached]
        answers = [turn for turn in self.running if not turn.uncached]
        prompts.sort(key=lambda turn: (turn.priority, turn.sequence))
        for turn in prompts:
            tokens = min(budget, turn.uncached)
            turn.uncached -= tokens
            budget -= tokens
        steps = 1
        if not prompts:
            left = min(turn.output_tokens - turn.generated for turn in answers)
            steps = min(left, _TOKENS_PER_PASS)
        seconds = (_CHUNK_TOKENS - budget) / self.prefill_rate
        if answers:
            crowd = 1 + self.crowding * (len(self.running) - 1)
            seconds += steps * self.step_seconds * crowd
        seconds *= self.read_slowdown()
        loop = asyncio.get_running_loop()
        loop.call_later(seconds, self._finish_pass, answers, steps)

    def _finish_pass(self, answers: list[UnevenTurn], steps: int) -> None:
        for turn in answers:
            if turn not in self.running:
                continue
            turn.generated += steps
            if turn.generated >= _TOKENS_PER_EVENT and not turn.first.done():
                turn.first.set_result(None)
            if turn.generated >= turn.output_tokens:
                self.running.remove(turn)
                turn.done.set_result(None)
        self._pass()

    def read_load(self) -> tuple[int, int]:
        """Return the running and waiting requests."""
        return (len(self.running), len(self.waiting))


@define(eq=False, kw_only=True)
class UnevenService:
    """Replica of a plain service.

    Attributes
    ----------
    semaphore : asyncio.Semaphore
        Its slots.
    """

    replica: Replica
    read_slowdown: Callable[[], float]
    slots: int = 6
    semaphore: asyncio.Semaphore = field(init=False)
    count: int = 0

    def __attrs_post_init__(self) -> None:
        self.semaphore = asyncio.Semaphore(self.slots)

    async def serve(self, seconds: float) -> None:
        """Serve one call."""
        self.count += 1
        try:
            async with self.semaphore:
                await asyncio.sleep(seconds * self.read_slowdown())
        finally:
            self.count -= 1

    def read_load(self) -> tuple[int, int]:
        """Return the running and waiting requests."""
        running = min(self.count, self.slots)
        return (running, self.count - running)


class Speeds:
    """Slowdowns of replicas.

    Parameters
    ----------
    is_uneven : bool
        Whether 15% of the replicas are 2.5 times slower and change every 600 ms;
        otherwise a third is 1.3 times slower and a third as much faster, for good.
    """

    def __init__(
        self, names: list[str], rng: random.Random, *, is_uneven: bool
    ) -> None:
        self._names = names
        self._rng = rng
        self._is_uneven = is_uneven
        self.values = dict.fromkeys(names, 1.0)
        for number, name in enumerate(names):
            if not is_uneven:
                self.values[name] = (1.0, 1.3, 1 / 1.3)[number % 3]

    async def run(self) -> None:
        """Change the speeds until cancelled."""
        while self._is_uneven:
            slow = self._rng.sample(self._names, max(1, round(0.15 * len(self._names))))
            self.values = {n: 2.5 if n in slow else 1.0 for n in self._names}
            await asyncio.sleep(0.6)
