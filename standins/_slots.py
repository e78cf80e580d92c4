"""Concurrency limit with a priority queue."""

import asyncio
import heapq
import itertools

__all__ = ["PrioritySlots"]


class PrioritySlots:
    """Slots, granted to the waiting request with the lowest priority number first.

    Parameters
    ----------
    size : int
        Number of slots.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.running = 0
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []
        self._arrivals = itertools.count()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(1 for _, _, future in self._waiting if not future.done())

    async def acquire(self, priority: int) -> None:
        """Wait for a slot."""
        if self.running < self.size:
            self.running += 1
            return
        future = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority, next(self._arrivals), future))
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Release a slot and grant it to the next waiting request."""
        self.running -= 1
        while self._waiting and self.running < self.size:
            _, _, future = heapq.heappop(self._waiting)
            if not future.done():
                self.running += 1
                future.set_result(None)
