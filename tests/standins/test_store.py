"""Protocol and faults of the store stand-in, seen through the client."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from fireflyspread.exceptions import StoreError, StoreUncertainError
from fireflyspread.platform import EtcdStore
from standins.store import StoreStandIn


@pytest.fixture
async def stand_in() -> AsyncIterator[StoreStandIn]:
    async with StoreStandIn() as started:
        yield started


@pytest.fixture
async def store(stand_in: StoreStandIn) -> AsyncIterator[EtcdStore]:
    client = EtcdStore(stand_in.url, timeout=0.5)
    yield client
    await client.close()


class TestKeys:
    """Reads, writes and transactions."""

    async def test_second_create_fails(self, store: EtcdStore) -> None:
        """Guards against a second creation of a key, as of a sealed journal entry."""
        revision = await store.replace("a", b"1", revision=0)
        assert revision is not None
        assert await store.replace("a", b"2", revision=0) is None
        assert await store.replace("a", b"2", revision=revision) == revision + 1

    async def test_prefix_is_read_in_order(self, store: EtcdStore) -> None:
        """Guards against prefix reads that are unordered or include other keys."""
        for key in ("j/2", "j/1", "k/1", "i"):
            await store.replace(key, b"", revision=0)
        assert [entry.key for entry in await store.read_prefix("j/")] == ["j/1", "j/2"]

    async def test_large_value_is_refused(self, store: EtcdStore) -> None:
        """Guards against accepting values above 1 MiB, unlike the platform's store."""
        with pytest.raises(StoreError):
            await store.replace("a", b"x" * ((1 << 20) + 1), revision=0)
        assert await store.read("a") is None

    async def test_calls_are_counted(
        self, stand_in: StoreStandIn, store: EtcdStore
    ) -> None:
        """Guards against counts that mix reads and writes."""
        await store.replace("a", b"1", revision=0)
        await store.read("a")
        await store.read("b")
        assert (stand_in.counts["reads"], stand_in.counts["writes"]) == (2, 1)


class TestLeases:
    """Leases and the keys attached to them."""

    async def test_expired_lease_deletes_keys(
        self, stand_in: StoreStandIn, store: EtcdStore
    ) -> None:
        """Guards against keys that outlive a lease that is no longer renewed."""
        lease = await store.grant_lease(1)
        created = await store.replace("n", b"1", revision=0, lease=lease)
        assert created is not None
        assert await store.renew_lease(lease)
        async with asyncio.timeout(20):
            async for change in store.watch("n", start_revision=created):
                if change.entry is None:
                    break
        assert not await store.renew_lease(lease)


class TestWatch:
    """Watches from a past revision."""

    async def test_watch_replays_and_follows(self, store: EtcdStore) -> None:
        """Guards against changes lost between a read and the start of its watch."""
        first = await store.replace("w/1", b"1", revision=0)
        assert first is not None
        seen: list[tuple[str, bool]] = []
        async with asyncio.timeout(20):
            async for change in store.watch("w/", start_revision=first):
                seen.append((change.key, change.entry is not None))
                if len(seen) == 1:
                    await store.replace("w/2", b"2", revision=0)
                    await store.delete("w/1")
                if len(seen) == 3:
                    break
        assert seen == [("w/1", True), ("w/2", True), ("w/1", False)]


class TestFaults:
    """Effects of the fault switches."""

    async def test_write_with_lost_answer_takes_effect(
        self, stand_in: StoreStandIn, store: EtcdStore
    ) -> None:
        """Guards against a lost answer whose write did not take effect."""
        stand_in.faults.lose_answers = 1
        with pytest.raises(StoreUncertainError):
            await store.replace("a", b"1", revision=0)
        entry = await store.read("a")
        assert entry is not None and entry.value == b"1"

    async def test_store_recovers_on_same_port(
        self, stand_in: StoreStandIn, store: EtcdStore
    ) -> None:
        """Guards against a store that recovers on another port or not at all."""
        await store.read("a")
        stand_in.faults.down = "refuse"
        await asyncio.sleep(0.05)
        with pytest.raises(StoreError):
            await store.read("a")
        stand_in.faults.down = ""
        async with asyncio.timeout(20):
            while True:
                try:
                    await store.read("a")
                    break
                except StoreError:
                    await asyncio.sleep(0.05)

    async def test_hanging_store_does_not_answer(
        self, stand_in: StoreStandIn, store: EtcdStore
    ) -> None:
        """Guards against a store that answers while its fault ``hang`` is set."""
        stand_in.faults.down = "hang"
        await asyncio.sleep(0.01)
        with pytest.raises(StoreError):
            await store.read("a")
