"""Remembers which software version began a stream that a caller may take up."""

import abc
import asyncio
import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Mapping, Sequence

import xxhash
from attrs import frozen

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, StreamVersionError

__all__ = ["FoundStream", "StreamOrigin", "StreamVersionPeers", "StreamVersions"]

_LOG = logging.getLogger(__name__)

# Nodes that remember a stream beside the one that began it, so that it can go on after
# the loss of two of them.
_COPIES = 3
# Seconds for which a stream is remembered. Callers take streams up within their
# deadline.
_RETENTION = 30.0
_MAX_STREAMS = 100_000
# Seconds for which streams are collected before they are reported to other nodes.
_REPORT_DELAY = 0.01


@frozen
class StreamOrigin:
    """Target and software version of the replica that brought the first event."""

    target: str
    version: str


@frozen(kw_only=True)
class FoundStream:
    """What a node knows about a stream.

    Attributes
    ----------
    origin : StreamOrigin or None
        None if the node does not know the stream.
    versions : sequence of str
        Versions that the target recently had, as far as the node knows.
    """

    origin: StreamOrigin | None
    versions: Sequence[str]


class StreamVersionPeers(abc.ABC):
    """Messages to the other nodes; all raise ``PeerError``."""

    @abc.abstractmethod
    async def report(self, node: str, origins: Mapping[str, StreamOrigin]) -> None:
        """Ask ``node`` to remember streams by the request that began them."""

    @abc.abstractmethod
    async def find(self, node: str, request: str, target: str) -> FoundStream:
        """Ask ``node`` what it knows about a stream and its target."""


