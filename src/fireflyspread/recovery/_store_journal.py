"""Journal in the platform's store, with group commit."""

import asyncio
import logging
import random
from collections import Counter, deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import islice

from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    FireflyError,
    SealedError,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.recovery._entries import (
    JournalEntry,
    encode_entry,
    find_entry_key,
)
from fireflyspread.recovery._journal import Durability, Journal
from fireflyspread.recovery._members import Member
from fireflyspread.recovery._queue import RecordQueue
from fireflyspread.recovery._records import Record, SnapshotTaken
from fireflyspread.recovery._store import Store
from fireflyspread.settings import Timing

__all__ = ["Holder", "Sleep", "StoreJournal"]

logger = logging.getLogger(__name__)

Sleep = Callable[[float], Awaitable[None]]

Holder = Callable[[str, int, bytes], Awaitable[None]]
"""Keeps records on another node: journal, position, encoded entry.

An empty entry says that all records before ``position`` are in the store and need
not be held any longer. Raises ``PeerError`` when no node holds the records and
``SealedError`` when a node has handed them to a new owner already.
"""

# A transaction of the store takes at most 128 operations.
_DELETE_BATCH = 100

# Whoever commits a record applies it to the state after the commit has returned,
# some rounds of the event loop later when the commit runs in a task of its own.
_APPLY_SECONDS = 0.02

# Writes that may follow each other at once after a pause.
_BURST_WRITES = 10

_RETRY_MIN, _RETRY_MAX = 0.1, 1.0

# Records wait in memory while the store is down; new ones are refused beyond this.
_MAX_QUEUED_BYTES = 32 << 20


