"""Compaction deletes old entries and loses nothing."""

import asyncio
import random
from collections.abc import AsyncIterator

import pytest

from fireflyspread.recovery import (
    IntentDeclared,
    OutcomeRecorded,
    StoreJournal,
)
from fireflyspread.recovery._compaction import (
    RETENTION_SECONDS,
    Compactor,
    drop_expired,
)
from fireflyspread.recovery._entries import join_records, read_journal
from fireflyspread.recovery._fold import fold_records
from tests.recovery.cluster import NumberState, make_record
from tests.recovery.fakes import FakeStore, FakeTime, settle

PREFIX = "journal/a/1/"
SLOTS = frozenset(range(6))


@pytest.fixture
def time() -> FakeTime:
    return FakeTime()


@pytest.fixture
def store(time: FakeTime) -> FakeStore:
    return FakeStore(time)


@pytest.fixture
async def journal(store: FakeStore, time: FakeTime) -> AsyncIterator[StoreJournal]:
    journal = StoreJournal(
        store, PREFIX, clock=time, rng=random.Random(1), sleep=time.sleep
    )
    yield journal
    await journal.close()


async def replay(store: FakeStore) -> dict[int, list[int]]:
    state = NumberState()
    stored = await read_journal(store, PREFIX)
    for slot, records in fold_records(join_records(stored.entries)).items():
        state.restore(frozenset({slot}), records)
    return state.numbers


class TestCompactor:
    """Compactor.step."""

    async def test_bounds_the_entries(self, journal, store, time) -> None:
        """Guards against a journal that grows, so that takeovers take longer."""
        state = NumberState()
        compactor = Compactor(journal, clock=time, sleep=time.sleep, max_entries=20)
        for number in range(120):
            record = make_record(number % len(SLOTS), number)
            await time.drive(journal.commit(record))
            state.apply(record)
            await time.drive(compactor.step(SLOTS, [state]))
        assert journal.entry_count < 60
        assert len(store.rows) == journal.entry_count
        assert await replay(store) == state.numbers

    async def test_keeps_a_record_in_flight(self, journal, store, time) -> None:
        """Guards against the loss of a committed record that is not yet applied."""
        state = NumberState()
        compactor = Compactor(journal, clock=time, sleep=time.sleep, max_entries=2)

        async def commit(number: int) -> None:
            record = make_record(0, number)
            await asyncio.shield(asyncio.ensure_future(journal.commit(record)))
            state.apply(record)

        for number in range(4):
            await time.drive(commit(number))
        late = asyncio.ensure_future(commit(99))
        await settle()
        await time.drive(compactor.step(frozenset({0}), [state]))
        await late
        assert journal.entry_count < 4
        assert (await replay(store))[0] == [0, 1, 2, 3, 99]


class TestDropExpired:
    """drop_expired."""

    def test_drops_old_intents_with_their_outcome(self) -> None:
        """Guards against an outcome without its intent, which fails the replay."""
        intent = IntentDeclared(
            slot=1, subject="t/k", body_digest="", route="r", declared_at=100.0
        )
        outcome = OutcomeRecorded(
            slot=1, subject="t/k", status=200, content_type="", body=b"", recorded_at=1
        )
        rows = (intent, outcome)
        assert drop_expired(rows, 100.0 + RETENTION_SECONDS - 1) == rows
        assert drop_expired(rows, 100.0 + RETENTION_SECONDS + 1) == ()
