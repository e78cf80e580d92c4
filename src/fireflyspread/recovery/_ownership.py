"""What request handlers ask of recovery."""

import abc

from fireflyspread.recovery._journal import Durability
from fireflyspread.recovery._members import Member
from fireflyspread.recovery._records import Record

__all__ = ["Ownership"]


class Ownership(abc.ABC):
    """Which slots this node owns, and its journal."""

    @abc.abstractmethod
    def owned_slots(self) -> frozenset[int]:
        """Return the slots this node may act for now."""

    @abc.abstractmethod
    def owns(self, slot: int) -> bool:
        """Return whether this node may act for ``slot`` now."""

    @abc.abstractmethod
    async def wait_owned(self, slot: int, *, timeout: float) -> bool:
        """Wait while this node takes over ``slot``; return whether it owns it now.

        Parameters
        ----------
        timeout : float
            Seconds to wait at most.
        """

    @abc.abstractmethod
    def find_owner(self, slot: int) -> Member | None:
        """Return the member that owns ``slot`` as far as this node knows."""

    @abc.abstractmethod
    def members(self) -> tuple[Member, ...]:
        """Return all members, this node among them."""

    @abc.abstractmethod
    def check_authority(self) -> None:
        """Raise ``NoAuthorityError`` unless this node may act now."""

    @abc.abstractmethod
    def check_ready(self) -> None:
        """Raise ``NoAuthorityError`` unless callers should be sent here now."""

    @abc.abstractmethod
    async def commit(self, *records: Record, may_pend: bool = False) -> Durability:
        """Append records to the present journal, see ``Journal.commit``."""

    @abc.abstractmethod
    def enqueue(self, *records: Record) -> None:
        """Append records with the next group commit."""
