"""Event loop in virtual time, which advances only while no callback can run."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from fireflyspread.clock import Clock

T = TypeVar("T")


class _Selector(selectors.SelectSelector):
    """Advances the loop's time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout is None:
            raise RuntimeError("deadlock: every task waits and no timer is scheduled")
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop in virtual time; its tasks must not do I/O."""

    def __init__(self) -> None:
        self._virtual_selector = _Selector()
        super().__init__(self._virtual_selector)
        # The selector adds the exact delay of the next timer. With the default
        # resolution, a rounding error could make the loop spin with a zero delay.
        self._clock_resolution = 1e-9

    def time(self) -> float:
        return self._virtual_selector.now


class LoopClock(Clock):
    """Clock that reads the time of a loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop

    def read_monotonic(self) -> float:
        return self._loop.time()

    def read_wall(self) -> float:
        return self._loop.time()


def run_virtual(main: Coroutine[Any, Any, T]) -> T:
    """Run ``main`` in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
