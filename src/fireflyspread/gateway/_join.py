"""A new node joins the nodes that share the teams' rates."""

import asyncio
import logging

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, StoreError, UnsupportedVersionError
from fireflyspread.nodes import (
    AnnounceNode,
    Message,
    NodeNoted,
    PeerClient,
    PeerServer,
)
from fireflyspread.recovery import JoinStage, NodeAddress, Roster

__all__ = ["NodeJoin"]

_LOG = logging.getLogger(__name__)

# Seconds for one message; the latency between nodes is a few milliseconds.
_MESSAGE_TIMEOUT = 0.15
# Seconds between attempts.
_INTERVAL = 0.2
# Seconds after which nodes of a release that does not know the message have learned of
# a new node from the store, if that serves them.
_PROPAGATION_SECONDS = 3.0


class NodeJoin:
    """Gives a new node its share of the rates once all others have given it one.

    A node that has not learned of a new one goes on using the whole rate of the teams
    whose home nodes change. The store may refuse such a node for as long as its lease
    lasts, so a new node tells all others itself and waits for their answers. It waits
    for none whose lease has ended, because that one has no authority any more.

    While a node joins, the others share the rates without it and it asks them for
    tokens. It announces its share only when all have just answered, so that a node that
    cannot be reached delays the change and leaves no rate unused.
    """

    def __init__(self, client: PeerClient, roster: Roster, clock: Clock) -> None:
        self._client = client
        self._roster = roster
        self._clock = clock
        self._announced_at = 0.0

    def register(self, server: PeerServer) -> None:
        """Answer other nodes that join."""

        async def note(message: AnnounceNode) -> Message:
            if not self._roster.has_read_members:
                # What this node reads later may be older than the message.
                raise PeerError("this node has started and does not know the others")
            self._roster.note_announced(_read_address(message))
            own = self._roster.own
            return NodeNoted(
                node=own.name,
                incarnation=own.incarnation,
                zone=own.zone,
                peers=own.peers,
                relay=own.relay,
                stage=own.stage,
            )

        server.register(AnnounceNode, note)

    async def run(self) -> None:
        """Join, then return."""
        # The members that were registered before this one are known from then on.
        await self._roster.wait_listed()
        if self._roster.own.stage == JoinStage.MEMBER:
            return
        if self._roster.own.stage == JoinStage.JOINING:
            await self._repeat(JoinStage.ANNOUNCED)
        self._announced_at = self._clock.read_monotonic()
        await self._repeat(JoinStage.MEMBER)
        names = sorted(self._roster.list_names())
        _LOG.info("node shares the rates", extra={"members": names})

    async def _repeat(self, stage: JoinStage) -> None:
        """Go on to a stage when all nodes know the one before."""
        while True:
            try:
                if await self._tell_all():
                    await self._roster.advance(stage)
                    return
            except StoreError as exc:
                _LOG.info("entry of this node not written: %s", exc.message)
            await asyncio.sleep(_INTERVAL)

    async def _tell_all(self) -> bool:
        """Tell all nodes with a lease of this one; return whether all have answered."""
        peers = self._roster.list_peers()
        peers = [each for each in peers if self._roster.has_lease(each.name)]
        return all(await asyncio.gather(*(self._tell(each) for each in peers)))

    async def _tell(self, peer: NodeAddress) -> bool:
        own = self._roster.own
        message = AnnounceNode(
            node=own.name,
            incarnation=own.incarnation,
            zone=own.zone,
            peers=own.peers,
            relay=own.relay,
            stage=own.stage,
        )
        try:
            answer = await self._client.ask(
                peer.peers, message, timeout=_MESSAGE_TIMEOUT
            )
        except UnsupportedVersionError:
            now = self._clock.read_monotonic()
            return (
                own.stage == JoinStage.JOINING
                or now > self._announced_at + _PROPAGATION_SECONDS
            )
        except PeerError as exc:
            _LOG.info(
                "node has not been told of this one: %s", exc, extra={"node": peer.name}
            )
            return False
        if not isinstance(answer, NodeNoted) or answer.node != peer.name:
            return False
        self._roster.note_announced(_read_address(answer))
        return True


def _read_address(message: AnnounceNode | NodeNoted) -> NodeAddress:
    """Return the entry of the node that sent a message."""
    return NodeAddress(
        name=message.node,
        zone=message.zone,
        peers=message.peers,
        incarnation=message.incarnation,
        relay=message.relay,
        stage=message.stage,
    )
