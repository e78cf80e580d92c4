"""One background task for each replica."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Iterable
from typing import Any

from fireflyspread.bundle import Replica

__all__ = ["ReplicaTasks"]

_LOGGER = logging.getLogger(__name__)
_RESTART_SECONDS = 1.0


class ReplicaTasks:
    """Runs a coroutine for each replica of the bundle and restarts it if it fails.

    Parameters
    ----------
    run : callable
        Returns the coroutine of a replica; it runs until it is cancelled.
    """

    def __init__(self, run: Callable[[Replica], Coroutine[Any, Any, None]]) -> None:
        self._run = run
        self._tasks: dict[Replica, asyncio.Task[None]] = {}

    def set_replicas(self, replicas: Iterable[Replica]) -> None:
        """Start the tasks of new replicas and cancel those of removed ones."""
        wanted = set(replicas)
        for replica in self._tasks.keys() - wanted:
            self._tasks.pop(replica).cancel()
        for replica in wanted - self._tasks.keys():
            self._tasks[replica] = asyncio.create_task(self._supervise(replica))

    async def _supervise(self, replica: Replica) -> None:
        while True:
            try:
                await self._run(replica)
            except Exception:
                _LOGGER.exception(
                    "background task of a replica failed; restarting it",
                    extra={"replica": replica.name},
                )
            await asyncio.sleep(_RESTART_SECONDS)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        tasks = tuple(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
