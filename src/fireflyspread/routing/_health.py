"""Outlier ejection of replicas that fail or are much slower than their peers."""

import copy
import math
import statistics
from collections.abc import Iterable

from attrs import define

from fireflyspread.clock import Clock
from fireflyspread.routing._scheduler import Result

__all__ = ["ReplicaHealth"]

_FAILURES = frozenset({Result.BROKEN, Result.CRASHED, Result.UNREACHABLE})
# Weight of the newest request in the moving averages.
_SMOOTHING = 0.2
# A moving average with that weight has the variance of a mean of this many samples.
_EFFECTIVE_SAMPLES = (2 - _SMOOTHING) / _SMOOTHING
# Seconds. Shorter than for slow replicas, because probing a replica that is down
# costs little.
_MAX_FAILURE_EJECTION = 5.0
# Standard errors by which a replica must be slower, so that highly variable request
# times alone do not eject replicas.
_MIN_STANDARD_ERRORS = 3.0
# A request in flight is judged by the time so far, so the threshold is higher.
_OVERDUE_FACTOR = 1.5
# Seconds after which a probe that has not failed counts as accepted. Waiting for the
# answer, which may take a minute, would leave a recovered replica idle.
_PROBE_ACCEPTED_SECONDS = 1.0


@define
class _Health:
    """Health of one replica.

    Attributes
    ----------
    mean, variance : float
        Of the natural logarithm of seconds per unit of cost.
    samples : int
        Answers in the mean.
    timeouts, broken : int
        Since the last answer or ejection.
    backoff_exponent : int
        Doublings of the next ejection.
    ejected_until, probed_at : float
        Monotonic seconds.
    is_slow : bool
        Whether the replica was ejected because it was slow.
    """

    mean: float = 0.0
    variance: float = 0.0
    samples: int = 0
    timeouts: int = 0
    broken: int = 0
    backoff_exponent: int = 0
    ejected_until: float = 0.0
    is_ejected: bool = False
    is_slow: bool = False
    is_probing: bool = False
    probed_at: float = 0.0


