"""Releases engine memory of programs, retried until the engine confirms."""

import asyncio
import logging
import random
from collections.abc import Callable
from functools import partial

from fireflyspread.engines._engine import Engine
from fireflyspread.exceptions import FireflyError

__all__ = ["SessionReleaser"]

_LOG = logging.getLogger(__name__)

_FIRST_DELAY = 0.1
_LONGEST_DELAY = 5.0


class SessionReleaser:
    """One task for each session that has to be released.

    Parameters
    ----------
    find_engine : callable
        Returns the client of a replica, or None when the replica has left the bundle.
    on_released : callable
        Takes the program and the replica once nothing is held any more.
    """

    def __init__(
        self,
        find_engine: Callable[[str], Engine | None],
        on_released: Callable[[str, str], None],
        *,
        rng: random.Random,
    ) -> None:
        self._find_engine = find_engine
        self._on_released = on_released
        self._rng = rng
        self._tasks: dict[tuple[str, str], asyncio.Task[None]] = {}

    def __len__(self) -> int:
        return len(self._tasks)

    def release(self, program: str, replicas: frozenset[str]) -> None:
        """Start to release what ``replicas`` hold for ``program``."""
        for replica in replicas:
            key = (program, replica)
            if key not in self._tasks:
                task = asyncio.create_task(self._release(program, replica))
                self._tasks[key] = task
                task.add_done_callback(partial(self._forget, key))

    def _forget(self, key: tuple[str, str], _: asyncio.Task[None]) -> None:
        self._tasks.pop(key, None)

    async def close(self) -> None:
        """Stop; the next owner or the comparison of sessions releases the rest."""
        tasks = list(self._tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _release(self, program: str, replica: str) -> None:
        delay = _FIRST_DELAY
        while True:
            engine = self._find_engine(replica)
            if engine is None:
                break
            try:
                await engine.release_session(program)
                break
            except FireflyError as exc:
                _LOG.info(
                    "session not released yet: %s",
                    exc.message,
                    extra={"program": program, "replica": replica},
                )
            await asyncio.sleep(delay * self._rng.uniform(0.5, 1.0))
            delay = min(2 * delay, _LONGEST_DELAY)
        self._on_released(program, replica)
