"""Load reports and cache events of one replica."""

import asyncio
import logging
import random
from collections.abc import Callable

from fireflyspread.clock import Clock
from fireflyspread.engines._engine import Engine
from fireflyspread.exceptions import (
    FireflyError,
    ReplicaCrashedError,
    TargetUnreachableError,
)
from fireflyspread.routing import LoadReport

__all__ = ["ReplicaPoller"]

_LOGGER = logging.getLogger(__name__)


class ReplicaPoller:
    """Reads the load and the cache events of one replica again and again.

    Events are hints that arrive late and with gaps. After a gap, a restart of the
    engine or a broken connection, ``on_gap`` makes all hints of the replica expire.

    Parameters
    ----------
    replica : str
        Name of the replica, passed to the callables.
    interval : float
        Mean seconds between two polls.
    events_every : int
        Polls of the load for each poll of the events, which arrive late anyway. Polls
        are most of what an idle node spends.
    """

    def __init__(
        self,
        replica: str,
        engine: Engine,
        clock: Clock,
        rng: random.Random,
        *,
        on_load: Callable[[str, LoadReport], None],
        on_evicted: Callable[[str, tuple[str, ...]], None],
        on_gap: Callable[[str], None],
        interval: float = 0.5,
        events_every: int = 4,
    ) -> None:
        self._replica = replica
        self._engine = engine
        self._clock = clock
        self._rng = rng
        self._on_load = on_load
        self._on_evicted = on_evicted
        self._on_gap = on_gap
        self._interval = interval
        self._events_every = events_every
        self._polls = 0
        self._last: int | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            # Jitter keeps the nodes from polling a replica at the same moment.
            await asyncio.sleep(self._interval * self._rng.uniform(0.8, 1.2))
            try:
                await self.poll()
            except (TargetUnreachableError, ReplicaCrashedError):
                self._last = None
                self._polls = 0
                self._on_gap(self._replica)
            except FireflyError as exc:
                _LOGGER.debug("poll failed: %s", exc, extra={"replica": self._replica})

    async def poll(self) -> None:
        """Poll once."""
        load = await self._engine.read_load()
        self._on_load(
            self._replica,
            LoadReport(
                running=load.running,
                waiting=load.waiting,
                cache_used=load.cache_used,
                cache_capacity=load.cache_capacity,
                received_at=self._clock.read_monotonic(),
            ),
        )
        self._polls += 1
        if (self._polls - 1) % self._events_every == 0:
            await self._poll_events()

    async def _poll_events(self) -> None:
        after = self._last or 0
        last, evicted = await self._engine.read_cache_events(after)
        # Each event has one number, so fewer events than numbers means a gap, and a
        # lower number a restart. The first poll only learns where the numbers are.
        has_gap = self._last is not None and last - after != len(evicted)
        self._last = last
        if has_gap:
            self._on_gap(self._replica)
        elif evicted:
            self._on_evicted(self._replica, evicted)
