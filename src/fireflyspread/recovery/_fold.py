"""Reduction of the records of a journal to what is still valid."""

from collections.abc import Iterable

from fireflyspread.recovery._records import (
    BudgetReserved,
    IntentDeclared,
    ProgramOpened,
    ProgramSnapshot,
    Record,
    SnapshotTaken,
    TurnRecorded,
)

__all__ = ["fold_records"]


def fold_records(numbered: Iterable[tuple[int, Record]]) -> dict[int, list[Record]]:
    """Return the valid records of each slot in the order of replay.

    A complete snapshot replaces the records of its slot that it covers. A snapshot
    whose records are not all in the journal is ignored, because its writer failed
    before it deleted anything.
    """
    slots: dict[int, list[tuple[int, Record]]] = {}
    marker: SnapshotTaken | None = None
    snapshot: list[tuple[int, Record]] = []
    expected = 0
    for position, record in numbered:
        if position != expected:
            # Records are missing here, so an open snapshot is incomplete.
            marker = None
        expected = position + 1
        if isinstance(record, SnapshotTaken):
            marker, snapshot = record, []
        elif marker is None:
            slots.setdefault(record.slot, []).append((position, record))
        else:
            snapshot.append((position, record))
        if marker is not None and len(snapshot) == marker.count:
            earlier = slots.get(marker.slot, [])
            late = [row for row in earlier if row[0] >= marker.covers]
            slots[marker.slot] = _merge_late(snapshot, late)
            marker = None
    return {slot: [record for _, record in rows] for slot, rows in slots.items()}


def _merge_late(
    snapshot: list[tuple[int, Record]], late: list[tuple[int, Record]]
) -> list[tuple[int, Record]]:
    """Replay records that were in flight when the snapshot was taken after it."""
    # The whole life of these subjects is in the late records.
    begun = {
        record.subject
        for _, record in late
        if isinstance(record, ProgramOpened | IntentDeclared)
    }
    rows = [row for row in snapshot if row[1].subject not in begun]
    turns = {
        record.subject: max((turn.turn for turn in record.turns), default=-1)
        for _, record in rows
        if isinstance(record, ProgramSnapshot)
    }
    for position, record in late:
        if not (
            isinstance(record, TurnRecorded)
            and turns.get(record.subject, -1) >= record.turn
        ):
            rows.append((position, record))
            continue
        # The snapshot contains the turn, which settled what was reserved for it.
        rows = [row for row in rows if not _is_reserve(row[1], record.subject)]
    return rows


def _is_reserve(record: Record, subject: str) -> bool:
    return isinstance(record, BudgetReserved) and record.subject == subject
