"""The scheduler: fair queue, placement, quarantine, health and deadlines."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable
from itertools import islice
from typing import Any

from fireflyspread.bundle import Target
from fireflyspread.clock import Clock
from fireflyspread.exceptions import OverloadedError
from fireflyspread.routing._health import ReplicaHealth
from fireflyspread.routing._isolation import Isolation, RunningRequest
from fireflyspread.routing._placement import (
    Placement,
    PrefixAwarePlacement,
    ReplicaState,
)
from fireflyspread.routing._quarantine import Quarantine
from fireflyspread.routing._queue import FairQueue, Queue, Waiting
from fireflyspread.routing._refusals import (
    make_overloaded,
    make_quarantined,
    set_error,
)
from fireflyspread.routing._retries import RetryBudget
from fireflyspread.routing._scheduler import (
    LoadReport,
    Result,
    Scheduler,
    Ticket,
    Work,
)
from fireflyspread.routing._target import TargetState
from fireflyspread.settings import Settings

__all__ = ["PolicyScheduler"]

_LOGGER = logging.getLogger(__name__)
# Requests tried for a free place, so that a few that wait for their replica do not
# hold up the others, and a long queue does not cost much for each free place.
_SCAN_LENGTH = 32
# A waiting request is looked at this often (seconds), because an old load report, an
# ejection that ends or a long wait for a holder changes what is possible.
_TICK_SECONDS = 0.1
_NOT_RUN = frozenset({Result.REFUSED, Result.UNREACHABLE})


class PolicyScheduler(Scheduler):
    """Scheduler of one node.

    Parameters
    ----------
    queue_factory : callable
        Makes the queue of each target.
    health_factory : callable
        Makes the health record of each target.
    queued_requests : int
        Requests that may wait for one target.
    report_ttl : float
        Seconds after which a load report is not used any more.
    refuses_late : bool
        Whether a request that is not expected to start before its deadline is
        refused at once.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        *,
        queue_factory: Callable[[], Queue] = FairQueue,
        placement: Placement | None = None,
        quarantine: Quarantine | None = None,
        retries: RetryBudget | None = None,
        health_factory: Callable[[Clock], ReplicaHealth] = ReplicaHealth,
        queued_requests: int = 2_000,
        report_ttl: float = 3.0,
        refuses_late: bool = True,
    ) -> None:
        self._clock = clock
        self._queue_factory = queue_factory
        self._placement = placement or PrefixAwarePlacement(rng)
        self._health_factory = health_factory
        self._queued_requests = queued_requests
        self._report_ttl = report_ttl
        self._refuses_late = refuses_late
        self._retries = retries or RetryBudget()
        self._targets: dict[str, TargetState] = {}
        self._has_bundle = False
        self._leaving: frozenset[str] = frozenset()
        self._nodes = 1
        self._running: dict[tuple[str, str], RunningRequest] = {}
        self._ticker: asyncio.TimerHandle | None = None
        self._owners: dict[str, TargetState] = {}
        self.quarantine = quarantine or Quarantine(clock)
        self._isolation = Isolation(self.quarantine, rng)

    @classmethod
    def from_config(
        cls, settings: Settings, clock: Clock, rng: random.Random
    ) -> "PolicyScheduler":
        """Return the scheduler of a node with the default policies."""
        return cls(
            clock,
            rng,
            placement=PrefixAwarePlacement(rng, zone=settings.node.zone),
            queued_requests=settings.limits.queued_requests,
        )

    async def acquire(self, work: Work, target: Target) -> Ticket:
        if not work.excluded:
            self._retries.add_request()
        state = self._get_target(target)
        self._admit(work, state)
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Ticket] = loop.create_future()
        now = self._clock.read_monotonic()
        waiting = Waiting(work=work, enqueued_at=now, future=future)
        state.queue.push(waiting)
        self._dispatch(state)
        if future.done():
            return future.result()
        timer = loop.call_later(work.deadline - now, self._expire, state, waiting)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self.release(future.result(), Result.CANCELLED)
            else:
                self._drop(state, waiting)
                self._dispatch(state)
            raise
        finally:
            timer.cancel()

    def _get_target(self, target: Target) -> TargetState:
        state = self._targets.get(target.name)
        if state is None:
            state = TargetState(
                target,
                self._clock,
                self._queue_factory(),
                self._health_factory(self._clock),
                report_ttl=self._report_ttl,
            )
            self._targets[target.name] = state
            self._update(state, target)
        elif state.target is not target and not self._has_bundle:
            self._update(state, target)
        return state

    def _admit(self, work: Work, state: TargetState) -> None:
        if self.quarantine.is_convicted(work.fingerprint):
            raise make_quarantined(work)
        now = self._clock.read_monotonic()
        if not any(
            replica.replica.name not in work.excluded
            for replica in state.list_usable(self._leaving)
        ):
            raise OverloadedError(
                f"target {state.target.name} has no replica left for this request; "
                "retry later"
            )
        delay = self._estimate_wait(work, state)
        if work.deadline <= now or (
            self._refuses_late and len(state.queue) and now + delay > work.deadline
        ):
            raise make_overloaded(state.target.name, delay)
        if len(state.queue) >= self._queued_requests:
            victim = state.queue.find_victim(work)
            if victim is None:
                raise make_overloaded(state.target.name, delay)
            self._refuse(state, victim)

    def _estimate_wait(self, work: Work, state: TargetState) -> float:
        if not len(state.queue):
            return 0.0
        ahead = state.queue.estimate_ahead(work, self._clock.read_monotonic())
        return state.wait.estimate(ahead, state.count_places(self._leaving))

    def _refuse(self, state: TargetState, waiting: Waiting) -> None:
        delay = self._estimate_wait(waiting.work, state)
        self._drop(state, waiting)
        set_error(waiting, make_overloaded(state.target.name, delay))

    def _expire(self, state: TargetState, waiting: Waiting) -> None:
        self._refuse(state, waiting)
        self._dispatch(state)

    def _drop(self, state: TargetState, waiting: Waiting) -> None:
        state.queue.remove(waiting)
        self._isolation.forget(waiting.work, state)

    def _dispatch(self, state: TargetState) -> None:
        while len(state.queue) and self._start_one(state):
            pass
        if len(state.queue) and self._ticker is None:
            loop = asyncio.get_running_loop()
            self._ticker = loop.call_later(_TICK_SECONDS, self.tick)

    def tick(self) -> None:
        """Refuse waiting requests that are due and place those that can start."""
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
        now = self._clock.read_monotonic()
        for state in self._targets.values():
            if not len(state.queue):
                continue
            for waiting in tuple(state.queue.scan()):
                if waiting.work.deadline <= now:
                    self._refuse(state, waiting)
            self._dispatch(state)

    def _start_one(self, state: TargetState) -> bool:
        """Start or refuse the first request that can be; False if there is none."""
        usable = state.list_usable(self._leaving)
        free = state.list_free(usable, self._get_part(state))
        if not free and usable and not self.quarantine.has_entries():
            return False
        if self.quarantine.has_entries() and self._start_suspect(state, usable):
            return True
        for waiting in islice(state.queue.scan(), _SCAN_LENGTH):
            work = waiting.work
            if waiting.future is None or waiting.future.done():
                self._drop(state, waiting)
                return True
            allowed = [r for r in usable if r.replica.name not in work.excluded]
            if not allowed:
                self._refuse(state, waiting)
                return True
            if self.quarantine.is_suspect(work.fingerprint):
                continue
            replica = self._place(waiting, state, allowed, free)
            if replica is not None:
                self._start(state, waiting, replica)
                return True
        return False

    def _get_part(self, state: TargetState) -> int:
        return max(1, state.target.concurrency // self._nodes)

    def _start_suspect(self, state: TargetState, usable: list[ReplicaState]) -> bool:
        """Start or refuse a suspected request, before others fill its replica."""
        now = self._clock.read_monotonic()
        for waiting in state.queue.scan():
            work = waiting.work
            if waiting.future is None or waiting.future.done():
                continue
            if self.quarantine.is_convicted(work.fingerprint):
                self._drop(state, waiting)
                set_error(waiting, make_quarantined(work))
                return True
            if not self.quarantine.is_suspect(work.fingerprint):
                continue
            allowed = [r for r in usable if r.replica.name not in work.excluded]
            replica = self._isolation.place(work, state, allowed, now)
            if replica is not None:
                self._start(state, waiting, replica)
                return True
        return False

    def _place(
        self,
        waiting: Waiting,
        state: TargetState,
        allowed: list[ReplicaState],
        free: list[ReplicaState],
    ) -> ReplicaState | None:
        work = waiting.work
        if work.excluded:
            free = [replica for replica in free if replica in allowed]
        holder = state.replicas.get(work.holder) if work.holder is not None else None
        if holder is not None and (
            holder not in allowed
            or holder.alone is not None
            or holder.reserved_for is not None
            or not state.health.may_use(holder.replica.name)
        ):
            holder = None
        waited = self._clock.read_monotonic() - waiting.enqueued_at
        if not free:
            return None
        return self._placement.choose(work, free, holder, waited)

    def _start(
        self, state: TargetState, waiting: Waiting, replica: ReplicaState
    ) -> None:
        work, name = waiting.work, replica.replica.name
        is_isolated = replica.reserved_for == work.request
        is_alone = is_isolated and replica.running == 0
        if is_isolated:
            replica.reserved_for, replica.alone = None, work.request
        else:
            self._isolation.forget(work, state)
        state.queue.take(waiting)
        state.start(replica, work)
        self.quarantine.start(work.fingerprint, name)
        self._running[work.request, name] = RunningRequest(
            state, replica, is_isolated, is_alone
        )
        assert waiting.future is not None
        waiting.future.set_result(
            Ticket(
                work=work,
                target=state.target.name,
                replica=replica.replica,
                started_at=self._clock.read_monotonic(),
            )
        )

    def release(self, ticket: Ticket, result: Result, *, tokens: int = 0) -> None:
        work, name = ticket.work, ticket.replica.name
        run = self._running.pop((work.request, name), None)
        if run is None:
            _LOGGER.warning(
                "a ticket was released twice",
                extra={"request": work.request, "replica": name},
            )
            return
        self._isolation.judge(ticket, run, result, self._leaving)
        seconds = self._clock.read_monotonic() - ticket.started_at
        run.state.finish(run.replica, work, result, seconds)
        if result is Result.ANSWERED and tokens > 0:
            run.state.queue.settle(work, tokens)
        elif result in _NOT_RUN:
            run.state.queue.settle(work, 0.0)
        self._dispatch(run.state)

    def may_retry(self, work: Work) -> bool:
        return self._retries.take()

    def report_load(self, replica: str, report: LoadReport) -> None:
        state = self._owners.get(replica)
        if state is not None:
            state.take_report(replica, report)
            self._dispatch(state)

    def set_leaving(self, vms: frozenset[str]) -> None:
        if vms != self._leaving:
            self._leaving = vms
            for state in self._targets.values():
                self._dispatch(state)

    def set_nodes(self, count: int) -> None:
        """Take note of how many nodes share the replicas.

        On each replica this node may always run its part of the concurrency limit,
        however many requests of other nodes the replica reports.
        """
        self._nodes = max(1, count)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take over the targets of a new bundle.

        Requests that wait for a target that is gone are refused.
        """
        self._has_bundle = True
        found = {target.name: target for target in targets}
        for name in self._targets.keys() - found.keys():
            state = self._targets.pop(name)
            for waiting in tuple(state.queue.scan()):
                self._refuse(state, waiting)
        for name, target in found.items():
            if name in self._targets:
                self._update(self._targets[name], target)

    def _update(self, state: TargetState, target: Target) -> None:
        state.update(target)
        self._owners = {
            name: each for each in self._targets.values() for name in each.replicas
        }
        self._dispatch(state)

    def dump(self) -> dict[str, Any]:
        """Return the state as JSON types, for a state dump."""
        return {
            "targets": {n: state.dump() for n, state in self._targets.items()},
            "leaving": sorted(self._leaving),
            "nodes": self._nodes,
            "retries_left": round(self._retries.tokens, 3),
            "suspects": list(self.quarantine.suspects()),
            "convicted": list(self.quarantine.convicted()),
        }
