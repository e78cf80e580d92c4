"""Placement by the expected completion of a request."""

import copy
import random
from collections.abc import Sequence

from attrs import frozen

from fireflyspread.clock import Clock
from fireflyspread.routing._cache_memory import CacheMemory
from fireflyspread.routing._long_prompts import LongPromptPolicy
from fireflyspread.routing._placement import (
    Choice,
    Placement,
    ReplicaFigures,
    ReplicaState,
)
from fireflyspread.routing._prompt_placement import PromptPlacement, rank_replica
from fireflyspread.routing._scheduler import Work

__all__ = ["CompletionPlacement", "EngineTimes"]

# Seconds of a call until its service has answered one.
_CALL_SECONDS = 0.08
# Probability that a replica caches the earlier turns of a program, by its rank in the
# rendezvous hashing of the program. Nodes use the second one while the home is slow.
_CACHED_PROBABILITIES = (0.7, 0.2)
# Parts of the prompt of a first turn: a shared one and one of its own.
_FIRST_TURN_PARTS = 2


@frozen(kw_only=True)
class EngineTimes:
    """How long a replica of a model service takes at its usual speed.

    Attributes
    ----------
    prefill_rate : float
        Prompt tokens per second; between 187,000 and 236,000 on known deployments.
    step_seconds : float
        Seconds for one token of the answer on an idle replica.
    crowding : float
        Fraction by which each running request lengthens a step.
    fixed_seconds : float
        Seconds until the first event beyond the computation of the prompt.
    """

    prefill_rate: float = 200_000.0
    step_seconds: float = 0.0023
    crowding: float = 0.05
    fixed_seconds: float = 0.03


@frozen(kw_only=True)
class _Decision:
    """Chosen replica and what led to it.

    Attributes
    ----------
    near : list of ReplicaState
        Replicas of nearly equal completion.
    candidates : sequence of ReplicaState
        Replicas that were compared.
    uncached : dict of str to int
        Prompt tokens to compute by replica; empty for requests without prompt parts.
    """

    chosen: ReplicaState
    near: list[ReplicaState]
    candidates: Sequence[ReplicaState]
    uncached: dict[str, int]


