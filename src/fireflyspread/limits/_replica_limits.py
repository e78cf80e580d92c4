"""Limits that replicas name for the requests of all nodes together."""

import logging
from collections.abc import Callable, Mapping

from attrs import frozen

from fireflyspread.clock import Clock

__all__ = ["ReplicaLimits"]

_LOG = logging.getLogger(__name__)

# Seconds after which a limit that no answer has confirmed is forgotten. A replica that
# is used confirms it with each answer.
_LIMIT_TTL = 300.0
# Seconds for which the end of a limit is remembered, so that an older report of another
# node does not restore it.
_END_TTL = 10.0


@frozen
class _Limit:
    """What an answer said last.

    Attributes
    ----------
    rate : float or None
        Requests per second; None if the replica no longer names a limit.
    seen_at : float
        Monotonic seconds.
    """

    rate: float | None
    seen_at: float


class ReplicaLimits:
    """Remembers the limits that replicas named, by replica process.

    Listeners are called after a limit was named, changed or ended.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._listeners: list[Callable[[], None]] = []
        self._limits: dict[str, _Limit] = {}

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Call ``listener`` after each change."""
        self._listeners.append(listener)

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def record(self, process: str, rate: float | None, *, sent_at: float) -> None:
        """Record what an answer said.

        Parameters
        ----------
        rate : float or None
            Requests per second; None if the answer named no limit.
        sent_at : float
            Monotonic seconds at which the request was sent.
        """
        known = self._limits.get(process)
        # An answer may overtake one that was sent later and named the limit.
        if rate is None and (known is None or sent_at <= known.seen_at):
            return
        now = self._clock.read_monotonic()
        if self._set(process, _Limit(rate, now), source="answer"):
            self._notify()

    def merge(
        self, node: str, limits: Mapping[str, tuple[float | None, float]]
    ) -> None:
        """Take over what another node knows: rate and age in seconds by process."""
        now = self._clock.read_monotonic()
        has_changed = False
        for process, (rate, age) in limits.items():
            known = self._limits.get(process)
            limit = _Limit(rate, now - max(0.0, age))
            if known is None or known.seen_at < limit.seen_at:
                has_changed |= self._set(process, limit, source=node)
        if has_changed:
            self._notify()

    def _set(self, process: str, limit: _Limit, *, source: str) -> bool:
        known = self._limits.get(process)
        before = None if known is None else known.rate
        self._limits[process] = limit
        if before == limit.rate:
            return False
        _LOG.info(
            "limit of a replica changed",
            extra={
                "replica": process,
                "limit": limit.rate,
                "before": before,
                "source": source,
            },
        )
        return True

    def find(self, process: str) -> float | None:
        """Return the requests per second that a replica takes; None if unlimited."""
        limit = self._limits.get(process)
        return None if limit is None else limit.rate

    def list_rates(self) -> dict[str, float]:
        """Return the limits in force by process."""
        return {
            process: limit.rate
            for process, limit in self._limits.items()
            if limit.rate is not None
        }

    def list_known(self) -> dict[str, tuple[float | None, float]]:
        """Return what other nodes should know: rate and age in seconds by process."""
        now = self._clock.read_monotonic()
        return {
            process: (limit.rate, now - limit.seen_at)
            for process, limit in self._limits.items()
        }

    def expire(self) -> None:
        """Forget limits that no answer has confirmed for long."""
        now = self._clock.read_monotonic()
        rates = self.list_rates()
        self._limits = {
            process: limit
            for process, limit in self._limits.items()
            if now - limit.seen_at < (_END_TTL if limit.rate is None else _LIMIT_TTL)
        }
        if self.list_rates() != rates:
            self._notify()
