"""State of one target in the scheduler."""

import copy
from collections.abc import Iterator
from typing import Any

from fireflyspread.bundle import Target
from fireflyspread.clock import Clock
from fireflyspread.routing._health import ReplicaHealth
from fireflyspread.routing._placement import ReplicaState
from fireflyspread.routing._queue import Queue
from fireflyspread.routing._scheduler import LoadReport, Result, Work
from fireflyspread.routing._wait_estimator import WaitEstimator

__all__ = ["TargetState"]

# Weight of the newest request in the moving average of a replica.
_SMOOTHING = 0.1


class TargetState:
    """Queue, replicas and statistics of one target.

    Parameters
    ----------
    report_ttl : float
        Seconds after which a load report expires.
    """

    def __init__(
        self,
        target: Target,
        clock: Clock,
        queue: Queue,
        health: ReplicaHealth,
        *,
        report_ttl: float,
    ) -> None:
        self.target = target
        self.queue = queue
        self.health = health
        self.wait_estimator = WaitEstimator()
        self.replicas: dict[str, ReplicaState] = {}
        self._clock = clock
        self._report_ttl = report_ttl
        self.update(target)

    def make_view(self) -> "TargetState":
        """Return a copy on which a choice can be tried without changing this object.

        The queue is shared and may only be read.
        """
        view = copy.copy(self)
        view.replicas = {n: copy.copy(state) for n, state in self.replicas.items()}
        view.health = self.health.copy()
        return view

    def update(self, target: Target) -> None:
        """Apply the replicas and the concurrency of ``target``.

        A replica keeps its state unless its URL or VM has changed.
        """
        self.target = target
        known = self.replicas
        self.replicas = {}
        for replica in target.replicas:
            state = known.get(replica.name)
            if state is None or (state.replica.url, state.replica.vm) != (
                replica.url,
                replica.vm,
            ):
                state = ReplicaState(replica=replica, concurrency=target.concurrency)
            state.replica, state.concurrency = replica, target.concurrency
            self.replicas[replica.name] = state
        self.health.set_replicas(self.replicas)

    def list_usable(self, leaving_vms: frozenset[str]) -> list[ReplicaState]:
        """Return the replicas whose VM is not leaving."""
        return [s for s in self.replicas.values() if s.replica.vm not in leaving_vms]

    def list_free(
        self, usable: list[ReplicaState], guaranteed_slots: int
    ) -> list[ReplicaState]:
        """Return the replicas of ``usable`` that can take a request now."""
        return [
            state
            for state in usable
            if state.isolated_request is None
            and state.reserved_for is None
            and not self._is_full(state, guaranteed_slots)
            and self.health.may_use(state.replica.name)
        ]

    def _is_full(self, state: ReplicaState, guaranteed_slots: int) -> bool:
        """Drop an expired load report; return whether the replica is full."""
        report = state.report
        if report is not None:
            age = self._clock.read_monotonic() - report.received_at
            if age > self._report_ttl:
                state.report = None
        return state.is_full(guaranteed_slots)

    def store_report(self, name: str, report: LoadReport) -> bool:
        """Store a load report; return whether the replica belongs to this target."""
        state = self.replicas.get(name)
        if state is None:
            return False
        if state.report is None or report.received_at >= state.report.received_at:
            state.store_report(report)
        self._record_overdue(state)
        return True

    def _record_overdue(self, state: ReplicaState) -> None:
        """Record requests in flight as answers once they take as long as slow ones.

        Otherwise a slow replica would be found only when its slow answers end.
        """
        now = self._clock.read_monotonic()
        for request, (started_at, cost) in tuple(state.in_flight.items()):
            seconds_per_cost = (now - started_at) / cost
            if self.health.is_overdue(state.replica.name, seconds_per_cost):
                del state.in_flight[request]
                self.health.record(
                    state.replica.name, Result.ANSWERED, seconds_per_cost
                )

    def count_slots(self, leaving_vms: frozenset[str]) -> int:
        """Return the slots that this node can use.

        When requests wait, these are the slots in use, because other nodes hold the
        rest.
        """
        running = sum(state.running for state in self.replicas.values())
        if len(self.queue) and running:
            return running
        return sum(
            state.concurrency
            for state in self.replicas.values()
            if state.replica.vm not in leaving_vms
        )

    def start(self, replica: ReplicaState, work: Work) -> None:
        """Record that a request starts."""
        now = self._clock.read_monotonic()
        replica.start(work.request, now, _get_cost(work, replica))
        if work.held_tokens:
            replica.held_tokens[work.request] = work.held_tokens
        self.health.start(replica.replica.name)

    def finish(
        self, replica: ReplicaState, work: Work, result: Result, seconds: float
    ) -> None:
        """Record how a request ended in the health and the time estimates."""
        is_unrecorded = replica.finish(work.request)
        if is_unrecorded or result is not Result.ANSWERED:
            # A machine that is slow for a moment is avoided by its reported speed; to
            # eject its replicas for seconds would waste them.
            now = self._clock.read_monotonic()
            slowdown = max(1.0, replica.estimate.estimate_slowdown(now))
            seconds_per_cost = seconds / slowdown / _get_cost(work, replica)
            self.health.record(replica.replica.name, result, seconds_per_cost)
        if result is Result.ANSWERED:
            self.wait_estimator.record(work.cost, seconds)
            if replica.service_seconds == 0.0:
                replica.service_seconds = seconds
            replica.service_seconds += _SMOOTHING * (seconds - replica.service_seconds)

    def iterate_reserved(self) -> Iterator[ReplicaState]:
        """Iterate over the replicas that are reserved for or used by a suspect."""
        for state in self.replicas.values():
            if state.reserved_for is not None or state.isolated_request is not None:
                yield state

    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
        now = self._clock.read_monotonic()
        return {
            "queued": len(self.queue),
            "seconds_per_cost": self.wait_estimator.seconds_per_cost,
            "ejected": list(self.health.list_ejected()),
            "replicas": {
                name: {
                    "running": state.running,
                    "load": state.estimate_load(),
                    "cache_pressure": round(state.get_cache_pressure(), 3),
                    "service_seconds": round(state.service_seconds, 3),
                    "slowdown": round(state.estimate.estimate_slowdown(now), 2),
                    "others": round(state.estimate.estimate_others(now), 1),
                    "held_tokens": sum(state.held_tokens.values()),
                    "alone": state.isolated_request,
                    "reserved_for": state.reserved_for,
                }
                for name, state in self.replicas.items()
            },
        }


def _get_cost(work: Work, replica: ReplicaState) -> float:
    """Return the cost on a replica, which may have to compute the prefix again."""
    cost = work.cost
    if work.holder != replica.replica.name:
        cost += work.prefix_tokens
    return max(1.0, cost)
