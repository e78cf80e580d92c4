"""Expected request rates of programs, and admission by them."""

from attrs import evolve, field, frozen, validators

__all__ = ["Commitments", "Demand"]


@frozen(kw_only=True)
class Demand:
    """Requests that a program is expected to send, spread evenly over its run time.

    Attributes
    ----------
    requests : float
        Number of requests.
    seconds : float
        Run time of the program.
    """

    requests: float = field(validator=validators.gt(0))
    seconds: float = field(validator=validators.gt(0))

    @property
    def rate(self) -> float:
        """Requests per second."""
        return self.requests / self.seconds


class Commitments:
    """Demands of the programs admitted at one bucket.

    A program whose requests are refused midway wastes the rate it has already used.
    A program is therefore admitted only if the bucket will also cover its requests
    next to those of the programs admitted before.
    """

    def __init__(self) -> None:
        self._demands: list[tuple[float, float]] = []

    def __len__(self) -> int:
        return len(self._demands)

    def add(self, demand: Demand, now: float) -> None:
        """Add the demand of an admitted program."""
        self._demands.append((now + demand.seconds, demand.rate))
        self._demands.sort()

    def find_shortfall(
        self, demand: Demand, *, level: float, rate: float, burst: float, now: float
    ) -> float:
        """Return the tokens that will be missing if a program is admitted now.

        Parameters
        ----------
        level, rate, burst : float
            Tokens in the bucket now, tokens per second, and the maximum level.
        """
        self._demands = [
            (end, demand_rate) for end, demand_rate in self._demands if end > now
        ]
        if not self._demands:
            # A program that needs more than the bucket can ever supply is admitted
            # when no other runs.
            max_requests = max(1.0, burst + rate * demand.seconds)
            demand = evolve(demand, requests=min(demand.requests, max_requests))
        demands = sorted([*self._demands, (now + demand.seconds, demand.rate)])
        total_rate = sum(demand_rate for _, demand_rate in demands)
        shortfall, time = 1.0 - level, now
        for end, demand_rate in demands:
            level += (rate - total_rate) * (end - time)
            shortfall = max(shortfall, -level)
            level, time, total_rate = min(level, burst), end, total_rate - demand_rate
        return shortfall
