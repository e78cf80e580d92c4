"""Journal in the platform's key-value store, with group commit."""

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
    format_entry_key,
)
from fireflyspread.recovery._journal import Durability, Journal
from fireflyspread.recovery._members import Member
from fireflyspread.recovery._queue import RecordQueue
from fireflyspread.recovery._records import Record, SnapshotTaken
from fireflyspread.recovery._store import Store
from fireflyspread.settings import Timing

__all__ = ["Holder", "Sleep", "StoreJournal"]

_LOG = logging.getLogger(__name__)

Sleep = Callable[[float], Awaitable[None]]

Holder = Callable[[str, int, bytes], Awaitable[None]]
"""Holds records on another node; takes journal, position and encoded entry.

An empty entry releases all records before ``position``, which are in the store.
Raises ``PeerError`` if no node holds the records and ``SealedError`` if a new owner
has fetched the held records of the journal.
"""

# A transaction of the store behind ``EtcdStore`` has at most 128 operations.
_DELETE_BATCH = 100

# A record is applied to the state after its commit returns, some iterations of the
# event loop later if the commit runs in a task of its own.
_APPLY_DELAY_SECONDS = 0.02

# Writes that may follow each other without delay after a pause.
_MAX_BURST_WRITES = 10

_MIN_BACKOFF_SECONDS, _MAX_BACKOFF_SECONDS = 0.1, 1.0

# Records queue in memory while the store is unavailable; beyond this size, commits of
# new ones are refused.
_MAX_QUEUED_BYTES = 32 << 20


