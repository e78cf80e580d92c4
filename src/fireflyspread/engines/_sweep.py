"""Release of KV caches that no program needs."""

import asyncio
import logging
import random
from collections.abc import Callable

from fireflyspread.engines._engine import Engine
from fireflyspread.exceptions import FireflyError
from fireflyspread.routing import draw_backoff

__all__ = ["SessionSweeper"]

_LOGGER = logging.getLogger(__name__)
_MAX_BACKOFF_SECONDS = 5.0


class SessionSweeper:
    """Releases sessions of one replica, with retries until the engine confirms.

    It also lists the sessions of the replica periodically and releases those of ended
    programs, to find sessions whose release was lost when a node failed.

    Parameters
    ----------
    has_ended : callable
        Whether a program has ended. Must return False for a program whose state this
        node does not know, for example one with another owner.
    on_released : callable
        Called with the program id after the engine has confirmed.
    interval : float
        Seconds between two listings.
    """

    def __init__(
        self,
        replica: str,
        engine: Engine,
        rng: random.Random,
        *,
        has_ended: Callable[[str], bool],
        on_released: Callable[[str], None],
        interval: float = 10.0,
    ) -> None:
        self._replica = replica
        self._engine = engine
        self._rng = rng
        self._has_ended = has_ended
        self._on_released = on_released
        self._interval = interval
        self._pending: dict[str, None] = {}
        self._wake = asyncio.Event()

    @property
    def pending(self) -> tuple[str, ...]:
        """Programs whose release the engine has not confirmed yet."""
        return tuple(self._pending)

    def release(self, program: str) -> None:
        """Release the session of a program as soon as possible."""
        self._pending[program] = None
        self._wake.set()

    def cancel_release(self, program: str) -> None:
        """Cancel a release because the program continues on this replica."""
        self._pending.pop(program, None)

    async def run(self) -> None:
        """Sweep until cancelled."""
        loop = asyncio.get_running_loop()
        attempt = 0
        next_listing = loop.time()
        while True:
            if loop.time() >= next_listing:
                next_listing = loop.time() + self._interval
                await self._queue_ended()
            attempt = 0 if await self._release_pending() else attempt + 1
            delay = next_listing - loop.time()
            if attempt:
                # New releases do not cut the backoff short, as the engine is failing.
                backoff = draw_backoff(
                    self._rng, attempt, max_delay=_MAX_BACKOFF_SECONDS
                )
                await asyncio.sleep(max(0.01, min(delay, backoff)))
                continue
            self._wake.clear()
            if self._pending:
                continue
            try:
                async with asyncio.timeout(max(0.0, delay)):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _queue_ended(self) -> None:
        try:
            sessions = await self._engine.list_sessions()
        except FireflyError as exc:
            _LOGGER.debug(
                "cannot list sessions: %s", exc, extra={"replica": self._replica}
            )
            return
        for program in sessions:
            if self._has_ended(program):
                self._pending[program] = None

    async def _release_pending(self) -> bool:
        """Try each pending release once; return whether all were confirmed."""
        all_confirmed = True
        for program in tuple(self._pending):
            if program not in self._pending:
                continue
            try:
                await self._engine.release_session(program)
            except FireflyError as exc:
                all_confirmed = False
                _LOGGER.info(
                    "release failed; it will be retried: %s",
                    exc,
                    extra={"replica": self._replica, "program": program},
                )
                continue
            self._pending.pop(program, None)
            self._on_released(program)
        return all_confirmed
