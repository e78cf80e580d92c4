"""Polling of the load and the cache events of one replica."""

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
    """Polls the load and the cache events of one replica.

    Events are hints that arrive late and with gaps. ``on_gap`` is called after a gap, a
    restart of the engine or a broken connection, to discard all hints of the replica.

    Parameters
    ----------
    replica : str
        Name of the replica, passed to the callables.
    interval : float
        Mean seconds between two polls.
    loads_per_event_poll : int
        Polls of the load for each poll of the events, which arrive late anyway. Polls
        cause most of the work of an idle node.
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
        loads_per_event_poll: int = 4,
    ) -> None:
        self._replica = replica
        self._engine = engine
        self._clock = clock
        self._rng = rng
        self._on_load = on_load
        self._on_evicted = on_evicted
        self._on_gap = on_gap
        self._interval = interval
        self._loads_per_event_poll = loads_per_event_poll
        self._load_polls = 0
        self._last_event: int | None = None

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            # Jitter, so that the nodes do not poll a replica at the same time.
            await asyncio.sleep(self._interval * self._rng.uniform(0.8, 1.2))
            try:
                await self.poll()
            except (TargetUnreachableError, ReplicaCrashedError):
                self._last_event = None
                self._load_polls = 0
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
        self._load_polls += 1
        if (self._load_polls - 1) % self._loads_per_event_poll == 0:
            await self._poll_events()

    async def _poll_events(self) -> None:
        after = self._last_event or 0
        last, evicted = await self._engine.read_cache_events(after)
        # Events are numbered consecutively. Fewer events than numbers mean a gap, a
        # lower number means a restart. The first poll only sets the start.
        has_gap = self._last_event is not None and last - after != len(evicted)
        self._last_event = last
        if has_gap:
            self._on_gap(self._replica)
        elif evicted:
            self._on_evicted(self._replica, evicted)
