"""The journal keeps acknowledged records and stops once it is sealed."""

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from fireflyspread.exceptions import (
    PeerError,
    SealedError,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.recovery import BudgetReserved, Durability, Record, StoreJournal
from fireflyspread.recovery._entries import (
    decode_entry,
    join_records,
    read_journal,
    seal_journal,
)
from tests.recovery.fakes import FakeStore, FakeTime, settle

PREFIX = "journal/a/1/"


def make_record(number: int, padding: int = 0) -> Record:
    return BudgetReserved(slot=1, subject=f"p{number}" + "x" * padding, reserved=number)


async def read_back(store: FakeStore) -> list[Record]:
    stored = await read_journal(store, PREFIX)
    return [record for _, record in join_records(stored.entries)]


class Holder:
    """Another node that holds records."""

    def __init__(self) -> None:
        self.calls: list[tuple[int, bytes]] = []
        self.error: Exception | None = None

    async def __call__(self, journal: str, position: int, records: bytes) -> None:
        if self.error is not None:
            raise self.error
        self.calls.append((position, records))


@pytest.fixture
def time() -> FakeTime:
    return FakeTime()


@pytest.fixture
def store(time: FakeTime) -> FakeStore:
    return FakeStore(time)


@pytest.fixture
def holder() -> Holder:
    return Holder()


@pytest.fixture
async def journal(
    store: FakeStore, time: FakeTime, holder: Holder
) -> AsyncIterator[StoreJournal]:
    journal = StoreJournal(
        store,
        PREFIX,
        clock=time,
        rng=random.Random(1),
        holder=holder,
        sleep=time.sleep,
    )
    yield journal
    await journal.close()


class TestGroupCommit:
    """Writes of one flush interval go into one value."""

    async def test_first_commit_is_written_at_once(self, journal, store) -> None:
        """Guards against a single request that waits for the flush interval."""
        assert await journal.commit(make_record(1)) is Durability.DURABLE
        assert await read_back(store) == [make_record(1)]

    async def test_write_rate_is_bounded(self, journal, store, time) -> None:
        """Guards against store writes that increase with the requests."""
        for number in range(200):
            journal.enqueue(make_record(number))
            await time.run_for(0.005)
        assert store.writes <= 21
        await time.run_for(0.1)
        assert await read_back(store) == [make_record(n) for n in range(200)]

    async def test_single_commits_do_not_wait(self, journal, store, time) -> None:
        """Guards against a commit shortly after another that waits for the interval."""
        for number in range(5):
            # The clock does not advance here, so a commit that waits never returns.
            async with asyncio.timeout(10):
                await journal.commit(make_record(number))
        assert store.writes == 5

    async def test_rate_of_awaited_commits_is_bounded(
        self, journal, store, time
    ) -> None:
        """Guards against a burst after a pause that raises the sustained rate."""
        commits = []
        for number in range(400):
            commits.append(asyncio.ensure_future(journal.commit(make_record(number))))
            await time.run_for(0.005)
        await time.drive(asyncio.gather(*commits))
        # 2 s at 20 writes/s, and a burst of 10 at the start.
        assert store.writes <= 51

    async def test_splits_what_exceeds_one_value(self, journal, store, time) -> None:
        """Guards against values over 1 MB, which the store refuses."""
        records = [make_record(n, padding=400_000) for n in range(3)]
        records.append(make_record(4, padding=2_000_000))
        journal.enqueue(*records)
        await time.run_for(1.0)
        assert await read_back(store) == records
        assert all(len(row.value) < 1_000_000 for row in store.rows.values())


class TestFaults:
    """The store is down, loses a response, or another node has sealed."""

    async def test_lost_response_is_resolved(self, journal, store) -> None:
        """Guards against a write that fails or repeats after a lost response."""
        store.lose_responses = 1
        assert await journal.commit(make_record(1)) is Durability.DURABLE
        assert await read_back(store) == [make_record(1)]

    async def test_sealed_journal_acknowledges_nothing(
        self, journal, store, time
    ) -> None:
        """Guards against acknowledgements by a paused owner after a takeover."""
        await journal.commit(make_record(1))
        await seal_journal(store, PREFIX, write_id="w", sealed_by="b/1")
        with pytest.raises(SealedError):
            await time.drive(
                asyncio.gather(
                    journal.commit(make_record(2)), journal.commit(make_record(3))
                )
            )
        with pytest.raises(SealedError):
            await journal.commit(make_record(4), allow_pending=True)
        assert await read_back(store) == [make_record(1)]

    async def test_pends_while_store_is_down(
        self, journal, store, time, holder
    ) -> None:
        """Guards against commits that wait for the end of an outage.

        It is enough that another node holds the record.
        """
        store.is_down = True
        commit = asyncio.ensure_future(
            journal.commit(make_record(1), allow_pending=True)
        )
        await time.run_for(1.1)
        assert await commit is Durability.PENDING
        held = [decode_entry(data) for _, data in holder.calls]
        assert list(join_records(held)) == [(0, make_record(1))]

    async def test_held_records_are_released_when_stored(
        self, journal, store, time, holder
    ) -> None:
        """Guards against records that other nodes hold forever."""
        store.is_down = True
        commit = asyncio.ensure_future(
            journal.commit(make_record(1), allow_pending=True)
        )
        await time.run_for(1.1)
        await commit
        store.is_down = False
        await time.run_for(2.0)
        assert holder.calls[-1] == (1, b"")
        assert await read_back(store) == [make_record(1)]

    async def test_uncertain_record_keeps_its_position(
        self, journal, store, time
    ) -> None:
        """Guards against later records before one that may reach the store."""
        store.is_down = True
        first = asyncio.ensure_future(journal.commit(make_record(1)))
        await settle()
        journal.enqueue(make_record(2))
        await time.run_for(1.1)
        with pytest.raises(StoreUncertainError):
            await first
        store.is_down = False
        await time.run_for(2.0)
        assert await read_back(store) == [make_record(1), make_record(2)]

    async def test_unsent_record_is_withdrawn(self, journal, store, time) -> None:
        """Guards against a record in the journal whose commit was refused."""
        store.is_down = True
        journal.enqueue(make_record(1))
        await time.run_for(0.2)
        refused = asyncio.ensure_future(journal.commit(make_record(2)))
        await settle()
        journal.enqueue(make_record(3))
        await time.run_for(1.1)
        with pytest.raises(StoreError) as caught:
            await refused
        assert not isinstance(caught.value, StoreUncertainError)
        store.is_down = False
        await time.run_for(2.0)
        assert await read_back(store) == [make_record(1), make_record(3)]

    async def test_holder_with_fetched_records_seals(
        self, journal, store, time, holder
    ) -> None:
        """Guards against the loss of records held after a takeover fetched them."""
        store.is_down = True
        holder.error = SealedError("taken")
        commit = asyncio.ensure_future(
            journal.commit(make_record(1), allow_pending=True)
        )
        await time.run_for(1.1)
        with pytest.raises(SealedError):
            await commit
        assert journal.is_sealed

    async def test_unreachable_holder_refuses(
        self, journal, store, time, holder
    ) -> None:
        """Guards against the acknowledgement of a record that no other node holds."""
        store.is_down = True
        holder.error = PeerError("no node")
        commit = asyncio.ensure_future(
            journal.commit(make_record(1), allow_pending=True)
        )
        await time.run_for(1.1)
        with pytest.raises(StoreUncertainError):
            await commit
