"""Clocks, passed to code that depends on time so that tests can control it."""

import abc
import time

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(abc.ABC):
    """Source of time in seconds."""

    @abc.abstractmethod
    def read_monotonic(self) -> float:
        """Return monotonic seconds, comparable only inside this process."""

    @abc.abstractmethod
    def read_wall(self) -> float:
        """Return seconds since the Unix epoch."""


class SystemClock(Clock):
    """Clock of the operating system."""

    def read_monotonic(self) -> float:
        # CLOCK_BOOTTIME also advances while a VM is suspended, so that deadlines
        # pass during a suspension.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def read_wall(self) -> float:
        return time.time()


class ManualClock(Clock):
    """Clock that only ``advance`` moves.

    Parameters
    ----------
    start : float
        First reading in seconds.
    """

    def __init__(self, start: float = 1_000.0) -> None:
        self._now = start

    def read_monotonic(self) -> float:
        return self._now

    def read_wall(self) -> float:
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the clock forward by ``seconds``."""
        self._now += seconds
