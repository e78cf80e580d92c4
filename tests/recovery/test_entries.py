"""Records are read back once, in order, and reduced to the valid ones."""

import msgspec

from fireflyspread.recovery import (
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


MARKER = SnapshotTaken(slot=1, subject="", count=1)


class TestJoinRecords:
    """join_records."""

    def test_yields_each_position_once(self) -> None:
        """Guards against a second replay of a record that a node holds as well."""
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
        """Guards against replay of records before a snapshot.

        Some of these records may have been deleted.
        """
        snapshot = make_snapshot(make_turn(0))
        rows = enumerate([make_turn(0), MARKER, snapshot])
        assert fold_records(rows) == {1: [snapshot]}

    def test_ignores_an_incomplete_snapshot(self) -> None:
        """Guards against records lost to a snapshot that was not completed.

        A writer that failed during a snapshot has deleted no records.
        """
        rows = enumerate([OPENED, make_turn(0), MARKER])
        assert fold_records(rows) == {1: [OPENED, make_turn(0)]}

    def test_does_not_complete_a_snapshot_after_a_gap(self) -> None:
        """Guards against a snapshot completed by later records.

        These follow a gap, because another node held them.
        """
        rows = [(0, OPENED), (1, MARKER), (5, make_turn(0))]
        assert fold_records(rows) == {1: [OPENED, make_turn(0)]}
