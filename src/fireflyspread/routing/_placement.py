"""Which replica runs a request."""

import abc
import random
from collections.abc import Sequence

from attrs import define, field

from fireflyspread.bundle import Replica
from fireflyspread.routing._scheduler import LoadReport, Work

__all__ = [
    "LeastReportedLoadPlacement",
    "Placement",
    "PrefixAwarePlacement",
    "ReplicaState",
    "RoundRobinPlacement",
]


@define(eq=False, kw_only=True)
class ReplicaState:
    """What this node knows of one replica.

    Attributes
    ----------
    running : int
        Requests of this node in flight.
    report : LoadReport or None
        None when there is none or the last one is too old.
    running_at_report : int
        Requests of this node in flight when the report arrived.
    service_seconds : float
        Mean time of a request.
    peaks : tuple of int
        Most requests of this node in flight at once, since the last report and
        between the two last ones.
    in_flight : dict of str to tuple
        Start in monotonic seconds and cost of each request of this node that does
        not count as late yet.
    alone : str or None
        Suspected request that has the replica to itself.
    reserved_for : str or None
        Suspected request for which the replica is being emptied.
    """

    replica: Replica
    concurrency: int
    running: int = 0
    report: LoadReport | None = None
    running_at_report: int = 0
    service_seconds: float = 0.0
    peaks: tuple[int, int] = (0, 0)
    in_flight: dict[str, tuple[float, float]] = field(factory=dict)
    alone: str | None = None
    reserved_for: str | None = None

    def estimate_load(self) -> int:
        """Return the requests on the replica: reported, and of this node since."""
        if self.report is None:
            return self.running
        others = self.report.running + self.report.waiting - self.running_at_report
        return max(0, others) + self.running

    def start(self, request: str, now: float, cost: float) -> None:
        """Take note of a request of this node."""
        self.running += 1
        self.peaks = (max(self.peaks[0], self.running), self.peaks[1])
        self.in_flight[request] = (now, cost)

    def finish(self, request: str) -> bool:
        """Take note of its end; return whether it did not count as late before."""
        self.running -= 1
        return self.in_flight.pop(request, None) is not None

    def take_report(self, report: LoadReport) -> None:
        """Store a load report."""
        self.report = report
        self.running_at_report = self.running
        self.peaks = (self.running, self.peaks[0])

    def is_shared(self) -> bool:
        """Return whether the replica surely had requests of other nodes lately.

        The report is late, so it may count requests of this node that have ended;
        the peaks allow for them.
        """
        if self.report is None:
            return False
        return self.report.running + self.report.waiting > max(self.peaks)

    def is_full(self, guaranteed: int) -> bool:
        """Return whether the concurrency limit is reached.

        Other nodes' requests count only beyond ``guaranteed`` requests of this node.
        Otherwise a node without requests in flight would never see a free place on a
        busy replica.
        """
        if self.running >= self.concurrency:
            return True
        return self.running >= guaranteed and self.estimate_load() >= self.concurrency

    def get_cache_pressure(self) -> float:
        """Return the used fraction of the KV cache, 0 when unknown."""
        if self.report is None or self.report.cache_capacity <= 0:
            return 0.0
        return self.report.cache_used / self.report.cache_capacity


class Placement(abc.ABC):
    """Chooses among replicas that have a place free."""

    @abc.abstractmethod
    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        """Return a replica of ``free``, or None to wait for the holder.

        Parameters
        ----------
        free : sequence of ReplicaState
            Not empty.
        holder : ReplicaState or None
            Replica that holds the prefix, if it may be used; perhaps not in ``free``.
        waited : float
            Seconds since the request was queued.
        """


class PrefixAwarePlacement(Placement):
    """The holder of the prefix, else the better of two random replicas.

    The holder is given up when waiting for it takes longer than computing the
    prefix again.

    Parameters
    ----------
    zone : str
        Preferred between replicas of equal load.
    prefill_rate : float
        Prompt tokens that a replica computes per second.
    uses_holder : bool
        False ignores prefixes.
    """

    def __init__(
        self,
        rng: random.Random,
        *,
        zone: str = "",
        prefill_rate: float = 8_000.0,
        uses_holder: bool = True,
    ) -> None:
        self._rng = rng
        self._zone = zone
        self._prefill_rate = prefill_rate
        self._uses_holder = uses_holder

    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        if holder is not None and self._uses_holder:
            recompute = work.prefix_tokens / self._prefill_rate
            if waited + _estimate_delay(holder) <= recompute:
                return holder if holder in free else None
        if len(free) > 2:
            free = self._rng.sample(free, 2)
        return min(free, key=self._score)

    def _score(self, state: ReplicaState) -> tuple[float, int, bool]:
        # A full cache evicts sessions, which costs more than another zone does.
        return (
            state.estimate_load() / state.concurrency,
            round(state.get_cache_pressure() * 10),
            state.replica.zone != self._zone,
        )


def _estimate_delay(state: ReplicaState) -> float:
    excess = state.estimate_load() - state.concurrency + 1
    return max(0, excess) * state.service_seconds / state.concurrency


class RoundRobinPlacement(Placement):
    """Baseline: one replica after the other."""

    def __init__(self) -> None:
        self._last = ""

    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        states = sorted(free, key=lambda state: state.replica.name)
        later = [state for state in states if state.replica.name > self._last]
        chosen = (later or states)[0]
        self._last = chosen.replica.name
        return chosen


class LeastReportedLoadPlacement(Placement):
    """Baseline: the least load as reported, however old the report is."""

    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        return min(free, key=_get_reported_load)


def _get_reported_load(state: ReplicaState) -> tuple[int, str]:
    report = state.report
    load = 0 if report is None else report.running + report.waiting
    return (load, state.replica.name)
