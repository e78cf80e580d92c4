"""Deadline of a process that stops."""

import asyncio

import pytest

from fireflyspread._stop_deadline import StopDeadline
from tests.routing.virtual_time import LoopClock, run_virtual


class TestStopDeadline:
    @pytest.mark.parametrize(
        ("deadline", "stop_after", "expected"),
        [(5.0, None, 5.0), (5.0, 2.0, 3.0), (2.0, 5.0, 2.0), (float("inf"), 2.0, 3.0)],
    )
    def test_earlier_one_ends_running_work(self, deadline, stop_after, expected):
        """Guards against work that outlives the grace of a stop.

        The stop is announced after one second.
        """

        async def play() -> float:
            loop = asyncio.get_running_loop()
            stop = StopDeadline(LoopClock(loop))
            started_at = loop.time()
            if stop_after is not None:
                loop.call_later(1.0, lambda: stop.set(loop.time() + stop_after))
            with pytest.raises(TimeoutError):
                async with stop.limit(started_at + deadline):
                    await asyncio.sleep(60.0)
            return loop.time() - started_at

        assert run_virtual(play()) == pytest.approx(expected)

    def test_work_that_begins_later_is_limited_too(self):
        """Guards against requests that are taken while the process stops."""

        async def play() -> float:
            loop = asyncio.get_running_loop()
            stop = StopDeadline(LoopClock(loop))
            stop.set(loop.time() + 2.0)
            await asyncio.sleep(1.0)
            started_at = loop.time()
            with pytest.raises(TimeoutError):
                async with stop.limit():
                    await asyncio.sleep(60.0)
            return loop.time() - started_at

        assert run_virtual(play()) == pytest.approx(1.0)
