"""Journal in the platform's store, with group commit."""

import asyncio
import logging
import random
import uuid
from collections import deque
from collections.abc import Awaitable, Callable
from contextlib import suppress
from itertools import islice

import msgspec

from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    FireflyError,
    PeerError,
    SealedError,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.recovery._entries import (
    WITHDRAWN,
    JournalEntry,
    encode_entry,
    encode_record,
    find_entry_key,
    pack_entry,
)
from fireflyspread.recovery._journal import Durability, Journal
from fireflyspread.recovery._members import Member
from fireflyspread.recovery._records import Record
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
        Least seconds between the starts of two writes.
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
        self._releases: set[asyncio.Task[None]] = set()
        self._last_flush = float("-inf")
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
        self._queue: deque[bytes] = deque()
        self._queued_bytes = 0
        self._offset = 0
        self._sequence = 0
        self._stored = 0  # records before this number are in the store
        self._in_flight = 0  # records before this number may reach the store
        self._held = 0  # records before this number are held by another node
        self._sent = 0  # records before this number were sent to another node
        self._failing_since: float | None = None
        self._waiters: deque[tuple[int, asyncio.Future[None]]] = deque()

    @property
    def is_sealed(self) -> bool:
        """Whether another node has taken over."""
        return self._sealed.is_set()

    @property
    def next_sequence(self) -> int:
        """Number of the next key."""
        return self._sequence

    @property
    def queued(self) -> int:
        """Number of records that are not in the store yet."""
        return len(self._queue)

    async def wait_sealed(self) -> None:
        """Return once another node has sealed the journal."""
        await self._sealed.wait()

    async def commit(self, *records: Record, may_pend: bool = False) -> Durability:
        if self._queued_bytes > _MAX_QUEUED_BYTES:
            self._raise_if_sealed()
            raise StoreError("too many records wait for the store; retry later")
        start = self._stored + len(self._queue)
        end = self._append(records)
        if await self._wait_stored(end):
            return Durability.DURABLE
        if may_pend and self._holder is not None:
            return await self._hold(end)
        raise self._withdraw(start, end)

    def enqueue(self, *records: Record) -> None:
        self._append(records)

    async def flush(self) -> None:
        """Return once all records appended so far are in the store.

        Raises
        ------
        SealedError
            Another node has taken over.
        """
        await self._add_waiter(self._stored + len(self._queue))

    async def close(self) -> None:
        """Stop writing; records that still wait are not written."""
        tasks = [t for t in (self._writer, *self._releases) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._seal()

    async def restart(self, prefix: str) -> None:
        """Begin an empty journal under ``prefix`` for a new incarnation."""
        await self.close()
        self._reset(prefix)

    def _raise_if_sealed(self) -> None:
        if self.is_sealed:
            raise SealedError(
                f"{self.prefix} was sealed by another node; repeat the request there"
            )

    def _append(self, records: tuple[Record, ...]) -> int:
        """Queue records and return the number after the last one."""
        self._raise_if_sealed()
        for record in records:
            data = encode_record(record)
            self._queue.append(data)
            self._queued_bytes += len(data)
        if self._queue and (self._writer is None or self._writer.done()):
            self._writer = asyncio.create_task(self._write_queued())
        return self._stored + len(self._queue)

    def _add_waiter(self, end: int) -> asyncio.Future[None]:
        """Return a future that is done once records before ``end`` are stored."""
        self._raise_if_sealed()
        future = asyncio.get_running_loop().create_future()
        if self._stored >= end:
            future.set_result(None)
        else:
            self._waiters.append((end, future))
        return future

    async def _wait_stored(self, end: int) -> bool:
        """Wait up to ``store_timeout``; return whether the store has the records."""
        waiter = self._add_waiter(end)
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

    def _withdraw(self, start: int, end: int) -> StoreError:
        """Cancel records that no write has carried yet; return what to raise."""
        if start < max(self._in_flight, self._sent):
            return StoreUncertainError(
                f"the store did not answer a write to {self.prefix}; retry later"
            )
        for index in range(start - self._stored, end - self._stored):
            self._queued_bytes -= len(self._queue[index]) - len(WITHDRAWN)
            # Numbers of later records must not change, so the place is kept.
            self._queue[index] = WITHDRAWN
        return StoreError(f"the store does not answer for {self.prefix}; retry later")

    async def _hold(self, end: int) -> Durability:
        """Have another node hold all records up to ``end``."""
        assert self._holder is not None
        sealed = self._sealed
        if self._held < end and self._stored < end:
            start = max(self._held, self._stored)
            queued = islice(self._queue, start - self._stored, None)
            entry = JournalEntry(
                write_id=uuid.uuid4().hex,
                position=start,
                records=tuple(msgspec.Raw(data) for data in queued),
            )
            last = self._stored + len(self._queue)
            self._sent = last
            try:
                await self._holder(self.prefix, start, encode_entry(entry))
            except SealedError:
                if sealed is self._sealed:
                    self._seal()
            except PeerError as exc:
                raise StoreUncertainError(
                    "neither the store nor another node keeps the record; retry later"
                ) from exc
            # The journal may have begun anew for another incarnation meanwhile.
            if sealed.is_set():
                raise SealedError(f"{self.prefix} was sealed; repeat the request")
            self._held = max(self._held, last)
        if self._stored >= end:
            return Durability.DURABLE
        if self._check is not None:
            self._check()
        return Durability.PENDING

    async def _write_queued(self) -> None:
        """Write until the queue is empty or the journal is sealed."""
        while self._queue and not self.is_sealed:
            wait = self._last_flush + self._flush_interval
            await self._sleep(max(0.0, wait - self._clock.read_monotonic()))
            self._last_flush = self._clock.read_monotonic()
            entry, count = pack_entry(
                uuid.uuid4().hex, self._stored, tuple(self._queue), self._offset
            )
            # A fragment commits the whole record to being written.
            self._in_flight = self._stored + max(count, 1)
            if await self._create(entry):
                self._settle(entry, count)
            else:
                self._seal()

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
        self._sequence += 1
        if entry.fragment is not None:
            self._offset = 0 if entry.is_last else self._offset + len(entry.fragment)
        for _ in range(count):
            self._queued_bytes -= len(self._queue.popleft())
        self._stored += count
        while self._waiters and self._waiters[0][0] <= self._stored:
            _, future = self._waiters.popleft()
            if not future.done():
                future.set_result(None)
        if self._sent and self._stored >= self._sent:
            self._sent = 0
            task = asyncio.create_task(self._release_held(self._stored))
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
        for _, future in self._waiters:
            if not future.done():
                future.set_exception(SealedError(f"{self.prefix} was sealed"))
                # A waiter that was cancelled meanwhile never reads the error.
                future.exception()
        self._waiters.clear()
        self._queue.clear()
        if self._on_sealed is not None:
            self._on_sealed()
