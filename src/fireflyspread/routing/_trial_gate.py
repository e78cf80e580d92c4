"""Requests of one scheduler that were in flight at a crash and run on trial."""

from fireflyspread.clock import Clock
from fireflyspread.exceptions import QuarantinedError
from fireflyspread.routing._crashes import identify_process
from fireflyspread.routing._quarantine import Quarantine
from fireflyspread.routing._refusals import make_on_trial
from fireflyspread.routing._scheduler import Result, Ticket, Work
from fireflyspread.routing._trials import Trial, Trials

__all__ = ["TrialGate"]

# Maximum wait (seconds, and fraction of the time until the deadline) while an equal
# request is on trial. Most are answered within a fraction of a second.
_MAX_WAIT = 1.0
_WAIT_FRACTION = 1 / 3
# Seconds after the deadline of a request at which its trial ends by itself.
_MARGIN = 1.0
_WITHOUT_ANSWER = frozenset(
    {Result.BROKEN, Result.CANCELLED, Result.CRASHED, Result.TIMED_OUT}
)


class TrialGate:
    """Begins and ends trials, and counts their crashes until they have ended.

    Parameters
    ----------
    trials : Trials or None
        None lets all requests run.
    """

    def __init__(
        self, trials: Trials | None, quarantine: Quarantine, clock: Clock
    ) -> None:
        self._trials = trials
        self._quarantine = quarantine
        self._clock = clock

    def is_needed(self, work: Work) -> bool:
        """Return whether a request may run on trial only."""
        return self._trials is not None and self._quarantine.needs_trial(
            work.fingerprint
        )

    async def begin(self, work: Work) -> Trial | None:
        """Wait until a request may run; return its trial if it needs one.

        Raises
        ------
        OverloadedError
            An equal request is on trial.
        QuarantinedError
            The request is known to crash replicas.
        """
        if self._trials is None or not self.is_needed(work):
            return None
        remaining = work.deadline - self._clock.read_monotonic()
        try:
            trial = await self._trials.begin(
                work.fingerprint,
                work.request,
                seconds=max(0.0, remaining) + _MARGIN,
                max_wait=min(_MAX_WAIT, _WAIT_FRACTION * remaining),
                is_needed=lambda: self.is_needed(work),
            )
        except TimeoutError as exc:
            raise make_on_trial(work.fingerprint) from exc
        try:
            self._quarantine.check(work.fingerprint)
        except QuarantinedError:
            self.cancel(trial)
            raise
        return trial

    def cancel(self, trial: Trial | None) -> None:
        """End a trial whose request was not sent."""
        if trial is not None and self._trials is not None:
            self._trials.end(trial, is_answered=False)

    def record_start(self, ticket: Ticket) -> None:
        """Count a request on trial as one that crashes its replica until it ends."""
        if ticket.trial is not None:
            ticket.presumed_crash = self._quarantine.presume_crash(
                ticket.work.fingerprint, identify_process(ticket.replica)
            )

    def record_begin(self, ticket: Ticket) -> None:
        """End the trial of a request whose answer has begun."""
        process = identify_process(ticket.replica)
        self._quarantine.record_begin(ticket.work.fingerprint, process)
        self._settle_presumed_crash(ticket, Result.ABANDONED)
        self._end(ticket, is_answered=True)

    def record_end(self, ticket: Ticket, result: Result) -> None:
        """End the trial of a request."""
        self._settle_presumed_crash(ticket, result)
        self._end(ticket, is_answered=result is Result.ANSWERED)

    def _end(self, ticket: Ticket, *, is_answered: bool) -> None:
        trial, ticket.trial = ticket.trial, None
        if trial is not None and self._trials is not None:
            self._trials.end(trial, is_answered=is_answered)

    def _settle_presumed_crash(self, ticket: Ticket, result: Result) -> None:
        crash_id, ticket.presumed_crash = ticket.presumed_crash, None
        if crash_id is None:
            return
        if result in _WITHOUT_ANSWER:
            self._quarantine.confirm_presumed(
                crash_id, ticket.work.fingerprint, identify_process(ticket.replica)
            )
        else:
            self._quarantine.withdraw_presumed(crash_id)
