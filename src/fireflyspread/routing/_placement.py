"""Placement of requests on replicas."""

import abc
import copy
import random
from collections.abc import Mapping, Sequence

from attrs import define, field, frozen

from fireflyspread.bundle import Replica
from fireflyspread.routing._long_prompts import PromptTokens
from fireflyspread.routing._replica_estimates import ReplicaEstimate
from fireflyspread.routing._scheduler import LoadReport, Work

__all__ = [
    "Choice",
    "LeastReportedLoadPlacement",
    "Placement",
    "PrefixAwarePlacement",
    "ReplicaFigures",
    "ReplicaState",
    "RoundRobinPlacement",
]


@define(eq=False, kw_only=True)
class ReplicaState:
    """State of one replica as seen by this node.

    Attributes
    ----------
    concurrency : int
        Slots: requests that the replica runs at once.
    running : int
        Requests of this node in flight.
    report : LoadReport or None
        None when there is none or the last one has expired.
    running_at_report : int
        Requests of this node in flight when the report arrived.
    service_seconds : float
        Moving average of the time of a request.
    running_peaks : tuple of int
        Maximum of ``running`` since the last report, and between the two last ones.
    in_flight : dict of str to tuple
        Start in monotonic seconds and cost of each request of this node that is not
        recorded as overdue.
    isolated_request : str or None
        Suspected request that runs on the replica in isolation.
    reserved_for : str or None
        Suspected request for which the replica is being drained.
    estimate : ReplicaEstimate
        Speed and load of a replica that reports its speed.
    held_tokens : dict of str to int
        Tokens of KV cache that each request of this node holds.
    prompt_tokens : PromptTokens
        Prompts of this node that the replica has yet to compute.
    """

    replica: Replica
    concurrency: int
    running: int = 0
    report: LoadReport | None = None
    running_at_report: int = 0
    service_seconds: float = 0.0
    running_peaks: tuple[int, int] = (0, 0)
    in_flight: dict[str, tuple[float, float]] = field(factory=dict)
    isolated_request: str | None = None
    reserved_for: str | None = None
    estimate: ReplicaEstimate = field(factory=ReplicaEstimate)
    held_tokens: dict[str, int] = field(factory=dict)
    prompt_tokens: PromptTokens = field(factory=PromptTokens)

    def estimate_load(self) -> int:
        """Return the requests on the replica: the reported ones, and ours since then.

        The load report counts requests of this node too, so those that were in flight
        when it arrived are replaced by those in flight now.
        """
        if self.report is None:
            return self.running
        others = self.report.running + self.report.waiting - self.running_at_report
        return max(0, others) + self.running

    def start(self, request: str, now: float, cost: float) -> None:
        """Record the start of a request of this node."""
        self.running += 1
        self.running_peaks = (
            max(self.running_peaks[0], self.running),
            self.running_peaks[1],
        )
        self.in_flight[request] = (now, cost)

    def finish(self, request: str) -> bool:
        """Record the end of a request; return False if it was recorded as overdue."""
        self.running -= 1
        self.held_tokens.pop(request, None)
        self.prompt_tokens.remove(request)
        return self.in_flight.pop(request, None) is not None

    def store_report(self, report: LoadReport) -> None:
        """Store a load report."""
        self.estimate.record(report, running=self.running)
        self.report = report
        self.running_at_report = self.running
        self.running_peaks = (self.running, self.running_peaks[0])

    def is_shared(self) -> bool:
        """Return whether other nodes certainly had requests on the replica recently.

        The report lags behind and may count requests of this node that have ended;
        the peaks allow for them.
        """
        if self.report is None:
            return False
        return self.report.running + self.report.waiting > max(self.running_peaks)

    def is_full(self, guaranteed_slots: int) -> bool:
        """Return whether the concurrency limit is reached.

        Other nodes' requests count only once this node uses ``guaranteed_slots``.
        Otherwise a node without requests in flight would never see a free slot on a
        busy replica.
        """
        if self.running >= self.concurrency:
            return True
        return (
            self.running >= guaranteed_slots
            and self.estimate_load() >= self.concurrency
        )

    def get_cache_pressure(self) -> float:
        """Return the used fraction of the KV cache, 0 when unknown."""
        if self.report is None or self.report.cache_capacity <= 0:
            return 0.0
        return self.report.cache_used / self.report.cache_capacity


@frozen(kw_only=True)
class ReplicaFigures:
    """Figures by which a placement compares a replica; None where it uses none.

    Attributes
    ----------
    uncached_tokens : int or None
        Tokens of the prompt that the replica is expected to compute.
    prompt_tokens : float or None
        Tokens of other prompts of this node that it has yet to compute.
    seconds : float or None
        Expected completion, or the expected delay if the placement compares delays.
    """

    uncached_tokens: int | None = None
    prompt_tokens: float | None = None
    seconds: float | None = None


