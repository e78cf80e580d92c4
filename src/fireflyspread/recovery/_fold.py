"""Reduction of a journal to the records that are still valid."""

from collections.abc import Iterable

from fireflyspread.recovery._records import Record, SnapshotTaken

__all__ = ["fold_records"]


def fold_records(numbered: Iterable[tuple[int, Record]]) -> dict[int, list[Record]]:
    """Return the valid records of each slot in the order of replay.

    A complete snapshot replaces all earlier records of its slot. An incomplete one is
    ignored: its writer failed before it deleted the records that it covers.
    """
    slots: dict[int, list[Record]] = {}
    marker: SnapshotTaken | None = None
    snapshot: list[Record] = []
    expected = 0
    for position, record in numbered:
        if position != expected:
            # Positions are missing, so a snapshot in progress is incomplete.
            marker = None
        expected = position + 1
        if isinstance(record, SnapshotTaken):
            marker, snapshot = record, []
        elif marker is None:
            slots.setdefault(record.slot, []).append(record)
        else:
            snapshot.append(record)
        if marker is not None and len(snapshot) == marker.count:
            slots[marker.slot] = snapshot
            marker = None
    return slots
