"""Remembers streams and versions of targets for nodes that have all started again."""

import asyncio
import logging

from fireflyspread.clock import Clock
from fireflyspread.forwarding import StreamMemory, StreamOrigin, VersionMemory
from fireflyspread.loans._stream_file import StreamFile, StreamRecord
from fireflyspread.loans._version_record import VersionRecord
from fireflyspread.loans._writer import GroupWriter
from fireflyspread.nodes import (
    FindStream,
    Message,
    PeerServer,
    RecordStreams,
    StreamFound,
    StreamsRecorded,
)
from fireflyspread.recovery import SnapshotStore

__all__ = ["StreamKeeping"]

_LOG = logging.getLogger(__name__)


class StreamKeeping:
    """Answers the nodes' messages about streams.

    Streams are on the disk and versions of targets in the store, so that both are known
    after a loss of all nodes and loan servers at the same moment.
    """

    def __init__(
        self,
        file: StreamFile,
        store: SnapshotStore,
        clock: Clock,
        *,
        node: str,
        is_first_start: bool,
    ) -> None:
        self._file = file
        self._writer = GroupWriter(file.append)
        self._clock = clock
        self._node = node
        self._streams = StreamMemory(clock)
        self._versions = VersionMemory(clock)
        self._record = VersionRecord(
            store, self._versions, clock, is_first_start=is_first_start
        )

    async def open(self) -> None:
        """Read the streams on the disk; without them, they count as unknown."""
        try:
            records = await asyncio.to_thread(self._file.open)
        except OSError as exc:
            _LOG.error("cannot read the streams: %s", exc)
            return
        for record in records:
            origin = StreamOrigin(record.target, record.version)
            self._streams.add(record.request, origin)
        if records:
            _LOG.info("streams read from the disk", extra={"count": len(records)})

    def register(self, server: PeerServer) -> None:
        """Handle the nodes' messages about streams."""
        server.register(RecordStreams, self._handle_record)
        server.register(FindStream, self._handle_find)

    async def run(self) -> None:
        """Keep the versions of targets in the store until cancelled."""
        await self._record.run()

    async def _handle_record(self, message: RecordStreams) -> Message:
        self._versions.add(message.versions)
        records = []
        for request, (target, version) in message.origins.items():
            self._streams.add(request, StreamOrigin(target, version))
            self._versions.add({target: [version]})
            records.append(
                StreamRecord(
                    request=request,
                    target=target,
                    version=version,
                    at=self._clock.read_wall(),
                )
            )
        self._record.update()
        try:
            await asyncio.gather(*(self._writer.append(record) for record in records))
        except OSError as exc:
            _LOG.error("streams not written to the disk: %s", exc)
        return StreamsRecorded(
            node=self._node,
            versions={t: tuple(self._versions.list_for(t)) for t in message.versions},
        )

    async def _handle_find(self, message: FindStream) -> Message:
        self._record.check_contact()
        origin = self._streams.get(message.request)
        return StreamFound(
            node=self._node,
            origin=None if origin is None else (origin.target, origin.version),
            versions=tuple(self._versions.list_for(message.target)),
            is_complete=self._record.is_complete,
        )
