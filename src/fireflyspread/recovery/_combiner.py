"""Combines conditional writes of concurrent tasks into few transactions."""

import asyncio
import logging
from collections import deque
from collections.abc import Sequence
from typing import Protocol

from attrs import define, field

from fireflyspread.exceptions import StoreError, StoreUncertainError
from fireflyspread.recovery._store import (
    WRITES_PER_TRANSACTION,
    Entry,
    Write,
)

__all__ = ["WriteCombiner", "WriteConflictError"]

_LOG = logging.getLogger(__name__)

# One transaction at a time is too few: a slow store takes 0.24 s for each, a lost
# response blocks one until the client times out after 1 s, and turns wait only 0.4 s
# for their write.
_MAX_TRANSACTIONS_IN_FLIGHT = 8
# How long a write waits for the transaction in flight before a further one is sent.
# Longer than a transaction takes in a healthy store (4 ms), which therefore gets no
# additional calls.
_COMBINING_DELAY_SECONDS = 0.02


class Transactions(Protocol):
    """The part of ``SnapshotStore`` that makes conditional transactions."""

    async def write_all(self, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        """Make all writes or none; see ``SnapshotStore.write_all``."""


class WriteConflictError(Exception):
    """The key of a write is not at the expected revision.

    Attributes
    ----------
    entry : Entry or None
        The current entry of the key; None if the key does not exist.
    """

    def __init__(self, entry: Entry | None) -> None:
        super().__init__("the key is not at the expected revision")
        self.entry = entry


@define(eq=False)
class _PendingWrite:
    write: Write
    done: asyncio.Future[int] = field()


class WriteCombiner:
    """Sends all writes that queued up during a transaction as the next transaction.

    The number of store calls therefore depends on the latency of the store, not on
    the number of writes. When the store is slow, further transactions are sent
    concurrently. Tasks must not write the same key at the same time.
    """

    def __init__(self, store: Transactions) -> None:
        self._store = store
        self._pending: deque[_PendingWrite] = deque()
        self._senders: set[asyncio.Task[None]] = set()

    async def write(self, write: Write) -> int:
        """Make one conditional write and return its revision.

        Raises
        ------
        WriteConflictError
            The key is not at the expected revision.
        StoreError
            The write failed; ``StoreUncertainError`` if it may have taken effect or
            may still do so.
        """
        loop = asyncio.get_running_loop()
        done = loop.create_future()
        self._pending.append(_PendingWrite(write, done))
        if self._senders:
            loop.call_later(_COMBINING_DELAY_SECONDS, self._start_sender)
        else:
            self._start_sender()
        return await done

    def _start_sender(self) -> None:
        if self._pending and len(self._senders) < _MAX_TRANSACTIONS_IN_FLIGHT:
            task = asyncio.create_task(self._send_all())
            self._senders.add(task)
            task.add_done_callback(self._senders.discard)

    async def _send_all(self) -> None:
        while self._pending:
            count = min(WRITES_PER_TRANSACTION, len(self._pending))
            batch = [self._pending.popleft() for _ in range(count)]
            await self._send([each for each in batch if not each.done.done()])

    async def _send(self, batch: list[_PendingWrite]) -> None:
        while batch:
            try:
                result = await self._store.write_all([each.write for each in batch])
            except StoreError as exc:
                _fail(batch, exc)
                return
            except Exception as exc:
                _LOG.exception("unexpected error in a transaction; its writes fail")
                _fail(
                    batch,
                    StoreUncertainError(f"the write to the store failed: {exc}; retry"),
                )
                return
            if isinstance(result, int):
                for each in batch:
                    if not each.done.done():
                        each.done.set_result(result)
                return
            rest = _reject_conflicts(batch, result)
            if len(rest) == len(batch):
                _fail(batch, StoreError("the store reported no conflicting key; retry"))
                return
            batch = rest


def _reject_conflicts(
    batch: list[_PendingWrite], entries: tuple[Entry, ...]
) -> list[_PendingWrite]:
    """Fail the writes whose condition does not hold; return the others."""
    found = {entry.key: entry for entry in entries}
    rest = []
    for each in batch:
        entry = found.get(each.write.key)
        if (0 if entry is None else entry.revision) == each.write.revision:
            rest.append(each)
        elif not each.done.done():
            each.done.set_exception(WriteConflictError(entry))
    return rest


def _fail(batch: list[_PendingWrite], exc: StoreError) -> None:
    for each in batch:
        if not each.done.done():
            each.done.set_exception(exc)
