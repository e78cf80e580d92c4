"""Configuration of forwarding, as set by operators."""

import enum
import math
from functools import cached_property

from attrs import field, frozen

from fireflyspread.bundle import Team
from fireflyspread.limits import ColdRule

__all__ = [
    "CallerLimits",
    "EngineTraits",
    "ForwardingConfig",
    "ForwardingRoute",
    "RouteKind",
    "ServiceTraits",
    "TeamPolicy",
]


class RouteKind(enum.StrEnum):
    """Whether requests of a route may be repeated, and whether they are streams."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen(kw_only=True)
class EngineTraits:
    """Properties of the replicas of a model service.

    Attributes
    ----------
    slots : int
        Requests that a replica runs concurrently.
    cache_tokens : int
        Capacity of a replica's KV cache in tokens.
    tokens_per_event : int
        Tokens that one event of a stream represents.
    """

    slots: int
    cache_tokens: int
    tokens_per_event: int = 1


@frozen(kw_only=True)
class ServiceTraits:
    """A service that requests are forwarded to.

    Attributes
    ----------
    max_connections : int or None
        Connections that a replica accepts from all nodes together; None if unknown.
    cold : ColdRule or None
        Bound on the requests to cold replicas; None sets none.
    """

    name: str
    max_connections: int | None = None
    engine: EngineTraits | None = None
    cold: ColdRule | None = None


@frozen(kw_only=True)
class ForwardingRoute:
    """A path prefix on one host, and the services that its requests go to.

    Attributes
    ----------
    services : tuple of (str, float)
        Names of services with their weights.
    timeout, latency_target, gap_target : float
        Seconds: maximum time to an answer, time within which an answer counts as on
        time, maximum pause between events of a stream.
    max_silence : float
        Seconds without data after which a caller abandons a stream.
    priority : int
        Rank; 0 is the most urgent.
    max_replicas : int
        Maximum number of replicas that may run one request.
    resumable : bool
        Whether another replica may resume a stream.
    turn_retention : float
        Seconds for which complete turns are kept so that callers can continue from
        them; 0 if turns carry their whole prompt.
    sticky : bool
        Whether requests about the same object prefer the same replica.
    allowed_regions : frozenset of str or None
        Home regions, in which requests may be handled; None allows all.
    open : bool
        Whether requests without a key are accepted.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[tuple[str, float], ...]
    timeout: float
    latency_target: float
    priority: int = 0
    max_replicas: int = 2
    resumable: bool = False
    gap_target: float = 0.0
    max_silence: float = math.inf
    open: bool = False
    turn_retention: float = 0.0
    sticky: bool = False
    allowed_regions: frozenset[str] | None = None

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or self.resumable


@frozen(kw_only=True)
class TeamPolicy:
    """A team with its limits (None if unlimited), priority and home regions."""

    name: str
    limits: Team | None = None
    priority: int | None = None
    allowed_regions: frozenset[str] | None = None


@frozen(kw_only=True)
class CallerLimits:
    """Limits on the requests and connections of callers.

    Attributes
    ----------
    header_timeout, idle_timeout : float
        Seconds within which a caller must send the headers, and for which an idle
        connection is kept.
    """

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout: float = 3.0
    idle_timeout: float = 15.0


@frozen(kw_only=True)
class ForwardingConfig:
    """One version of the operators' configuration.

    Attributes
    ----------
    keys : dict of str to str or None
        Team of each key; None if the platform has no teams and requires no keys.
    raw : bytes
        The configuration as received, to pass on to other nodes.
    """

    version: int
    routes: tuple[ForwardingRoute, ...]
    services: dict[str, ServiceTraits]
    teams: dict[str, TeamPolicy]
    keys: dict[str, str] | None
    limits: CallerLimits
    raw: bytes = field(default=b"", repr=False)

    @cached_property
    def _by_host(self) -> dict[str, list[ForwardingRoute]]:
        routes: dict[str, list[ForwardingRoute]] = {}
        for route in sorted(self.routes, key=lambda each: -len(each.prefix)):
            routes.setdefault(route.host, []).append(route)
        return routes

    def find_route(self, host: str, path: str) -> ForwardingRoute | None:
        """Return the route with the longest prefix of ``path`` on ``host``."""
        for route in self._by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    @cached_property
    def team_limits(self) -> dict[str, Team]:
        """Limits of rate and burst by team; unlimited teams are left out."""
        return {
            name: team.limits
            for name, team in self.teams.items()
            if team.limits is not None
        }
