"""Order of the requests that wait for one target."""

import abc
import asyncio
import math
from bisect import bisect_left, insort
from collections.abc import Iterator
from typing import Any

from attrs import define, field

from fireflyspread.routing._scheduler import Work

__all__ = ["FairQueue", "FifoQueue", "Queue", "Waiting"]

# Idle teams are forgotten when there are this many more of them than busy ones.
_IDLE_FLOWS = 1024


@define(eq=False, kw_only=True)
class Waiting:
    """A request in a queue.

    Attributes
    ----------
    enqueued_at : float
        Monotonic seconds.
    rank : float
        Order inside the team, set by the queue.
    """

    work: Work
    enqueued_at: float
    future: asyncio.Future[Any] | None = None
    number: int = 0
    rank: float = 0.0


class Queue(abc.ABC):
    """Requests that wait for one target."""

    @abc.abstractmethod
    def __len__(self) -> int:
        """Return the number of waiting requests."""

    @abc.abstractmethod
    def push(self, waiting: Waiting) -> None:
        """Add a request."""

    @abc.abstractmethod
    def remove(self, waiting: Waiting) -> None:
        """Drop a request that will not run; no error if it is not here."""

    @abc.abstractmethod
    def scan(self) -> Iterator[Waiting]:
        """Iterate in the order of service; stop before changing the queue."""

    @abc.abstractmethod
    def take(self, waiting: Waiting) -> None:
        """Remove a request that starts now and charge its cost to its team."""

    @abc.abstractmethod
    def settle(self, work: Work, used: float) -> None:
        """Charge what a request used instead of its expected cost."""

    @abc.abstractmethod
    def estimate_ahead(self, work: Work, now: float) -> float:
        """Return the cost that is served before ``work`` if it came now."""

    @abc.abstractmethod
    def find_victim(self, work: Work) -> Waiting | None:
        """Return the request to refuse instead of ``work`` when the queue is full."""


class FifoQueue(Queue):
    """Baseline: the order of arrival."""

    def __init__(self) -> None:
        self._entries: dict[Waiting, None] = {}
        self._cost = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    def push(self, waiting: Waiting) -> None:
        self._entries[waiting] = None
        self._cost += waiting.work.cost

    def remove(self, waiting: Waiting) -> None:
        if waiting in self._entries:
            del self._entries[waiting]
            self._cost -= waiting.work.cost

    def scan(self) -> Iterator[Waiting]:
        return iter(self._entries)

    def take(self, waiting: Waiting) -> None:
        self.remove(waiting)

    def settle(self, work: Work, used: float) -> None:
        """Nothing is charged."""

    def estimate_ahead(self, work: Work, now: float) -> float:
        return self._cost

    def find_victim(self, work: Work) -> Waiting | None:
        return None


@define(eq=False)
class _Flow:
    """One team: the start tag of its next request and its requests by rank."""

    team: str
    weight: float
    tag: float
    cost: float = 0.0
    entries: list[tuple[float, int, Waiting]] = field(factory=list)


