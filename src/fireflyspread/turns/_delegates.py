"""Nodes that commit the turns of others."""

import abc

from fireflyspread.turns._turn import Turn

__all__ = ["TurnDelegates"]


class TurnDelegates(abc.ABC):
    """The few nodes that write the turns of many in large batches."""

    @abc.abstractmethod
    async def write(self, turn: Turn) -> bool:
        """Return whether another node has made the turn durable.

        Returns False if this node has to write it; the other one may do so as well,
        which does no harm.
        """

    @abc.abstractmethod
    def count_writers(self) -> int:
        """Return the number of nodes with which this one shares the store's writes."""

    @abc.abstractmethod
    def get_collection_delay(self) -> float:
        """Return the seconds for which this node collects turns into one write."""
