"""Queue of records that are to be written to the store."""

import asyncio
import uuid
from collections import deque
from itertools import islice

import msgspec

from fireflyspread.recovery._entries import (
    WITHDRAWN,
    JournalEntry,
    encode_entry,
    encode_record,
    pack_entry,
)
from fireflyspread.recovery._records import Record

__all__ = ["RecordQueue"]


class RecordQueue:
    """Records that are not in the store yet, with their journal positions.

    Attributes
    ----------
    stored : int
        Records before this position are in the store.
    in_flight : int
        Records before this position may reach the store at any time.
    sent, held : int
        Records before this position were sent to another node, and are held by one.
    nbytes : int
        Size of the queued records.
    """

    def __init__(self) -> None:
        self.stored = 0
        self.in_flight = 0
        self.sent = 0
        self.held = 0
        self.nbytes = 0
        self._records: deque[bytes] = deque()
        # Bytes of the first record that are in the store already.
        self._offset = 0
        self._waiters: deque[tuple[int, asyncio.Future[None]]] = deque()

    def __len__(self) -> int:
        return len(self._records)

    @property
    def end(self) -> int:
        """Position of the next record."""
        return self.stored + len(self._records)

    def append(self, records: tuple[Record, ...]) -> int:
        """Queue records and return the position after the last one."""
        for record in records:
            data = encode_record(record)
            self._records.append(data)
            self.nbytes += len(data)
        return self.end

    def pack(self) -> tuple[JournalEntry, int]:
        """Return the next entry and the number of records that it completes."""
        entry, count = pack_entry(
            uuid.uuid4().hex, self.stored, tuple(self._records), self._offset
        )
        # Once the first part of a record is written, the rest must follow.
        self.in_flight = self.stored + max(count, 1)
        return entry, count

    def mark_stored(self, entry: JournalEntry, count: int) -> None:
        """Remove the ``count`` records that ``entry``, now stored, completes."""
        if entry.fragment is not None:
            self._offset = 0 if entry.is_last else self._offset + len(entry.fragment)
        for _ in range(count):
            self.nbytes -= len(self._records.popleft())
        self.stored += count
        while self._waiters and self._waiters[0][0] <= self.stored:
            _, future = self._waiters.popleft()
            if not future.done():
                future.set_result(None)

    def pack_unheld(self) -> tuple[int, int, bytes]:
        """Return records that no other node holds: start, end and encoded entry."""
        start = max(self.held, self.stored)
        records = islice(self._records, start - self.stored, None)
        entry = JournalEntry(
            write_id=uuid.uuid4().hex,
            position=start,
            records=tuple(msgspec.Raw(data) for data in records),
        )
        self.sent = self.end
        return start, self.end, encode_entry(entry)

    def withdraw(self, start: int, end: int) -> bool:
        """Withdraw records unless one may be in the store or on another node.

        Returns
        -------
        bool
            Whether the records were withdrawn.
        """
        if start < max(self.in_flight, self.sent):
            return False
        for index in range(start - self.stored, end - self.stored):
            self.nbytes -= len(self._records[index]) - len(WITHDRAWN)
            # The record is replaced, as later positions must not change.
            self._records[index] = WITHDRAWN
        return True

    def add_waiter(self, end: int) -> asyncio.Future[None]:
        """Return a future that is done once records before ``end`` are stored."""
        future = asyncio.get_running_loop().create_future()
        if self.stored >= end:
            future.set_result(None)
        else:
            self._waiters.append((end, future))
        return future

    def abort(self, error: Exception) -> None:
        """Discard all records and fail all waiters."""
        for _, future in self._waiters:
            if not future.done():
                future.set_exception(error)
                # Marks the error as retrieved: a cancelled waiter does not read it.
                future.exception()
        self._waiters.clear()
        self._records.clear()
        self.nbytes = 0
