"""Group commit of turns."""

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, field

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, StoreError
from fireflyspread.turns._delegates import TurnDelegates
from fireflyspread.turns._interfaces import TurnDisks, TurnPeers
from fireflyspread.turns._store import TurnStore, count_batch
from fireflyspread.turns._turn import Turn

__all__ = ["TurnWriter"]

_LOG = logging.getLogger(__name__)

# Fraction of the store's writes that all nodes together may use for turns.
_STORE_SHARE = 0.25
# Seconds beyond the interval of writes that a turn waits for the store before it is
# written to disks as well. The store answers in about 4 ms.
_STORE_PATIENCE = 0.05
# Seconds between attempts of a turn to become durable elsewhere after a failure.
_RETRY_INTERVAL = 0.2
# Seconds between attempts to write to the store after a failure; doubled after each up
# to the maximum while all turns that wait are on disks. Other turns delay answers.
_MIN_STORE_BACKOFF = 0.2
_MAX_STORE_BACKOFF = 0.8
# Seconds that the disks have before another node is asked, unless they failed before.
_DISK_PATIENCE = 0.05
# Turns that wait for the store.
_MAX_PENDING = 20_000


@define(eq=False)
class _Pending:
    turn: Turn
    is_stored: asyncio.Future[None]
    is_on_disk: bool = field(default=False)


