"""Messages between gateway nodes about the versions that began streams."""

from collections.abc import Mapping, Sequence

from fireflyspread.exceptions import PeerError
from fireflyspread.forwarding import (
    FoundStream,
    StreamOrigin,
    StreamVersionPeers,
    StreamVersions,
)
from fireflyspread.nodes import (
    FindStream,
    Message,
    PeerClient,
    PeerServer,
    RecordStreams,
    StreamFound,
    StreamsRecorded,
)
from fireflyspread.recovery import Roster

__all__ = ["NodeStreamVersionPeers", "register_stream_handlers"]

# Seconds for one message; the latency between nodes is a few milliseconds.
_MESSAGE_TIMEOUT = 0.15


class NodeStreamVersionPeers(StreamVersionPeers):
    """Sends messages about streams to other nodes."""

    def __init__(self, client: PeerClient, roster: Roster, *, node: str) -> None:
        self._client = client
        self._roster = roster
        self._node = node

    async def _ask(self, node: str, message: Message) -> Message:
        address = self._roster.get_peer_address(node, allow_loan_servers=True)
        return await self._client.ask(address, message, timeout=_MESSAGE_TIMEOUT)

    async def report(
        self,
        node: str,
        origins: Mapping[str, StreamOrigin],
        versions: Mapping[str, Sequence[str]],
    ) -> Mapping[str, Sequence[str]]:
        message = RecordStreams(
            node=self._node,
            origins={request: (o.target, o.version) for request, o in origins.items()},
            versions={target: tuple(names) for target, names in versions.items()},
        )
        answer = await self._ask(node, message)
        if not isinstance(answer, StreamsRecorded):
            raise PeerError(f"{node} answered {type(answer).__name__}")
        return answer.versions

    async def find(self, node: str, request: str, target: str) -> FoundStream:
        message = FindStream(node=self._node, request=request, target=target)
        answer = await self._ask(node, message)
        if not isinstance(answer, StreamFound):
            raise PeerError(f"{node} answered {type(answer).__name__}")
        origin = None if answer.origin is None else StreamOrigin(*answer.origin)
        return FoundStream(
            origin=origin,
            versions=answer.versions,
            is_keeper=answer.is_complete and node in self._roster.list_loan_servers(),
        )


def register_stream_handlers(
    server: PeerServer, streams: StreamVersions, *, node: str
) -> None:
    """Handle other nodes' messages about streams."""

    async def record(message: RecordStreams) -> Message:
        streams.add_reported(
            {request: StreamOrigin(*row) for request, row in message.origins.items()}
        )
        return StreamsRecorded(node=node)

    async def find(message: FindStream) -> Message:
        found = streams.look_up(message.request, message.target)
        origin = found.origin
        return StreamFound(
            node=node,
            origin=None if origin is None else (origin.target, origin.version),
            versions=tuple(found.versions),
        )

    server.register(RecordStreams, record)
    server.register(FindStream, find)
