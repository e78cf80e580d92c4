"""Watches replicas that may end after the callers of their requests have left."""

import asyncio
import logging
from collections.abc import Callable

from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.forwarding._backend import Backend

__all__ = ["ReplicaWatch"]

_LOG = logging.getLogger(__name__)

# Seconds for which a replica is watched after the deadline that it was given.
_MARGIN = 0.5
# Seconds between the ends of connections after which the replica is checked. Some
# replicas close idle connections early.
_MIN_INTERVAL = 0.25


class ReplicaWatch:
    """Notices that a replica ends while a request without a caller may still run on it.

    Nobody waits for such a request, so that a crash would go unseen until the platform
    removes the registration, or for good if the replica returns before that.

    Each replica has one task, whatever the number of its requests. It waits for the end
    of a connection and makes no calls meanwhile.

    Parameters
    ----------
    on_loss : callable
        Called with a replica that accepts no connection any more.
    """

    def __init__(
        self, backend: Backend, on_loss: Callable[[Replica], None], clock: Clock
    ) -> None:
        self._backend = backend
        self._on_loss = on_loss
        self._clock = clock
        self._until: dict[Replica, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def watch(self, replica: Replica, *, deadline: float) -> None:
        """Watch a replica until shortly after a request must have ended on it.

        Parameters
        ----------
        deadline : float
            Monotonic seconds.
        """
        until = deadline + _MARGIN
        if replica in self._until:
            self._until[replica] = max(until, self._until[replica])
            return
        self._until[replica] = until
        task = asyncio.create_task(self._run(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def list_watched(self) -> list[str]:
        """Return the replicas that are watched."""
        return sorted(replica.name for replica in self._until)

    async def _run(self, replica: Replica) -> None:
        try:
            if await self._wait_ended(replica):
                _LOG.info(
                    "replica ended after a caller had left",
                    extra={"replica": replica.name, "version": replica.version},
                )
                self._on_loss(replica)
        finally:
            del self._until[replica]

    async def _wait_ended(self, replica: Replica) -> bool:
        """Return True when the replica has ended, False when the time is over."""
        while True:
            started_at = self._clock.read_monotonic()
            remaining = self._until[replica] - started_at
            if remaining <= 0:
                return False
            is_disconnected = await self._backend.wait_disconnected(
                replica, timeout=remaining
            )
            if not is_disconnected:
                continue
            if not await self._backend.accepts_connection(replica):
                return True
            elapsed = self._clock.read_monotonic() - started_at
            await asyncio.sleep(max(0.0, _MIN_INTERVAL - elapsed))

    async def close(self) -> None:
        """Stop watching."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
