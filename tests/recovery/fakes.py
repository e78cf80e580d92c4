"""In-memory store with fault injection, and a clock that tests advance."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator, Awaitable
from typing import TypeVar

from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import StoreError, StoreUncertainError
from fireflyspread.recovery import Change, Entry, Store

T = TypeVar("T")


async def settle(rounds: int = 30) -> None:
    """Run all tasks until they wait for the clock or for a change by the test."""
    for _ in range(rounds):
        await asyncio.sleep(0)


class FakeTime(ManualClock):
    """Manual clock that wakes sleeping tasks when it is advanced."""

    def __init__(self, start: float = 1_000.0) -> None:
        super().__init__(start)
        self._order = itertools.count()
        self._sleepers: list[tuple[float, int, asyncio.Future[None]]] = []

    async def sleep(self, seconds: float) -> None:
        """Wait until the clock has advanced by ``seconds``."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        future = asyncio.get_running_loop().create_future()
        due = self.read_monotonic() + seconds
        heapq.heappush(self._sleepers, (due, next(self._order), future))
        await future

    async def run_for(self, seconds: float) -> None:
        """Advance from one due time to the next, so that tasks wake in order."""
        end = self.read_monotonic() + seconds
        await settle()
        while self._sleepers and self._sleepers[0][0] <= end:
            due, _, future = heapq.heappop(self._sleepers)
            if future.done():
                continue
            self.advance(max(0.0, due - self.read_monotonic()))
            future.set_result(None)
            await settle()
        self.advance(end - self.read_monotonic())
        await settle()

    async def drive(self, work: Awaitable[T], limit: float = 60.0) -> T:
        """Advance the clock until ``work`` is done and return its result."""
        task = asyncio.ensure_future(work)
        end = self.read_monotonic() + limit
        await settle()
        while not task.done() and self.read_monotonic() < end:
            await self.run_for(0.05)
        if not task.done():
            task.cancel()
            raise TimeoutError(f"not done after {limit} s")
        return task.result()


class FakeStore(Store):
    """Store shared by all nodes.

    Attributes
    ----------
    is_down : bool
        Whether calls fail without effect.
    delay : float
        Seconds that each call takes.
    blocked : tuple of str
        Prefixes of keys whose writes fail.
    lose_responses : int
        Number of next writes that take effect and then fail.
    writes, reads : int
        Calls so far.
    """

    def __init__(self, time: FakeTime) -> None:
        self.time = time
        self.rows: dict[str, Entry] = {}
        self.key_leases: dict[str, int] = {}
        self.leases: dict[int, tuple[int, float]] = {}
        self.revision = 0
        self.is_down = False
        self.delay = 0.0
        self.blocked: tuple[str, ...] = ()
        self.lose_responses = 0
        self.writes = 0
        self.reads = 0
        self._lease_ids = itertools.count(1)
        self._watches: list[tuple[str, asyncio.Queue[Change | None]]] = []

    def _expire(self) -> None:
        now = self.time.read_monotonic()
        for lease, (_, due) in list(self.leases.items()):
            if due <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, v in self.key_leases.items() if v == lease]:
            self._remove(key)

    def _remove(self, key: str) -> None:
        self.key_leases.pop(key, None)
        if self.rows.pop(key, None) is not None:
            self.revision += 1
            self._notify(Change(key=key, entry=None))

    def _notify(self, change: Change) -> None:
        for prefix, queue in self._watches:
            if change.key.startswith(prefix):
                queue.put_nowait(change)

    async def _begin(self) -> None:
        await asyncio.sleep(0)
        if self.delay:
            await self.time.sleep(self.delay)
        self._expire()
        if self.is_down:
            raise StoreError("the store is down")

    def _finish_write(self) -> None:
        if self.lose_responses > 0:
            self.lose_responses -= 1
            raise StoreUncertainError("the response was lost")

    async def read(self, key: str) -> Entry | None:
        self.reads += 1
        await self._begin()
        return self.rows.get(key)

    async def read_prefix(self, prefix: str, *, limit: int = 0) -> tuple[Entry, ...]:
        self.reads += 1
        await self._begin()
        found = sorted(k for k in self.rows if k.startswith(prefix))
        return tuple(self.rows[k] for k in found[: limit or None])

    async def replace(
        self, key: str, value: bytes, *, revision: int, lease: int = 0
    ) -> int | None:
        self.writes += 1
        await self._begin()
        if key.startswith(self.blocked):
            raise StoreError(f"{key} cannot be written")
        row = self.rows.get(key)
        if (row.revision if row else 0) != revision:
            return None
        if lease and lease not in self.leases:
            raise StoreError("the lease has expired")
        self.revision += 1
        self.rows[key] = Entry(key=key, value=value, revision=self.revision)
        self.key_leases.pop(key, None)
        if lease:
            self.key_leases[key] = lease
        self._notify(Change(key=key, entry=self.rows[key]))
        written = self.revision
        self._finish_write()
        return written

    async def delete(self, *keys: str) -> None:
        self.writes += 1
        await self._begin()
        for key in keys:
            self._remove(key)
        self._finish_write()

    async def grant_lease(self, ttl: int) -> int:
        self.writes += 1
        await self._begin()
        lease = next(self._lease_ids)
        self.leases[lease] = (ttl, self.time.read_monotonic() + ttl)
        return lease

    async def renew_lease(self, lease: int) -> bool:
        self.writes += 1
        await self._begin()
        if lease not in self.leases:
            return False
        ttl = self.leases[lease][0]
        self.leases[lease] = (ttl, self.time.read_monotonic() + ttl)
        return True

    async def revoke_lease(self, lease: int) -> None:
        self.writes += 1
        await self._begin()
        self._end_lease(lease)

    async def watch(
        self, prefix: str, *, start_revision: int = 0
    ) -> AsyncIterator[Change]:
        self.reads += 1
        await self._begin()
        queue: asyncio.Queue[Change | None] = asyncio.Queue()
        self._watches.append((prefix, queue))
        try:
            while (change := await queue.get()) is not None:
                yield change
        finally:
            self._watches.remove((prefix, queue))
        raise StoreError("the watch broke")

    async def close(self) -> None:
        pass
