"""In-memory store with the faults that a rollout must survive."""

import asyncio
import random
from collections.abc import AsyncIterator

from fireflyspread.exceptions import StoreError, StoreUncertainError
from fireflyspread.recovery import Change, Entry, Store


class MemoryStore(Store):
    """Store that loses responses and requests and interleaves calls by a seed.

    Attributes
    ----------
    lost_responses : list of bool
        One item for each of the next calls of ``replace``: True loses the response
        after the write took effect, False loses the request before it.
    loss_probability : float
        Probability that a response or request of a write is lost. Half of the lost
        requests are carried out after their sender has timed out.
    """

    def __init__(
        self, *, rng: random.Random | None = None, loss_probability: float = 0.0
    ) -> None:
        self.entries: dict[str, Entry] = {}
        self.revision = 0
        self.is_down = False
        self.lost_responses: list[bool] = []
        self.loss_probability = loss_probability
        self.written: list[Entry] = []
        self.watches: list[asyncio.Queue[Change | None]] = []
        self._late_requests: list[asyncio.Task[None]] = []
        self._rng = rng

    async def _interleave(self) -> None:
        for _ in range(self._rng.randrange(4) if self._rng else 1):
            await asyncio.sleep(0)
        if self.is_down:
            raise StoreError("the store is down")

    def _draw_loss(self) -> bool | None:
        if self.lost_responses:
            return self.lost_responses.pop(0)
        if self._rng is not None and self._rng.random() < self.loss_probability:
            return self._rng.random() < 0.5
        return None

    def put(self, key: str, value: bytes) -> int:
        """Write a key whatever its revision is."""
        self.revision += 1
        entry = Entry(key, value, self.revision)
        self.entries[key] = entry
        self.written.append(entry)
        for queue in self.watches:
            queue.put_nowait(Change(key, entry))
        return self.revision

    def break_watches(self) -> None:
        """End all watches."""
        for queue in self.watches:
            queue.put_nowait(None)
        self.watches.clear()

    async def read(self, key: str) -> Entry | None:
        await self._interleave()
        return self.entries.get(key)

    async def read_prefix(self, prefix: str, *, limit: int = 0) -> tuple[Entry, ...]:
        await self._interleave()
        return tuple(
            self.entries[k] for k in sorted(self.entries) if k[: len(prefix)] == prefix
        )

    async def replace(
        self, key: str, value: bytes, *, revision: int, lease: int = 0
    ) -> int | None:
        await self._interleave()
        loss = self._draw_loss()
        if loss is False:
            if self._rng is not None and self._rng.random() < 0.5:
                self._late_requests.append(
                    asyncio.create_task(self._replace_late(key, value, revision))
                )
            await self._wait_timeout()
            raise StoreUncertainError("the request was lost or is late")
        result = self._replace_now(key, value, revision)
        await self._interleave()
        if loss:
            await self._wait_timeout()
            raise StoreUncertainError("the response was lost")
        return result

    def _replace_now(self, key: str, value: bytes, revision: int) -> int | None:
        found = self.entries.get(key)
        if (0 if found is None else found.revision) != revision:
            return None
        return self.put(key, value)

    async def _replace_late(self, key: str, value: bytes, revision: int) -> None:
        """Carry out a request after its sender has timed out."""
        await self._wait_timeout()
        await self._wait_timeout()
        self._replace_now(key, value, revision)

    async def _wait_timeout(self) -> None:
        """Let other tasks run for as long as the timeout of a request."""
        for _ in range(self._rng.randrange(60) if self._rng else 0):
            await asyncio.sleep(0)

    async def delete(self, *keys: str) -> None:
        await self._interleave()
        for key in keys:
            self.entries.pop(key, None)
            for queue in self.watches:
                queue.put_nowait(Change(key, None))

    async def grant_lease(self, ttl: int) -> int:
        raise NotImplementedError

    async def renew_lease(self, lease: int) -> bool:
        raise NotImplementedError

    async def revoke_lease(self, lease: int) -> None:
        raise NotImplementedError

    async def watch(
        self, prefix: str, *, start_revision: int = 0
    ) -> AsyncIterator[Change]:
        await self._interleave()
        queue: asyncio.Queue[Change | None] = asyncio.Queue()
        for entry in self.written:
            if start_revision and entry.revision >= start_revision:
                queue.put_nowait(Change(entry.key, entry))
        self.watches.append(queue)
        while (change := await queue.get()) is not None:
            if change.key.startswith(prefix):
                yield change

    async def close(self) -> None:
        self.break_watches()
