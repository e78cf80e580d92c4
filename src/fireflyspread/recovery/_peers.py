"""Calls that membership makes to other nodes."""

import abc

from attrs import frozen

from fireflyspread.recovery._members import Member

__all__ = ["Peers", "Promise"]


@frozen(kw_only=True)
class Promise:
    """Answer of a monitor.

    Attributes
    ----------
    granted : bool
        Whether the monitor will not remove the node for ``seconds``.
    epoch, bundle_version : int
        The newest that the monitor knows.
    document : bytes
        The members document at ``revision`` of the store when the node knew an older
        epoch, so that a node without contact to the store follows it too.
    """

    granted: bool
    seconds: float
    epoch: int
    bundle_version: int
    document: bytes = b""
    revision: int = 0


class Peers(abc.ABC):
    """Other nodes; every method raises ``PeerError`` without an answer in time."""

    @abc.abstractmethod
    async def renew_authority(
        self, member: Member, epoch: int, bundle_version: int
    ) -> Promise:
        """Ask ``member``, the monitor of this node, not to remove it.

        A call must fail within 0.4 s, so that a second attempt is made before the
        authority of 2 s ends.
        """

    @abc.abstractmethod
    async def take_held_records(
        self, member: Member, journal: str
    ) -> tuple[bytes, ...]:
        """Fetch what ``member`` holds for a sealed journal and end the holding."""
