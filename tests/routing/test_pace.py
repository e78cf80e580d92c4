"""Turns ranked by whether their program can still be in time."""

import asyncio
import heapq
import random

import pytest

from fireflyspread.routing import Pace, Progress, judge_pace, rank_engine_work
from tests.routing.virtual_time import run_virtual

# A small engine: places, seconds of a turn, tokens of a turn.
PLACES = 4
TURN_SECONDS = 0.1
TURN_TOKENS = 72
THINK_SECONDS = 0.06
# Callers allow 1.6 times the idle time, and half as many tokens again.
ALLOWED = 1.6


class _Engine:
    """Runs the most urgent of the turns that wait, first come first within a rank."""

    def __init__(self) -> None:
        self._free = PLACES
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._count = 0

    async def run(self, priority: int) -> None:
        if self._free:
            self._free -= 1
        else:
            turn = asyncio.get_running_loop().create_future()
            self._count += 1
            heapq.heappush(self._waiting, (priority, self._count, turn))
            await turn
        await asyncio.sleep(TURN_SECONDS)
        if self._waiting:
            heapq.heappop(self._waiting)[2].set_result(None)
        else:
            self._free += 1


async def _play(seed: int, *, is_paced: bool) -> tuple[int, int]:
    """Play a burst; return the programs and how many were in time."""
    loop, rng, engine = asyncio.get_running_loop(), random.Random(seed), _Engine()
    in_time = 0

    async def run_program(turns: int) -> None:
        nonlocal in_time
        seconds = ALLOWED * turns * (TURN_SECONDS + THINK_SECONDS)
        deadline = loop.time() + seconds
        budget = round(1.5 * turns * TURN_TOKENS)
        for done in range(turns):
            pace = Pace.STEADY
            if is_paced:
                pace = judge_pace(
                    deadline - loop.time(),
                    Progress(budget=budget, used=done * TURN_TOKENS, seconds=seconds),
                )
            await engine.run(rank_engine_work(0, pace))
            if loop.time() > deadline + seconds:
                return
            await asyncio.sleep(THINK_SECONDS)
        in_time += loop.time() <= deadline

    tasks, end = [], loop.time() + 30.0
    capacity = PLACES / TURN_SECONDS
    while loop.time() < end:
        # A burst of half as much again as the engine can serve, of 6 s in 15.
        load = 1.5 if loop.time() % 15.0 < 6.0 else 0.6
        await asyncio.sleep(rng.expovariate(load * capacity / 5.5))
        tasks.append(asyncio.create_task(run_program(rng.randint(1, 10))))
    await asyncio.gather(*tasks)
    return len(tasks), in_time


class TestBurst:
    @pytest.mark.parametrize("seed", range(6))
    def test_more_programs_are_in_time(self, seed):
        """Guards against a burst that makes all programs late by a little."""
        _, paced = run_virtual(_play(seed, is_paced=True))
        _, plain = run_virtual(_play(seed, is_paced=False))
        assert paced > plain


class TestJudgePace:
    @pytest.mark.parametrize(
        ("remaining", "used", "pace"),
        [
            (10.0, 0, Pace.STEADY),
            (6.0, 450, Pace.STEADY),
            (6.0, 200, Pace.STEADY),
            (3.0, 100, Pace.HOPELESS),
            (3.0, 950, Pace.STEADY),
            (-0.1, 900, Pace.LATE),
        ],
    )
    def test_work_against_time(self, remaining, used, pace):
        """Guards against precedence for programs that gain nothing by it."""
        progress = Progress(budget=1500, used=used, seconds=10.0)
        assert judge_pace(remaining, progress) is pace

    def test_nothing_known(self):
        """Guards against programs that count as hopeless because they tell little."""
        assert judge_pace(1.0, None) is Pace.STEADY

    def test_classes_stay_in_order(self):
        """Guards against a late class that goes before a more urgent one."""
        ranks = [rank_engine_work(rank, Pace.STEADY) for rank in range(4)]
        assert ranks == sorted(set(ranks))
        assert max(ranks) < rank_engine_work(0, Pace.HOPELESS)
        assert rank_engine_work(0, Pace.HOPELESS) < rank_engine_work(0, Pace.LATE)
