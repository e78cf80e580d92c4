"""Durable file of the streams that nodes reported."""

import contextlib
import logging
import os
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.clock import Clock
from fireflyspread.forwarding import STREAM_RETENTION
from fireflyspread.loans._durable import replace_file, write_bytes

__all__ = ["StreamFile", "StreamRecord"]

_LOG = logging.getLogger(__name__)

_FILE_NAME = "streams.jsonl"
# Appended lines after which the file is compacted.
_MAX_APPENDED_LINES = 20_000


class StreamRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Origin of one stream.

    Attributes
    ----------
    request : str
        The request that began the stream.
    at : float
        Time of the report in Unix seconds.
    """

    request: str
    target: str
    version: str
    at: float


class StreamFile:
    """File of recent streams, each of which is durable when ``append`` returns.

    Parameters
    ----------
    folder : str or Path
        Folder on a durable disk.
    """

    def __init__(self, folder: str | Path, clock: Clock) -> None:
        self._path = Path(folder) / _FILE_NAME
        self._clock = clock
        self._appended_lines = 0
        self._file: int | None = None

    def open(self) -> list[StreamRecord]:
        """Return the recent streams of the existing file, and compact it.

        Raises
        ------
        OSError
            The file cannot be read or written.
        """
        records = []
        if self._path.exists():
            oldest = self._clock.read_wall() - STREAM_RETENTION
            found = _parse(self._path.read_bytes())
            records = [record for record in found if record.at >= oldest]
        replace_file(self._path, _encode(records))
        self.close()
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)
        self._appended_lines = 0
        return records

    def append(self, records: Sequence[StreamRecord]) -> None:
        """Write records to the disk with one sync; raises ``OSError``."""
        if self._file is None or self._appended_lines > _MAX_APPENDED_LINES:
            self.open()
        assert self._file is not None
        try:
            write_bytes(self._file, _encode(records))
            os.fsync(self._file)
        except OSError:
            # The next records must not join a torn line; opening removes it.
            self.close()
            raise
        self._appended_lines += len(records)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None


def _encode(records: Iterable[StreamRecord]) -> bytes:
    return b"".join(msgspec.json.encode(record) + b"\n" for record in records)


def _parse(data: bytes) -> list[StreamRecord]:
    records = []
    for line in data.splitlines():
        # A power loss can tear a line that was not acknowledged yet.
        with contextlib.suppress(msgspec.DecodeError):
            records.append(decode_json(line, StreamRecord))
            continue
        _LOG.warning("ignored torn line of %d bytes in %s", len(line), _FILE_NAME)
    return records