class CompletionPlacement(Placement):
    """Chooses the replica on which a request is expected to complete first.

    Used for services most of whose replicas have reported their speed lately; ``base``
    places the requests of others. Nodes that know the same must not all choose the
    same replica, so the choice among replicas of nearly equal completion is random.
    For a turn it is the highest in the rendezvous hashing of its program, which is
    random over programs and lets nodes agree on the replica that caches a program.

    Parameters
    ----------
    base : PromptPlacement
        Also keeps what the KV caches of replicas hold.
    is_default : bool
        Whether to place requests of all services, whatever their replicas report.
    zone_delay : float
        Seconds added for a replica in another zone.
    tolerance : float
        Fraction by which a completion may exceed the best one to be nearly equal.
        Lower ones gather requests on few replicas, because loads are 0.1 s old; a
        slow replica exceeds the others by more.
    home_bonus : float
        Seconds subtracted for the home replica of a program on its first turn, because
        other nodes expect its later turns to be cached there.

    Attributes
    ----------
    placed, unknown : int
        Requests placed by expected completion, and by ``base`` because the figures of
        replicas that report their speed are old.
    """

    def __init__(
        self,
        base: PromptPlacement,
        clock: Clock,
        rng: random.Random,
        *,
        zone: str = "",
        times: EngineTimes | None = None,
        long_prompts: LongPromptPolicy | None = None,
        is_default: bool = False,
        zone_delay: float = 0.002,
        tolerance: float = 0.5,
        home_bonus: float = 0.008,
    ) -> None:
        self._base = base
        self._clock = clock
        self._rng = rng
        self._zone = zone
        self._times = times or EngineTimes()
        self._long_prompts = long_prompts or LongPromptPolicy()
        self._is_default = is_default
        self._zone_delay = zone_delay
        self._tolerance = tolerance
        self._home_bonus = home_bonus
        self.memory = CacheMemory()
        self.placed = 0
        self.unknown = 0

    def set_cache_tokens(self, tokens: int) -> None:
        """Set the size of a replica's KV cache."""
        self._base.set_cache_tokens(tokens)
        self.memory.capacity_tokens = tokens

    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        now = self._clock.read_monotonic()
        if not self._applies(free, now):
            self.unknown += any(state.estimate.samples for state in free)
            return self._base.choose(work, free, holder, waited)
        self.placed += 1
        decision = self._decide(work, free, now, self._rng)
        chosen = decision.chosen
        if work.parts:
            uncached = decision.uncached[chosen.replica.name]
            self._base.get_cache(chosen).add(work.parts)
            self.memory.record(work)
            chosen.prompt_tokens.add(work.request, uncached, now)
        return chosen

    def explain(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> Choice:
        now = self._clock.read_monotonic()
        if not self._applies(free, now):
            return self._base.explain(work, free, holder, waited)
        decision = self._decide(work, free, now, copy.copy(self._rng))
        candidates = {state.replica.name for state in decision.candidates}
        rule = (
            "the home of the program among nearly equal expected completions"
            if work.parts
            else "a nearly equal expected completion"
        )
        return Choice(
            replica=decision.chosen,
            rule=rule,
            near=tuple(state.replica.name for state in decision.near),
            is_random=not work.parts and len(decision.near) > 1,
            without_room=frozenset(s.replica.name for s in free) - candidates,
            figures=self._make_figures(work, free, free, decision.uncached, now),
        )

    def list_figures(
        self, work: Work, states: Sequence[ReplicaState], free: Sequence[ReplicaState]
    ) -> dict[str, ReplicaFigures]:
        now = self._clock.read_monotonic()
        if not states:
            return {}
        if not self._applies(free or states, now):
            return self._base.list_figures(work, states, free)
        uncached = self._estimate_uncached(work, states) if work.parts else {}
        return self._make_figures(work, states, free or states, uncached, now)

    def _make_figures(
        self,
        work: Work,
        states: Sequence[ReplicaState],
        free: Sequence[ReplicaState],
        uncached: dict[str, int],
        now: float,
    ) -> dict[str, ReplicaFigures]:
        figures = {}
        for state in states:
            tokens = uncached.get(state.replica.name)
            figures[state.replica.name] = ReplicaFigures(
                uncached_tokens=tokens,
                prompt_tokens=self._count_prompt_tokens(state, now),
                seconds=(
                    self._estimate_call(state, free, now)
                    if tokens is None
                    else self._estimate_turn(work, state, tokens, now)
                ),
            )
        return figures

    def _applies(self, free: Sequence[ReplicaState], now: float) -> bool:
        """Return whether requests are placed here instead of by ``base``."""
        return self._is_default or self._knows(free, now)

    def _decide(
        self, work: Work, free: Sequence[ReplicaState], now: float, rng: random.Random
    ) -> _Decision:
        if not work.parts:
            near = self._list_near(
                [(self._estimate_call(state, free, now), state) for state in free]
            )
            return _Decision(
                chosen=rng.choice(near), near=near, candidates=free, uncached={}
            )
        uncached = self._estimate_uncached(work, free)
        candidates = self._select(work, free, uncached, now)
        near = self._list_near(
            [
                (
                    self._estimate_turn(work, each, uncached[each.replica.name], now),
                    each,
                )
                for each in candidates
            ],
        )
        chosen = max(near, key=lambda s: rank_replica(s.replica.name, work.program))
        return _Decision(
            chosen=chosen, near=near, candidates=candidates, uncached=uncached
        )

    def _knows(self, free: Sequence[ReplicaState], now: float) -> bool:
        """Return whether most replicas have reported their speed lately.

        With old estimates this placement is worse than the one by prompt parts, which
        uses the last load for longer.
        """
        known = sum(s.estimate.samples > 0 and s.estimate.is_fresh(now) for s in free)
        return known * 2 >= len(free)

    def _list_near(
        self, scored: list[tuple[float, ReplicaState]]
    ) -> list[ReplicaState]:
        limit = min(score for score, _ in scored) * (1 + self._tolerance)
        return [state for score, state in scored if score <= limit]

    def _select(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        uncached: dict[str, int],
        now: float,
    ) -> Sequence[ReplicaState]:
        """Return the replicas with memory and computing time left, else all."""
        roomy = [
            state
            for state in free
            if self.memory.has_room(work, state, state.estimate.estimate_others(now))
        ]
        idle = [
            state
            for state in roomy or free
            if self._long_prompts.has_room(
                uncached[state.replica.name], self._count_prompt_tokens(state, now)
            )
        ]
        return idle or roomy or free

    def _count_prompt_tokens(self, state: ReplicaState, now: float) -> float:
        slowdown = state.estimate.estimate_slowdown(now)
        return state.prompt_tokens.count(now, self._times.prefill_rate / slowdown)

    def _estimate_call(
        self, state: ReplicaState, free: Sequence[ReplicaState], now: float
    ) -> float:
        known = [s.service_seconds for s in free if s.service_seconds > 0]
        seconds = sum(known) / len(known) if known else _CALL_SECONDS
        load = state.estimate.estimate_others(now) + state.running
        wait = self._estimate_wait(load, state.concurrency, seconds)
        return (seconds + wait) * state.estimate.estimate_slowdown(now) + (
            self._get_zone_delay(state)
        )

    def _estimate_turn(
        self, work: Work, state: ReplicaState, uncached: int, now: float
    ) -> float:
        times = self._times
        load = state.estimate.estimate_others(now) + state.running
        running = min(load, state.concurrency)
        prefill = uncached / times.prefill_rate
        step = times.step_seconds * (1 + times.crowding * running)
        # Crowding counts twice: the request is delayed by the others and delays them.
        answer = work.cost * (step + times.step_seconds * times.crowding * running)
        alone = times.fixed_seconds + prefill + answer
        seconds = alone + self._estimate_wait(load, state.concurrency, alone)
        seconds += self._count_prompt_tokens(state, now) / times.prefill_rate
        seconds *= state.estimate.estimate_slowdown(now)
        return seconds + self._get_zone_delay(state)

    def _estimate_wait(self, load: float, slots: int, seconds: float) -> float:
        """Return the expected wait for a slot.

        The load is an estimate, so a replica whose slots are nearly all taken is
        expected to cause some wait.
        """
        excess = max(0.0, load - slots + 1) / slots
        return seconds * (excess + 0.3 * min(1.0, load / slots) ** 3)

    def _get_zone_delay(self, state: ReplicaState) -> float:
        return 0.0 if state.replica.zone == self._zone else self._zone_delay

    def _estimate_uncached(
        self, work: Work, free: Sequence[ReplicaState]
    ) -> dict[str, int]:
        """Return the prompt tokens that each replica is expected to compute."""
        parts = work.parts
        uncached = {
            state.replica.name: self._base.count_uncached(state, parts)
            for state in free
        }
        ranked = sorted(
            free, key=lambda state: -rank_replica(state.replica.name, work.program)
        )
        if len(parts) <= _FIRST_TURN_PARTS:
            name = ranked[0].replica.name
            bonus = int(self._home_bonus * self._times.prefill_rate)
            uncached[name] = max(0, uncached[name] - bonus)
            return uncached
        new = parts[-1][1]
        earlier = sum(tokens for _, tokens in parts[1:-1])
        for state, probability in zip(ranked, _CACHED_PROBABILITIES, strict=False):
            name = state.replica.name
            expected = new + int((1 - probability) * earlier)
            uncached[name] = min(uncached[name], expected)
        return uncached
