"""Placement by the prompt parts in the KV caches of replicas."""

import copy
import random
from collections import OrderedDict
from collections.abc import Sequence

import xxhash

from fireflyspread.routing._placement import (
    Choice,
    Placement,
    ReplicaFigures,
    ReplicaState,
)
from fireflyspread.routing._scheduler import Work

__all__ = ["PromptCache", "PromptPlacement", "rank_replica"]

# Fraction of a program's own prompt that its home replica has not cached. A turn adds
# about a quarter of the program's history.
_UNCACHED_FRACTION = 0.25


class PromptCache:
    """This node's estimate of the prompt parts in the KV cache of a replica.

    Evicts the least recently used parts.

    Parameters
    ----------
    capacity_tokens : int
        Size of the KV cache.
    """

    def __init__(self, capacity_tokens: int) -> None:
        self.capacity_tokens = capacity_tokens
        self._parts: OrderedDict[str, int] = OrderedDict()
        self._tokens = 0

    def count_uncached(self, parts: Sequence[tuple[str, int]]) -> int:
        """Return the tokens of ``parts`` that must be computed.

        A cached part can be used only if all parts before it are cached.
        """
        uncached = 0
        has_gap = False
        for part, tokens in parts:
            cached = 0 if has_gap else min(tokens, self._parts.get(part, 0))
            has_gap = has_gap or cached < tokens
            uncached += tokens - cached
        return uncached

    def add(self, parts: Sequence[tuple[str, int]]) -> None:
        """Record that the replica processes a prompt of ``parts``."""
        for part, tokens in parts:
            self._tokens += tokens - self._parts.pop(part, 0)
            self._parts[part] = tokens
        while self._tokens > self.capacity_tokens and self._parts:
            _, tokens = self._parts.popitem(last=False)
            self._tokens -= tokens

    def list_parts(self) -> tuple[tuple[str, int], ...]:
        """Return the parts with their tokens, the least recently used first."""
        return tuple(self._parts.items())

    def clear(self) -> None:
        """Remove all parts, after a restart of the replica."""
        self._parts.clear()
        self._tokens = 0


class PromptPlacement(Placement):
    """Chooses the replica with the lowest expected delay.

    The delay is the time to compute the uncached part of the prompt, plus a delay for
    each request on the replica, which shares its compute time, plus the wait for a
    slot. Each program has a home replica by rendezvous hashing, so that all nodes
    prefer the same replica for a program without communication.

    Parameters
    ----------
    zone : str
        Zone of this node.
    prefill_rate : float
        Prompt tokens that a replica computes per second.
    request_delay : float
        Seconds by which each request on a replica delays the others.
    zone_delay : float
        Seconds added for a replica in another zone.
    home_bonus : float
        Seconds subtracted for the home replica.
    cache_tokens : int
        Size of a replica's KV cache until ``set_cache_tokens`` is called.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        zone: str = "",
        prefill_rate: float = 77_400.0,
        request_delay: float = 0.004,
        zone_delay: float = 0.002,
        home_bonus: float = 0.008,
        cache_tokens: int = 100_000,
    ) -> None:
        self._rng = rng
        self._zone = zone
        self._prefill_rate = prefill_rate
        self._request_delay = request_delay
        self._zone_delay = zone_delay
        self._home_bonus = home_bonus
        self._cache_tokens = cache_tokens
        self._caches: dict[str, PromptCache] = {}

    def set_cache_tokens(self, tokens: int) -> None:
        """Set the size of a replica's KV cache, for replicas not yet used."""
        self._cache_tokens = tokens

    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        best = self._find_best(work, free, self._rng)
        if work.parts:
            self.get_cache(best).add(work.parts)
        return best

    def explain(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> Choice:
        best = self._find_best(work, free, copy.copy(self._rng))
        if work.parts:
            return Choice(
                replica=best,
                rule="the lowest expected delay",
                near=(best.replica.name,),
                figures=self.list_figures(work, free, free),
            )
        score = self._score_load(best)
        near = tuple(s.replica.name for s in free if self._score_load(s) == score)
        return Choice(
            replica=best,
            rule="the lowest load, in the zone of this node if possible",
            near=near,
            is_random=len(near) > 1,
        )

    def list_figures(
        self, work: Work, states: Sequence[ReplicaState], free: Sequence[ReplicaState]
    ) -> dict[str, ReplicaFigures]:
        if not work.parts or not states:
            return {}
        home = _find_home(work, free or states)
        return {
            state.replica.name: ReplicaFigures(
                uncached_tokens=self._estimate_uncached(work, state, home),
                seconds=self._estimate_delay(work, state, home),
            )
            for state in states
        }

    def _find_best(
        self, work: Work, free: Sequence[ReplicaState], rng: random.Random
    ) -> ReplicaState:
        if not work.parts:
            return min(free, key=lambda s: (*self._score_load(s), rng.random()))
        home = _find_home(work, free)
        return min(free, key=lambda state: self._estimate_delay(work, state, home))

    def _score_load(self, state: ReplicaState) -> tuple[float, bool]:
        load = state.estimate_load() / state.concurrency
        return (load, state.replica.zone != self._zone)

    def _estimate_uncached(
        self, work: Work, state: ReplicaState, home: ReplicaState
    ) -> int:
        uncached = self.count_uncached(state, work.parts)
        if state is not home:
            return uncached
        # Other nodes send the program there too, so the replica probably caches more
        # of the program's part than this node has sent.
        own = work.parts[-1][1]
        return min(uncached, int(own * _UNCACHED_FRACTION))

    def _estimate_delay(
        self, work: Work, state: ReplicaState, home: ReplicaState
    ) -> float:
        uncached = self._estimate_uncached(work, state, home)
        load = state.estimate_load()
        delay = uncached / self._prefill_rate + load * self._request_delay
        delay += max(0, load - state.concurrency + 1) * state.service_seconds
        if state.replica.zone != self._zone:
            delay += self._zone_delay
        if state is home:
            delay -= self._home_bonus
        return delay

    def get_cache(self, state: ReplicaState) -> PromptCache:
        """Return the estimated cache of a replica, which is added if it is missing."""
        name = _identify_cache(state)
        cache = self._caches.get(name)
        if cache is None:
            cache = self._caches[name] = PromptCache(self._cache_tokens)
        return cache

    def count_uncached(
        self, state: ReplicaState, parts: Sequence[tuple[str, int]]
    ) -> int:
        """Return the tokens of ``parts`` that a replica must compute."""
        cache = self._caches.get(_identify_cache(state))
        if cache is None:
            return sum(tokens for _, tokens in parts)
        return cache.count_uncached(parts)

    def dump_caches(self) -> dict[str, tuple[tuple[str, int], ...]]:
        """Return the cached parts and their tokens by replica process."""
        return {name: cache.list_parts() for name, cache in self._caches.items()}


def _identify_cache(state: ReplicaState) -> str:
    # The VM name contains the start time of the replica, so a restarted replica has an
    # empty cache.
    return f"{state.replica.name}@{state.replica.vm}"


def _find_home(work: Work, free: Sequence[ReplicaState]) -> ReplicaState:
    return max(free, key=lambda state: rank_replica(state.replica.name, work.program))


def rank_replica(replica: str, program: str) -> int:
    """Return the rank of a replica for a program; the home has the highest."""
    return xxhash.xxh3_64_intdigest(f"{replica}/{program}".encode())
