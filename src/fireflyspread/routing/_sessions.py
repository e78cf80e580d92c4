"""Retention of program sessions in the KV caches of engines during tool pauses."""

import statistics
from collections import deque

from attrs import define, frozen

from fireflyspread.clock import Clock

__all__ = ["SessionRetentionPolicy"]

_MAX_SAMPLES = 32
# With fewer pauses of its own, a program is judged by those of the route.
_MIN_OWN_SAMPLES = 3


@frozen
class _Pause:
    replica: str
    route: str
    tokens: int
    started_at: float


@define
class _PauseTimes:
    """Seconds of the latest pauses."""

    samples: deque[float]

    def estimate_remaining(self, waited: float) -> float:
        longer = [sample - waited for sample in self.samples if sample > waited]
        if longer:
            return statistics.median(longer)
        # The pause is longer than all samples. A pause that has lasted long is likely
        # to last as long again.
        return waited


class SessionRetentionPolicy:
    """Decides which sessions of paused programs a replica should release.

    The costs of computing a prefix again and of keeping it are both proportional to
    its tokens, so the tokens cancel out: a session is kept while the expected
    remaining time of its pause is within a limit. The limit falls as the KV cache of
    the replica fills. Sessions with the longest expected remaining pause are released
    first.

    Parameters
    ----------
    default_pause : float
        Seconds expected on a route without observations.
    max_remaining : float
        Limit in seconds up to the low watermark.
    min_remaining : float
        Limit in seconds from the high watermark on.
    low_watermark, high_watermark : float
        Used fractions of the cache. The defaults leave memory pressure to the engine,
        which evicts the least recently used session: an earlier release shows no
        benefit (docs/measurements/policies.md).
    """

    def __init__(
        self,
        clock: Clock,
        *,
        default_pause: float = 10.0,
        max_remaining: float = 600.0,
        min_remaining: float = 2.0,
        low_watermark: float = 1.0,
        high_watermark: float = 1.1,
    ) -> None:
        self._clock = clock
        self._default_pause = default_pause
        self._max_remaining = max_remaining
        self._min_remaining = min_remaining
        self._low_watermark = low_watermark
        self._high_watermark = high_watermark
        self._open_pauses: dict[str, _Pause] = {}
        self._program_pauses: dict[str, _PauseTimes] = {}
        self._route_pauses: dict[str, _PauseTimes] = {}

    def begin_pause(self, program: str, replica: str, route: str, tokens: int) -> None:
        """Record that a program waits for a tool.

        Parameters
        ----------
        route : str
            Route of the tool; empty when the program waits for its caller.
        tokens : int
            Size of the session on the replica.
        """
        now = self._clock.read_monotonic()
        self._open_pauses[program] = _Pause(replica, route, tokens, now)

    def end_pause(self, program: str) -> None:
        """Record that the next turn of a program has arrived."""
        pause = self._open_pauses.pop(program, None)
        if pause is None:
            return
        seconds = self._clock.read_monotonic() - pause.started_at
        for table, key in (
            (self._program_pauses, program),
            (self._route_pauses, pause.route),
        ):
            pauses = table.setdefault(key, _PauseTimes(deque(maxlen=_MAX_SAMPLES)))
            pauses.samples.append(seconds)

    def forget(self, program: str) -> None:
        """Forget a program that has ended."""
        self._open_pauses.pop(program, None)
        self._program_pauses.pop(program, None)

    def estimate_remaining(self, program: str) -> float:
        """Return the expected seconds until the next turn of a paused program."""
        pause = self._open_pauses[program]
        waited = self._clock.read_monotonic() - pause.started_at
        own = self._program_pauses.get(program)
        if own is not None and len(own.samples) >= _MIN_OWN_SAMPLES:
            return own.estimate_remaining(waited)
        route = self._route_pauses.get(pause.route)
        if route is not None:
            return route.estimate_remaining(waited)
        return max(self._default_pause - waited, waited)

    def get_max_remaining(self, pressure: float) -> float:
        """Return the seconds of remaining pause up to which a session is kept.

        Parameters
        ----------
        pressure : float
            Used fraction of the replica's cache.
        """
        fraction = (pressure - self._low_watermark) / (
            self._high_watermark - self._low_watermark
        )
        fraction = min(1.0, max(0.0, fraction))
        return (
            self._max_remaining
            * (self._min_remaining / self._max_remaining) ** fraction
        )

    def choose_releases(
        self, replica: str, cache_used: int, cache_capacity: int
    ) -> tuple[str, ...]:
        """Return the programs whose sessions the replica should release now."""
        if cache_capacity <= 0:
            return ()
        paused = sorted(
            (
                (self.estimate_remaining(program), program, pause.tokens)
                for program, pause in self._open_pauses.items()
                if pause.replica == replica
            ),
            reverse=True,
        )
        chosen = []
        for remaining, program, tokens in paused:
            pressure = cache_used / cache_capacity
            if remaining <= self.get_max_remaining(pressure):
                break
            chosen.append(program)
            cache_used -= tokens
        return tuple(chosen)
