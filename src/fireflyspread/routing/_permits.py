"""Permits of replicas that limit their requests, as the scheduler uses them."""

import logging
import math
from collections.abc import Iterable
from typing import Any

from fireflyspread.bundle import Replica
from fireflyspread.exceptions import RateLimitedError
from fireflyspread.limits import PermitLimiter, ReplicaLimiter
from fireflyspread.routing._crashes import identify_process
from fireflyspread.routing._placement import ReplicaState
from fireflyspread.routing._scheduler import Ticket, Work

__all__ = ["Permits"]

_LOG = logging.getLogger(__name__)

# Maximum wait (seconds) when all replicas have used up the limits that they name. As
# many requests are served with a longer queue, but all of them late.
_MAX_WAIT = 0.8


class Permits:
    """Permits of the replicas of one scheduler.

    Parameters
    ----------
    limiters : iterable of PermitLimiter
        Give the permits; a request needs one of each that limits its replica.
    """

    def __init__(self, limiters: Iterable[PermitLimiter[Any]]) -> None:
        self._limiters = tuple(limiters)

    def read_pause(self, replica: ReplicaState) -> float:
        """Return the seconds for which the limit of a replica is used up."""
        if not self._limiters:
            return 0.0
        process = identify_process(replica.replica)
        return max(limiter.read_pause(process) for limiter in self._limiters)

    def is_cold(self, replica: ReplicaState) -> bool:
        """Return whether a replica is bounded because it is cold."""
        process = identify_process(replica.replica)
        return any(
            limiter.get_fair_rate(process) < math.inf
            for limiter in self._limiters
            if not isinstance(limiter, ReplicaLimiter)
        )

    def list_usable(self, replicas: Iterable[ReplicaState]) -> list[ReplicaState]:
        """Return the replicas whose limit is not used up."""
        return [replica for replica in replicas if not self.read_pause(replica)]

    def begin(self, replica: Replica) -> None:
        """Pause a limited replica until ``take`` or ``cancel`` is called."""
        for limiter in self._limiters:
            limiter.begin(identify_process(replica))

    def cancel(self, ticket: Ticket) -> None:
        """End the pause of a request that takes no permit."""
        for limiter in self._limiters:
            limiter.cancel(identify_process(ticket.replica))

    async def take(self, ticket: Ticket) -> bool:
        """Take the permits for a ticket; False if a limit is used up."""
        try:
            await self._take(ticket, max_wait=0.0)
        except RateLimitedError as exc:
            _LOG.info(
                "replica not used, its limit is used up",
                extra={
                    "request": ticket.work.request,
                    "replica": ticket.replica.name,
                    "retry_after": exc.retry_after,
                },
            )
            return False
        return True

    async def _take(self, ticket: Ticket, *, max_wait: float) -> None:
        process = identify_process(ticket.replica)
        try:
            for limiter in self._limiters:
                await limiter.acquire(process, max_wait=max_wait)
        finally:
            # Those that were not reached.
            self.cancel(ticket)

    async def take_for_resend(self, ticket: Ticket, *, max_wait: float) -> None:
        """Wait for the permits; raises ``RateLimitedError``."""
        await self._take(ticket, max_wait=max_wait)

    def record(self, replica: Replica, rate: float | None, *, sent_at: float) -> None:
        """Record the limit that an answer names; see ``ReplicaLimits.record``."""
        process = identify_process(replica)
        for limiter in self._limiters:
            if isinstance(limiter, ReplicaLimiter):
                limiter.limits.record(process, rate, sent_at=sent_at)

    def find_excessive_wait(
        self, work: Work, replicas: Iterable[ReplicaState], *, queued: int, now: float
    ) -> float | None:
        """Return the wait for a permit if it is too long for ``work``.

        Parameters
        ----------
        replicas : iterable of ReplicaState
            All replicas that may run the request.
        queued : int
            Requests that wait for these replicas.
        now : float
            Monotonic seconds.

        Returns
        -------
        float or None
            Seconds; None if the request may wait, or if a replica needs no permit.
        """
        wait = self._estimate_wait(work, replicas, queued)
        max_wait = work.deadline - now
        if not work.is_continuation:
            max_wait = min(max_wait, _MAX_WAIT)
        return wait if wait > max_wait else None

    def _estimate_wait(
        self, work: Work, replicas: Iterable[ReplicaState], queued: int
    ) -> float:
        if not self._limiters:
            return 0.0
        pauses, rate = [], 0.0
        for replica in replicas:
            process = identify_process(replica.replica)
            pauses.append(self.read_pause(replica))
            rate += min(limiter.get_fair_rate(process) for limiter in self._limiters)
        if not pauses or not min(pauses):
            return 0.0
        ahead = 0 if work.is_continuation else queued
        return max(min(pauses), (ahead + 1) / rate)
