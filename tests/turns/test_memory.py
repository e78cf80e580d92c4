"""Tests of the memory of recent turns."""

from fireflyspread.clock import ManualClock
from fireflyspread.turns import TurnMemory
from tests.turns.test_turn import make_turn


class TestTurnMemory:
    def test_gives_memory_back_after_the_retention(self):
        """Guards against turns that stay in memory for good."""
        clock = ManualClock()
        memory = TurnMemory(clock, max_bytes=1000)
        memory.add(make_turn("t0", ended_at=clock.read_wall()))
        clock.advance(71.0)
        assert memory.get("t0") is None
        memory.add(make_turn("t1", ended_at=clock.read_wall()))
        assert (len(memory), memory.size) == (1, 6)

    def test_is_bounded(self):
        """Guards against a node that runs out of memory under load."""
        clock = ManualClock()
        memory = TurnMemory(clock, max_bytes=100)
        for number in range(50):
            turn = make_turn(f"t{number}", ended_at=clock.read_wall())
            memory.add(turn)
        assert memory.size <= 100
        assert memory.get("t49") is not None
        assert memory.get("t0") is None

    def test_replaces_a_turn_that_is_added_again(self):
        """Guards against bytes that are counted twice."""
        clock = ManualClock()
        memory = TurnMemory(clock, max_bytes=100)
        for _ in range(3):
            memory.add(make_turn("t0", ended_at=clock.read_wall()))
        assert (len(memory), memory.size) == (1, 6)
