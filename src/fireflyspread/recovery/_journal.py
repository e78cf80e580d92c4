"""The journal as its users see it."""

import abc
import enum

from fireflyspread.recovery._records import Record

__all__ = ["Durability", "Journal"]


class Durability(enum.StrEnum):
    """How well a record is kept."""

    DURABLE = "durable"
    PENDING = "pending"


class Journal(abc.ABC):
    """Append-only journal of one node incarnation."""

    @abc.abstractmethod
    async def commit(self, *records: Record, may_pend: bool = False) -> Durability:
        """Append records and return once they are kept.

        Parameters
        ----------
        may_pend : bool
            Whether holding the records on one more node is enough while the store
            does not answer.

        Raises
        ------
        SealedError
            Another node has taken over; nothing may be acknowledged.
        StoreError
            The store does not answer and the records may not pend.
        """

    @abc.abstractmethod
    def enqueue(self, *records: Record) -> None:
        """Append records with the next group commit without waiting for it."""
