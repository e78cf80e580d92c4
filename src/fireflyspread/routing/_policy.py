"""The scheduler: fair queue, placement, quarantine, health and deadlines."""

import asyncio
import logging
import random
from collections.abc import Callable, Iterable, Mapping
from itertools import islice
from typing import Any

from fireflyspread.bundle import Replica, Target
from fireflyspread.clock import Clock
from fireflyspread.exceptions import OverloadedError
from fireflyspread.limits import PermitLimiter, ReplicaLimiter
from fireflyspread.routing._affinity import AffinityPlacement
from fireflyspread.routing._crashes import identify_process
from fireflyspread.routing._explanation import (
    PlacementExplanation,
    explain_replicas,
)
from fireflyspread.routing._health import ReplicaHealth
from fireflyspread.routing._isolation import Isolation, RunningRequest
from fireflyspread.routing._load_shares import LoadShare
from fireflyspread.routing._permits import Permits
from fireflyspread.routing._placement import (
    Choice,
    Placement,
    PrefixAwarePlacement,
    ReplicaState,
)
from fireflyspread.routing._quarantine import Quarantine
from fireflyspread.routing._queue import FairQueue, Queue, QueueEntry
from fireflyspread.routing._refusals import (
    make_on_trial,
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
from fireflyspread.routing._trial_gate import TrialGate
from fireflyspread.routing._trials import Trials
from fireflyspread.settings import Settings

__all__ = ["PolicyScheduler"]

_LOG = logging.getLogger(__name__)
# Requests considered for a free slot. Several, so that requests that wait for their
# replica do not block the others; bounded, so that a long queue stays cheap.
_MAX_SCANNED_REQUESTS = 32
# Interval (seconds) at which waiting requests are considered again, because load
# reports and ejections expire and waiting for a holder stops paying off.
_TICK_SECONDS = 0.1
# Intervals of ``Hello`` messages after which the neighbours have reported a crash.
_HELLO_INTERVALS = 2
_NOT_RUN = frozenset({Result.REFUSED, Result.UNREACHABLE, Result.UNSENT})


class PolicyScheduler(Scheduler):
    """Scheduler of one node.

    Parameters
    ----------
    queue_factory : callable
        Returns the queue of a target.
    health_factory : callable
        Returns the replica health of a target.
    max_queued_requests : int
        Requests that may wait for one target.
    report_ttl : float
        Seconds after which a load report expires.
    refuses_early : bool
        Whether a request that is not expected to start before its deadline is
        refused at once.
    isolation_factory : callable
        Returns the isolation of suspects.
    replica_limiter : ReplicaLimiter or None
        Gives permits for replicas that limit their requests; None ignores limits.
    cold_limiter : PermitLimiter or None
        Gives permits for cold replicas; None does not limit them.
    trials : Trials or None
        Lets requests that were in flight at a crash run one at a time; None does not
        limit them beyond the isolation of suspects.
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
        max_queued_requests: int = 2_000,
        report_ttl: float = 3.0,
        refuses_early: bool = True,
        isolation_factory: Callable[[Quarantine, random.Random], Isolation] = Isolation,
        replica_limiter: ReplicaLimiter | None = None,
        cold_limiter: PermitLimiter[Any] | None = None,
        trials: Trials | None = None,
    ) -> None:
        self._clock = clock
        self._queue_factory = queue_factory
        self._placement = placement or PrefixAwarePlacement(rng)
        self._affinity = AffinityPlacement(rng)
        self._health_factory = health_factory
        self._max_queued_requests = max_queued_requests
        self._report_ttl = report_ttl
        self._refuses_early = refuses_early
        self._retries = retries or RetryBudget()
        self._targets: dict[str, TargetState] = {}
        # Whether ``set_targets`` has set the targets; until then ``acquire`` does.
        self._has_targets = False
        self._leaving_vms: frozenset[str] = frozenset()
        self._node_count = 1
        self._running_requests: dict[tuple[str, str], RunningRequest] = {}
        self._ticker: asyncio.TimerHandle | None = None
        self._tick_at = 0.0
        self._target_of_replica: dict[str, TargetState] = {}
        self.quarantine = quarantine or Quarantine(clock)
        self._isolation = isolation_factory(self.quarantine, rng)
        self._gate = TrialGate(trials, self.quarantine, clock)
        limiters = (cold_limiter, replica_limiter)
        self._permits = Permits(each for each in limiters if each is not None)

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        clock: Clock,
        rng: random.Random,
        *,
        replica_limiter: ReplicaLimiter | None = None,
    ) -> "PolicyScheduler":
        """Return the scheduler of a node with the default policies."""
        return cls(
            clock,
            rng,
            placement=PrefixAwarePlacement(rng, zone=settings.node.zone),
            quarantine=Quarantine(
                clock,
                settle_seconds=_HELLO_INTERVALS * settings.timing.hello_interval,
            ),
            max_queued_requests=settings.limits.queued_requests,
            replica_limiter=replica_limiter,
        )

    async def acquire(self, work: Work, target: Target) -> Ticket:
        if not work.excluded:
            self._retries.add_request()
        state = self._get_target(target)
        self._admit(work, state)
        enqueued_at = self._clock.read_monotonic()
        while True:
            trial = await self._gate.begin(work)
            try:
                ticket = await self._wait_for_slot(work, state, enqueued_at)
            except BaseException:
                self._gate.cancel(trial)
                raise
            ticket.trial = trial
            if not await self._take_permit(ticket):
                continue
            # Another request may ask for the next permit of the replica now.
            self._dispatch(state)
            if trial is None and self._gate.is_needed(work):
                # A replica has crashed with an equal request while this one waited.
                self.release(ticket, Result.UNSENT)
                continue
            self._gate.record_start(ticket)
            return ticket

    async def _take_permit(self, ticket: Ticket) -> bool:
        """Take a permit of the replica; without one, release its slot."""
        is_permitted = False
        try:
            is_permitted = await self._permits.take(ticket)
        finally:
            if not is_permitted:
                self.release(ticket, Result.UNSENT)
        return is_permitted

    async def acquire_resend(self, ticket: Ticket, *, max_wait: float) -> None:
        if self._gate.is_needed(ticket.work):
            raise make_on_trial(ticket.work.fingerprint)
        await self._permits.take_for_resend(ticket, max_wait=max_wait)

    async def _wait_for_slot(
        self, work: Work, state: TargetState, enqueued_at: float
    ) -> Ticket:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Ticket] = loop.create_future()
        now = self._clock.read_monotonic()
        entry = QueueEntry(work=work, enqueued_at=enqueued_at, future=future)
        state.queue.push(entry)
        self._dispatch(state)
        if future.done():
            return future.result()
        timer = loop.call_later(work.deadline - now, self._expire, state, entry)
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled() and not future.exception():
                self._permits.cancel(future.result())
                self.release(future.result(), Result.UNSENT)
            else:
                self._drop(state, entry)
                self._dispatch(state)
            raise
        finally:
            timer.cancel()

    def check_quarantine(self, fingerprint: str) -> None:
        self.quarantine.check(fingerprint, may_wait=True)

    def _get_target(self, target: Target) -> TargetState:
        state = self._targets.get(target.name)
        if state is None:
            state = self._make_target(target)
            self._targets[target.name] = state
            self._update(state, target)
        elif state.target is not target and not self._has_targets:
            self._update(state, target)
        return state

    def _make_target(self, target: Target) -> TargetState:
        return TargetState(
            target,
            self._clock,
            self._queue_factory(),
            self._health_factory(self._clock),
            report_ttl=self._report_ttl,
        )

    def explain(self, work: Work, target: Target) -> PlacementExplanation:
        # The quarantine is not checked, because the body of the request is not known.
        known = self._targets.get(target.name)
        state = self._make_target(target) if known is None else known.make_view()
        if state.target is not target and not self._has_targets:
            state.update(target)
        refusal = ""
        try:
            self._check_admission(work, state)
        except OverloadedError as exc:
            refusal = exc.message
        usable = state.list_usable(self._leaving_vms)
        allowed = [r for r in usable if work.may_run_on(r.replica)]
        free, holder = self._find_candidates(
            work,
            state,
            allowed,
            self._permits.list_usable(
                state.list_free(usable, self._get_guaranteed_slots(state))
            ),
        )
        choice = self._explain_choice(work, free, holder) if free else None
        figures = self._placement.list_figures(work, [*state.replicas.values()], free)
        if choice is not None:
            figures |= choice.figures
        return PlacementExplanation.from_choice(
            choice,
            refusal=refusal,
            queued=len(state.queue),
            wait=self._estimate_wait(work, state),
            replicas=explain_replicas(
                work,
                state,
                figures,
                free=free,
                choice=choice,
                leaving_vms=self._leaving_vms,
                permits=self._permits,
                now=self._clock.read_monotonic(),
            ),
        )

    def _explain_choice(
        self, work: Work, free: list[ReplicaState], holder: ReplicaState | None
    ) -> Choice:
        if _uses_affinity(work):
            preferred = self._affinity.explain(work.affinity_key, free)
            if preferred is not None:
                return Choice(
                    replica=preferred, rule="the preferred replica of the affinity key"
                )
        return self._placement.explain(work, free, holder, 0.0)

    def _admit(self, work: Work, state: TargetState) -> None:
        self.check_quarantine(work.fingerprint)
        victim = self._check_admission(work, state)
        if victim is not None:
            self._refuse(state, victim)

    def _check_admission(self, work: Work, state: TargetState) -> QueueEntry | None:
        """Return the waiting request to refuse instead of ``work``, if any.

        Raises
        ------
        OverloadedError
            The request cannot start before its deadline, or the queue is full.
        """
        now = self._clock.read_monotonic()
        allowed = [
            replica
            for replica in state.list_usable(self._leaving_vms)
            if work.may_run_on(replica.replica)
        ]
        if not allowed:
            raise OverloadedError(
                f"target {state.target.name} has no replica left for this request; "
                "retry later"
            )
        delay = self._estimate_wait(work, state)
        if work.deadline <= now or (
            self._refuses_early and len(state.queue) and now + delay > work.deadline
        ):
            raise make_overloaded(state.target.name, delay)
        permit_wait = self._permits.find_excessive_wait(
            work,
            [r for r in allowed if state.health.may_use(r.replica.name)],
            queued=len(state.queue),
            now=now,
        )
        if permit_wait is not None:
            raise make_overloaded(state.target.name, permit_wait)
        if len(state.queue) < self._max_queued_requests:
            return None
        victim = state.queue.find_victim(work)
        if victim is None:
            raise make_overloaded(state.target.name, delay)
        return victim

    def _estimate_wait(self, work: Work, state: TargetState) -> float:
        if not len(state.queue):
            return 0.0
        ahead = state.queue.estimate_cost_ahead(work, self._clock.read_monotonic())
        return state.wait_estimator.estimate(
            ahead, state.count_slots(self._leaving_vms)
        )

    def _refuse(self, state: TargetState, entry: QueueEntry) -> None:
        delay = self._estimate_wait(entry.work, state)
        self._drop(state, entry)
        set_error(entry, make_overloaded(state.target.name, delay))

    def _expire(self, state: TargetState, entry: QueueEntry) -> None:
        self._refuse(state, entry)
        self._dispatch(state)

    def _drop(self, state: TargetState, entry: QueueEntry) -> None:
        state.queue.remove(entry)
        self._isolation.release(entry.work, state)

    def _dispatch(self, state: TargetState) -> None:
        while len(state.queue) and self._start_one(state):
            pass
        if len(state.queue):
            self._schedule_tick(state)

    def _schedule_tick(self, state: TargetState) -> None:
        """Schedule the next tick, earlier if a replica can be used again before."""
        pauses = [
            self._permits.read_pause(replica) for replica in state.replicas.values()
        ]
        delay = min((p for p in pauses if p), default=_TICK_SECONDS)
        loop = asyncio.get_running_loop()
        at = loop.time() + min(_TICK_SECONDS, delay)
        if self._ticker is not None:
            if self._tick_at <= at:
                return
            self._ticker.cancel()
        self._tick_at = at
        self._ticker = loop.call_at(at, self.tick)

    def tick(self) -> None:
        """Refuse waiting requests past their deadline and start those that can run."""
        if self._ticker is not None:
            self._ticker.cancel()
            self._ticker = None
        now = self._clock.read_monotonic()
        for state in self._targets.values():
            if not len(state.queue):
                continue
            for entry in tuple(state.queue.scan()):
                if entry.work.deadline <= now:
                    self._refuse(state, entry)
            self._dispatch(state)

    def _start_one(self, state: TargetState) -> bool:
        """Start, refuse or drop one waiting request; return False if there is none."""
        usable = state.list_usable(self._leaving_vms)
        free = state.list_free(usable, self._get_guaranteed_slots(state))
        free = self._permits.list_usable(free)
        if not free and usable and not self.quarantine.has_entries():
            return False
        if self.quarantine.has_entries() and self._start_suspect(state, usable):
            return True
        for entry in islice(state.queue.scan(), _MAX_SCANNED_REQUESTS):
            work = entry.work
            if entry.future is None or entry.future.done():
                self._drop(state, entry)
                return True
            allowed = [r for r in usable if work.may_run_on(r.replica)]
            if not allowed:
                self._refuse(state, entry)
                return True
            if self.quarantine.is_suspect(work.fingerprint):
                continue
            replica = self._place(entry, state, allowed, free)
            if replica is not None:
                self._start(state, entry, replica)
                return True
        return False

    def _get_guaranteed_slots(self, state: TargetState) -> int:
        return max(1, state.target.concurrency // self._node_count)

    def _start_suspect(self, state: TargetState, usable: list[ReplicaState]) -> bool:
        """Start or refuse a suspected request before others fill its replica."""
        now = self._clock.read_monotonic()
        for entry in state.queue.scan():
            work = entry.work
            if entry.future is None or entry.future.done():
                continue
            if self.quarantine.is_quarantined(work.fingerprint):
                self._drop(state, entry)
                remaining = self.quarantine.read_remaining(work.fingerprint)
                set_error(entry, make_quarantined(work.fingerprint, remaining))
                return True
            if not self.quarantine.is_suspect(work.fingerprint):
                continue
            allowed = [
                replica
                for replica in usable
                if work.may_run_on(replica.replica)
                and not self._permits.read_pause(replica)
            ]
            replica = self._isolation.place(work, state, allowed, now)
            if replica is not None:
                self._start(state, entry, replica)
                return True
        return False

    def _place(
        self,
        entry: QueueEntry,
        state: TargetState,
        allowed: list[ReplicaState],
        free: list[ReplicaState],
    ) -> ReplicaState | None:
        work = entry.work
        free, holder = self._find_candidates(work, state, allowed, free)
        if not free:
            return None
        if _uses_affinity(work):
            preferred = self._affinity.choose(work.affinity_key, free)
            if preferred is not None:
                return preferred
        waited = self._clock.read_monotonic() - entry.enqueued_at
        return self._placement.choose(work, free, holder, waited)

    def _find_candidates(
        self,
        work: Work,
        state: TargetState,
        allowed: list[ReplicaState],
        free: list[ReplicaState],
    ) -> tuple[list[ReplicaState], ReplicaState | None]:
        """Return the free replicas that ``work`` may run on, and the usable holder."""
        if work.is_restricted:
            free = [replica for replica in free if replica in allowed]
        holder = state.replicas.get(work.holder) if work.holder is not None else None
        if holder is not None and (
            holder not in allowed
            or holder.isolated_request is not None
            or holder.reserved_for is not None
            or self._permits.read_pause(holder)
            or not state.health.may_use(holder.replica.name)
        ):
            holder = None
        return free, holder

    def _start(
        self, state: TargetState, entry: QueueEntry, replica: ReplicaState
    ) -> None:
        work, name = entry.work, replica.replica.name
        is_isolated = replica.reserved_for == work.request
        is_alone = is_isolated and replica.running == 0
        if is_isolated:
            replica.reserved_for, replica.isolated_request = None, work.request
        else:
            self._isolation.release(work, state)
        state.queue.take(entry)
        state.start(replica, work)
        self.quarantine.start(work.fingerprint, identify_process(replica.replica))
        self._permits.begin(replica.replica)
        self._running_requests[work.request, name] = RunningRequest(
            state, replica, is_isolated, is_alone
        )
        assert entry.future is not None
        entry.future.set_result(
            Ticket(
                work=work,
                target=state.target.name,
                replica=replica.replica,
                started_at=self._clock.read_monotonic(),
            )
        )

    def release(self, ticket: Ticket, result: Result, *, tokens: int = 0) -> None:
        work, name = ticket.work, ticket.replica.name
        run = self._running_requests.pop((work.request, name), None)
        if run is None:
            _LOG.warning(
                "ticket released twice; second release ignored",
                extra={"request": work.request, "replica": name},
            )
            return
        self._isolation.record_result(ticket, run, result, self._leaving_vms)
        self._gate.record_end(ticket, result)
        if result is Result.FAILED:
            result = Result.ANSWERED
        seconds = self._clock.read_monotonic() - ticket.started_at
        run.state.finish(run.replica, work, result, seconds)
        if result is Result.ANSWERED and tokens > 0:
            run.state.queue.settle(work, tokens)
        elif result in _NOT_RUN:
            run.state.queue.settle(work, 0.0)
        self._dispatch(run.state)

    def record_begin(self, ticket: Ticket) -> None:
        self._gate.record_begin(ticket)
        run = self._running_requests.get((ticket.work.request, ticket.replica.name))
        if run is not None:
            run.replica.prompt_tokens.remove(ticket.work.request)

    def may_retry(self, work: Work) -> bool:
        return self._retries.take()

    def report_load(self, replica: str, report: LoadReport) -> None:
        state = self._target_of_replica.get(replica)
        if state is not None:
            state.store_report(replica, report)
            self._dispatch(state)

    def knows_speeds(self) -> bool:
        """Return whether a replica has reported its speed."""
        return any(
            each.estimate.samples
            for state in self._targets.values()
            for each in state.replicas.values()
        )

    def read_load_shares(self) -> dict[str, LoadShare]:
        """Return what this node has on replicas that report their speed, by process."""
        now = self._clock.read_monotonic()
        shares = {}
        for state in self._targets.values():
            for each in state.replicas.values():
                if each.estimate.samples:
                    share = each.estimate.make_share(each.running, now)
                    if share is not None:
                        shares[identify_process(each.replica)] = share
        return shares

    def record_load_shares(self, shares: Mapping[str, LoadShare]) -> None:
        """Store what the other nodes have on replicas, by process.

        They have nothing on replicas that are missing. It improves the estimates of
        placement only: the isolation of suspects needs reports whose order relative to
        this node's own requests is certain.
        """
        now = self._clock.read_monotonic()
        for state in self._targets.values():
            for each in state.replicas.values():
                share = shares.get(identify_process(each.replica))
                if share is not None:
                    each.estimate.record_others(share, now)
                elif each.estimate.samples:
                    each.estimate.record_others(LoadShare(0), now)

    def report_limit(
        self, replica: Replica, rate: float | None, *, sent_at: float
    ) -> None:
        self._permits.record(replica, rate, sent_at=sent_at)

    def set_leaving_vms(self, vms: frozenset[str]) -> None:
        if vms != self._leaving_vms:
            self._leaving_vms = vms
            for state in self._targets.values():
                self._dispatch(state)

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the replicas.

        On each replica this node may always use its fair share of the concurrency
        limit, even if the replica reports that all slots are taken.
        """
        self._node_count = max(1, count)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Apply the targets of a new bundle.

        Requests that wait for a removed target are refused.
        """
        self._has_targets = True
        found = {target.name: target for target in targets}
        for name in self._targets.keys() - found.keys():
            state = self._targets.pop(name)
            for entry in tuple(state.queue.scan()):
                self._refuse(state, entry)
        for name, target in found.items():
            if name in self._targets:
                self._update(self._targets[name], target)

    def _update(self, state: TargetState, target: Target) -> None:
        state.update(target)
        self._target_of_replica = {
            name: each for each in self._targets.values() for name in each.replicas
        }
        self._dispatch(state)

    def record_loss(self, replica: Replica) -> None:
        self.quarantine.record_loss(identify_process(replica))

    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
        return {
            "targets": {n: state.dump() for n, state in self._targets.items()},
            "leaving": sorted(self._leaving_vms),
            "nodes": self._node_count,
            "retries_left": round(self._retries.tokens, 3),
            "suspects": list(self.quarantine.list_suspects()),
            "convicted": list(self.quarantine.list_quarantined()),
        }


def _uses_affinity(work: Work) -> bool:
    return bool(work.affinity_key) and not work.parts
