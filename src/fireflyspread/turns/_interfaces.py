"""Other processes that hold turns."""

import abc
from collections.abc import Sequence

from attrs import frozen

from fireflyspread.turns._turn import Turn

__all__ = ["DiskAnswer", "TurnDisks", "TurnPeers"]


class TurnPeers(abc.ABC):
    """Memories of other nodes."""

    @abc.abstractmethod
    def share(self, turn: Turn) -> None:
        """Send a turn to the nodes that others ask for it; does not wait."""

    @abc.abstractmethod
    async def find(self, turn_id: str) -> Turn | None:
        """Return a turn from those nodes; None if none of them has it or answers."""

    @abc.abstractmethod
    async def search(self, turn_id: str) -> Turn | None:
        """Have other nodes look in the store and on the disks for a turn."""

    @abc.abstractmethod
    async def write(self, turn: Turn, *, attempt: int) -> None:
        """Return once another node has made the turn durable.

        Parameters
        ----------
        attempt : int
            Counts the calls for one turn; each asks other nodes.

        Raises
        ------
        PeerError
            None of the nodes that were asked could do so in time.
        """


@frozen
class DiskAnswer:
    """What the disks hold of a turn.

    Attributes
    ----------
    is_certain : bool
        Whether a turn that was not found is on no disk.
    """

    turn: Turn | None
    is_certain: bool


class TurnDisks(abc.ABC):
    """Disks that hold turns until the store has them."""

    @abc.abstractmethod
    async def write(self, turn: Turn) -> None:
        """Return once enough disks hold the turn.

        Raises
        ------
        PeerError
            Too few of them could write it.
        """

    @abc.abstractmethod
    async def find(self, turn_id: str) -> DiskAnswer:
        """Return a turn that was written to the disks."""

    @abc.abstractmethod
    def forget(self, turn_ids: Sequence[str]) -> None:
        """Let the disks drop turns that the store has; does not wait."""