class TurnWriter:
    """Makes turns durable in the store, or elsewhere while the store does not answer.

    They are then written to disks, or by another node if this one reaches too few
    disks, and written to the store once it is available again.

    Parameters
    ----------
    count_nodes : callable
        Returns the number of nodes that share the store's writes.
    writes_per_second : float
        Writes that the store accepts from all nodes together.
    delegates : TurnDelegates or None
        Nodes that write the turns of this one; None if it always writes them itself.
    """

    def __init__(
        self,
        store: TurnStore,
        disks: TurnDisks,
        peers: TurnPeers,
        clock: Clock,
        *,
        count_nodes: Callable[[], int],
        writes_per_second: float,
        rng: random.Random,
        delegates: TurnDelegates | None = None,
    ) -> None:
        self._delegates = delegates
        self._store = store
        self._disks = disks
        self._peers = peers
        self._clock = clock
        self._count_nodes = count_nodes
        self._writes_per_second = writes_per_second
        self._rng = rng
        self._queue: deque[_Pending] = deque()
        self._wake = asyncio.Event()
        self._in_flight = 0
        self._store_backoff = _MIN_STORE_BACKOFF
        self.is_store_failing = False
        self._are_disks_failing = False

    @property
    def pending_count(self) -> int:
        """Number of turns that the store does not have yet."""
        return len(self._queue) + self._in_flight

    @property
    def _interval(self) -> float:
        return self._count_nodes() / (_STORE_SHARE * self._writes_per_second)

    @property
    def _collection_delay(self) -> float:
        if self._delegates is None:
            return 0.0
        return self._delegates.get_collection_delay()

    async def write(self, turn: Turn, *, may_ask_peers: bool = True) -> str:
        """Return once a turn is durable.

        Returns
        -------
        str
            Where it is durable: ``store``, ``disks``, or ``node`` if another node told
            so.
        """
        if may_ask_peers and self._delegates is not None:
            if await self._delegates.write(turn):
                return "node"
        pending = _Pending(turn, asyncio.get_running_loop().create_future())
        if len(self._queue) < _MAX_PENDING:
            self._queue.append(pending)
            self._wake.set()
        patience = 0.0
        if not self.is_store_failing:
            patience = self._interval + self._collection_delay + _STORE_PATIENCE
        await asyncio.wait({pending.is_stored}, timeout=patience)
        attempt = 0
        while not pending.is_stored.done():
            found = await self._write_elsewhere(
                pending, attempt if may_ask_peers else None
            )
            if found:
                return found
            await asyncio.wait({pending.is_stored}, timeout=_RETRY_INTERVAL)
            attempt += 1
        return "store"

    async def _write_elsewhere(self, pending: _Pending, attempt: int | None) -> str:
        """Return where the turn is durable; empty if all failed or the store has it."""
        writes = {asyncio.ensure_future(self._write_to_disks(pending))}
        if attempt is not None:
            writes.add(asyncio.ensure_future(self._ask_peers(pending.turn, attempt)))
        waiting: set[asyncio.Future[Any]] = {*writes, pending.is_stored}
        try:
            while waiting & writes:
                done, waiting = await asyncio.wait(
                    waiting, return_when=asyncio.FIRST_COMPLETED
                )
                if pending.is_stored in done:
                    return ""
                for write in done:
                    if write.result():
                        return write.result()
            return ""
        finally:
            for write in writes:
                write.cancel()

    async def _write_to_disks(self, pending: _Pending) -> str:
        try:
            await self._disks.write(pending.turn)
        except PeerError as exc:
            self._are_disks_failing = True
            _log_failure("turn not written to disks: %s", pending.turn, exc)
            return ""
        self._are_disks_failing = False
        pending.is_on_disk = True
        return "disks"

    async def _ask_peers(self, turn: Turn, attempt: int) -> str:
        if not self._are_disks_failing:
            await asyncio.sleep(_DISK_PATIENCE)
        try:
            await self._peers.write(turn, attempt=attempt)
        except PeerError as exc:
            _log_failure("turn not written by another node: %s", turn, exc)
            return ""
        return "node"

    async def run(self) -> None:
        """Write to the store until cancelled."""
        while True:
            await self._wake.wait()
            if delay := self._collection_delay:
                await asyncio.sleep(delay)
            started_at = self._clock.read_monotonic()
            batch = self._take_batch()
            self._in_flight = len(batch)
            pause = self._interval
            try:
                await self._store.write([pending.turn for pending in batch])
            except StoreError as exc:
                self._queue.extendleft(reversed(batch))
                self._set_failing(True, exc)
                pause = self._increase_backoff()
            else:
                self._set_failing(False)
                self._store_backoff = _MIN_STORE_BACKOFF
                self._complete(batch)
            self._in_flight = 0
            if not self._queue:
                self._wake.clear()
            elapsed = self._clock.read_monotonic() - started_at
            await asyncio.sleep(max(0.0, pause - elapsed))

    def _increase_backoff(self) -> float:
        """Return the seconds to wait after a failure; the next ones are longer."""
        if not all(pending.is_on_disk for pending in self._queue):
            self._store_backoff = _MIN_STORE_BACKOFF
        backoff = self._store_backoff
        self._store_backoff = min(2 * backoff, _MAX_STORE_BACKOFF)
        # Nodes that have failed at the same time call the store at different times.
        return self._rng.uniform(0.5, 1.0) * backoff

    def _take_batch(self) -> list[_Pending]:
        count = count_batch(pending.turn for pending in self._queue)
        return [self._queue.popleft() for _ in range(count)]

    def _complete(self, batch: list[_Pending]) -> None:
        for pending in batch:
            if not pending.is_stored.done():
                pending.is_stored.set_result(None)
        on_disk = [pending.turn.id for pending in batch if pending.is_on_disk]
        if on_disk:
            self._disks.forget(on_disk)

    def _set_failing(self, is_failing: bool, exc: StoreError | None = None) -> None:
        if is_failing != self.is_store_failing:
            self.is_store_failing = is_failing
            _LOG.info(
                "turns are written to %s",
                "disks, because the store failed" if is_failing else "the store again",
                extra={
                    "pending": len(self._queue),
                    "reason": None if exc is None else exc.message,
                },
            )


def _log_failure(message: str, turn: Turn, exc: PeerError) -> None:
    _LOG.warning(message, exc.message, extra={"turn": turn.id})
