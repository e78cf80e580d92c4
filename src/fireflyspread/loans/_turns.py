"""Holds turns on the disk while the store is unavailable, and moves them there."""

import asyncio
import logging

from fireflyspread.exceptions import PeerError, StoreError
from fireflyspread.loans._turn_file import TurnFile
from fireflyspread.loans._writer import GroupWriter
from fireflyspread.nodes import (
    FindTurn,
    FlushTurns,
    ForgetTurns,
    KeepTurns,
    Message,
    PeerServer,
    TurnFound,
    TurnsKept,
)
from fireflyspread.turns import Turn, TurnStore, count_batch

__all__ = ["TurnKeeping"]

_LOG = logging.getLogger(__name__)

# Seconds between attempts to move turns to the store.
_MOVE_INTERVAL = 0.5
# Seconds for which the node that wrote a turn has to move it itself.
_MIN_AGE = 2.0


class TurnKeeping:
    """Turns of a loan server."""

    def __init__(self, file: TurnFile, store: TurnStore, *, node: str) -> None:
        self._file = file
        self._store = store
        self._node = node
        self._writer = GroupWriter[Turn](file.append)

    def register(self, server: PeerServer) -> None:
        """Register the handlers of the nodes' messages about turns."""
        server.register(KeepTurns, self._keep)
        server.register(FindTurn, self._find)
        server.register(ForgetTurns, self._forget)
        server.register(FlushTurns, self._flush)

    async def _keep(self, message: KeepTurns) -> Message:
        try:
            await asyncio.gather(*(self._writer.append(t) for t in message.turns))
        except OSError as exc:
            _LOG.error("turns not written: %s", exc, extra={"node": message.node})
            raise PeerError(
                f"cannot write turns to disk: {exc.strerror}; ask another loan server"
            ) from exc
        return TurnsKept(node=self._node)

    async def _find(self, message: FindTurn) -> Message:
        return TurnFound(
            node=self._node,
            turn=self._file.get(message.turn),
            complete_since=self._file.complete_since,
        )

    async def _forget(self, message: ForgetTurns) -> Message:
        self._file.mark_stored(message.turns)
        return TurnsKept(node=self._node)

    async def _flush(self, message: FlushTurns) -> Message:
        try:
            await self._move(min_age=0.0)
        except StoreError as exc:
            raise PeerError(f"turns not moved to the store: {exc.message}") from exc
        return TurnsKept(node=self._node)

    async def _move(self, *, min_age: float) -> None:
        turns = self._file.list_unstored(min_age=min_age)
        moved = 0
        while moved < len(turns):
            batch = turns[moved:][: count_batch(turns[moved:])]
            await self._store.write(batch)
            self._file.mark_stored(turn.id for turn in batch)
            moved += len(batch)
        if moved:
            _LOG.info("turns moved to the store", extra={"count": moved})

    async def run(self) -> None:
        """Move turns whose node does not until cancelled."""
        while True:
            await asyncio.sleep(_MOVE_INTERVAL)
            try:
                await self._move(min_age=_MIN_AGE)
            except StoreError as exc:
                _LOG.info("turns not moved to the store: %s", exc.message)
