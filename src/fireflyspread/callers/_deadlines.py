"""Deadlines that callers send."""

from aiohttp import web

from fireflyspread.clock import Clock
from fireflyspread.exceptions import RequestError

__all__ = ["DEADLINE_HEADER", "read_deadline"]

DEADLINE_HEADER = "X-Deadline-Ms"


def read_deadline(request: web.Request, clock: Clock, default: float) -> float:
    """Return the deadline in monotonic seconds.

    The header carries the remaining milliseconds instead of a time, so that clocks
    need not agree. Without it the request has ``default`` seconds.

    Raises
    ------
    RequestError
        The header is not a positive whole number.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return clock.read_monotonic() + default
    if not text.isdigit() or int(text) < 1:
        raise RequestError(f"{DEADLINE_HEADER} is {text!r}; send milliseconds above 0")
    return clock.read_monotonic() + int(text) / 1000.0
