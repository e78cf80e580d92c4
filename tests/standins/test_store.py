"""The store stand-in keeps to the protocol that the client speaks."""

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

    async def test_compare_and_swap(self, store: EtcdStore) -> None:
        """A second create of the same key fails, which sealing depends on."""
        revision = await store.replace("a", b"1", revision=0)
        assert revision is not None
        assert await store.replace("a", b"2", revision=0) is None
        assert await store.replace("a", b"2", revision=revision) == revision + 1

    async def test_prefix_in_order(self, store: EtcdStore) -> None:
        """A prefix read returns exactly the prefix, in key order."""
        for key in ("j/2", "j/1", "k/1", "i"):
            await store.replace(key, b"", revision=0)
        assert [entry.key for entry in await store.read_prefix("j/")] == ["j/1", "j/2"]

    async def test_refuses_large_value(self, store: EtcdStore) -> None:
        """A value above 1 MB is refused as the platform's store does."""
        with pytest.raises(StoreError):
            await store.replace("a", b"x" * ((1 << 20) + 1), revision=0)
        assert await store.read("a") is None

    async def test_counts_calls(self, stand_in: StoreStandIn, store: EtcdStore) -> None:
        """Reads and writes are counted apart."""
        await store.replace("a", b"1", revision=0)
        await store.read("a")
        await store.read("b")
        assert (stand_in.counts["reads"], stand_in.counts["writes"]) == (2, 1)


class TestLeases:
    """Leases expire and take their keys with them."""

    async def test_expires(self, stand_in: StoreStandIn, store: EtcdStore) -> None:
        """A lease that nobody renews deletes its keys."""
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
    """Watches replay and follow."""

    async def test_replays_and_follows(self, store: EtcdStore) -> None:
        """A watch misses nothing between the read and its start."""
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
    """The switches do what they say."""

    async def test_lost_answer(self, stand_in: StoreStandIn, store: EtcdStore) -> None:
        """A lost answer follows a write that took effect."""
        stand_in.faults.lose_answers = 1
        with pytest.raises(StoreUncertainError):
            await store.replace("a", b"1", revision=0)
        entry = await store.read("a")
        assert entry is not None and entry.value == b"1"

    async def test_refuses_then_recovers(
        self, stand_in: StoreStandIn, store: EtcdStore
    ) -> None:
        """While down, connections are refused; the port is the same afterwards."""
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

    async def test_hangs(self, stand_in: StoreStandIn, store: EtcdStore) -> None:
        """A hanging store accepts the call and never answers."""
        stand_in.faults.down = "hang"
        await asyncio.sleep(0.01)
        with pytest.raises(StoreError):
            await store.read("a")
