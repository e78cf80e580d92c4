"""Keeps the bundle of this node up to date."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from fireflyspread.bundle._documents import (
    CURRENT_KEY,
    decode_current,
    read_contents_json,
)
from fireflyspread.bundle._holder import BundleHolder
from fireflyspread.bundle._model import ActiveBundle
from fireflyspread.bundle._reader import BundleReader
from fireflyspread.exceptions import BundleError, FireflyError, StoreError
from fireflyspread.recovery import Entry, Store

__all__ = ["BundleFeed", "PeerFetcher"]

_LOG = logging.getLogger(__name__)

# Takes the name of the node that announced a version and returns its bundle.
PeerFetcher = Callable[[str], Awaitable[ActiveBundle]]

# A roll must be in force everywhere within 3 s. An announcement arrives within
# 0.5 s; grace, patience and the timeout of a peer add up to 2 s.
_GRACE = 0.2
_PATIENCE = 0.8
_PEER_TIMEOUT = 1.0
_FIRST_DELAY = 0.05
_MAX_DELAY = 1.0


class BundleFeed:
    """Offers new bundles from the store, and from peers while it does not respond.

    Parameters
    ----------
    fetch_from_peer : callable, optional
        Returns the bundle in force on the named node.
    grace : float
        Seconds in which the watch may bring an announced version by itself.
    patience : float
        Seconds to wait for the store before a peer is asked.
    """

    def __init__(
        self,
        store: Store,
        holder: BundleHolder,
        *,
        rng: random.Random,
        fetch_from_peer: PeerFetcher | None = None,
        grace: float = _GRACE,
        patience: float = _PATIENCE,
    ) -> None:
        self._store = store
        self._holder = holder
        self._rng = rng
        self._fetch_from_peer = fetch_from_peer
        self._grace = grace
        self._patience = patience
        self._announced = 0
        self._peer = ""
        self._is_announced = asyncio.Event()
        self._reader = BundleReader()
        self._reading = asyncio.Lock()

    def announce(self, peer: str, version: int) -> None:
        """Take note that node ``peer`` has ``version`` in force."""
        if version <= self._holder.version or version < self._announced:
            return
        self._announced = version
        self._peer = peer
        self._is_announced.set()

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_store())
            group.create_task(self._follow_peers())

    async def _follow_store(self) -> None:
        delay = _FIRST_DELAY
        while True:
            try:
                entry = await self._store.read(CURRENT_KEY)
                await self._take(entry)
                # Revision 1 while the key is absent, so that a bundle created
                # between the read and the watch is not missed.
                start = 1 if entry is None else entry.revision + 1
                async for change in self._store.watch(
                    CURRENT_KEY, start_revision=start
                ):
                    delay = _FIRST_DELAY
                    if change.key == CURRENT_KEY:
                        await self._take(change.entry)
            except StoreError as exc:
                _LOG.warning("the bundle watch broke: %s", exc)
            except Exception:
                # Without its feed a node would keep withdrawn keys in force.
                _LOG.exception("the bundle watch failed; it starts again")
            await self._pause(delay)
            delay = min(2 * delay, _MAX_DELAY)

    async def _follow_peers(self) -> None:
        while True:
            await self._is_announced.wait()
            self._is_announced.clear()
            await asyncio.sleep(self._grace)
            delay = _FIRST_DELAY
            while self._holder.version < self._announced:
                await self._catch_up()
                if self._holder.version < self._announced:
                    await self._pause(delay)
                    delay = min(2 * delay, _MAX_DELAY)

    async def _catch_up(self) -> None:
        try:
            async with asyncio.timeout(self._patience):
                await self._take(await self._store.read(CURRENT_KEY))
        except (StoreError, TimeoutError) as exc:
            _LOG.warning("no bundle from the store, asking %s: %s", self._peer, exc)
        except Exception:
            _LOG.exception("reading the bundle from the store failed")
        if self._holder.version >= self._announced or self._fetch_from_peer is None:
            return
        try:
            async with asyncio.timeout(_PEER_TIMEOUT):
                self._offer(await self._fetch_from_peer(self._peer))
        except (FireflyError, TimeoutError) as exc:
            _LOG.warning("no bundle from node %s: %s", self._peer, exc)
        except Exception:
            _LOG.exception("fetching the bundle from node %s failed", self._peer)

    async def _take(self, entry: Entry | None) -> None:
        """Offer the bundle that ``entry`` names if it is newer."""
        if entry is None:
            if self._holder.version:
                _LOG.error(
                    "%s is absent from the store; version %d stays in force",
                    CURRENT_KEY,
                    self._holder.version,
                )
            return
        try:
            current = decode_current(entry)
            if current.version <= self._holder.version:
                return
            data = await read_contents_json(self._store, current.digest)
            # In a thread, because parsing a large bundle would hold up open streams.
            async with self._reading:
                bundle = await asyncio.to_thread(self._reader.read, data)
        except (BundleError, LookupError) as exc:
            # The node keeps the bundle it has; a retry would read the same bytes.
            _LOG.error("the rolled bundle cannot be put in force: %s", exc)
            return
        self._offer(
            ActiveBundle(version=current.version, bundle=bundle, fences=current.fences)
        )

    def _offer(self, bundle: ActiveBundle) -> None:
        if self._holder.offer(bundle):
            _LOG.info("bundle in force", extra={"version": bundle.version})

    async def _pause(self, delay: float) -> None:
        # Jitter keeps the nodes from reading at the same moment after an outage.
        await asyncio.sleep(self._rng.uniform(0.5, 1.0) * delay)
