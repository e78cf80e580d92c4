"""Explanation of what would happen to a request."""

from attrs import frozen

from fireflyspread.routing import PlacementExplanation, ReplicaExplanation

__all__ = ["RequestExplanation"]

# What the explanation leaves out.
_UNCHECKED = (
    "the rate limit of the team is not forecast (429): its tokens are held by several "
    "nodes, and to ask for them would take them",
    "budget and quarantine are not checked: they depend on the body of the request",
)


@frozen(kw_only=True)
class RequestExplanation:
    """What would happen to a request at this node now, in JSON types.

    Attributes
    ----------
    node : str
        Node that explains.
    status : int or None
        Status that the request would be refused with; None if it would be forwarded
        or wait.
    reason : str
        Why it would be refused, or what would happen.
    version : int
        Version of the configuration; -1 before the first.
    route, service, team : str or None
        None if the request would be refused before they are known; a request without
        a key on an open route has no team.
    services : tuple of (str, float)
        Services of the route with their weights.
    is_service_random : bool
        Whether each request is given a service by its own id, so that the one named is
        only one of several.
    replicas : tuple of ReplicaExplanation
        All replicas of the service.
    unchecked : tuple of str
        What the explanation leaves out.
    """

    node: str = ""
    status: int | None = None
    reason: str = ""
    version: int = -1
    route: str | None = None
    service: str | None = None
    services: tuple[tuple[str, float], ...] = ()
    is_service_random: bool = False
    team: str | None = None
    placement: PlacementExplanation | None = None
    replicas: tuple[ReplicaExplanation, ...] = ()
    unchecked: tuple[str, ...] = _UNCHECKED
