"""Results of failed attempts for the scheduler."""

import asyncio

from yarl import URL

from fireflyspread.exceptions import (
    CrossedAnswerError,
    ReplicaCrashedError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.routing import Result

__all__ = ["classify_failure"]

# Seconds. A VM whose process has crashed refuses connections at once; a VM that is
# down does not answer.
_PROBE_TIMEOUT = 0.3


async def classify_failure(error: TargetError, url: str) -> Result:
    """Return the result of a failed attempt at the replica at ``url``.

    A broken connection counts as a crash only if the replica no longer accepts
    connections, so that no request is quarantined for a network failure.
    """
    match error:
        case TargetUnreachableError():
            return Result.UNREACHABLE
        case ReplicaCrashedError():
            return (
                Result.BROKEN if await _accepts_connection(URL(url)) else Result.CRASHED
            )
        case CrossedAnswerError():
            return Result.REFUSED
        case _:
            return Result.TIMED_OUT


async def _accepts_connection(url: URL) -> bool:
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(url.host, url.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