class FairQueue(Queue):
    """Start-time fair queueing by cost over teams.

    Of the teams that wait, the one with the least start tag is served, and its tag
    grows by cost / weight. A team that was idle starts at the virtual time, the least
    tag of the waiting teams, so it can neither save up nor owe service.

    Inside a team the least rank is served: the time of arrival, later by up to
    ``attained_delay`` seconds for what the program has used, and earlier by
    ``interactive_lead`` seconds when a person waits. Since the rank does not change
    while newer requests get greater ones, no program starves.

    Parameters
    ----------
    attained_rate : float
        Tokens used that delay a program by one second.
    attained_delay : float
        Seconds; bounds the delay of programs with long histories. 0 by default: least
        attained service changed no measured figure (docs/measurements/policies.md)
        and makes programs with long histories wait between turns.
    interactive_lead : float
        Seconds.
    """

    def __init__(
        self,
        *,
        attained_rate: float = 20_000.0,
        attained_delay: float = 0.0,
        interactive_lead: float = 30.0,
    ) -> None:
        self._attained_rate = attained_rate
        self._attained_delay = attained_delay
        self._interactive_lead = interactive_lead
        self._flows: dict[str, _Flow] = {}
        self._order: list[tuple[float, str]] = []
        self._virtual = 0.0
        self._length = 0
        self._numbers = 0

    def __len__(self) -> int:
        return self._length

    def push(self, waiting: Waiting) -> None:
        work = waiting.work
        flow = self._flows.get(work.team)
        if flow is None:
            flow = _Flow(work.team, work.weight, self._virtual)
            self._flows[work.team] = flow
            self._forget_idle()
        flow.weight = work.weight
        if not flow.entries:
            flow.tag = max(flow.tag, self._virtual)
            insort(self._order, (flow.tag, flow.team))
        self._numbers += 1
        waiting.number = self._numbers
        waiting.rank = waiting.enqueued_at + self._get_delay(work)
        insort(flow.entries, (waiting.rank, waiting.number, waiting))
        flow.cost += work.cost
        self._length += 1

    def _get_delay(self, work: Work) -> float:
        delay = min(work.attained / self._attained_rate, self._attained_delay)
        return delay - (self._interactive_lead if work.is_interactive else 0.0)

    def remove(self, waiting: Waiting) -> None:
        flow = self._flows.get(waiting.work.team)
        if flow is None:
            return
        index = bisect_left(flow.entries, (waiting.rank, waiting.number))
        if index == len(flow.entries) or flow.entries[index][2] is not waiting:
            return
        del flow.entries[index]
        flow.cost -= waiting.work.cost
        self._length -= 1
        if not flow.entries:
            flow.cost = 0.0
            self._drop_from_order(flow)

    def scan(self) -> Iterator[Waiting]:
        for _, team in self._order:
            for _, _, waiting in self._flows[team].entries:
                yield waiting

    def take(self, waiting: Waiting) -> None:
        flow = self._flows[waiting.work.team]
        # The least tag, not that of the request taken: a team that is passed over
        # because its replica is busy must not lose its turn.
        self._virtual = max(self._virtual, self._order[0][0])
        self.remove(waiting)
        self._advance(flow, waiting.work.cost)

    def settle(self, work: Work, used: float) -> None:
        flow = self._flows.get(work.team)
        if flow is not None:
            self._advance(flow, used - work.cost)

    def _advance(self, flow: _Flow, cost: float) -> None:
        if flow.entries:
            self._drop_from_order(flow)
        flow.tag += cost / flow.weight
        if flow.entries:
            insort(self._order, (flow.tag, flow.team))

    def _drop_from_order(self, flow: _Flow) -> None:
        del self._order[bisect_left(self._order, (flow.tag, flow.team))]

    def _forget_idle(self) -> None:
        if len(self._flows) <= 2 * len(self._order) + _IDLE_FLOWS:
            return
        self._flows = {
            team: flow
            for team, flow in self._flows.items()
            if flow.entries or flow.tag > self._virtual
        }

    def estimate_ahead(self, work: Work, now: float) -> float:
        flow = self._flows.get(work.team)
        own = 0.0
        if flow is not None:
            end = bisect_left(flow.entries, (now + self._get_delay(work), math.inf))
            own = sum(entry[2].work.cost for entry in flow.entries[:end])
        share = (own + work.cost) / work.weight
        return own + sum(
            min(other.cost, share * other.weight)
            for other in (self._flows[team] for _, team in self._order)
            if other is not flow
        )

    def find_victim(self, work: Work) -> Waiting | None:
        own = self._flows.get(work.team)
        cost = work.cost + (0.0 if own is None else own.cost)
        flows = [self._flows[team] for _, team in self._order]
        longest = max(flows, key=_get_length, default=None)
        if longest is None or _get_length(longest) <= cost / work.weight:
            return None
        return longest.entries[-1][2]


def _get_length(flow: _Flow) -> float:
    return flow.cost / flow.weight
