"""Estimate of the time until a waiting request starts."""

__all__ = ["WaitEstimator"]

# Weight of the newest request in the moving averages.
_SMOOTHING = 0.05


class WaitEstimator:
    """Learns how long a target takes per unit of cost.

    The estimate errs on the low side, because refusing a request that would have
    started in time is worse than refusing it later.

    Parameters
    ----------
    min_samples : int
        Answers needed before an estimate is made.
    """

    def __init__(self, *, min_samples: int = 20) -> None:
        self._min_samples = min_samples
        self._samples = 0
        self._mean_seconds = 0.0
        self._mean_cost = 0.0

    def record(self, cost: float, seconds: float) -> None:
        """Record an answered request."""
        self._samples += 1
        weight = max(_SMOOTHING, 1.0 / self._samples)
        self._mean_seconds += weight * (seconds - self._mean_seconds)
        self._mean_cost += weight * (cost - self._mean_cost)

    @property
    def seconds_per_cost(self) -> float:
        """Mean seconds per unit of cost on one slot of a replica; 0 when unknown."""
        if self._samples < self._min_samples or self._mean_cost <= 0:
            return 0.0
        return self._mean_seconds / self._mean_cost

    def estimate(self, cost_ahead: float, slots: int) -> float:
        """Return the seconds until ``slots`` slots have served ``cost_ahead``."""
        return cost_ahead * self.seconds_per_cost / max(1, slots)
