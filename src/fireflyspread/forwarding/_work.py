"""Requests as the scheduler sees them."""

from collections.abc import Collection

from fireflyspread.forwarding._config import ForwardingRoute, RouteKind, TeamPolicy
from fireflyspread.forwarding._request import ForwardRequest
from fireflyspread.routing import Homes, Work

__all__ = ["compute_start_deadline", "make_work"]

# Fraction of a caller's patience within which a stream must start, so that its first
# event arrives in time.
_START_FRACTION = 0.75


def make_work(
    request: ForwardRequest,
    *,
    route: ForwardingRoute,
    team: TeamPolicy | None,
    homes: Homes,
    deadline: float,
    sends: int = 0,
    fingerprint: str = "",
    failed_replicas: Collection[str] = (),
    is_continuation: bool = False,
    version: str | None = None,
) -> Work:
    """Return a request for the scheduler.

    Parameters
    ----------
    deadline : float
        When the request must start, in monotonic seconds.
    sends : int
        How often the request has been sent before.
    """
    program, prompt = request.program, request.prompt
    return Work(
        request=f"{request.id}#{sends}",
        team="" if team is None else team.name,
        weight=1.0,
        program=program.id if program else request.id,
        fingerprint=fingerprint,
        cost=float(prompt.expected_output_tokens) if prompt else 1.0,
        deadline=deadline,
        excluded=frozenset(failed_replicas),
        parts=prompt.parts if prompt else (),
        held_tokens=prompt.input_tokens + prompt.max_output_tokens if prompt else 0,
        is_continuation=is_continuation,
        version=version,
        affinity_key=request.affinity_key if route.sticky else "",
        allowed_zones=homes.replica_zones,
    )


def compute_start_deadline(
    route: ForwardingRoute, *, deadline: float, last_data_at: float
) -> float:
    """Return when a request must start, in monotonic seconds."""
    if route.kind is not RouteKind.STREAM:
        return deadline
    return min(deadline, last_data_at + _START_FRACTION * route.max_silence)
