"""Retry budget and backoff."""

import random

__all__ = ["RetryBudget", "draw_backoff"]


class RetryBudget:
    """Allows retries up to a fraction of the requests.

    Parameters
    ----------
    fraction : float
        Retries that each first attempt adds to the budget.
    burst : float
        Maximum of the budget, and its initial value.
    """

    def __init__(self, *, fraction: float = 0.1, burst: float = 10.0) -> None:
        self._fraction = fraction
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that are left, with a fraction."""
        return self._tokens

    def add_request(self) -> None:
        """Refill the budget for a first attempt."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def take(self) -> bool:
        """Take one retry; False when none is left."""
        # In floating point, the sum of ten tenths is slightly less than one.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


def draw_backoff(
    rng: random.Random,
    attempt: int,
    *,
    base_delay: float = 0.05,
    max_delay: float = 2.0,
) -> float:
    """Return the seconds to wait before a retry, with full jitter.

    Parameters
    ----------
    attempt : int
        0 before the first retry.
    base_delay, max_delay : float
        Seconds. The upper bound of the draw starts at ``base_delay``, doubles with
        each attempt and is capped at ``max_delay``.
    """
    return rng.uniform(0.0, min(max_delay, base_delay * 2.0 ** min(attempt, 16)))
