"""Errors of this package, each with a code, an HTTP status and an outcome.

The message of an error names the remedy. The outcome says whether the request ran:
``not_run`` is only used if nothing was dispatched to a target, or if the target is
known not to have run the request.
"""

import enum
from typing import ClassVar


class Outcome(enum.StrEnum):
    """Whether the failed request ran."""

    NOT_RUN = "not_run"
    RAN = "ran"
    MAY_HAVE_RUN = "may_have_run"


class FireflyError(Exception):
    """Base class of the errors of this package.

    Parameters
    ----------
    message : str
        What happened and what to do about it.
    retry_after : float or None
        Seconds after which the caller may retry; None if a retry cannot succeed.
    outcome : Outcome or None
        Overrides the outcome of the class.
    """

    code: ClassVar[str] = "internal"
    status: ClassVar[int] = 500
    outcome: Outcome = Outcome.NOT_RUN
    retry_after: float | None = None

    def __init__(
        self,
        message: str,
        *,
        retry_after: float | None = None,
        outcome: Outcome | None = None,
    ) -> None:
        super().__init__(message)
        self.message = message
        if retry_after is not None:
            self.retry_after = retry_after
        if outcome is not None:
            self.outcome = outcome


class SettingsError(FireflyError, ValueError):
    """A settings file cannot be used."""

    code = "settings_invalid"


class BundleError(FireflyError, ValueError):
    """A bundle is malformed or inconsistent."""

    code = "bundle_invalid"
    status = 400


class BundleConflictError(FireflyError):
    """Another operator rolled a bundle first."""

    code = "bundle_conflict"
    status = 409


class BundleNotApprovedError(FireflyError):
    """A bundle was rolled before it was approved."""

    code = "bundle_not_approved"
    status = 409


class RequestError(FireflyError, ValueError):
    """A request body, header or parameter is malformed."""

    code = "request_invalid"
    status = 400


class PayloadTooLargeError(FireflyError, ValueError):
    """A request body exceeds the configured size."""

    code = "payload_too_large"
    status = 413


class AuthenticationError(FireflyError):
    """No key, an unknown key or a withdrawn key was presented."""

    code = "key_unknown"
    status = 401


class KeyWithdrawnError(AuthenticationError):
    """The key was withdrawn while its request was running."""

    code = "key_withdrawn"
    outcome = Outcome.MAY_HAVE_RUN


class NotFoundError(FireflyError, LookupError):
    """The program, turn, route, bundle or key does not exist.

    Programs and turns of other teams count as absent.
    """

    code = "not_found"
    status = 404


class OutOfOrderError(FireflyError):
    """A turn number is not the next one of its program."""

    code = "turn_out_of_order"
    status = 409


class TurnConflictError(FireflyError):
    """A turn was repeated with a different body."""

    code = "turn_conflict"
    status = 409


class ProgramEndedError(FireflyError):
    """The program has ended and accepts no more calls."""

    code = "program_ended"
    status = 409


class HistoryMismatchError(FireflyError):
    """A history does not match its recorded digest."""

    code = "history_mismatch"
    status = 409


class BudgetExceededError(FireflyError):
    """The maximum cost of a call exceeds the remaining budget."""

    code = "budget_exceeded"
    status = 402


class RateLimitedError(FireflyError):
    """The team has exceeded its rate limit."""

    code = "rate_limited"
    status = 429
    retry_after = 1.0


class OverloadedError(FireflyError):
    """No capacity is left, or the request cannot be placed before its deadline."""

    code = "overloaded"
    status = 503
    retry_after = 1.0


class DeadlineError(FireflyError, TimeoutError):
    """The deadline of the request has passed."""

    code = "deadline_exceeded"
    status = 504


class NoAuthorityError(FireflyError):
    """The node has no authority and must not act."""

    code = "no_authority"
    status = 503
    retry_after = 1.0


class DrainingError(FireflyError):
    """The node is shutting down."""

    code = "draining"
    status = 503
    retry_after = 1.0


class MissingIdempotencyKeyError(FireflyError, ValueError):
    """A non-idempotent route was called without an idempotency key."""

    code = "idempotency_key_required"
    status = 400


class IdempotencyConflictError(FireflyError):
    """An idempotency key was reused with a different body."""

    code = "idempotency_conflict"
    status = 409


class RequestRunningError(FireflyError):
    """The first request with this idempotency key is still running."""

    code = "request_running"
    status = 409
    outcome = Outcome.MAY_HAVE_RUN
    retry_after = 1.0


class MayHaveRunError(FireflyError):
    """A non-idempotent request was dispatched and its outcome is unknown."""

    code = "may_have_run"
    status = 502
    outcome = Outcome.MAY_HAVE_RUN


class QuarantinedError(FireflyError):
    """Requests equal to this one were in flight when several replicas crashed."""

    code = "request_quarantined"
    status = 422


class TurnNotFoundError(NotFoundError):
    """There is no turn with this id for the team."""

    code = "turn_not_found"


class TurnUncertainError(FireflyError):
    """Whether there is a turn with this id cannot be told now."""

    code = "turn_uncertain"
    status = 503
    outcome = Outcome.NOT_RUN


class StreamVersionError(FireflyError):
    """A stream cannot go on at the software version that began it."""

    code = "stream_not_resumable"
    status = 503


class TargetError(FireflyError):
    """A target failed to answer."""

    code = "target_failed"
    status = 502
    outcome = Outcome.MAY_HAVE_RUN
    retry_after = 1.0


class TargetUnreachableError(TargetError):
    """No connection to the replica could be made, so nothing was dispatched."""

    code = "target_unreachable"
    outcome = Outcome.NOT_RUN


class NoConnectionError(TargetError):
    """The node may open no further connection to the replica, so nothing was sent.

    Unlike an unreachable replica, it goes on serving its other connections.
    """

    code = "no_connection"
    outcome = Outcome.NOT_RUN


class ReplicaCrashedError(TargetError):
    """The replica closed the connection while the request was in flight."""

    code = "replica_crashed"


class UnexpectedAnswerError(ReplicaCrashedError):
    """The replica sent bytes that are no answer; another send to it may bring more."""


class CrossedAnswerError(TargetError):
    """A replica sent an answer that belongs to another request."""

    code = "answer_crossed"


class StaleFenceError(FireflyError):
    """A target refused a request with an old fencing number."""

    code = "fence_stale"
    status = 409
    retry_after = 1.0


class StoreError(FireflyError):
    """The platform's store did not respond or responded with an error."""

    code = "store_unavailable"
    status = 503
    retry_after = 1.0


class StoreUncertainError(StoreError):
    """The response to a write was lost; the write may have taken effect."""

    code = "store_uncertain"


class HistoryLostError(StoreError):
    """The store no longer has the changes from which a watch would continue."""

    code = "store_history_lost"


class SealedError(FireflyError):
    """Another node has sealed the journal of this node, which must stop acting."""

    code = "journal_sealed"
    status = 503
    retry_after = 1.0


class PeerError(FireflyError):
    """Another node did not answer a message or refused it."""

    code = "peer_unavailable"
    status = 503
    retry_after = 1.0


class PeerUnconnectedError(PeerError):
    """There is no connection to another node, so nothing was sent."""

    code = "peer_unconnected"


class PeerGoneError(PeerError):
    """Another node is known to have ended, with all that only it knew."""

    code = "peer_gone"


class PeerUnreadyError(PeerError):
    """Another node has just started and cannot act yet; it has done nothing."""

    code = "peer_unready"


class UnsupportedVersionError(PeerError):
    """A node sent a message of an unknown version."""

    code = "unsupported_version"
