"""Records are read back once, in order, and reduced to what is valid."""

import msgspec

from fireflyspread.recovery import (
    BudgetReserved,
    ProgramOpened,
    ProgramSnapshot,
    Record,
    SnapshotTaken,
    TurnRecorded,
)
from fireflyspread.recovery._entries import JournalEntry, encode_record, join_records
from fireflyspread.recovery._fold import fold_records


def make_entry(position: int, *records: Record) -> JournalEntry:
    encoded = tuple(msgspec.Raw(encode_record(record)) for record in records)
    return JournalEntry(write_id="w", position=position, records=encoded)


def make_turn(turn: int) -> TurnRecorded:
    return TurnRecorded(
        slot=1,
        subject="p",
        turn=turn,
        request_digest="",
        added=b"",
        answer=b"",
        spent=1,
        reserved=0,
        chain="",
    )


OPENED = ProgramOpened(
    slot=1, subject="p", team="t", budget=9, reserved=0, opened_at=0.0
)


def make_snapshot(*turns: TurnRecorded) -> ProgramSnapshot:
    return ProgramSnapshot(
        slot=1, subject="p", opened=OPENED, turns=turns, spent=0, reserved=0
    )


def make_marker(covers: int) -> SnapshotTaken:
    return SnapshotTaken(slot=1, subject="", count=1, covers=covers)


class TestJoinRecords:
    """join_records."""

    def test_yields_each_position_once(self) -> None:
        """A record that is stored and held as well must not be replayed twice."""
        turns = [make_turn(number) for number in range(4)]
        entries = [
            make_entry(0, *turns[:2]),
            make_entry(1, *turns[1:4]),
            make_entry(2, *turns[2:3]),
        ]
        assert [record for _, record in join_records(entries)] == turns


class TestFoldRecords:
    """fold_records."""

    def test_snapshot_replaces_what_it_covers(self) -> None:
        """Records from before a deleted entry must not be replayed alone."""
        snapshot = make_snapshot(make_turn(0))
        rows = enumerate([make_turn(0), make_marker(1), snapshot])
        assert fold_records(rows) == {1: [snapshot]}

    def test_keeps_a_turn_in_flight(self) -> None:
        """A turn that was written before the snapshot but not applied is not lost."""
        snapshot = make_snapshot(make_turn(0))
        rows = enumerate([make_turn(0), make_turn(1), make_marker(1), snapshot])
        assert fold_records(rows) == {1: [snapshot, make_turn(1)]}

    def test_drops_a_turn_that_was_applied_meanwhile(self) -> None:
        """A turn in the snapshot must not be replayed with its reservation."""
        reserved = BudgetReserved(slot=1, subject="p", reserved=5)
        snapshot = make_snapshot(make_turn(0), make_turn(1))
        rows = enumerate(
            [make_turn(0), reserved, make_turn(1), make_marker(1), snapshot]
        )
        assert fold_records(rows) == {1: [snapshot]}

    def test_ignores_an_incomplete_snapshot(self) -> None:
        """A writer that failed during a snapshot had deleted nothing yet."""
        rows = enumerate([OPENED, make_turn(0), make_marker(2)])
        assert fold_records(rows) == {1: [OPENED, make_turn(0)]}

    def test_keeps_a_program_opened_in_flight(self) -> None:
        """Replaying the opening after the snapshot would reset the program."""
        rows = enumerate([OPENED, make_turn(0), make_marker(0), make_snapshot()])
        assert fold_records(rows) == {1: [OPENED, make_turn(0)]}
