"""Memory of recent streams and of the versions that targets had."""

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from attrs import frozen

from fireflyspread.clock import Clock
from fireflyspread.forwarding._config import ForwardingConfig, RouteKind

__all__ = [
    "STREAM_RETENTION",
    "VERSION_RETENTION",
    "RouteTargets",
    "StreamMemory",
    "StreamOrigin",
    "VersionMemory",
]

# Seconds for which a stream is remembered. Callers take streams up within their
# deadline.
STREAM_RETENTION = 30.0
_MAX_STREAMS = 100_000
# Seconds for which a version is remembered after the last report of it. Nodes report
# more often than the difference to the retention of streams.
VERSION_RETENTION = 45.0


@frozen
class StreamOrigin:
    """Target and software version of the replica that brought the first event."""

    target: str
    version: str


class StreamMemory:
    """Origins of recent streams by the request that began them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._origins: OrderedDict[str, tuple[StreamOrigin, float]] = OrderedDict()

    def add(self, request: str, origin: StreamOrigin) -> None:
        """Remember a stream, and forget those past their retention."""
        now = self._clock.read_monotonic()
        self._origins.pop(request, None)
        self._origins[request] = origin, now
        while self._origins:
            _, added_at = next(iter(self._origins.values()))
            is_recent = added_at >= now - STREAM_RETENTION
            if len(self._origins) <= _MAX_STREAMS and is_recent:
                return
            self._origins.popitem(last=False)

    def get(self, request: str) -> StreamOrigin | None:
        """Return the origin of a stream; None if it is unknown."""
        found = self._origins.get(request)
        return None if found is None else found[0]

    def list_for(self, target: str) -> dict[str, StreamOrigin]:
        """Return the streams of a target."""
        return {
            request: origin
            for request, (origin, _) in self._origins.items()
            if origin.target == target
        }


class VersionMemory:
    """Versions that targets recently had, as other processes reported them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._reported: dict[tuple[str, str], float] = {}

    def add(self, versions: Mapping[str, Iterable[str]]) -> None:
        """Remember the versions that targets have now."""
        now = self._clock.read_monotonic()
        for target, names in versions.items():
            for name in names:
                self._reported[target, name] = now

    def list_for(self, target: str) -> list[str]:
        """Return the versions that a target has or recently had."""
        oldest = self._clock.read_monotonic() - VERSION_RETENTION
        self._reported = {key: at for key, at in self._reported.items() if at >= oldest}
        return sorted(name for known, name in self._reported if known == target)

    def list_targets(self) -> set[str]:
        """Return the targets with a recent version."""
        return {target for target, _ in self._reported}

    def is_reported_within(self, target: str, seconds: float) -> bool:
        """Return whether a version of a target was reported in the last seconds."""
        oldest = self._clock.read_monotonic() - seconds
        return any(
            known == target and at >= oldest
            for (known, _), at in self._reported.items()
        )


class RouteTargets:
    """Targets that routes of streams have, or recently had.

    A stream whose route is split, or has moved, may have begun on another target.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._routes: dict[str, dict[str, float]] = {}

    def update(self, config: ForwardingConfig) -> None:
        """Remember the targets of the routes of a configuration."""
        now = self._clock.read_monotonic()
        current = {
            route.name: [name for name, _ in route.services]
            for route in config.routes
            if route.kind is RouteKind.STREAM
        }
        for name, targets in self._routes.items():
            for target, until in targets.items():
                # What was in force until now is recent from now on.
                if until == math.inf and target not in current.get(name, ()):
                    targets[target] = now + VERSION_RETENTION
        for name, services in current.items():
            for service in services:
                self._routes.setdefault(name, {})[service] = math.inf
        self._routes = {
            name: recent
            for name, targets in self._routes.items()
            if (recent := {t: until for t, until in targets.items() if until >= now})
        }

    def list_related(self, target: str) -> set[str]:
        """Return ``target`` and those that recently shared a route with it."""
        now = self._clock.read_monotonic()
        related = {target}
        for targets in self._routes.values():
            if target in targets:
                related.update(t for t, until in targets.items() if until >= now)
        return related