class StoreJournal(Journal):
    """Journal of one node incarnation under one key prefix of the store.

    Parameters
    ----------
    prefix : str
        Key prefix, ``journal/<node>/<incarnation>/``.
    flush_interval : float
        Mean seconds between the starts of two writes under load. After a pause, a few
        writes may follow each other at once, so that a single program does not wait.
    store_timeout : float
        Seconds that a commit waits for the store.
    holder : Holder or None
        Keeps records on another node while the store does not answer.
    check : callable or None
        Raises ``NoAuthorityError`` when the node may not acknowledge.
    on_sealed : callable or None
        Called once when another node has sealed the journal.
    """

    def __init__(
        self,
        store: Store,
        prefix: str,
        *,
        clock: Clock,
        rng: random.Random,
        flush_interval: float = 0.05,
        store_timeout: float = 1.0,
        holder: Holder | None = None,
        check: Callable[[], None] | None = None,
        on_sealed: Callable[[], None] | None = None,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._flush_interval = flush_interval
        self._store_timeout = store_timeout
        self._holder = holder
        self._check = check
        self._on_sealed = on_sealed
        self._sleep = sleep
        self._writer: asyncio.Task[None] | None = None
        self._starter: asyncio.Task[None] | None = None
        self._releases: set[asyncio.Task[None]] = set()
        self._committing: Counter[int] = Counter()
        self._returned_at: dict[int, float] = {}
        # Time at which the writes made so far are paid for at one each interval.
        self._paid_until = float("-inf")
        self._reset(prefix)

    @classmethod
    def from_config(
        cls,
        timing: Timing,
        store: Store,
        member: Member,
        *,
        clock: Clock,
        rng: random.Random,
        holder: Holder | None = None,
        check: Callable[[], None] | None = None,
        on_sealed: Callable[[], None] | None = None,
    ) -> "StoreJournal":
        """Build the journal of ``member`` with the configured intervals."""
        return cls(
            store,
            member.journal,
            clock=clock,
            rng=rng,
            flush_interval=timing.flush_interval,
            store_timeout=timing.store_timeout,
            holder=holder,
            check=check,
            on_sealed=on_sealed,
        )

    def _reset(self, prefix: str) -> None:
        self.prefix = prefix
        self._sealed = asyncio.Event()
        self._queue = RecordQueue()
        self._sequence = 0
        self._failing_since: float | None = None
        # Key and number after the last record of each entry in the store.
        self._entries: deque[tuple[str, int]] = deque()

    @property
    def is_sealed(self) -> bool:
        """Whether another node has taken over."""
        return self._sealed.is_set()

    @property
    def next_sequence(self) -> int:
        """Number of the next key."""
        return self._sequence

    @property
    def entry_count(self) -> int:
        """Number of entries in the store."""
        return len(self._entries)

    @property
    def is_failing(self) -> bool:
        """Whether the last write has failed and is being repeated."""
        return self._failing_since is not None

    @property
    def end(self) -> int:
        """Number of the next record."""
        return self._queue.end

    @property
    def stored(self) -> int:
        """Number of records that are in the store."""
        return self._queue.stored

    @property
    def queued(self) -> int:
        """Number of records that are not in the store yet."""
        return len(self._queue)

    async def wait_sealed(self) -> None:
        """Return once another node has sealed the journal."""
        await self._sealed.wait()

    async def commit(self, *records: Record, may_pend: bool = False) -> Durability:
        self._raise_if_sealed()
        # A record that may pend belongs to work that is done, so it is always queued.
        if not may_pend and self._queue.nbytes > _MAX_QUEUED_BYTES:
            raise StoreError("too many records wait for the store; retry later")
        slots = [record.slot for record in records]
        self._committing.update(slots)
        try:
            return await self._commit(records, may_pend)
        finally:
            self._committing.subtract(slots)
            now = self._clock.read_monotonic()
            self._returned_at.update(dict.fromkeys(slots, now))

    async def _commit(self, records: tuple[Record, ...], may_pend: bool) -> Durability:
        queue, start = self._queue, self._queue.end
        end = self._append(records)
        if await self._wait_stored(end):
            return Durability.DURABLE
        if may_pend and self._holder is not None:
            return await self._hold(end)
        if queue.withdraw(start, end):
            raise StoreError(f"the store does not answer for {self.prefix}; retry")
        raise StoreUncertainError(
            f"the store did not answer a write to {self.prefix}; retry later"
        )

    def enqueue(self, *records: Record) -> None:
        self._raise_if_sealed()
        self._queue.append(records)
        if self._queue and self._starter is None and not self._is_writing():
            self._starter = asyncio.create_task(self._start_later())

    def enqueue_snapshot(self, slot: int, records: tuple[Record, ...]) -> None:
        """Append the whole state of ``slot``; it replaces all earlier records."""
        marker = SnapshotTaken(slot=slot, subject="", count=len(records))
        self._append((marker, *records))

    def is_quiet(self, slot: int) -> bool:
        """Whether no commit of ``slot`` is under way or has returned just now."""
        returned = self._returned_at.get(slot, float("-inf"))
        passed = self._clock.read_monotonic() - returned
        return self._committing[slot] == 0 and passed >= _APPLY_SECONDS

    async def flush(self) -> None:
        """Return once all records appended so far are in the store.

        Raises
        ------
        SealedError
            Another node has taken over.
        """
        self._raise_if_sealed()
        await self._queue.add_waiter(self._queue.end)

    async def close(self) -> None:
        """Stop writing; records that still wait are not written."""
        tasks = [self._writer, self._starter, *self._releases]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._starter = None
        self._seal()

    async def restart(self, prefix: str) -> None:
        """Begin an empty journal under ``prefix`` for a new incarnation."""
        await self.close()
        self._reset(prefix)

    async def trim(self, position: int) -> None:
        """Delete the oldest entries that contain only records before ``position``.

        The newest entry stays, because another node finds the next number from it.

        Raises
        ------
        StoreError
            The store does not answer; the entries are deleted by a later call.
        """
        entries = self._entries
        while True:
            count = max(0, min(len(entries) - 1, _DELETE_BATCH))
            keys = [key for key, end in islice(entries, count) if end <= position]
            if not keys:
                return
            await self._store.delete(*keys)
            for _ in keys:
                entries.popleft()

    def dump(self) -> dict[str, int | bool | str]:
        """Return the state for a dump of the process."""
        return {
            "prefix": self.prefix,
            "next_sequence": self._sequence,
            "entries": len(self._entries),
            "queued": len(self._queue),
            "queued_bytes": self._queue.nbytes,
            "is_failing": self.is_failing,
            "is_sealed": self.is_sealed,
        }

    def _raise_if_sealed(self) -> None:
        if self.is_sealed:
            raise SealedError(
                f"{self.prefix} was sealed by another node; repeat the request there"
            )

    def _append(self, records: tuple[Record, ...]) -> int:
        self._raise_if_sealed()
        end = self._queue.append(records)
        self._start_writer()
        return end

    def _is_writing(self) -> bool:
        return self._writer is not None and not self._writer.done()

    def _start_writer(self) -> None:
        if self._queue and not self._is_writing():
            self._writer = asyncio.create_task(self._write_queued())

    async def _start_later(self) -> None:
        # Records nobody waits for are left to the next commit: a write of their own
        # would make that commit wait for the rest of the interval.
        await self._sleep(self._flush_interval)
        self._starter = None
        self._start_writer()

    async def _wait_stored(self, end: int) -> bool:
        """Wait up to ``store_timeout``; return whether the store has the records."""
        waiter = self._queue.add_waiter(end)
        timer = asyncio.ensure_future(self._sleep(self._find_patience()))
        try:
            await asyncio.wait({waiter, timer}, return_when=asyncio.FIRST_COMPLETED)
            if waiter.done():
                waiter.result()
            return waiter.done()
        finally:
            timer.cancel()
            waiter.cancel()

    def _find_patience(self) -> float:
        # Once the store has been failing for the whole timeout, waiting again for
        # each request would only add a second to every turn of the outage.
        if self._failing_since is None:
            return self._store_timeout
        failing = self._clock.read_monotonic() - self._failing_since
        return max(0.0, self._store_timeout - failing)

    async def _hold(self, end: int) -> Durability:
        """Have another node hold all records up to ``end``."""
        assert self._holder is not None
        queue, sealed = self._queue, self._sealed
        if max(queue.held, queue.stored) < end:
            start, last, data = queue.pack_unheld()
            try:
                await self._holder(self.prefix, start, data)
            except SealedError:
                if sealed is self._sealed:
                    self._seal()
            except FireflyError as exc:
                raise StoreUncertainError(
                    "neither the store nor another node keeps the record; retry later"
                ) from exc
            queue.held = max(queue.held, last)
        # The journal may have begun anew for another incarnation meanwhile.
        if sealed.is_set():
            raise SealedError("the journal was sealed by another node; repeat there")
        if queue.stored >= end:
            return Durability.DURABLE
        if self._check is not None:
            self._check()
        return Durability.PENDING

    async def _write_queued(self) -> None:
        """Write until the queue is empty or the journal is sealed."""
        while self._queue and not self.is_sealed:
            tolerance = _BURST_WRITES * self._flush_interval
            wait = self._paid_until - tolerance - self._clock.read_monotonic()
            await self._sleep(max(0.0, wait))
            if self.is_sealed:
                return
            now = self._clock.read_monotonic()
            self._paid_until = max(self._paid_until, now) + self._flush_interval
            entry, count = self._queue.pack()
            is_created = await self._create(entry)
            if not is_created:
                self._seal()
            elif not self.is_sealed:
                self._settle(entry, count)

    async def _create(self, entry: JournalEntry) -> bool:
        """Create the next key; repeat the same value until the store answers."""
        key, value = find_entry_key(self.prefix, self._sequence), encode_entry(entry)
        backoff = _RETRY_MIN
        while True:
            try:
                created = await self._store.create_once(key, value)
            except StoreError as exc:
                if self._failing_since is None:
                    self._failing_since = self._clock.read_monotonic()
                    logger.warning("journal write failed, repeating: %s", exc)
                await self._sleep(backoff * self._rng.uniform(0.5, 1.0))
                backoff = min(backoff * 2, _RETRY_MAX)
            else:
                self._failing_since = None
                return created

    def _settle(self, entry: JournalEntry, count: int) -> None:
        # A part of a record is needed as long as its last part.
        end = entry.position + max(count, 1)
        self._entries.append((find_entry_key(self.prefix, self._sequence), end))
        self._sequence += 1
        queue = self._queue
        queue.settle(entry, count)
        if queue.sent and queue.stored >= queue.sent:
            queue.sent = 0
            task = asyncio.create_task(self._release_held(queue.stored))
            self._releases.add(task)
            task.add_done_callback(self._releases.discard)

    async def _release_held(self, position: int) -> None:
        assert self._holder is not None
        with suppress(FireflyError):
            await self._holder(self.prefix, position, b"")

    def _seal(self) -> None:
        if self.is_sealed:
            return
        self._sealed.set()
        self._queue.abort(SealedError(f"{self.prefix} was sealed by another node"))
        if self._on_sealed is not None:
            self._on_sealed()
