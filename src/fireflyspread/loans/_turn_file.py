"""Durable file of turns that the store may not have yet."""

import logging
import os
from collections.abc import Iterable, Sequence
from pathlib import Path
from typing import Any

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.clock import Clock
from fireflyspread.loans._durable import replace_file, write_bytes
from fireflyspread.turns import Turn

__all__ = ["TurnFile"]

_LOG = logging.getLogger(__name__)

_FILE_NAME = "turns.jsonl"
# Bytes of the file after which it is compacted, and beyond which turns are refused.
_COMPACTION_BYTES = 16 << 20
_MAX_BYTES = 96 << 20


class _Header(msgspec.Struct):
    complete_since: float


class TurnFile:
    """File of turns, each of which is durable when ``append`` returns.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole system starts for the first time, so that a missing file has
        not been lost.

    Attributes
    ----------
    complete_since : float
        Unix seconds. Turns written earlier may have been lost with a disk.
    """

    def __init__(
        self, folder: str | Path, clock: Clock, *, is_first_start: bool
    ) -> None:
        self._path = Path(folder) / _FILE_NAME
        self._clock = clock
        self.complete_since = 0.0 if is_first_start else clock.read_wall()
        self._turns: dict[str, Turn] = {}
        self._stored: set[str] = set()
        self._file: int | None = None
        self._size = 0

    def open(self) -> None:
        """Read the existing file and compact it; raises ``OSError``."""
        if self._path.exists():
            self._read(self._path.read_bytes())
        self._compact()

    def append(self, turns: Sequence[Turn]) -> None:
        """Write turns to the disk with one sync; raises ``OSError``."""
        if self._file is None:
            self.open()
        assert self._file is not None
        data = _encode(turns)
        if self._size + len(data) > _COMPACTION_BYTES:
            self._compact()
        if self._size + len(data) > _MAX_BYTES:
            raise OSError(None, "the file of turns is full")
        write_bytes(self._file, data)
        os.fsync(self._file)
        self._size += len(data)
        self._turns.update((turn.id, turn) for turn in turns)

    def get(self, turn_id: str) -> Turn | None:
        """Return a turn; None if it is unknown or has expired."""
        turn = self._turns.get(turn_id)
        if turn is None or turn.has_expired(self._clock.read_wall()):
            return None
        return turn

    def list_unstored(self, *, min_age: float = 0.0) -> list[Turn]:
        """Return the turns that ended ``min_age`` seconds ago and are not stored."""
        now = self._clock.read_wall()
        return [
            turn
            for turn in tuple(self._turns.values())
            if turn.id not in self._stored
            and not turn.has_expired(now)
            and turn.ended_at <= now - min_age
        ]

    def mark_stored(self, turn_ids: Iterable[str]) -> None:
        """Note that the store has turns.

        They can still be found until the file is compacted, because a node may have
        read the store just before.
        """
        self._stored.update(t for t in turn_ids if t in self._turns)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None

    def _read(self, data: bytes) -> None:
        for line in data.splitlines():
            # A power loss can tear a line that was not acknowledged yet.
            try:
                record = decode_json(line, dict[str, Any])
                if "complete_since" in record:
                    header = msgspec.convert(record, _Header)
                    self.complete_since = header.complete_since
                else:
                    turn = decode_json(line, Turn)
                    self._turns[turn.id] = turn
            except (msgspec.DecodeError, TypeError):
                _LOG.warning(
                    "ignored torn line of %d bytes in %s", len(line), _FILE_NAME
                )

    def _compact(self) -> None:
        """Replace the file by one without stored, expired or torn lines."""
        recent = self.list_unstored()
        data = msgspec.json.encode(_Header(self.complete_since)) + b"\n"
        data += _encode(recent)
        replace_file(self._path, data)
        self.close()
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)
        self._size = len(data)
        self._turns = {turn.id: turn for turn in recent}
        self._stored.clear()


def _encode(turns: Iterable[Turn]) -> bytes:
    return b"".join(msgspec.json.encode(turn) + b"\n" for turn in turns)