@frozen(kw_only=True)
class Choice:
    """Replica that a placement would choose, and why.

    Attributes
    ----------
    replica : ReplicaState or None
        None to wait for the holder of the prefix.
    rule : str
        What decides.
    near : tuple of str
        Names of the replicas that the rule regards as equal, the chosen one among them.
    is_random : bool
        Whether the choice among several of them is random.
    without_room : frozenset of str
        Names of the free replicas that are left out for lack of memory or computing
        time.
    figures : mapping of str to ReplicaFigures
        Figures that were compared, by name.
    """

    replica: ReplicaState | None
    rule: str
    near: tuple[str, ...] = ()
    is_random: bool = False
    without_room: frozenset[str] = frozenset()
    figures: Mapping[str, ReplicaFigures] = field(factory=dict)


class Placement(abc.ABC):
    """Chooses among replicas that have a free slot."""

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
            Replicas with a free slot; not empty.
        holder : ReplicaState or None
            Replica that holds the prefix, if it may be used. It is missing from
            ``free`` when all its slots are taken.
        waited : float
            Seconds since the request was queued.
        """

    @abc.abstractmethod
    def explain(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> Choice:
        """Return what ``choose`` would return now, without changing anything.

        Random choices are made with a copy of the generator.
        """

    def list_figures(
        self, work: Work, states: Sequence[ReplicaState], free: Sequence[ReplicaState]
    ) -> dict[str, ReplicaFigures]:
        """Return the figures of replicas by name, as if all of them were free.

        Parameters
        ----------
        free : sequence of ReplicaState
            Replicas that are free, which decide what is compared.
        """
        return {}


class PrefixAwarePlacement(Placement):
    """Prefers the holder of the prefix, else the better of two random replicas.

    The holder is not waited for when that takes longer than to compute the prefix
    again.

    Parameters
    ----------
    zone : str
        Preferred between replicas of equal load and cache pressure.
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
        if self._prefers_holder(work, holder, waited):
            return holder if holder in free else None
        return self._choose_by_load(free, self._rng)

    def explain(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> Choice:
        if self._prefers_holder(work, holder, waited):
            return Choice(
                replica=holder if holder in free else None,
                rule="the replica holds the prefix",
            )
        return Choice(
            replica=self._choose_by_load(free, copy.copy(self._rng)),
            rule="the lower load of two random replicas",
            near=tuple(state.replica.name for state in free),
            is_random=len(free) > 2,
        )

    def _prefers_holder(
        self, work: Work, holder: ReplicaState | None, waited: float
    ) -> bool:
        if holder is None or not self._uses_holder:
            return False
        recompute_seconds = work.prefix_tokens / self._prefill_rate
        return waited + _estimate_delay(holder) <= recompute_seconds

    def _choose_by_load(
        self, free: Sequence[ReplicaState], rng: random.Random
    ) -> ReplicaState:
        if len(free) > 2:
            free = rng.sample(free, 2)
        return min(free, key=self._score)

    def _score(self, state: ReplicaState) -> tuple[float, int, bool]:
        # Evictions from a full cache cost more than traffic to another zone.
        return (
            state.estimate_load() / state.concurrency,
            round(state.get_cache_pressure() * 10),
            state.replica.zone != self._zone,
        )


def _estimate_delay(state: ReplicaState) -> float:
    excess = state.estimate_load() - state.concurrency + 1
    return max(0, excess) * state.service_seconds / state.concurrency


class RoundRobinPlacement(Placement):
    """Baseline: replicas in turn."""

    def __init__(self) -> None:
        self._last = ""

    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        chosen = self._find_next(free)
        self._last = chosen.replica.name
        return chosen

    def explain(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> Choice:
        return Choice(replica=self._find_next(free), rule="replicas in turn")

    def _find_next(self, free: Sequence[ReplicaState]) -> ReplicaState:
        states = sorted(free, key=lambda state: state.replica.name)
        later = [state for state in states if state.replica.name > self._last]
        return (later or states)[0]


class LeastReportedLoadPlacement(Placement):
    """Baseline: the lowest reported load; the requests sent since do not count."""

    def choose(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> ReplicaState | None:
        return min(free, key=_get_reported_load)

    def explain(
        self,
        work: Work,
        free: Sequence[ReplicaState],
        holder: ReplicaState | None,
        waited: float,
    ) -> Choice:
        return Choice(
            replica=self.choose(work, free, holder, waited),
            rule="the lowest reported load",
        )


def _get_reported_load(state: ReplicaState) -> tuple[int, str]:
    report = state.report
    load = 0 if report is None else report.running + report.waiting
    return (load, state.replica.name)
