"""Placement of requests about the same object on the same replica."""

import copy
import random
import statistics
from collections.abc import Sequence

import xxhash

from fireflyspread.routing._placement import ReplicaState

__all__ = ["AffinityPlacement"]

# Multiple of the median time of a request at which a replica counts as slow. A replica
# that has not handled the object lately takes longer, but not by this factor.
_SLOW_FACTOR = 2.0
# Seconds beyond the median below which it does not; the times of calls that take
# milliseconds vary more than that.
_MIN_EXCESS_SECONDS = 0.03
# Fraction of the requests that a slow replica gets all the same. Only its answers tell
# that it is fast again.
_PROBE_FRACTION = 0.05


class AffinityPlacement:
    """Chooses the replica that requests about an object prefer.

    Replicas are ranked by rendezvous hashing, so that nodes agree without messages and
    a lost replica moves only its own objects. One that is full or slow is left out;
    its objects then have the same second choice on all nodes.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    def choose(self, key: str, free: Sequence[ReplicaState]) -> ReplicaState | None:
        """Return the preferred replica; None if none is fit.

        Parameters
        ----------
        key : str
            Names the object.
        free : sequence of ReplicaState
            Replicas that can take the request now.
        """
        return self._choose(key, free, self._rng)

    def explain(self, key: str, free: Sequence[ReplicaState]) -> ReplicaState | None:
        """Return what ``choose`` would return now, without changing anything."""
        return self._choose(key, free, copy.copy(self._rng))

    def _choose(
        self, key: str, free: Sequence[ReplicaState], rng: random.Random
    ) -> ReplicaState | None:
        times = [state.service_seconds for state in free if state.service_seconds > 0]
        median = statistics.median_low(times) if times else 0.0
        limit = max(_SLOW_FACTOR * median, median + _MIN_EXCESS_SECONDS)
        ranked = sorted(free, key=lambda state: _rank(state, key), reverse=True)
        for state in ranked:
            is_slow = state.service_seconds > limit
            if state.estimate_load() < state.concurrency and (
                not is_slow or rng.random() < _PROBE_FRACTION
            ):
                return state
        return None


def _rank(state: ReplicaState, key: str) -> int:
    name = state.replica.name
    return xxhash.xxh3_64_intdigest(f"{name}/{key}".encode("utf-8", "replace"))