class ReplicaHealth:
    """Ejects replicas of one target that fail or are slow.

    When its ejection ends, a replica gets one request as a probe. A replica that
    failed is readmitted when it accepts the probe, a slow one when it answers the
    probe as fast as the others do. Otherwise it is ejected for twice as long.

    Parameters
    ----------
    base_ejection : float
        Seconds of the first ejection.
    max_ejection : float
        Seconds; bounds the ejection of a slow replica.
    slow_factor : float
        Multiple of the target's median at which a replica counts as slow.
    min_samples : int
        Answers before a replica is compared with the others.
    max_ejected_fraction : float
        Fraction of the replicas that may be ejected, including one that is ejected
        because it is slow. If replicas fail, all but one may be ejected; 0 turns
        ejection off.
    consecutive_broken : int
        Broken answers without a complete one between them after which a replica that
        still accepts connections is ejected. Use more than 1 where replicas break
        single answers.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        base_ejection: float = 1.0,
        max_ejection: float = 30.0,
        slow_factor: float = 3.0,
        min_samples: int = 5,
        max_ejected_fraction: float = 0.5,
        consecutive_broken: int = 1,
    ) -> None:
        self._clock = clock
        self._base_ejection = base_ejection
        self._max_ejection = max_ejection
        self._slow_factor = slow_factor
        self._min_samples = min_samples
        self._max_ejected_fraction = max_ejected_fraction
        self._consecutive_broken = consecutive_broken
        self._replicas: dict[str, _Health] = {}

    def copy(self) -> "ReplicaHealth":
        """Return a copy whose changes do not affect this object."""
        health = copy.copy(self)
        health._replicas = {n: copy.copy(each) for n, each in self._replicas.items()}
        return health

    def set_replicas(self, names: Iterable[str]) -> None:
        """Add the replicas that are new and forget those not in ``names``."""
        self._replicas = {name: self._replicas.get(name, _Health()) for name in names}

    def may_use(self, replica: str) -> bool:
        """Return whether the replica may get a request now."""
        health = self._replicas.get(replica)
        if health is None or not health.is_ejected:
            return True
        now = self._clock.read_monotonic()
        if health.is_probing:
            if health.is_slow or now < health.probed_at + _PROBE_ACCEPTED_SECONDS:
                return False
            health.is_ejected = health.is_probing = False
            return True
        return now >= health.ejected_until

    def start(self, replica: str) -> None:
        """Record the start of a request; on an ejected replica it is the probe."""
        health = self._replicas.get(replica)
        if health is not None and health.is_ejected:
            health.is_probing = True
            health.probed_at = self._clock.read_monotonic()

    def record(self, replica: str, result: Result, seconds_per_cost: float) -> None:
        """Record how a request ended.

        Parameters
        ----------
        seconds_per_cost : float
            Seconds of the request divided by its cost, so that long requests do not
            make a replica look slow.
        """
        health = self._replicas.get(replica)
        if health is None:
            return
        was_probing, health.is_probing = health.is_probing, False
        if health.is_ejected and not was_probing:
            # The request started before the ejection, so its result is old.
            return
        if result is Result.BROKEN:
            health.broken += 1
            if was_probing or health.broken >= self._consecutive_broken:
                self._eject(health)
        elif result in _FAILURES:
            self._eject(health)
        elif result is Result.TIMED_OUT:
            health.timeouts += 1
            if was_probing or health.timeouts >= 3:
                self._eject(health)
        elif result is Result.ANSWERED:
            health.timeouts = health.broken = 0
            self._add_sample(health, seconds_per_cost)

    def is_overdue(self, replica: str, seconds_per_cost: float) -> bool:
        """Return whether a running request has taken as long as on a slow replica."""
        health = self._replicas.get(replica)
        others = [] if health is None else self._list_others(health)
        if not others:
            return False
        median = statistics.median(other.mean for other in others)
        return _log(seconds_per_cost) > median + math.log(
            _OVERDUE_FACTOR * self._slow_factor
        )

    def _add_sample(self, health: _Health, value: float) -> None:
        value = _log(value)
        if health.is_ejected:
            if self._is_slow(health, value, 1):
                self._eject(health, is_slow=True)
                return
            health.is_ejected = False
            health.mean, health.variance, health.samples = value, 0.0, 1
            return
        health.samples += 1
        weight = max(_SMOOTHING, 1.0 / health.samples)
        difference = value - health.mean
        health.mean += weight * difference
        health.variance = (1 - weight) * (health.variance + weight * difference**2)
        if health.samples >= self._min_samples:
            samples = min(health.samples, _EFFECTIVE_SAMPLES)
            if self._is_slow(health, health.mean, samples):
                self._eject(health, is_slow=True)
            elif health.samples >= 4 * self._min_samples:
                health.backoff_exponent = 0

    def _is_slow(self, health: _Health, value: float, samples: float) -> bool:
        """Return whether ``value``, the mean of ``samples``, is far above the others.

        The variance is that of the others, because a replica that has just become
        slow has a high variance itself.
        """
        others = self._list_others(health)
        if not others:
            return False
        median = statistics.median(other.mean for other in others)
        variance = statistics.median(other.variance for other in others)
        error = math.sqrt(variance * (1 / samples + 1 / _EFFECTIVE_SAMPLES))
        threshold = max(math.log(self._slow_factor), _MIN_STANDARD_ERRORS * error)
        return value - median > threshold

    def _list_others(self, health: _Health) -> list[_Health]:
        return [
            other
            for other in self._replicas.values()
            if other is not health and other.samples >= self._min_samples
        ]

    def _eject(self, health: _Health, *, is_slow: bool = False) -> None:
        if not health.is_ejected and not self._may_eject_another(is_slow):
            return
        max_seconds = self._max_ejection if is_slow else _MAX_FAILURE_EJECTION
        seconds = min(max_seconds, self._base_ejection * 2.0**health.backoff_exponent)
        health.is_ejected = True
        health.is_slow = is_slow
        health.backoff_exponent = min(health.backoff_exponent + 1, 16)
        health.ejected_until = self._clock.read_monotonic() + seconds
        health.mean, health.variance = 0.0, 0.0
        health.samples = health.timeouts = health.broken = 0

    def _may_eject_another(self, is_slow: bool) -> bool:
        """Return whether one more replica may be ejected."""
        ejected = sum(health.is_ejected for health in self._replicas.values())
        if is_slow:
            return ejected + 1 <= self._max_ejected_fraction * len(self._replicas)
        # A replica that is down looks idle, so it would attract all requests.
        return self._max_ejected_fraction > 0 and ejected + 1 < len(self._replicas)

    def list_ejected(self) -> tuple[str, ...]:
        """Return the replicas that get no requests except probes."""
        return tuple(n for n, health in self._replicas.items() if health.is_ejected)


def _log(seconds_per_cost: float) -> float:
    return math.log(max(seconds_per_cost, 1e-9))
