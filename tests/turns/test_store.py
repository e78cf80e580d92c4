"""Tests of turns in the store."""

from fireflyspread.turns import count_batch
from tests.turns.test_turn import make_turn


class TestCountBatch:
    def test_holds_as_many_turns_as_a_transaction(self):
        """Guards against transactions that the store refuses."""
        assert count_batch(make_turn() for _ in range(100)) == 32
        assert count_batch([make_turn()] * 3) == 3
        assert count_batch([]) == 0

    def test_holds_long_chains_in_small_numbers(self):
        """Guards against one write of megabytes after an outage."""
        long = make_turn(parts=(bytes(200_000), b""))
        assert count_batch([long] * 9) == 2
        assert count_batch([make_turn(parts=(bytes(600_000), b""))] * 2) == 1
