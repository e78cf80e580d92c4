"""Priorities with which engines run requests."""

from fireflyspread.forwarding._config import ForwardingRoute, TeamPolicy
from fireflyspread.forwarding._request import ForwardRequest

__all__ = ["compute_priority"]

# Engines take priorities from 0 to 9, with 5 as the default. Programs past their
# deadline rank behind all others, because a late answer has little value.
_BASE_PRIORITY = 3
_MAX_RANK = 3
_LATE_PRIORITY = 8


def compute_priority(
    request: ForwardRequest,
    route: ForwardingRoute,
    team: TeamPolicy | None,
    *,
    waited: float,
) -> int:
    """Return the priority of a request; 0 is the most urgent.

    Parameters
    ----------
    waited : float
        Seconds since the request was received.
    """
    program = request.program
    if program is not None and program.remaining is not None:
        if program.remaining - waited < 0:
            return _LATE_PRIORITY
    rank = route.priority
    if team is not None and team.priority is not None:
        rank = team.priority
    return _BASE_PRIORITY + min(_MAX_RANK, max(0, rank))
