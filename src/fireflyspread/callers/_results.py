"""Results of failed attempts for the scheduler."""

from fireflyspread._http_client import accepts_connection
from fireflyspread.exceptions import (
    CrossedAnswerError,
    ReplicaCrashedError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.routing import Result

__all__ = ["classify_failure"]


async def classify_failure(error: TargetError, url: str) -> Result:
    """Return the result of a failed attempt at the replica at ``url``.

    A broken connection counts as a crash only if the replica no longer accepts
    connections, so that no request is quarantined for a network failure.
    """
    match error:
        case TargetUnreachableError():
            return Result.UNREACHABLE
        case ReplicaCrashedError():
            return Result.BROKEN if await accepts_connection(url) else Result.CRASHED
        case CrossedAnswerError():
            return Result.REFUSED
        case _:
            return Result.TIMED_OUT
