"""Runs suspected requests alone on a replica."""

import random
from collections.abc import Sequence

from attrs import frozen

from fireflyspread.routing._placement import ReplicaState
from fireflyspread.routing._quarantine import Quarantine
from fireflyspread.routing._scheduler import Result, Ticket, Work
from fireflyspread.routing._target import TargetState

__all__ = ["Isolation", "RunningRequest"]


@frozen
class RunningRequest:
    """A request on a replica.

    Attributes
    ----------
    is_isolated : bool
        Whether it is a suspect for which the replica was reserved.
    is_alone : bool
        Whether the replica had no other request of this node at the start.
    """

    state: TargetState
    replica: ReplicaState
    is_isolated: bool
    is_alone: bool


class Isolation:
    """Empties replicas for suspects.

    Of one fingerprint, only one request runs or waits for a replica to become empty;
    a request that crashes replicas and is sent many times at once would otherwise
    crash as many replicas.

    A suspect starts when its replica is empty, or after ``patience`` beside requests
    that were there before. An answer clears it all the same, and most suspects are
    innocent. One that has crashed two replicas waits until it is alone.

    Parameters
    ----------
    quarantine : Quarantine
        Says on which replicas a suspect has crashed already. Another replica is
        preferred, because two different ones are needed to convict.
    max_fraction : float
        Part of the replicas of a target that may be taken by suspects.
    patience : float
        Seconds.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        rng: random.Random,
        *,
        max_fraction: float = 0.34,
        patience: float = 3.0,
    ) -> None:
        self._quarantine = quarantine
        self._rng = rng
        self._max_fraction = max_fraction
        self._patience = patience
        self._requests: dict[str, tuple[str, float]] = {}

    def place(
        self, work: Work, state: TargetState, usable: Sequence[ReplicaState], now: float
    ) -> ReplicaState | None:
        """Return the replica for a suspect, or reserve one and return None."""
        request, _ = self._requests.get(work.fingerprint, (work.request, now))
        if request != work.request:
            return None
        reserved = list(state.iterate_reserved())
        for replica in reserved:
            if replica.reserved_for == work.request:
                if replica in usable:
                    return self._check(work, replica, now)
                replica.reserved_for = None
                reserved.remove(replica)
                break
        if len(reserved) >= max(1, int(self._max_fraction * len(state.replicas))):
            return None
        chosen = self._choose(work, state, usable)
        if chosen is None:
            return None
        chosen.reserved_for = work.request
        self._requests[work.fingerprint] = (work.request, now)
        return self._check(work, chosen, now)

    def _check(
        self, work: Work, replica: ReplicaState, now: float
    ) -> ReplicaState | None:
        if replica.running == 0:
            return replica
        _, reserved_at = self._requests[work.fingerprint]
        is_strict = len(self._quarantine.get_crashed(work.fingerprint)) >= 2
        if is_strict or now - reserved_at < self._patience:
            return None
        return replica if replica.running < replica.concurrency else None

    def _choose(
        self, work: Work, state: TargetState, usable: Sequence[ReplicaState]
    ) -> ReplicaState | None:
        free = [
            replica
            for replica in usable
            if replica.alone is None
            and replica.reserved_for is None
            and state.health.may_use(replica.replica.name)
        ]
        crashed = self._quarantine.get_crashed(work.fingerprint)
        free = [r for r in free if r.replica.name not in crashed] or free
        # Other nodes do not see this choice before the next load report. If all took
        # the emptiest replica, their suspects would meet there.
        return self._rng.choice(free) if free else None

    def forget(self, work: Work, state: TargetState) -> None:
        """End the reservation of a request that does not wait or run any more."""
        request, _ = self._requests.get(work.fingerprint, ("", 0.0))
        if request != work.request:
            return
        del self._requests[work.fingerprint]
        for replica in state.iterate_reserved():
            if replica.reserved_for == work.request:
                replica.reserved_for = None
            if replica.alone == work.request:
                replica.alone = None

    def judge(
        self,
        ticket: Ticket,
        run: RunningRequest,
        result: Result,
        leaving: frozenset[str],
    ) -> None:
        """Tell the quarantine how a request ended and end its isolation."""
        fingerprint, name = ticket.work.fingerprint, ticket.replica.name
        # A replica on a VM that is leaving is expected to end.
        if result is Result.CRASHED and ticket.replica.vm not in leaving:
            self._quarantine.record_crash(
                fingerprint,
                name,
                ticket.started_at,
                alone=run.is_alone,
                shared=run.replica.is_shared(),
            )
        elif result is Result.ANSWERED:
            self._quarantine.record_answer(fingerprint, isolated=run.is_isolated)
        self._quarantine.finish(fingerprint, name)
        if run.is_isolated:
            self.forget(ticket.work, run.state)
