"""The feed delivers each roll to the holder, and the version never decreases."""

import asyncio
import random
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyspread.bundle import (
    CURRENT_KEY,
    ActiveBundle,
    BundleFeed,
    BundleHolder,
    PeerFetcher,
    Rollout,
    hash_key,
)
from fireflyspread.exceptions import StoreError
from fireflyspread.platform import EtcdStore
from standins.store import StoreStandIn
from tests.bundle.examples import KEY, make_bundle
from tests.bundle.memory_store import MemoryStore
from tests.bundle.test_rollout import roll


@asynccontextmanager
async def run_feed(
    store: MemoryStore, holder: BundleHolder, fetch: PeerFetcher | None = None
) -> AsyncIterator[BundleFeed]:
    """Run a feed for the duration of a test."""
    feed = BundleFeed(
        store,
        holder,
        rng=random.Random(1),
        fetch_from_peer=fetch,
        watch_timeout=0.0,
        read_timeout=0.05,
    )
    task = asyncio.create_task(feed.run())
    try:
        yield feed
    finally:
        task.cancel()


async def wait_version(holder: BundleHolder, version: int) -> None:
    """Return once ``holder`` has ``version``; fail after 10 s."""
    changed = asyncio.Event()
    holder.add_listener(lambda _: changed.set())
    async with asyncio.timeout(10.0):
        while holder.version < version:
            await changed.wait()
            changed.clear()


class TestBundleFeed:
    """BundleFeed.run."""

    async def test_follows_rolls(self) -> None:
        """Guards against a bundle rolled before or after the start that is missed."""
        store, holder = MemoryStore(), BundleHolder()
        rollout = Rollout(store)
        await roll(rollout, make_bundle(), 0)
        async with run_feed(store, holder):
            await wait_version(holder, 1)
            await roll(rollout, make_bundle(half="south"), 1)
            await wait_version(holder, 2)
        assert holder.get_active() == await rollout.read_active()

    async def test_survives_broken_watch(self) -> None:
        """Guards against a roll that is missed while the watch is broken."""
        store, holder = MemoryStore(), BundleHolder()
        rollout = Rollout(store)
        await roll(rollout, make_bundle(), 0)
        async with run_feed(store, holder):
            await wait_version(holder, 1)
            store.break_watches()
            await roll(rollout, make_bundle(rate=2.0), 1)
            await wait_version(holder, 2)

    async def test_keeps_bundle_when_key_is_lost(self) -> None:
        """Guards against a return to an older bundle.

        The current document may be deleted, or restored from a backup.
        """
        store, holder = MemoryStore(), BundleHolder()
        rollout = Rollout(store)
        await roll(rollout, make_bundle(), 0)
        old = store.entries[CURRENT_KEY].value
        await roll(rollout, make_bundle(rate=2.0), 1)
        async with run_feed(store, holder):
            await wait_version(holder, 2)
            await store.delete(CURRENT_KEY)
            store.put(CURRENT_KEY, old)
            store.put(CURRENT_KEY, b"not JSON")
            await asyncio.sleep(0.05)
            assert holder.version == 2

    async def test_survives_unexpected_errors(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """Guards against a fault of the store client or a peer that ends the feed."""
        store, holder = MemoryStore(), BundleHolder()
        answers = [ValueError("fault"), ActiveBundle(version=1, bundle=make_bundle())]

        async def fail(key: str) -> None:
            raise ValueError("fault")

        async def fetch(peer: str) -> ActiveBundle:
            answer = answers.pop(0)
            if isinstance(answer, ValueError):
                raise answer
            return answer

        store.read = fail  # type: ignore[assignment]
        async with run_feed(store, holder, fetch) as feed:
            feed.announce("entry-2", 1)
            await wait_version(holder, 1)
            del store.read
            await roll(Rollout(store), make_bundle(), 0)
            await roll(Rollout(store), make_bundle(rate=2.0), 1)
            await wait_version(holder, 2)

    async def test_follows_etcd_store(self) -> None:
        """Guards against rolls that are missed after lost answers and an outage."""
        stand_in, holder = StoreStandIn(), BundleHolder()
        await stand_in.start()
        store = EtcdStore(stand_in.url)
        rollout = Rollout(store)
        async with run_feed(store, holder):
            digest = await rollout.draft(make_bundle())
            await rollout.approve(digest, "ana")
            stand_in.faults.lose_answers = 1
            assert (await rollout.roll(digest, "ana", 0)).version == 1
            await wait_version(holder, 1)
            stand_in.faults.down = "refuse"
            await asyncio.sleep(0.1)
            stand_in.faults.down = ""
            async with asyncio.timeout(10.0):
                # The store listens again shortly after the fault is cleared.
                while holder.version < 2:
                    with suppress(StoreError):
                        await rollout.withdraw_key(hash_key(KEY), "ana")
                        await wait_version(holder, 2)
        assert hash_key(KEY) not in holder.get_active().keys
        await store.close()
        await stand_in.stop()

    async def test_asks_peer_while_store_is_down(self) -> None:
        """Guards against a node without the store that keeps an old bundle."""
        store, holder = MemoryStore(), BundleHolder()
        store.is_down = True

        async def fetch(peer: str) -> ActiveBundle:
            assert peer == "entry-2"
            return ActiveBundle(version=7, bundle=make_bundle())

        async with run_feed(store, holder, fetch) as feed:
            feed.announce("entry-2", 7)
            await wait_version(holder, 7)


class TestBundleHolder:
    """BundleHolder.offer."""

    @settings(derandomize=True)
    @given(st.lists(st.one_of(st.none(), st.integers(1, 20))))
    def test_never_steps_back(self, offers: list[int | None]) -> None:
        """Guards against a version that decreases within one process.

        None stands for a restart, after which the holder is empty.
        """
        bundle = make_bundle()
        holder, highest, notified = BundleHolder(), 0, list[int]()
        for version in offers:
            if version is None:
                holder, highest, notified = BundleHolder(), 0, []
                holder.add_listener(
                    lambda new, notified=notified: notified.append(new.version)
                )
                continue
            accepted = holder.offer(ActiveBundle(version=version, bundle=bundle))
            assert accepted == (version > highest)
            highest = max(highest, version)
            assert holder.version == highest
            assert notified == sorted(set(notified))

    def test_calls_all_listeners(self) -> None:
        """Guards against a failing listener that hides a withdrawal from others."""
        holder, notified = BundleHolder(), list[int]()

        def fail(_: ActiveBundle) -> None:
            raise ValueError

        holder.add_listener(fail)
        holder.add_listener(lambda new: notified.append(new.version))
        holder.offer(ActiveBundle(version=1, bundle=make_bundle()))
        assert notified == [1]
