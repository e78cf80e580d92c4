"""What programs that have begun will still ask of a team's rate."""

from attrs import evolve, field, frozen, validators

__all__ = ["Commitments", "Demand"]


@frozen(kw_only=True)
class Demand:
    """Requests that a program is expected to send, spread evenly over its time.

    Attributes
    ----------
    requests : float
        All requests of the program.
    seconds : float
        Time that the program takes.
    """

    requests: float = field(validator=validators.gt(0))
    seconds: float = field(validator=validators.gt(0))

    @property
    def rate(self) -> float:
        """Requests per second."""
        return self.requests / self.seconds


class Commitments:
    """Demands of the programs that were let begin at one bucket.

    A program whose requests are refused midway has used its team's rate for nothing.
    So a program begins only if the bucket will hold its requests beside those of the
    programs that began before.
    """

    def __init__(self) -> None:
        self._demands: list[tuple[float, float]] = []

    def __len__(self) -> int:
        return len(self._demands)

    def add(self, demand: Demand, now: float) -> None:
        """Take note of a program that begins."""
        self._demands.append((now + demand.seconds, demand.rate))
        self._demands.sort()

    def find_shortfall(
        self, demand: Demand, *, level: float, rate: float, burst: float, now: float
    ) -> float:
        """Return the tokens that will be missing if a program begins now.

        Parameters
        ----------
        level, rate, burst : float
            Tokens of the bucket now, per second and at most.
        """
        self._demands = [(end, each) for end, each in self._demands if end > now]
        if not self._demands:
            # A program that needs more than the bucket can ever hold begins alone.
            most = max(1.0, burst + rate * demand.seconds)
            demand = evolve(demand, requests=min(demand.requests, most))
        demands = sorted([*self._demands, (now + demand.seconds, demand.rate)])
        wanted = sum(each for _, each in demands)
        shortfall, time = 1.0 - level, now
        for end, each in demands:
            level += (rate - wanted) * (end - time)
            shortfall = max(shortfall, -level)
            level, time, wanted = min(level, burst), end, wanted - each
        return shortfall
