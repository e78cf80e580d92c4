"""Interface of recovery for request handlers."""

import abc

from fireflyspread.recovery._journal import Durability
from fireflyspread.recovery._members import Member
from fireflyspread.recovery._records import Record

__all__ = ["Ownership"]


class Ownership(abc.ABC):
    """Slots that this node owns, and its journal."""

    @abc.abstractmethod
    def owned_slots(self) -> frozenset[int]:
        """Return the slots for which this node may act now."""

    @abc.abstractmethod
    def owns(self, slot: int) -> bool:
        """Return whether this node may act for ``slot`` now."""

    @abc.abstractmethod
    async def wait_owned(self, slot: int, *, timeout: float) -> bool:
        """Wait while this node takes over ``slot``; return whether it owns it now.

        Parameters
        ----------
        timeout : float
            Maximum wait in seconds.
        """

    @abc.abstractmethod
    def find_owner(self, slot: int) -> Member | None:
        """Return the owner of ``slot`` in the newest document that this node read."""

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return all members, including this node."""

    @abc.abstractmethod
    def check_authority(self) -> None:
        """Raise ``NoAuthorityError`` unless this node may act now."""

    @abc.abstractmethod
    def check_ready(self) -> None:
        """Raise ``NoAuthorityError`` unless the node is ready for callers."""

    @abc.abstractmethod
    async def commit(self, *records: Record, allow_pending: bool = False) -> Durability:
        """Append records to the current journal, see ``Journal.commit``."""

    @abc.abstractmethod
    def enqueue(self, *records: Record) -> None:
        """Append records to the next group commit, see ``Journal.enqueue``."""
