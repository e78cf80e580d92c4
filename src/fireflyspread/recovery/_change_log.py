"""Bounded log of the latest changes under a prefix of the store."""

from collections import deque

from attrs import frozen

from fireflyspread.exceptions import HistoryLostError
from fireflyspread.recovery._store import Change

__all__ = ["ChangeLog"]

# Bytes and number of the changes that are kept. A node that asks for older ones reads
# them from the store, which keeps 20 s of them.
_MAX_LOG_BYTES = 512 * 1024
_MAX_LOG_CHANGES = 4096
# Bytes of the changes that one ``read`` returns; messages may have up to 1 MB.
_MAX_READ_BYTES = 256 * 1024
# Bytes of a change beside its key and value.
_CHANGE_OVERHEAD_BYTES = 64


@frozen
class _Batch:
    """Changes that one watch of the store has reported.

    Attributes
    ----------
    after, revision : int
        Revisions between which they are complete.
    """

    changes: tuple[Change, ...]
    after: int
    revision: int
    size: int


class ChangeLog:
    """Changes in the order of the store, without a gap between the first and the last.

    Attributes
    ----------
    revision : int
        Revision up to which all changes are known.
    """

    def __init__(self) -> None:
        self._first = 0
        self.revision = -1
        self._batches: deque[_Batch] = deque()
        self._bytes = 0
        self._count = 0

    def reset(self, revision: int) -> None:
        """Forget all changes; those after ``revision`` follow."""
        self._batches.clear()
        self._bytes = self._count = 0
        self._first = self.revision = revision

    def append(self, changes: tuple[Change, ...], revision: int) -> None:
        """Add the changes between the revision of the log and ``revision``."""
        after, self.revision = self.revision, max(self.revision, revision)
        if not changes:
            return
        batch = _Batch(changes, after, self.revision, sum(map(_measure, changes)))
        self._batches.append(batch)
        self._bytes += batch.size
        self._count += len(changes)
        while self._bytes > _MAX_LOG_BYTES or self._count > _MAX_LOG_CHANGES:
            oldest = self._batches.popleft()
            self._bytes -= oldest.size
            self._count -= len(oldest.changes)
            self._first = oldest.revision

    def read(self, after: int) -> tuple[tuple[Change, ...], int]:
        """Return the changes after a revision, and the revision that they reach.

        Returns
        -------
        tuple
            Nothing and ``after`` if the log has not reached ``after`` yet.

        Raises
        ------
        HistoryLostError
            The log does not have all of these changes, or they exceed a message.
        """
        if after < self._first:
            raise HistoryLostError(
                f"changes after revision {after} are no longer known; ask the store"
            )
        found: list[Change] = []
        size, revision = 0, after
        for batch in self._batches:
            if batch.revision <= after:
                continue
            size += batch.size
            if size > _MAX_READ_BYTES:
                if not found:
                    raise HistoryLostError("a change exceeds a message; ask the store")
                return tuple(found), revision
            found += _list_later(batch, after)
            revision = batch.revision
        return tuple(found), max(revision, self.revision)


def _list_later(batch: _Batch, after: int) -> tuple[Change, ...]:
    """Return the changes of a batch after a revision.

    An older change must not be repeated, because it could undo a later one.
    """
    if after <= batch.after:
        return batch.changes
    if not all(change.revision for change in batch.changes):
        raise HistoryLostError("the order of the changes is unknown; ask the store")
    return tuple(change for change in batch.changes if change.revision > after)


def _measure(change: Change) -> int:
    value = b"" if change.entry is None else change.entry.value
    return len(change.key) + len(value) + _CHANGE_OVERHEAD_BYTES
