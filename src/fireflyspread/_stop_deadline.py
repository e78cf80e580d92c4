"""Deadline of a process that stops, for all that it still does."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from fireflyspread.clock import Clock

__all__ = ["StopDeadline"]


class StopDeadline:
    """Ends running work when the process has to stop.

    Attributes
    ----------
    at : float
        Monotonic seconds; infinite until the process stops.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._timeouts: set[asyncio.Timeout] = set()
        self.at = float("inf")

    def set(self, at: float) -> None:
        """End all work, also what is running, until ``at`` in monotonic seconds."""
        self.at = at
        when = asyncio.get_running_loop().time() + self._read_remaining(at)
        for timeout in self._timeouts:
            if not timeout.expired():
                timeout.reschedule(min(when, timeout.when() or when))

    @contextlib.asynccontextmanager
    async def limit(self, deadline: float = float("inf")) -> AsyncIterator[None]:
        """Raise ``TimeoutError`` at a deadline, or when the process has to stop."""
        remaining = self._read_remaining(min(deadline, self.at))
        is_limited = remaining < float("inf")
        async with asyncio.timeout(remaining if is_limited else None) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def _read_remaining(self, deadline: float) -> float:
        return max(0.0, deadline - self._clock.read_monotonic())