class _Memory:
    """Origins of recent streams by the request that began them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._origins: OrderedDict[str, tuple[StreamOrigin, float]] = OrderedDict()

    def add(self, request: str, origin: StreamOrigin) -> None:
        now = self._clock.read_monotonic()
        self._origins.pop(request, None)
        self._origins[request] = origin, now
        while self._origins:
            _, added_at = next(iter(self._origins.values()))
            if len(self._origins) <= _MAX_STREAMS and added_at >= now - _RETENTION:
                return
            self._origins.popitem(last=False)

    def get(self, request: str) -> StreamOrigin | None:
        found = self._origins.get(request)
        return None if found is None else found[0]

    def list_for(self, target: str) -> dict[str, StreamOrigin]:
        return {
            request: origin
            for request, (origin, _) in self._origins.items()
            if origin.target == target
        }


class StreamVersions:
    """Finds the version at which a stream that a caller takes up may go on.

    While a target has replicas of several versions, each node reports the streams that
    it begins to a few nodes, chosen by rendezvous hashing of the request. A stream that
    no node knows goes on only if its target had a single version.

    Parameters
    ----------
    list_members : callable
        Returns the names of all nodes.
    list_versions : callable
        Returns the versions that a target recently had, as far as this node knows.
    is_store_unavailable : callable
        Returns whether this node may not know of new replicas.
    """

    def __init__(
        self,
        peers: StreamVersionPeers,
        *,
        node: str,
        clock: Clock,
        list_members: Callable[[], list[str]],
        list_versions: Callable[[str], set[str]],
        is_store_unavailable: Callable[[], bool],
    ) -> None:
        self._peers = peers
        self._node = node
        self._list_members = list_members
        self._list_versions = list_versions
        self._is_store_unavailable = is_store_unavailable
        self._begun = _Memory(clock)
        self._reported = _Memory(clock)
        self._mixed_targets: set[str] = set()
        self._pending: dict[str, dict[str, StreamOrigin]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def record(self, request: str, origin: StreamOrigin) -> None:
        """Remember a stream that ``request`` began on this node."""
        self._begun.add(request, origin)
        if origin.target in self._mixed_targets:
            self._report({request: origin})

    def update(self, targets: Iterable[str]) -> None:
        """Apply changed replicas; report the streams of targets that became mixed."""
        for target in targets:
            if len(self._list_versions(target)) <= 1:
                self._mixed_targets.discard(target)
            elif target not in self._mixed_targets:
                self._mixed_targets.add(target)
                self._report(self._begun.list_for(target))

    def add_reported(self, origins: Mapping[str, StreamOrigin]) -> None:
        """Remember streams that another node began."""
        for request, origin in origins.items():
            self._reported.add(request, origin)

    def look_up(self, request: str, target: str) -> FoundStream:
        """Return what this node knows about a stream and its target."""
        origin = self._begun.get(request) or self._reported.get(request)
        return FoundStream(origin=origin, versions=sorted(self._list_versions(target)))

    async def find(self, request: str | None, target: str) -> str | None:
        """Return the version at which a stream may go on.

        None if the stream began on another target, whose versions do not matter.

        Parameters
        ----------
        request : str or None
            The request that began the stream; None if the caller does not tell.
        target : str
            The target on which it is to go on.

        Raises
        ------
        StreamVersionError
            The version is not known.
        """
        versions = set(self._list_versions(target))
        found = [] if request is None else [self.look_up(request, target)]
        if request is not None and found[0].origin is None:
            found += await self._ask_peers(request, target)
        for each in found:
            if each.origin is not None:
                assert request is not None
                self.record(request, each.origin)
                _log_found(request, each.origin, source="record")
                is_same = each.origin.target == target
                return each.origin.version if is_same else None
            versions.update(each.versions)
        if len(versions) == 1 and self._is_certain(has_answers=len(found) > 1):
            version = versions.pop()
            origin = StreamOrigin(target, version)
            if request is not None:
                self.record(request, origin)
            _log_found(request, origin, source="single version")
            return version
        raise StreamVersionError(
            f"the software version that began the stream is not known and {target} "
            f"has {len(versions)}; send the request again from its start"
        )

    def _is_certain(self, *, has_answers: bool) -> bool:
        """Return whether this node would know of a second version."""
        return (
            has_answers
            or not self._is_store_unavailable()
            or set(self._list_members()) <= {self._node}
        )

    async def _ask_peers(self, request: str, target: str) -> list[FoundStream]:
        """Return the first answer that has the stream, or all answers."""
        asked = {
            asyncio.ensure_future(self._peers.find(node, request, target))
            for node in self._choose_nodes(request)
        }
        answers: list[FoundStream] = []
        try:
            for next_answer in asyncio.as_completed(asked):
                try:
                    answer = await next_answer
                except PeerError as exc:
                    _LOG.info(
                        "a node did not tell the version of a stream: %s",
                        exc.message,
                        extra={"resumes": request},
                    )
                    continue
                if answer.origin is not None:
                    return [answer]
                answers.append(answer)
        finally:
            for task in asked:
                task.cancel()
        return answers

    def _choose_nodes(self, request: str) -> list[str]:
        """Return the other nodes that remember a stream."""
        ranked = sorted(
            self._list_members(),
            key=lambda name: xxhash.xxh3_64_intdigest(f"{name}/{request}".encode()),
        )
        return [name for name in ranked[:_COPIES] if name != self._node]

    def _report(self, origins: Mapping[str, StreamOrigin]) -> None:
        for request, origin in origins.items():
            for node in self._choose_nodes(request):
                if node not in self._pending:
                    self._pending[node] = {}
                    task = asyncio.create_task(self._send_pending(node))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                self._pending[node][request] = origin

    async def _send_pending(self, node: str) -> None:
        await asyncio.sleep(_REPORT_DELAY)
        origins = self._pending.pop(node)
        try:
            await self._peers.report(node, origins)
        except PeerError as exc:
            _LOG.info(
                "streams not reported to another node: %s",
                exc.message,
                extra={"node": node, "count": len(origins)},
            )

    async def close(self) -> None:
        """Cancel the reports that have not been sent."""
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


def _log_found(request: str | None, origin: StreamOrigin, *, source: str) -> None:
    _LOG.info(
        "version of a resumed stream found",
        extra={
            "resumes": request,
            "target": origin.target,
            "replica_version": origin.version,
            "source": source,
        },
    )
