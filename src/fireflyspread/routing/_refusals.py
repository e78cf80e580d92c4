"""Errors with which the scheduler refuses requests."""

from fireflyspread.exceptions import (
    FireflyError,
    OverloadedError,
    QuarantinedError,
)
from fireflyspread.routing._queue import QueueEntry

__all__ = ["make_on_trial", "make_overloaded", "make_quarantined", "set_error"]

# Seconds.
_MIN_RETRY_AFTER = 0.1
_MAX_RETRY_AFTER = 60.0
_TRIAL_RETRY_AFTER = 1.0


def set_error(entry: QueueEntry, error: FireflyError) -> None:
    if entry.future is not None and not entry.future.done():
        entry.future.set_exception(error)


def make_quarantined(fingerprint: str, remaining: float) -> QuarantinedError:
    """Return the error for a quarantine that ends in ``remaining`` seconds."""
    return QuarantinedError(
        f"requests equal to this one crashed several replicas (fingerprint "
        f"{fingerprint}); change the request",
        retry_after=remaining,
    )


def make_on_trial(fingerprint: str) -> OverloadedError:
    """Return the error for a request that waits for the end of an equal one."""
    return OverloadedError(
        f"a replica crashed with an equal request (fingerprint {fingerprint}), and "
        "another one is running; retry later",
        retry_after=_TRIAL_RETRY_AFTER,
    )


def make_overloaded(target: str, delay: float) -> OverloadedError:
    return OverloadedError(
        f"target {target} cannot start the request before its deadline; retry later",
        retry_after=min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, delay)),
    )
