"""How a failed attempt is reported to the scheduler."""

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

# Seconds. A process that has just crashed refuses connections at once; a VM that is
# gone does not answer at all.
_PROBE_TIMEOUT = 0.3


async def classify_failure(error: TargetError, url: str) -> Result:
    """Return how an attempt at the replica at ``url`` ended.

    A broken connection counts as a crash of the replica only when it accepts no
    connection any more: a request must not be quarantined for a cut network path.
    """
    match error:
        case TargetUnreachableError():
            return Result.UNREACHABLE
        case ReplicaCrashedError():
            return Result.BROKEN if await _accepts(URL(url)) else Result.CRASHED
        case CrossedAnswerError():
            return Result.REFUSED
        case _:
            return Result.TIMED_OUT


async def _accepts(url: URL) -> bool:
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(url.host, url.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True
