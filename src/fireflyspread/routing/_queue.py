"""Order of the requests that wait for one target."""

import abc
import asyncio
import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Any

from attrs import define, field

from fireflyspread.routing._scheduler import Work

__all__ = ["FairQueue", "FifoQueue", "Queue", "QueueEntry"]

# Idle teams are evicted when there are this many more of them than busy ones.
_MAX_IDLE_FLOWS = 1024


@define(eq=False, kw_only=True)
class QueueEntry:
    """A request in a queue.

    Attributes
    ----------
    enqueued_at : float
        Monotonic seconds.
    sequence : int
        Order of arrival, set by the queue; breaks ties of ``rank``.
    rank : float
        Order within the team, set by the queue.
    """

    work: Work
    enqueued_at: float
    future: asyncio.Future[Any] | None = None
    sequence: int = 0
    rank: float = 0.0


class Queue(abc.ABC):
    """Requests that wait for one target."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting requests."""

    @abc.abstractmethod
    def push(self, entry: QueueEntry) -> None:
        """Add a request."""

    @abc.abstractmethod
    def remove(self, entry: QueueEntry) -> None:
        """Drop a request that will not run; does nothing if it is not queued."""

    @abc.abstractmethod
    def scan(self) -> Iterator[QueueEntry]:
        """Iterate in the order of service; the queue must not change meanwhile."""

    @abc.abstractmethod
    def take(self, entry: QueueEntry) -> None:
        """Remove a request that starts now and charge its cost to its team."""

    @abc.abstractmethod
    def settle(self, work: Work, used: float) -> None:
        """Charge ``used`` instead of the expected cost of a request."""

    @abc.abstractmethod
    def estimate_cost_ahead(self, work: Work, now: float) -> float:
        """Return the cost that would be served before ``work`` if it arrived now."""

    @abc.abstractmethod
    def find_victim(self, work: Work) -> QueueEntry | None:
        """Return the request to refuse instead of ``work`` when the queue is full."""


class FifoQueue(Queue):
    """Baseline: order of arrival."""

    def __init__(self) -> None:
        self._entries: dict[QueueEntry, None] = {}
        self._cost = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, entry: QueueEntry) -> None:
        self._entries[entry] = None
        self._cost += entry.work.cost

    def remove(self, entry: QueueEntry) -> None:
        if entry in self._entries:
            del self._entries[entry]
            self._cost -= entry.work.cost

    def scan(self) -> Iterator[QueueEntry]:
        return iter(self._entries)

    def take(self, entry: QueueEntry) -> None:
        self.remove(entry)

    def settle(self, work: Work, used: float) -> None:
        """Do nothing: this queue does not charge teams."""

    def estimate_cost_ahead(self, work: Work, now: float) -> float:
        return self._cost

    def find_victim(self, work: Work) -> QueueEntry | None:
        return None


@define(eq=False)
class _Flow:
    """Requests of one team, sorted by rank.

    Attributes
    ----------
    start_tag : float
        Virtual time at which the team's next request starts service.
    cost : float
        Expected tokens of the team's waiting requests.
    """

    team: str
    weight: float
    start_tag: float
    cost: float = 0.0
    entries: list[tuple[float, int, QueueEntry]] = field(factory=list)


