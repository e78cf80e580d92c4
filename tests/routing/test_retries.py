"""Retries stay a small fraction of the requests."""

import random

from fireflyspread.routing import RetryBudget, draw_backoff


class TestRetryBudget:
    """RetryBudget."""

    def test_one_in_ten(self) -> None:
        """Guards against retries that multiply the load of an overloaded target."""
        budget = RetryBudget(fraction=0.1, burst=5.0)
        taken = 0
        for _ in range(1000):
            budget.add_request()
            taken += budget.take()
        assert 100 <= taken <= 105


class TestDrawBackoff:
    """draw_backoff."""

    def test_is_bounded(self) -> None:
        """Guards against unbounded delays, and against retries at the same time."""
        rng = random.Random(1)
        draws = [draw_backoff(rng, 50, max_delay=2.0) for _ in range(100)]
        assert max(draws) <= 2.0
        assert len(set(draws)) == 100
