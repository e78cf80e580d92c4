"""Load that replicas report in their responses."""

import re

from fireflyspread.routing import LoadReport

__all__ = ["read_load"]

# Running requests, waiting requests, slots, and in percent the time that work takes.
_LOAD = re.compile(
    r"\s*(\d{1,9})\s*,\s*(\d{1,9})\s*,\s*(\d{1,9})\s*(?:,\s*(\d{1,9})\s*)?", re.ASCII
)
_USUAL_PERCENT = 100
# Highest time in percent that is believed. Replicas on slow machines report up to 250;
# a replica that is slower than this is as good as stopped.
_MAX_PERCENT = 10_000


def read_load(value: str | None, now: float) -> LoadReport | None:
    """Return the load of a ``Server-Load`` header; None if absent or malformed.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """
    match = _LOAD.fullmatch(value or "")
    if match is None:
        return None
    percent = match[4]
    if percent is not None and not 0 < int(percent) <= _MAX_PERCENT:
        return None
    return LoadReport(
        running=int(match[1]),
        waiting=int(match[2]),
        cache_used=0,
        cache_capacity=0,
        received_at=now,
        slowdown=1.0 if percent is None else int(percent) / _USUAL_PERCENT,
        has_slowdown=percent is not None,
    )
