"""Remembers streams and versions of targets for nodes that have all started again."""

from fireflyspread.clock import Clock
from fireflyspread.forwarding import StreamMemory, StreamOrigin, VersionMemory
from fireflyspread.nodes import (
    FindStream,
    Message,
    PeerServer,
    RecordStreams,
    StreamFound,
    StreamsRecorded,
)

__all__ = ["register_stream_handlers"]


def register_stream_handlers(server: PeerServer, clock: Clock, *, node: str) -> None:
    """Register the handlers of the nodes' messages about streams."""
    streams, versions = StreamMemory(clock), VersionMemory(clock)

    async def record(message: RecordStreams) -> Message:
        versions.add(message.versions)
        for request, (target, version) in message.origins.items():
            streams.add(request, StreamOrigin(target, version))
            versions.add({target: [version]})
        return StreamsRecorded(
            node=node,
            versions={t: tuple(versions.list_for(t)) for t in message.versions},
        )

    async def find(message: FindStream) -> Message:
        origin = streams.get(message.request)
        return StreamFound(
            node=node,
            origin=None if origin is None else (origin.target, origin.version),
            versions=tuple(versions.list_for(message.target)),
        )

    server.register(RecordStreams, record)
    server.register(FindStream, find)
