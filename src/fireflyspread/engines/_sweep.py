"""Release of engine memory that no program needs."""

import asyncio
import logging
import random
from collections.abc import Callable

from fireflyspread.engines._engine import Engine
from fireflyspread.exceptions import FireflyError
from fireflyspread.routing import draw_backoff

__all__ = ["SessionSweeper"]

_LOGGER = logging.getLogger(__name__)
_BACKOFF_CAP = 5.0


class SessionSweeper:
    """Releases sessions of one replica and retries until the engine confirms.

    Besides the sessions it is asked to release, it regularly lists the sessions of
    the replica and releases those of programs that are gone. That finds sessions
    whose release was lost with a node.

    Parameters
    ----------
    is_gone : callable
        Whether a program has ended. It must return False for a program of which this
        node does not know that it has ended, for example one of another owner.
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
        is_gone: Callable[[str], bool],
        on_released: Callable[[str], None],
        interval: float = 10.0,
    ) -> None:
        self._replica = replica
        self._engine = engine
        self._rng = rng
        self._is_gone = is_gone
        self._on_released = on_released
        self._interval = interval
        self._pending: dict[str, None] = {}
        self._wake = asyncio.Event()

    @property
    def pending(self) -> tuple[str, ...]:
        """Programs whose sessions the engine has not confirmed to be released."""
        return tuple(self._pending)

    def release(self, program: str) -> None:
        """Release the session of a program as soon as possible."""
        self._pending[program] = None
        self._wake.set()

    def keep(self, program: str) -> None:
        """Withdraw a release because the program goes on on this replica."""
        self._pending.pop(program, None)

    async def run(self) -> None:
        """Sweep until cancelled."""
        loop = asyncio.get_running_loop()
        attempt = 0
        next_listing = loop.time()
        while True:
            if loop.time() >= next_listing:
                next_listing = loop.time() + self._interval
                await self._find_gone()
            attempt = 0 if await self._release_pending() else attempt + 1
            delay = next_listing - loop.time()
            if attempt:
                # Not woken by new releases: the engine is failing.
                backoff = draw_backoff(self._rng, attempt, max_delay=_BACKOFF_CAP)
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

    async def _find_gone(self) -> None:
        try:
            sessions = await self._engine.list_sessions()
        except FireflyError as exc:
            _LOGGER.debug("no sessions: %s", exc, extra={"replica": self._replica})
            return
        for program in sessions:
            if self._is_gone(program):
                self._pending[program] = None

    async def _release_pending(self) -> bool:
        """Try each pending release once; return whether all were confirmed."""
        is_complete = True
        for program in tuple(self._pending):
            if program not in self._pending:
                continue
            try:
                await self._engine.release_session(program)
            except FireflyError as exc:
                is_complete = False
                _LOGGER.info(
                    "release failed and will be retried: %s",
                    exc,
                    extra={"replica": self._replica, "program": program},
                )
                continue
            self._pending.pop(program, None)
            self._on_released(program)
        return is_complete
