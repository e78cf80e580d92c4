"""Combines conditional writes of many tasks into few transactions."""

import asyncio
import logging
from collections import deque

from attrs import define, field

from fireflyspread.exceptions import StoreError
from fireflyspread.recovery._store import (
    WRITES_PER_TRANSACTION,
    Entry,
    SnapshotStore,
    Write,
)

__all__ = ["WriteCombiner", "WriteConflictError"]

_LOG = logging.getLogger(__name__)

# Transactions that may wait for their answer at the same time. A slow store takes
# 0.24 s for one, and a lost answer holds one until the client gives up after 1 s;
# turns wait 0.4 s for their write.
_MOST_IN_FLIGHT = 8
# Seconds that writes wait for the transaction before them. Longer than the store
# needs as a rule (4 ms), so that a healthy store gets no more calls.
_COMBINING_SECONDS = 0.02


class WriteConflictError(Exception):
    """The key of a write was not at the expected revision.

    Attributes
    ----------
    entry : Entry or None
        The key as it is now; None when it does not exist.
    """

    def __init__(self, entry: Entry | None) -> None:
        super().__init__("the key has another revision")
        self.entry = entry


@define(eq=False)
class _Pending:
    write: Write
    done: asyncio.Future[int] = field()


class WriteCombiner:
    """Sends what waits as one transaction while the one before it is answered.

    The number of store calls therefore follows the time that the store needs and not
    the number of writes. When the store takes long, further transactions are sent
    beside the one that waits. The tasks must not write the same key at the same time.
    """

    def __init__(self, store: SnapshotStore) -> None:
        self._store = store
        self._pending: deque[_Pending] = deque()
        self._senders: set[asyncio.Task[None]] = set()

    async def write(self, write: Write) -> int:
        """Do one conditional write and return its revision.

        Raises
        ------
        WriteConflictError
            The key is not at the expected revision.
        StoreError
            The store did not take the write; ``StoreUncertainError`` when it may
            have taken effect or may still do so.
        """
        loop = asyncio.get_running_loop()
        done = loop.create_future()
        self._pending.append(_Pending(write, done))
        if self._senders:
            loop.call_later(_COMBINING_SECONDS, self._start)
        else:
            self._start()
        return await done

    def _start(self) -> None:
        if self._pending and len(self._senders) < _MOST_IN_FLIGHT:
            task = asyncio.create_task(self._send_all())
            self._senders.add(task)
            task.add_done_callback(self._senders.discard)

    async def _send_all(self) -> None:
        while self._pending:
            count = min(WRITES_PER_TRANSACTION, len(self._pending))
            batch = [self._pending.popleft() for _ in range(count)]
            await self._send([each for each in batch if not each.done.done()])

    async def _send(self, batch: list[_Pending]) -> None:
        while batch:
            try:
                result = await self._store.write_all([each.write for each in batch])
            except StoreError as exc:
                _fail(batch, exc)
                return
            except Exception as exc:
                _LOG.exception("a transaction failed; its writers are told")
                _fail(batch, StoreError(f"the write failed: {exc}; retry"))
                return
            if isinstance(result, int):
                for each in batch:
                    if not each.done.done():
                        each.done.set_result(result)
                return
            rest = _settle_conflicts(batch, result)
            if len(rest) == len(batch):
                _fail(batch, StoreError("the store named no conflicting key; retry"))
                return
            batch = rest


def _settle_conflicts(
    batch: list[_Pending], entries: tuple[Entry, ...]
) -> list[_Pending]:
    """Tell the writers whose condition failed; return the others."""
    found = {entry.key: entry for entry in entries}
    rest = []
    for each in batch:
        entry = found.get(each.write.key)
        if (0 if entry is None else entry.revision) == each.write.revision:
            rest.append(each)
        elif not each.done.done():
            each.done.set_exception(WriteConflictError(entry))
    return rest


def _fail(batch: list[_Pending], exc: StoreError) -> None:
    for each in batch:
        if not each.done.done():
            each.done.set_exception(exc)
