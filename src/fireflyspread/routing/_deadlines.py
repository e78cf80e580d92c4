"""Estimate of the time until a waiting request starts."""

__all__ = ["WaitEstimator"]

# Weight of the newest request in the means.
_SMOOTHING = 0.05


class WaitEstimator:
    """Learns how long a target takes for a unit of cost.

    The estimate is a lower bound as far as possible, because a request refused in
    vain is worse than one that is refused later.

    Parameters
    ----------
    min_samples : int
        Answers before anything is refused by estimate.
    """

    def __init__(self, *, min_samples: int = 20) -> None:
        self._min_samples = min_samples
        self._samples = 0
        self._seconds = 0.0
        self._cost = 0.0

    def record(self, cost: float, seconds: float) -> None:
        """Take note of an answered request."""
        self._samples += 1
        weight = max(_SMOOTHING, 1.0 / self._samples)
        self._seconds += weight * (seconds - self._seconds)
        self._cost += weight * (cost - self._cost)

    @property
    def seconds_per_cost(self) -> float:
        """Mean time of a unit of cost on one place of a replica; 0 when unknown."""
        if self._samples < self._min_samples or self._cost <= 0:
            return 0.0
        return self._seconds / self._cost

    def estimate(self, cost_ahead: float, places: int) -> float:
        """Return the seconds until ``places`` places have served ``cost_ahead``."""
        return cost_ahead * self.seconds_per_cost / max(1, places)
