"""Replicas that are unreachable or much slower than the others of their target."""

import statistics
from collections.abc import Iterable

from attrs import define

from fireflyspread.clock import Clock
from fireflyspread.routing._scheduler import Result

__all__ = ["ReplicaHealth"]

_FAILURES = frozenset({Result.CRASHED, Result.UNREACHABLE})
# Weight of the newest request in the mean time.
_SMOOTHING = 0.2


@define
class _Health:
    mean: float = 0.0
    samples: int = 0
    timeouts: int = 0
    level: int = 0
    until: float = 0.0
    is_ejected: bool = False
    is_probed: bool = False


class ReplicaHealth:
    """Gives no work for a while to replicas of one target that fail or are slow.

    After the time of its ejection a replica gets one request as a probe. If that is
    answered as fast as by the others, the replica is back; otherwise it is ejected
    for twice the time.

    Parameters
    ----------
    base : float
        Seconds of the first ejection.
    cap : float
        Seconds of the longest ejection.
    slow_factor : float
        Times the median of the target at which a replica counts as slow.
    min_samples : int
        Answers before a replica is compared.
    max_fraction : float
        Part of the replicas that may be ejected at once.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        base: float = 2.0,
        cap: float = 60.0,
        slow_factor: float = 3.0,
        min_samples: int = 8,
        max_fraction: float = 0.5,
    ) -> None:
        self._clock = clock
        self._base = base
        self._cap = cap
        self._slow_factor = slow_factor
        self._min_samples = min_samples
        self._max_fraction = max_fraction
        self._replicas: dict[str, _Health] = {}

    def set_replicas(self, names: Iterable[str]) -> None:
        """Forget all replicas but these."""
        self._replicas = {name: self._replicas.get(name, _Health()) for name in names}

    def may_use(self, replica: str) -> bool:
        """Return whether the replica may get a request now."""
        health = self._replicas.get(replica)
        if health is None or not health.is_ejected:
            return True
        return not health.is_probed and self._clock.read_monotonic() >= health.until

    def start(self, replica: str) -> None:
        """Take note of a request; on an ejected replica it is the probe."""
        health = self._replicas.get(replica)
        if health is not None and health.is_ejected:
            health.is_probed = True

    def record(self, replica: str, result: Result, seconds_per_cost: float) -> None:
        """Take note of how a request ended.

        Parameters
        ----------
        seconds_per_cost : float
            Time of the request divided by its cost, so that long requests do not
            make a replica look slow.
        """
        health = self._replicas.get(replica)
        if health is None:
            return
        was_probed, health.is_probed = health.is_probed, False
        if health.is_ejected and not was_probed:
            # Started before the ejection, so it says nothing new.
            return
        if result in _FAILURES:
            self._eject(health)
        elif result is Result.TIMED_OUT:
            health.timeouts += 1
            if was_probed or health.timeouts >= 3:
                self._eject(health)
        elif result is Result.ANSWERED:
            health.timeouts = 0
            self._add_sample(health, seconds_per_cost, was_probed)

    def _add_sample(self, health: _Health, value: float, was_probed: bool) -> None:
        if health.is_ejected:
            if self._is_slow(health, value):
                self._eject(health)
                return
            health.is_ejected = False
            health.mean, health.samples = value, 1
            return
        health.samples += 1
        weight = max(_SMOOTHING, 1.0 / health.samples)
        health.mean += weight * (value - health.mean)
        if health.samples >= self._min_samples:
            if self._is_slow(health, health.mean):
                self._eject(health)
            elif health.samples >= 4 * self._min_samples:
                health.level = 0

    def _is_slow(self, health: _Health, value: float) -> bool:
        others = [
            other.mean
            for other in self._replicas.values()
            if other is not health and other.samples >= self._min_samples
        ]
        if not others:
            return False
        return value > self._slow_factor * statistics.median(others)

    def _eject(self, health: _Health) -> None:
        if not health.is_ejected:
            ejected = sum(other.is_ejected for other in self._replicas.values())
            if ejected + 1 > self._max_fraction * len(self._replicas):
                return
        seconds = min(self._cap, self._base * 2.0**health.level)
        health.is_ejected = True
        health.level = min(health.level + 1, 16)
        health.until = self._clock.read_monotonic() + seconds
        health.mean, health.samples, health.timeouts = 0.0, 0, 0

    def list_ejected(self) -> tuple[str, ...]:
        """Return the replicas that get no work or only probes."""
        return tuple(n for n, health in self._replicas.items() if health.is_ejected)
