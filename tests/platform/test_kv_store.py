"""Contract tests of the store client against a stand-in of the metadata store."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from fireflyspread.exceptions import (
    HistoryLostError,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.platform import KvStore, make_connector
from fireflyspread.recovery import WRITES_PER_TRANSACTION, Write
from standins.metadata_store import MetadataStoreStandIn
from standins.raw_server import RawServer


@pytest.fixture
async def stand_in() -> AsyncIterator[MetadataStoreStandIn]:
    async with MetadataStoreStandIn() as found:
        yield found


@pytest.fixture
async def store(stand_in: MetadataStoreStandIn) -> AsyncIterator[KvStore]:
    found = KvStore(
        stand_in.url.removeprefix("http://"),
        connector=make_connector(keepalive=5.0),
        timeout=0.5,
    )
    yield found
    await found.close()


class TestKvStore:
    async def test_values_of_any_bytes_are_read_back(self, store):
        """Guards against values that are altered in transit."""
        await store.write_all([Write("a/1", b"\x00\xff", 0)])
        entry = await store.read("a/1")
        assert entry.value == b"\x00\xff"
        assert await store.read("a/2") is None

    async def test_failed_condition_returns_the_current_entries(self, store):
        """Guards against a failed compare-and-swap that is reported as an outage."""
        first = await store.write_all([Write("k", b"1", 0)])
        result = await store.write_all([Write("k", b"2", 0), Write("new", b"3", 0)])
        assert [(e.key, e.value, e.revision) for e in result] == [("k", b"1", first)]
        assert await store.read("new") is None

    @pytest.mark.parametrize("body", [b"", b'{"revision": 1'])
    async def test_write_whose_answer_was_cut_short_is_uncertain(self, body):
        """Guards against a write that took effect and is reported as not executed."""
        answer = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n" + body
        with RawServer(answer, is_reset=False) as server:
            address = server.url.removeprefix("http://")
            store = KvStore(address, connector=make_connector(keepalive=5.0))
            task = asyncio.create_task(store.replace("k", b"1", revision=0))
            await asyncio.to_thread(server.received.wait, 5.0)
            server.send()
            with pytest.raises(StoreUncertainError):
                await task
            await store.close()

    async def test_full_transaction_is_accepted(self, store):
        """Guards against transactions with more entries than the store allows."""
        writes = [Write(f"k{n}", b"x", 0) for n in range(WRITES_PER_TRANSACTION)]
        assert isinstance(await store.write_all(writes), int)

    async def test_snapshot_has_all_pages(self, stand_in, store):
        """Guards against missed entries after the first page."""
        for number in range(120):
            stand_in.put(f"p/{number:03}", b"v")
        snapshot = await store.read_snapshot("p/")
        assert len(snapshot.entries) == 120
        assert snapshot.revision == stand_in.revision

    async def test_watch_continues_where_the_snapshot_ended(self, stand_in, store):
        """Guards against changes that are lost between a snapshot and its watch."""
        snapshot = await store.read_snapshot("w/")
        stand_in.put("w/a", b"1")
        stand_in.put("x/b", b"1")
        stand_in.remove("w/a")
        changes, revision = await store.wait_changes("w/", snapshot.revision, wait=1.0)
        assert [(c.key, c.entry is None) for c in changes] == [
            ("w/a", False),
            ("w/a", True),
        ]
        assert revision == stand_in.revision

    async def test_waiting_watch_is_answered_by_a_change(self, stand_in, store):
        """Guards against changes that arrive only when the long poll ends."""
        waiting = asyncio.create_task(
            store.wait_changes("w/", stand_in.revision, wait=10.0)
        )
        await asyncio.sleep(0.05)
        stand_in.put("w/a", b"1")
        changes, _ = await asyncio.wait_for(waiting, 5.0)
        assert [c.key for c in changes] == ["w/a"]

    async def test_lost_history_is_reported(self, stand_in, store):
        """Guards against a watch that misses changes after a compaction."""
        revision = stand_in.revision
        stand_in.put("w/a", b"1")
        stand_in.compact()
        with pytest.raises(HistoryLostError):
            await store.wait_changes("w/", revision, wait=0.1)

    @pytest.mark.parametrize("status", [429, 503])
    async def test_refusal_did_nothing(self, stand_in, store, status):
        """Guards against a refused write that is reported as uncertain."""
        stand_in.faults.status = status
        with pytest.raises(StoreError) as caught:
            await store.write_all([Write("k", b"1", 0)])
        assert not isinstance(caught.value, StoreUncertainError)

    async def test_lost_answer_of_a_write_is_uncertain(self, stand_in, store):
        """Guards against an executed write that is reported as refused."""
        stand_in.faults.lose_answers = 1
        with pytest.raises(StoreUncertainError):
            await store.write_all([Write("k", b"1", 0)])
        assert stand_in.read("k") == b"1"

    async def test_call_to_a_hanging_store_times_out(self, stand_in, store):
        """Guards against calls that never time out."""
        stand_in.faults.down = "hang"
        with pytest.raises(StoreError):
            await store.read("k")

    async def test_lease_ends_its_keys(self, stand_in, store):
        """Guards against nodes that stay members after they have left."""
        lease = await store.grant_lease(5)
        await store.write_all([Write("k", b"1", 0, lease=lease)])
        assert await store.renew_lease(lease)
        await store.revoke_lease(lease)
        assert await store.read("k") is None
        assert not await store.renew_lease(lease)