class StoreJournal(Journal):
    """Journal of one node incarnation under one key prefix of the store.

    Parameters
    ----------
    prefix : str
        Key prefix, ``journal/<node>/<incarnation>/``.
    flush_interval : float
        Mean seconds between the starts of writes under load. After a pause, a few may
        follow each other without delay, so that a single program does not wait.
    store_timeout : float
        Seconds that a commit waits for the store.
    holder : Holder or None
        Holds records on another node while the store does not answer.
    check_authority : callable or None
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
        check_authority: Callable[[], None] | None = None,
        on_sealed: Callable[[], None] | None = None,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._store = store
        self._clock = clock
        self._rng = rng
        self._flush_interval = flush_interval
        self._store_timeout = store_timeout
        self._holder = holder
        self._check_authority = check_authority
        self._on_sealed = on_sealed
        self._sleep = sleep
        self._writer: asyncio.Task[None] | None = None
        self._delayed_start: asyncio.Task[None] | None = None
        self._releases: set[asyncio.Task[None]] = set()
        # For each slot: records whose commit is running, and when the last commit
        # returned.
        self._committing: Counter[int] = Counter()
        self._returned_at: dict[int, float] = {}
        # Rate limit of writes by the generic cell rate algorithm: the time at which
        # the writes so far would have been made at one per interval.
        self._theoretical_arrival = float("-inf")
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
        check_authority: Callable[[], None] | None = None,
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
            check_authority=check_authority,
            on_sealed=on_sealed,
        )

    def _reset(self, prefix: str) -> None:
        self.prefix = prefix
        self._sealed = asyncio.Event()
        self._queue = RecordQueue()
        self._sequence = 0
        self._failing_since: float | None = None
        # Key of each entry in the store, and the position after its last record.
        self._entries: deque[tuple[str, int]] = deque()

    @property
    def is_sealed(self) -> bool:
        """Whether another node has taken over."""
        return self._sealed.is_set()

    @property
    def next_sequence(self) -> int:
        """Sequence number of the next key."""
        return self._sequence

    @property
    def entry_count(self) -> int:
        """Number of entries in the store."""
        return len(self._entries)

    @property
    def is_failing(self) -> bool:
        """Whether the last write has failed and is being retried."""
        return self._failing_since is not None

    @property
    def end(self) -> int:
        """Position of the next record."""
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

    async def commit(self, *records: Record, allow_pending: bool = False) -> Durability:
        self._raise_if_sealed()
        # A record that may be pending belongs to finished work, so it is always queued.
        if not allow_pending and self._queue.nbytes > _MAX_QUEUED_BYTES:
            raise StoreError(
                f"{self._queue.nbytes} bytes of journal records wait for the store, "
                f"more than {_MAX_QUEUED_BYTES}; retry later"
            )
        slots = [record.slot for record in records]
        self._committing.update(slots)
        try:
            return await self._commit(records, allow_pending)
        finally:
            self._committing.subtract(slots)
            now = self._clock.read_monotonic()
            self._returned_at.update(dict.fromkeys(slots, now))

    async def _commit(
        self, records: tuple[Record, ...], allow_pending: bool
    ) -> Durability:
        queue, start = self._queue, self._queue.end
        end = self._append(records)
        if await self._wait_stored(end):
            return Durability.DURABLE
        if allow_pending and self._holder is not None:
            return await self._hold(end)
        if queue.withdraw(start, end):
            raise StoreError(
                "the store did not answer in time; the records were withdrawn from "
                f"{self.prefix}; retry"
            )
        raise StoreUncertainError(
            f"the store did not answer a write to {self.prefix} in time; retry later"
        )

    def enqueue(self, *records: Record) -> None:
        self._raise_if_sealed()
        self._queue.append(records)
        if self._queue and self._delayed_start is None and not self._is_writing():
            self._delayed_start = asyncio.create_task(self._start_writer_later())

    def enqueue_snapshot(self, slot: int, records: tuple[Record, ...]) -> None:
        """Append the whole state of ``slot``, which supersedes all earlier records."""
        marker = SnapshotTaken(slot=slot, subject="", count=len(records))
        self._append((marker, *records))

    def is_quiescent(self, slot: int) -> bool:
        """Whether every committed record of ``slot`` has been applied to its state."""
        returned_at = self._returned_at.get(slot, float("-inf"))
        elapsed = self._clock.read_monotonic() - returned_at
        return self._committing[slot] == 0 and elapsed >= _APPLY_DELAY_SECONDS

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
        """Stop writing; queued records are discarded."""
        tasks = [self._writer, self._delayed_start, *self._releases]
        running = [task for task in tasks if task is not None]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)
        self._delayed_start = None
        self._seal()

    async def restart(self, prefix: str) -> None:
        """Start an empty journal under ``prefix`` for a new incarnation."""
        await self.close()
        self._reset(prefix)

    async def trim(self, position: int) -> None:
        """Delete the oldest entries that contain only records before ``position``.

        The newest entry stays, because another node derives the next sequence number
        from it.

        Raises
        ------
        StoreError
            The store does not answer; a later call deletes the entries.
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
        """Return the state for a state dump, in JSON types."""
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
                f"journal {self.prefix} was sealed by another node; "
                "repeat the request there"
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

    async def _start_writer_later(self) -> None:
        # Records that no task waits for are written with the next commit. A separate
        # write would delay that commit by the rest of the interval.
        await self._sleep(self._flush_interval)
        self._delayed_start = None
        self._start_writer()

    async def _wait_stored(self, end: int) -> bool:
        """Wait up to ``store_timeout``; return whether the records are stored."""
        waiter = self._queue.add_waiter(end)
        timer = asyncio.ensure_future(self._sleep(self._compute_store_timeout()))
        try:
            await asyncio.wait({waiter, timer}, return_when=asyncio.FIRST_COMPLETED)
            if waiter.done():
                waiter.result()
            return waiter.done()
        finally:
            timer.cancel()
            waiter.cancel()

    def _compute_store_timeout(self) -> float:
        # Once writes have failed for the whole timeout, waiting for each request again
        # would only delay every turn during the outage by a second.
        if self._failing_since is None:
            return self._store_timeout
        elapsed = self._clock.read_monotonic() - self._failing_since
        return max(0.0, self._store_timeout - elapsed)

    async def _hold(self, end: int) -> Durability:
        """Have another node hold all records up to ``end``."""
        assert self._holder is not None
        queue, sealed = self._queue, self._sealed
        if max(queue.held, queue.stored) < end:
            start, packed_end, data = queue.pack_unheld()
            try:
                await self._holder(self.prefix, start, data)
            except SealedError:
                if sealed is self._sealed:
                    self._seal()
            except FireflyError as exc:
                raise StoreUncertainError(
                    "the record is neither in the store nor held by another node; "
                    "retry later"
                ) from exc
            queue.held = max(queue.held, packed_end)
        # The journal may have been restarted for a new incarnation during the call, so
        # the event of the old one is checked.
        if sealed.is_set():
            raise SealedError(
                "the journal was sealed by another node; repeat the request there"
            )
        if queue.stored >= end:
            return Durability.DURABLE
        if self._check_authority is not None:
            self._check_authority()
        return Durability.PENDING

    async def _write_queued(self) -> None:
        """Write until the queue is empty or the journal is sealed."""
        while self._queue and not self.is_sealed:
            tolerance = _MAX_BURST_WRITES * self._flush_interval
            wait = self._theoretical_arrival - tolerance - self._clock.read_monotonic()
            await self._sleep(max(0.0, wait))
            if self.is_sealed:
                return
            now = self._clock.read_monotonic()
            self._theoretical_arrival = (
                max(self._theoretical_arrival, now) + self._flush_interval
            )
            entry, count = self._queue.pack()
            is_created = await self._create(entry)
            if not is_created:
                self._seal()
            elif not self.is_sealed:
                self._mark_stored(entry, count)

    async def _create(self, entry: JournalEntry) -> bool:
        """Create the next key, retrying with the same value until the store answers."""
        key, value = format_entry_key(self.prefix, self._sequence), encode_entry(entry)
        backoff = _MIN_BACKOFF_SECONDS
        while True:
            try:
                created = await self._store.create_once(key, value)
            except StoreError as exc:
                if self._failing_since is None:
                    self._failing_since = self._clock.read_monotonic()
                    _LOG.warning("journal write failed, retrying: %s", exc)
                await self._sleep(backoff * self._rng.uniform(0.5, 1.0))
                backoff = min(backoff * 2, _MAX_BACKOFF_SECONDS)
            else:
                self._failing_since = None
                return created

    def _mark_stored(self, entry: JournalEntry, count: int) -> None:
        # An entry that contains a part of a record is needed as long as the record.
        end = entry.position + max(count, 1)
        self._entries.append((format_entry_key(self.prefix, self._sequence), end))
        self._sequence += 1
        queue = self._queue
        queue.mark_stored(entry, count)
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
        self._queue.abort(
            SealedError(f"journal {self.prefix} was sealed by another node")
        )
        if self._on_sealed is not None:
            self._on_sealed()
