"""Isolation of suspected requests on replicas of their own."""

import logging
import random
from collections.abc import Sequence

from attrs import frozen

from fireflyspread.routing._crashes import identify_process
from fireflyspread.routing._placement import ReplicaState
from fireflyspread.routing._quarantine import Quarantine
from fireflyspread.routing._scheduler import Result, Ticket, Work
from fireflyspread.routing._target import TargetState

__all__ = ["Isolation", "RunningRequest"]


_LOG = logging.getLogger(__name__)

# Results that leave open whether the replica still runs.
_UNANSWERED = frozenset(
    {Result.ABANDONED, Result.BROKEN, Result.CANCELLED, Result.TIMED_OUT}
)
# Seconds from the return of a replica until its new registration is known.
_MIN_LOSS_DELAY = 0.5


@frozen
class RunningRequest:
    """A request that runs on a replica.

    Attributes
    ----------
    is_isolated : bool
        Whether the request is a suspect for which the replica was reserved.
    is_alone : bool
        Whether the request is isolated and the replica had no other request of this
        node when it started.
    """

    state: TargetState
    replica: ReplicaState
    is_isolated: bool
    is_alone: bool


class Isolation:
    """Reserves replicas for suspects and drains them.

    Only one request of each fingerprint is isolated at a time. Otherwise a request
    that crashes replicas and is sent many times at once would crash as many replicas.

    A suspect starts when its replica is idle. After ``max_wait`` it starts beside the
    requests that still run there: most suspects are not the cause of a crash, and an
    answer clears them in this case too. With ``waits_for_repeated`` a suspect that was
    in flight at crashes of two replicas always waits for an idle replica.

    Parameters
    ----------
    quarantine : Quarantine
        Knows the replicas that crashed with a suspect in flight. Another replica is
        preferred, because crashes of two different replicas are needed to quarantine
        a fingerprint.
    max_reserved_fraction : float
        Fraction of a target's replicas that may be reserved for suspects; one
        replica may be reserved in any case.
    max_wait : float
        Seconds from the reservation of a replica.
    waits_for_repeated : bool
        Whether ``max_wait`` holds only for suspects of a single crash.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        rng: random.Random,
        *,
        max_reserved_fraction: float = 0.34,
        max_wait: float = 3.0,
        waits_for_repeated: bool = True,
    ) -> None:
        self._quarantine = quarantine
        self._rng = rng
        self._max_reserved_fraction = max_reserved_fraction
        self._max_wait = max_wait
        self._waits_for_repeated = waits_for_repeated
        self._reservations: dict[str, tuple[str, float]] = {}

    def place(
        self, work: Work, state: TargetState, usable: Sequence[ReplicaState], now: float
    ) -> ReplicaState | None:
        """Return the replica on which a suspect can start now, if any.

        Reserves a replica if the suspect has none yet and the limit allows it.
        """
        request, _ = self._reservations.get(work.fingerprint, (work.request, now))
        if request != work.request or self._quarantine.is_pending(work.fingerprint):
            return None
        reserved = list(state.iterate_reserved())
        for replica in reserved:
            if replica.reserved_for == work.request:
                if replica in usable:
                    return self._get_if_startable(work, replica, now)
                replica.reserved_for = None
                reserved.remove(replica)
                break
        if len(reserved) >= max(
            1, int(self._max_reserved_fraction * len(state.replicas))
        ):
            return None
        chosen = self._choose(work, state, usable)
        if chosen is None:
            return None
        chosen.reserved_for = work.request
        self._reservations[work.fingerprint] = (work.request, now)
        return self._get_if_startable(work, chosen, now)

    def _get_if_startable(
        self, work: Work, replica: ReplicaState, now: float
    ) -> ReplicaState | None:
        if replica.running == 0:
            return replica
        _, reserved_at = self._reservations[work.fingerprint]
        must_be_alone = (
            self._waits_for_repeated
            and len(self._quarantine.get_crashed_replicas(work.fingerprint)) >= 2
        )
        if must_be_alone or now - reserved_at < self._max_wait:
            return None
        return replica if replica.running < replica.concurrency else None

    def _choose(
        self, work: Work, state: TargetState, usable: Sequence[ReplicaState]
    ) -> ReplicaState | None:
        free = [
            replica
            for replica in usable
            if replica.isolated_request is None
            and replica.reserved_for is None
            and state.health.may_use(replica.replica.name)
        ]
        crashed = self._quarantine.get_crashed_replicas(work.fingerprint)
        free = [r for r in free if identify_process(r.replica) not in crashed] or free
        # Other nodes do not see this choice before the next load report. If all nodes
        # chose the least loaded replica, their suspects would share it.
        return self._rng.choice(free) if free else None

    def release(self, work: Work, state: TargetState) -> None:
        """End the reservation, if any, of a request that no longer waits or runs."""
        request, _ = self._reservations.get(work.fingerprint, ("", 0.0))
        if request != work.request:
            return
        del self._reservations[work.fingerprint]
        for replica in state.iterate_reserved():
            if replica.reserved_for == work.request:
                replica.reserved_for = None
            if replica.isolated_request == work.request:
                replica.isolated_request = None

    def record_result(
        self,
        ticket: Ticket,
        run: RunningRequest,
        result: Result,
        leaving_vms: frozenset[str],
    ) -> None:
        """Report to the quarantine how a request ended, and end its isolation."""
        fingerprint, process = ticket.work.fingerprint, identify_process(ticket.replica)
        if self._is_crash(ticket, run, result, leaving_vms):
            self._quarantine.record_crash(
                fingerprint,
                process,
                ticket.started_at,
                alone=run.is_alone,
                shared=run.replica.is_shared(),
            )
        elif result is Result.CRASHED:
            _LOG.info(
                "crash not counted, the replica was expected to stop",
                extra={
                    "request": ticket.work.request,
                    "fingerprint": fingerprint,
                    "replica": process,
                },
            )
        elif result is Result.ANSWERED:
            self._quarantine.record_answer(fingerprint, isolated=run.is_isolated)
        self._quarantine.finish(fingerprint, process, unanswered=result in _UNANSWERED)
        if run.is_isolated:
            self.release(ticket.work, run.state)

    def _is_crash(
        self,
        ticket: Ticket,
        run: RunningRequest,
        result: Result,
        leaving_vms: frozenset[str],
    ) -> bool:
        """Return whether the replica stopped, without notice, with the request."""
        process = identify_process(ticket.replica)
        if result in _UNANSWERED:
            # The replica was found gone before the end of the request. One that has
            # restarted may have got the request before its new registration.
            margin = 0.0 if result is Result.BROKEN else _MIN_LOSS_DELAY
            return self._quarantine.was_lost_after(process, ticket.started_at + margin)
        if result is not Result.CRASHED:
            return False
        if self._quarantine.was_lost_after(process, ticket.started_at):
            return True
        # A replica that has left its target, or on a leaving VM, is expected to stop.
        return not (
            ticket.replica.vm in leaving_vms
            or ticket.replica.name not in run.state.replicas
        )
