"""Messages to the nodes that commit the turns of others."""

import asyncio
import logging
from collections.abc import Sequence

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError
from fireflyspread.nodes import KeepTurns, PeerClient, PeerServer
from fireflyspread.recovery import DelegateChoice, NodeAddress, Roster
from fireflyspread.turns import Turn, TurnDelegates, TurnWriter

__all__ = ["NodeTurnDelegates", "TurnWriterChoice"]

_LOG = logging.getLogger(__name__)

# Longest turn that another node writes. A writer gets the turns of its whole zone over
# a link of 10 Mbit/s or more; 35 such turns in a second take half of that.
_MAX_TURN_BYTES = 16 * 1024
# Seconds for which a writer collects turns. Callers wait for it after the last event,
# so it is short compared to the 200 ms that a program may lose.
_COLLECTION_SECONDS = 0.02
# Seconds for a writer to make a turn durable. It turns to the disks after 0.08 s.
_WRITE_TIMEOUT = 0.3
# Turns that a writer accepts at a time, and messages that it handles beside them.
_MAX_TURNS = 64
_OTHER_MESSAGES = 16


class TurnWriterChoice(DelegateChoice):
    """Chooses the node that commits the turns of a zone, and one that stands in."""

    role = "turns"
    count = 2
    is_shared = False


class NodeTurnDelegates(TurnDelegates):
    """Has one node of each zone write the turns of its zone.

    Attributes
    ----------
    delegated, refused : int
        Turns that another node has written, and that it did not write in time.
    """

    def __init__(
        self,
        client: PeerClient,
        server: PeerServer,
        roster: Roster,
        *,
        node: str,
        zone: str,
        threshold: int,
        clock: Clock,
    ) -> None:
        self._client = client
        self._server = server
        self._roster = roster
        self._node = node
        self._choice = TurnWriterChoice(
            node=node, zone=zone, threshold=threshold, clock=clock
        )
        self._running = 0
        self.delegated = 0
        self.refused = 0

    async def write(self, turn: Turn) -> bool:
        members = self._roster.list_live()
        writer = self._choice.choose(members)
        if writer is None or turn.size > _MAX_TURN_BYTES:
            return False
        if await self._ask(writer, turn):
            self.delegated += 1
            return True
        self.refused += 1
        return False

    async def _ask(self, writer: NodeAddress, turn: Turn) -> bool:
        message = KeepTurns(
            node=self._node, turns=(turn,), is_durable=True, is_delegated=True
        )
        try:
            await self._client.ask(writer.peers, message, timeout=_WRITE_TIMEOUT)
        except PeerError as exc:
            self._choice.record_failure(writer.name)
            _LOG.info(
                "turn not written by the writer of the zone: %s",
                exc.message,
                extra={"node": writer.name, "turn": turn.id},
            )
            return False
        self._choice.record_success(writer.name)
        return True

    async def write_for_others(self, turns: Sequence[Turn], writer: TurnWriter) -> None:
        """Write turns of another node; raises ``PeerError`` if it had better do so."""
        if writer.is_store_failing or self._running >= _MAX_TURNS:
            raise PeerError("this node cannot write turns now; write them yourself")
        self._running += 1
        self._server.raise_concurrency(_OTHER_MESSAGES + self._running)
        try:
            await asyncio.gather(
                *(writer.write(turn, may_ask_peers=False) for turn in turns)
            )
        finally:
            self._running -= 1

    def count_writers(self) -> int:
        members = self._roster.list_live()
        if self._choice.is_delegate(members):
            return self._choice.count * len({each.zone for each in members})
        return max(1, len(members))

    def get_collection_delay(self) -> float:
        is_writer = self._choice.is_delegate(self._roster.list_live())
        return _COLLECTION_SECONDS if is_writer else 0.0

    def list_gauges(self) -> list[tuple[str, float]]:
        """Return names and values of the gauges."""
        return [
            ("turns.writer", float(self._choice.is_delegate(self._roster.list_live()))),
            ("turns.delegated", self.delegated),
            ("turns.delegation_failures", self.refused),
        ]
