"""Records that this node holds for others while the store is unavailable."""

from fireflyspread.exceptions import SealedError
from fireflyspread.recovery._entries import decode_entry

__all__ = ["HeldRecords"]


class HeldRecords:
    """Encoded journal entries of other nodes, kept in memory."""

    def __init__(self) -> None:
        # For each journal: position after the entry's last record, and the entry.
        self._entries: dict[str, list[tuple[int, bytes]]] = {}
        self._closed: set[str] = set()

    def hold(self, journal: str, position: int, data: bytes) -> None:
        """Hold ``data``; empty data releases all records before ``position``.

        Raises
        ------
        SealedError
            A new owner has fetched the records of the journal.
        """
        if journal in self._closed:
            raise SealedError(f"{journal} was taken over; repeat the request")
        held = self._entries.setdefault(journal, [])
        if data:
            entry = decode_entry(data)
            held.append((entry.position + len(entry.records), data))
            return
        self._entries[journal] = [row for row in held if row[0] > position]

    def take(self, journal: str) -> tuple[bytes, ...]:
        """Return what is held for a sealed journal, and accept no more for it.

        The records stay until ``retain`` drops them: if the new owner fails during
        the takeover, the next one needs them.
        """
        self._closed.add(journal)
        return tuple(data for _, data in self._entries.get(journal, []))

    def retain(self, journals: frozenset[str]) -> None:
        """Drop all journals except these."""
        self._entries = {j: rows for j, rows in self._entries.items() if j in journals}
        self._closed &= journals

    def dump(self) -> dict[str, int]:
        """Return the number of entries held for each journal."""
        return {journal: len(rows) for journal, rows in self._entries.items()}
