"""Interface for calls of the membership to other nodes."""

import abc

from attrs import frozen

from fireflyspread.recovery._members import Member

__all__ = ["Peers", "RenewalResponse"]


@frozen(kw_only=True)
class RenewalResponse:
    """Answer of a monitor to a request to renew authority.

    Attributes
    ----------
    granted : bool
        Whether the node may act for ``seconds``, in which the monitor does not
        remove it.
    epoch, bundle_version : int
        The newest values that the monitor knows.
    document : bytes
        The members document at ``revision`` of the store if the node sent an older
        epoch, so that a node that does not reach the store is updated as well.
    """

    granted: bool
    seconds: float
    epoch: int
    bundle_version: int
    document: bytes = b""
    revision: int = 0


class Peers(abc.ABC):
    """Other nodes; methods raise ``PeerError`` if no answer arrives in time."""

    @abc.abstractmethod
    async def renew_authority(
        self, member: Member, epoch: int, bundle_version: int
    ) -> RenewalResponse:
        """Ask ``member``, the monitor of this node, to renew its authority.

        The call must fail within 0.4 s, so that there is time for a second attempt
        before the authority of 2 s ends.
        """

    @abc.abstractmethod
    async def take_held_records(
        self, member: Member, journal: str
    ) -> tuple[bytes, ...]:
        """Fetch what ``member`` holds for a sealed journal; it then accepts no more."""
