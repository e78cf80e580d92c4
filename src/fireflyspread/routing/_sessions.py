"""How long an engine keeps the KV cache of a program during a tool pause."""

import statistics
from collections import deque

from attrs import define, frozen

from fireflyspread.clock import Clock

__all__ = ["SessionKeeper"]

_SAMPLES = 32
# A program's own pauses count once there are this many of them.
_OWN_SAMPLES = 3


@frozen
class _Pause:
    replica: str
    route: str
    tokens: int
    began_at: float


@define
class _Pauses:
    """The last pauses, in seconds."""

    samples: deque[float]

    def estimate_rest(self, waited: float) -> float:
        longer = [sample - waited for sample in self.samples if sample > waited]
        if longer:
            return statistics.median(longer)
        # Longer than ever seen. What has lasted long is likely to last as long again.
        return waited


class SessionKeeper:
    """Weighs the rest of a pause against the memory pressure of the replica.

    Computing a prefix again and holding it both cost in proportion to its tokens, so
    the tokens cancel out: a session is worth keeping while the expected rest of its
    pause is short enough. How short depends on the memory pressure. Sessions with
    the longest expected rest are released first.

    Parameters
    ----------
    default_pause : float
        Seconds expected on a route without observations.
    longest : float
        Seconds of rest for which a session is kept without memory pressure.
    shortest : float
        Seconds of rest for which a session is kept on a replica that is full.
    low, high : float
        Used fractions of the cache. Below ``low`` there is no pressure; releases
        stop when the cache is down to it. At ``high`` the replica counts as full. The
        defaults leave pressure to the engine, which drops the session used longest
        ago: releases before that did not help (docs/measurements/policies.md).
    """

    def __init__(
        self,
        clock: Clock,
        *,
        default_pause: float = 10.0,
        longest: float = 600.0,
        shortest: float = 2.0,
        low: float = 1.0,
        high: float = 1.1,
    ) -> None:
        self._clock = clock
        self._default_pause = default_pause
        self._longest = longest
        self._shortest = shortest
        self._low = low
        self._high = high
        self._pauses: dict[str, _Pause] = {}
        self._programs: dict[str, _Pauses] = {}
        self._routes: dict[str, _Pauses] = {}

    def begin_pause(self, program: str, replica: str, route: str, tokens: int) -> None:
        """Take note that a program waits for a tool.

        Parameters
        ----------
        route : str
            Route of the tool; empty when the program waits for its caller.
        tokens : int
            Size of the session on the replica.
        """
        now = self._clock.read_monotonic()
        self._pauses[program] = _Pause(replica, route, tokens, now)

    def end_pause(self, program: str) -> None:
        """Take note that the next turn of a program has come."""
        pause = self._pauses.pop(program, None)
        if pause is None:
            return
        seconds = self._clock.read_monotonic() - pause.began_at
        for table, key in ((self._programs, program), (self._routes, pause.route)):
            pauses = table.setdefault(key, _Pauses(deque(maxlen=_SAMPLES)))
            pauses.samples.append(seconds)

    def forget(self, program: str) -> None:
        """Forget a program that has ended."""
        self._pauses.pop(program, None)
        self._programs.pop(program, None)

    def estimate_rest(self, program: str) -> float:
        """Return the expected seconds until the next turn of a paused program."""
        pause = self._pauses[program]
        waited = self._clock.read_monotonic() - pause.began_at
        own = self._programs.get(program)
        if own is not None and len(own.samples) >= _OWN_SAMPLES:
            return own.estimate_rest(waited)
        route = self._routes.get(pause.route)
        if route is not None:
            return route.estimate_rest(waited)
        return max(self._default_pause - waited, waited)

    def get_longest_rest(self, pressure: float) -> float:
        """Return the rest in seconds for which a session is kept.

        Parameters
        ----------
        pressure : float
            Used fraction of the replica's cache.
        """
        part = (pressure - self._low) / (self._high - self._low)
        part = min(1.0, max(0.0, part))
        return self._longest * (self._shortest / self._longest) ** part

    def choose_releases(
        self, replica: str, cache_used: int, cache_capacity: int
    ) -> tuple[str, ...]:
        """Return the programs whose sessions the replica should release now."""
        if cache_capacity <= 0:
            return ()
        paused = sorted(
            (
                (self.estimate_rest(program), program, pause.tokens)
                for program, pause in self._pauses.items()
                if pause.replica == replica
            ),
            reverse=True,
        )
        chosen = []
        for rest, program, tokens in paused:
            pressure = cache_used / cache_capacity
            if rest <= self.get_longest_rest(pressure):
                break
            chosen.append(program)
            cache_used -= tokens
        return tuple(chosen)
