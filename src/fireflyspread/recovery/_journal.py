"""Interface of the journal."""

import abc
import enum

from fireflyspread.recovery._records import Record

__all__ = ["Durability", "Journal"]


class Durability(enum.StrEnum):
    """Whether a record is in the store or only held by another node."""

    DURABLE = "durable"
    PENDING = "pending"


class Journal(abc.ABC):
    """Append-only journal of one node incarnation."""

    @abc.abstractmethod
    async def commit(self, *records: Record, allow_pending: bool = False) -> Durability:
        """Append records and return once they are safe.

        Parameters
        ----------
        allow_pending : bool
            Whether it is enough that one more node holds the records while the store
            does not answer.

        Raises
        ------
        SealedError
            Another node has taken over; nothing may be acknowledged.
        StoreError
            The store does not answer, and the records may not be pending.
        """

    @abc.abstractmethod
    def enqueue(self, *records: Record) -> None:
        """Append records to the next group commit without waiting for it."""
