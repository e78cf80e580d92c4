"""Retry budget and backoff."""

import random

__all__ = ["RetryBudget", "draw_backoff"]


class RetryBudget:
    """Allows retries up to a fraction of the requests.

    Parameters
    ----------
    fraction : float
        Retries for each request.
    burst : float
        Retries that may be saved up, and that are there at the start.
    """

    def __init__(self, *, fraction: float = 0.1, burst: float = 10.0) -> None:
        self._fraction = fraction
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that are left."""
        return self._tokens

    def add_request(self) -> None:
        """Earn the part of a retry that one first attempt allows."""
        self._tokens = min(self._burst, self._tokens + self._fraction)

    def take(self) -> bool:
        """Take one retry; False when none is left."""
        # The sum of ten tenths is slightly less than one.
        if self._tokens < 1.0 - 1e-9:
            return False
        self._tokens -= 1.0
        return True


def draw_backoff(
    rng: random.Random, attempt: int, *, base: float = 0.05, cap: float = 2.0
) -> float:
    """Return the seconds to wait before a retry, with full jitter.

    Parameters
    ----------
    attempt : int
        0 before the first retry.
    """
    return rng.uniform(0.0, min(cap, base * 2.0 ** min(attempt, 16)))
