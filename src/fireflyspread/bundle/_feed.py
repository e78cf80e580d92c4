"""Updates of this node's bundle from the store and from peers."""

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
# 0.5 s; the three timeouts add up to 2 s.
_WATCH_TIMEOUT = 0.2
_READ_TIMEOUT = 0.8
_PEER_TIMEOUT = 1.0
# Seconds between retries.
_MIN_RETRY_DELAY = 0.05
_MAX_RETRY_DELAY = 1.0


class BundleFeed:
    """Gives a holder new bundles from the store, or from peers if the store fails.

    Parameters
    ----------
    fetch_from_peer : callable, optional
        Returns the bundle in force on the named node.
    watch_timeout : float
        Seconds to wait for the watch to deliver an announced version.
    read_timeout : float
        Seconds to wait for the store before a peer is asked.
    """

    def __init__(
        self,
        store: Store,
        holder: BundleHolder,
        *,
        rng: random.Random,
        fetch_from_peer: PeerFetcher | None = None,
        watch_timeout: float = _WATCH_TIMEOUT,
        read_timeout: float = _READ_TIMEOUT,
    ) -> None:
        self._store = store
        self._holder = holder
        self._rng = rng
        self._fetch_from_peer = fetch_from_peer
        self._watch_timeout = watch_timeout
        self._read_timeout = read_timeout
        self._announced_version = 0
        self._announcing_node = ""
        self._announcement = asyncio.Event()
        self._reader = BundleReader()
        self._reader_lock = asyncio.Lock()

    def announce(self, peer: str, version: int) -> None:
        """Record that node ``peer`` has ``version`` in force."""
        if version <= self._holder.version or version < self._announced_version:
            return
        self._announced_version = version
        self._announcing_node = peer
        self._announcement.set()

    async def run(self) -> None:
        """Follow the store and the peers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_store())
            group.create_task(self._follow_peers())

    async def _follow_store(self) -> None:
        delay = _MIN_RETRY_DELAY
        while True:
            try:
                entry = await self._store.read(CURRENT_KEY)
                await self._offer_entry(entry)
                # Revision 1 while the key is absent, so that a bundle created
                # between the read and the watch is not missed.
                start = 1 if entry is None else entry.revision + 1
                async for change in self._store.watch(
                    CURRENT_KEY, start_revision=start
                ):
                    delay = _MIN_RETRY_DELAY
                    if change.key == CURRENT_KEY:
                        await self._offer_entry(change.entry)
            except StoreError as exc:
                _LOG.warning("bundle watch interrupted: %s", exc)
            except Exception:
                # Without updates a node would go on accepting withdrawn keys.
                _LOG.exception("bundle watch failed; restarting it")
            await self._sleep_with_jitter(delay)
            delay = min(2 * delay, _MAX_RETRY_DELAY)

    async def _follow_peers(self) -> None:
        while True:
            await self._announcement.wait()
            self._announcement.clear()
            await asyncio.sleep(self._watch_timeout)
            delay = _MIN_RETRY_DELAY
            while self._holder.version < self._announced_version:
                await self._fetch_announced()
                if self._holder.version < self._announced_version:
                    await self._sleep_with_jitter(delay)
                    delay = min(2 * delay, _MAX_RETRY_DELAY)

    async def _fetch_announced(self) -> None:
        try:
            async with asyncio.timeout(self._read_timeout):
                await self._offer_entry(await self._store.read(CURRENT_KEY))
        except (StoreError, TimeoutError) as exc:
            _LOG.warning(
                "cannot read the bundle from the store, asking node %s: %s",
                self._announcing_node,
                exc,
            )
        except Exception:
            _LOG.exception("reading the bundle from the store failed")
        if (
            self._holder.version >= self._announced_version
            or self._fetch_from_peer is None
        ):
            return
        try:
            async with asyncio.timeout(_PEER_TIMEOUT):
                self._offer(await self._fetch_from_peer(self._announcing_node))
        except (FireflyError, TimeoutError) as exc:
            _LOG.warning(
                "cannot fetch the bundle from node %s: %s", self._announcing_node, exc
            )
        except Exception:
            _LOG.exception(
                "fetching the bundle from node %s failed", self._announcing_node
            )

    async def _offer_entry(self, entry: Entry | None) -> None:
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
            # In a thread, because parsing a large bundle would block open streams.
            async with self._reader_lock:
                bundle = await asyncio.to_thread(self._reader.read, data)
        except (BundleError, LookupError) as exc:
            # The old bundle stays in force; a retry would read the same bytes.
            _LOG.error("cannot put the rolled bundle in force: %s", exc)
            return
        self._offer(
            ActiveBundle(version=current.version, bundle=bundle, fences=current.fences)
        )

    def _offer(self, bundle: ActiveBundle) -> None:
        if self._holder.offer(bundle):
            _LOG.info("bundle in force", extra={"version": bundle.version})

    async def _sleep_with_jitter(self, delay: float) -> None:
        # Jitter keeps the nodes from reading all at once after an outage.
        await asyncio.sleep(self._rng.uniform(0.5, 1.0) * delay)
