"""Remembers which software version began a stream that a caller may take up."""

import abc
import asyncio
import contextlib
import logging
from collections.abc import Callable, Iterable, Mapping, Sequence

from attrs import frozen

from fireflyspread._ranking import rank_nodes
from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, StreamVersionError
from fireflyspread.forwarding._stream_memory import (
    STREAM_RETENTION,
    StreamMemory,
    StreamOrigin,
    VersionMemory,
)

__all__ = ["FoundStream", "StreamVersionPeers", "StreamVersions"]

_LOG = logging.getLogger(__name__)

# Nodes that remember a stream beside the one that began it, so that it can go on after
# the loss of two of them.
_COPIES = 3
# Keepers that remember a stream, so that it can go on after the loss of all nodes.
_KEEPER_COPIES = 2
# Seconds between reports of the versions that targets have.
_VERSIONS_INTERVAL = 10.0
# Seconds for which streams are collected before they are reported to other nodes.
_REPORT_DELAY = 0.01


@frozen(kw_only=True)
class FoundStream:
    """What a node knows about a stream.

    Attributes
    ----------
    origin : StreamOrigin or None
        None if the node does not know the stream.
    versions : sequence of str
        Versions that the target recently had, as far as the node knows.
    is_keeper : bool
        Whether the answer is that of a keeper that knows all recent versions.
    """

    origin: StreamOrigin | None
    versions: Sequence[str]
    is_keeper: bool = False


class StreamVersionPeers(abc.ABC):
    """Messages to the other nodes; all raise ``PeerError``."""

    @abc.abstractmethod
    async def report(
        self,
        node: str,
        origins: Mapping[str, StreamOrigin],
        versions: Mapping[str, Sequence[str]],
    ) -> Mapping[str, Sequence[str]]:
        """Ask ``node`` to remember streams by the request that began them.

        Parameters
        ----------
        versions : mapping of str to sequence of str
            Versions that targets have now.

        Returns
        -------
        mapping of str to sequence of str
            Versions that these targets have or recently had, as a keeper remembers.
        """

    @abc.abstractmethod
    async def find(self, node: str, request: str, target: str) -> FoundStream:
        """Ask ``node`` what it knows about a stream and its target."""


class StreamVersions:
    """Finds the version at which a stream that a caller takes up may go on.

    While a target has replicas of several versions, each node reports the streams that
    it begins to a few nodes and keepers, chosen by rendezvous hashing of the request. A
    stream that none of them knows goes on only if its target had a single version.

    Keepers remember durably, also which versions targets had, for nodes that have all
    started again.

    Parameters
    ----------
    list_members : callable
        Returns the names of all nodes.
    list_keepers : callable
        Returns the names of the keepers.
    list_targets : callable
        Returns the names of the targets.
    list_versions : callable
        Returns the versions at which a stream may be that goes on at a target, as far
        as this node knows: those that the target, and the targets that shared a route
        with it, recently had.
    """

    def __init__(
        self,
        peers: StreamVersionPeers,
        *,
        node: str,
        clock: Clock,
        list_members: Callable[[], list[str]],
        list_versions: Callable[[str], set[str]],
        list_keepers: Callable[[], Iterable[str]] = tuple,
        list_targets: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._started_at = clock.read_monotonic()
        self._list_keepers = list_keepers
        self._list_targets = list_targets
        self._versions_changed = asyncio.Event()
        # Versions from before this node started.
        self._kept_versions = VersionMemory(clock)
        self._node = node
        self._list_members = list_members
        self._list_versions = list_versions
        self._begun = StreamMemory(clock)
        self._reported = StreamMemory(clock)
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
        self._versions_changed.set()
        self._update_mixed(targets)

    def _update_mixed(self, targets: Iterable[str]) -> None:
        for target in targets:
            versions = self._list_versions(target)
            if len(versions.union(self._kept_versions.list_for(target))) <= 1:
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

    async def find(self, request: str | None, target: str) -> str:
        """Return the version at which a stream may go on.

        A stream that began on another target, from which its route has moved, may go on
        at the same version only, as nothing tells that the two targets' versions fit.

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
        found = [self.look_up(request or "", target)]
        if found[0].origin is None:
            found += await self._ask_peers(request or "", target)
        for each in found:
            if each.origin is not None:
                assert request is not None
                self.record(request, each.origin)
                _log_found(request, each.origin, source="record")
                return each.origin.version
            versions.update(each.versions)
        if len(versions) == 1 and self._is_certain(found):
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

    def _is_certain(self, answers: Sequence[FoundStream]) -> bool:
        """Return whether this node would know of a second version."""
        is_new = self._clock.read_monotonic() < self._started_at + STREAM_RETENTION
        if is_new and any(self._list_keepers()):
            # All nodes may have started again after a version had left.
            return any(answer.is_keeper for answer in answers)
        # A node that stood still or was cut off does not know yet that its view of the
        # replicas is old, so its own answer is not enough.
        return len(answers) > 1 or set(self._list_members()) <= {self._node}

    async def _ask_peers(self, request: str, target: str) -> list[FoundStream]:
        """Return the first answer that has the stream, or all answers."""
        asked = {
            asyncio.ensure_future(self._peers.find(node, request, target))
            for node in self._choose_nodes(request or target)
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
        """Return the other nodes and the keepers that remember a stream."""
        nodes = rank_nodes(self._list_members(), request)[:_COPIES]
        keepers = rank_nodes(self._list_keepers(), request)[:_KEEPER_COPIES]
        return [name for name in nodes if name != self._node] + keepers

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
            await self._peers.report(node, origins, {})
        except PeerError as exc:
            _LOG.info(
                "streams not reported to another node: %s",
                exc.message,
                extra={"node": node, "count": len(origins)},
            )

    async def run(self) -> None:
        """Report the versions of targets to the keepers until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_VERSIONS_INTERVAL):
                    await self._versions_changed.wait()
            await asyncio.sleep(_REPORT_DELAY)
            self._versions_changed.clear()
            versions = {
                target: sorted(self._list_versions(target))
                for target in self._list_targets()
            }
            await asyncio.gather(
                *(self._report_versions(k, versions) for k in self._list_keepers())
            )

    async def _report_versions(
        self, keeper: str, versions: Mapping[str, Sequence[str]]
    ) -> None:
        try:
            self._kept_versions.add(await self._peers.report(keeper, {}, versions))
            self._update_mixed(versions)
        except PeerError as exc:
            _LOG.info(
                "versions of targets not reported: %s",
                exc.message,
                extra={"node": keeper},
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
