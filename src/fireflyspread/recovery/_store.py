"""Interface of the platform's key-value store."""

import abc
from collections.abc import AsyncIterator, Mapping, Sequence

from attrs import frozen

from fireflyspread.exceptions import StoreError, StoreUncertainError

__all__ = [
    "WRITES_PER_TRANSACTION",
    "Change",
    "ChangeSource",
    "Entry",
    "Snapshot",
    "SnapshotStore",
    "Store",
    "Write",
]

# A transaction of the store behind ``KvStore`` has at most 32 entries, and a
# conditional write takes two of them.
WRITES_PER_TRANSACTION = 16


@frozen
class Entry:
    """A key of the store and its value.

    Attributes
    ----------
    value : bytes
        At most 1 MB.
    revision : int
        Store revision of the last change of the key.
    """

    key: str
    value: bytes
    revision: int


@frozen
class Change:
    """One event of a watch; ``entry`` is None when the key was deleted.

    Attributes
    ----------
    revision : int
        Store revision of the change; 0 if the watch does not tell it.
    """

    key: str
    entry: Entry | None
    revision: int = 0


@frozen
class Snapshot:
    """Entries under a prefix, and the revision up to which they are complete."""

    entries: tuple[Entry, ...]
    revision: int


@frozen
class Write:
    """One conditional write of a transaction.

    Attributes
    ----------
    value : bytes or None
        None deletes the key.
    revision : int
        Expected revision of the key; 0 means that it must not exist.
    lease : int
        Lease with which the key expires; 0 for none.
    """

    key: str
    value: bytes | None
    revision: int
    lease: int = 0


class Store(abc.ABC):
    """Compare-and-swap, leases and watches.

    Every method raises ``StoreError`` when the store does not answer in time and
    ``StoreUncertainError`` when a write may have taken effect nevertheless.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> Entry | None:
        """Return the entry of ``key`` or None."""

    @abc.abstractmethod
    async def read_prefix(self, prefix: str, *, limit: int = 0) -> tuple[Entry, ...]:
        """Return the entries under ``prefix`` in key order; limit 0 means all."""

    @abc.abstractmethod
    async def replace(
        self, key: str, value: bytes, *, revision: int, lease: int = 0
    ) -> int | None:
        """Write ``value`` if the key is still at ``revision`` (0: absent).

        Returns
        -------
        int or None
            The new revision, or None if the key is at another revision.
        """

    @abc.abstractmethod
    async def delete(self, *keys: str) -> None:
        """Delete keys in one call."""

    @abc.abstractmethod
    async def grant_lease(self, ttl: int) -> int:
        """Return the id of a new lease of ``ttl`` seconds."""

    @abc.abstractmethod
    async def renew_lease(self, lease: int) -> bool:
        """Renew a lease; return False if it has expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""

    @abc.abstractmethod
    def watch(self, prefix: str, *, start_revision: int = 0) -> AsyncIterator[Change]:
        """Yield the changes under ``prefix`` until the connection breaks."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""

    async def create_once(self, key: str, value: bytes, *, lease: int = 0) -> bool:
        """Create ``key`` unless it exists; resolves a lost response by reading.

        ``value`` must be unique to this call, for example by a write id, so that
        reading it back shows whether the write took effect.

        Returns
        -------
        bool
            False if the key exists with another value.
        """
        try:
            revision = await self.replace(key, value, revision=0, lease=lease)
        except StoreUncertainError:
            entry = await self.read(key)
            if entry is None:
                raise StoreError(
                    f"{key} does not exist after a write without a response; repeat it",
                    retry_after=1.0,
                ) from None
            return entry.value == value
        if revision is not None:
            return True
        entry = await self.read(key)
        return entry is not None and entry.value == value


class ChangeSource(abc.ABC):
    """Where a node gets the entries under a prefix and then their changes.

    Both methods raise ``StoreError`` when the store does not answer in time.
    """

    @abc.abstractmethod
    async def read_snapshot(self, prefix: str) -> Snapshot:
        """Return the entries under ``prefix`` and the revision from which to watch.

        A key that changes while the pages are read may have its old value; a watch
        from the returned revision reports the change.
        """

    @abc.abstractmethod
    async def wait_changes(
        self, prefix: str, revision: int, *, wait: float
    ) -> tuple[tuple[Change, ...], int]:
        """Return the changes after ``revision``, waiting up to ``wait`` seconds.

        Returns
        -------
        tuple
            The changes in order and the revision from which to continue.

        Raises
        ------
        HistoryLostError
            The store has discarded these changes; take a new snapshot.
        """


class SnapshotStore(Store, ChangeSource):
    """A store with resumable snapshots and conditional transactions."""

    @abc.abstractmethod
    async def put_all(self, items: Mapping[str, bytes], *, lease: int) -> None:
        """Set all keys or none, at most 32, whatever their values were.

        Raises
        ------
        StoreError
            The store did not answer, or the lease has ended.
        """

    @abc.abstractmethod
    async def write_all(self, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        """Make all writes or none, at most ``WRITES_PER_TRANSACTION``.

        Returns
        -------
        int or tuple of Entry
            The revision of the writes, or, if a condition failed, the current entries
            of the keys that exist.
        """