class FairQueue(Queue):
    """Start-time fair queueing between teams, by cost and weight.

    The waiting team with the lowest start tag is served, and its tag grows by
    cost / weight. The virtual time follows the lowest start tag of the waiting teams.
    A team that was idle starts at the virtual time, so it cannot save up service.

    Within a team the request with the lowest rank is served. The rank is the time of
    arrival, plus up to ``max_attained_delay`` seconds for the service that the program
    has attained, minus ``interactive_lead`` seconds for interactive requests and for
    those that go on with a stream, whose caller would lose what it has. No
    program starves, because a rank does not change while newer requests get higher
    ones.

    Parameters
    ----------
    attained_tokens_per_second : float
        Tokens used that delay a program by one second.
    max_attained_delay : float
        Seconds; bounds the delay of programs with long histories. 0 by default,
        because least attained service shows no benefit
        (docs/measurements/policies.md) and makes programs with long histories wait
        between turns.
    interactive_lead : float
        Seconds by which interactive requests are moved forward.
    """

    def __init__(
        self,
        *,
        attained_tokens_per_second: float = 20_000.0,
        max_attained_delay: float = 0.0,
        interactive_lead: float = 30.0,
    ) -> None:
        self._attained_tokens_per_second = attained_tokens_per_second
        self._max_attained_delay = max_attained_delay
        self._interactive_lead = interactive_lead
        self._flows: dict[str, _Flow] = {}
        self._order: list[tuple[float, str]] = []
        self._virtual_time = 0.0
        self._length = 0
        self._last_sequence = 0

    def __len__(self) -> int:
        return self._length

    def push(self, entry: QueueEntry) -> None:
        work = entry.work
        flow = self._flows.get(work.team)
        if flow is None:
            flow = _Flow(work.team, work.weight, self._virtual_time)
            self._flows[work.team] = flow
            self._evict_idle()
        flow.weight = work.weight
        if not flow.entries:
            flow.start_tag = max(flow.start_tag, self._virtual_time)
            insort(self._order, (flow.start_tag, flow.team))
        self._last_sequence += 1
        entry.sequence = self._last_sequence
        entry.rank = entry.enqueued_at + self._get_rank_offset(work)
        insort(flow.entries, (entry.rank, entry.sequence, entry))
        flow.cost += work.cost
        self._length += 1

    def _get_rank_offset(self, work: Work) -> float:
        delay = min(
            work.attained_tokens / self._attained_tokens_per_second,
            self._max_attained_delay,
        )
        is_first = work.is_interactive or work.is_continuation
        return delay - (self._interactive_lead if is_first else 0.0)

    def remove(self, entry: QueueEntry) -> None:
        flow = self._flows.get(entry.work.team)
        if flow is None:
            return
        index = bisect_left(flow.entries, (entry.rank, entry.sequence))
        if index == len(flow.entries) or flow.entries[index][2] is not entry:
            return
        del flow.entries[index]
        flow.cost -= entry.work.cost
        self._length -= 1
        if not flow.entries:
            flow.cost = 0.0
            self._remove_from_order(flow)

    def scan(self) -> Iterator[QueueEntry]:
        for _, team in self._order:
            for _, _, entry in self._flows[team].entries:
                yield entry

    def take(self, entry: QueueEntry) -> None:
        flow = self._flows[entry.work.team]
        # The lowest tag, not that of the request taken: a team that is passed over
        # because its replica is busy must not lose service.
        self._virtual_time = max(self._virtual_time, self._order[0][0])
        self.remove(entry)
        self._charge(flow, entry.work.cost)

    def settle(self, work: Work, used: float) -> None:
        flow = self._flows.get(work.team)
        if flow is not None:
            self._charge(flow, used - work.cost)

    def _charge(self, flow: _Flow, cost: float) -> None:
        if flow.entries:
            self._remove_from_order(flow)
        flow.start_tag += cost / flow.weight
        if flow.entries:
            insort(self._order, (flow.start_tag, flow.team))

    def _remove_from_order(self, flow: _Flow) -> None:
        del self._order[bisect_left(self._order, (flow.start_tag, flow.team))]

    def _evict_idle(self) -> None:
        if len(self._flows) <= 2 * len(self._order) + _MAX_IDLE_FLOWS:
            return
        self._flows = {
            team: flow
            for team, flow in self._flows.items()
            if flow.entries or flow.start_tag > self._virtual_time
        }

    def estimate_cost_ahead(self, work: Work, now: float) -> float:
        flow = self._flows.get(work.team)
        own = 0.0
        if flow is not None:
            end = bisect_left(
                flow.entries, (now + self._get_rank_offset(work), math.inf)
            )
            own = sum(entry[2].work.cost for entry in flow.entries[:end])
        share = (own + work.cost) / work.weight
        return own + sum(
            min(other.cost, share * other.weight)
            for other in (self._flows[team] for _, team in self._order)
            if other is not flow
        )

    def find_victim(self, work: Work) -> QueueEntry | None:
        own = self._flows.get(work.team)
        cost = work.cost + (0.0 if own is None else own.cost)
        flows = [self._flows[team] for _, team in self._order]
        largest = max(flows, key=_get_normalized_cost, default=None)
        if largest is None or _get_normalized_cost(largest) <= cost / work.weight:
            return None
        return largest.entries[-1][2]


def _get_normalized_cost(flow: _Flow) -> float:
    return flow.cost / flow.weight
