"""History of a value that changes over time."""

import math
from typing import Generic, TypeVar

from attrs import define

__all__ = ["Timeline"]

T = TypeVar("T")

# Bounds the memory. A bucket that is unused while more changes than this occur starts
# empty again.
_MAX_ENTRIES = 32


@define
class _Entry(Generic[T]):
    """A value and the interval in which it may be in force.

    Attributes
    ----------
    begin, end : float
        Monotonic seconds.
    """

    value: T | None
    begin: float
    end: float = math.inf


class Timeline(Generic[T]):
    """A value and its predecessors, each with the interval in which it may be in force.

    Parameters
    ----------
    first : T or None
        Value in force before the first change; None if there was none.

    Attributes
    ----------
    known_from : float
        Monotonic seconds; the values in force before are no longer known.
    """

    def __init__(self, first: T | None = None) -> None:
        self._entries = [_Entry(first, -math.inf)]
        self.known_from = -math.inf

    @property
    def current(self) -> T | None:
        """Value in force now."""
        return self._entries[-1].value

    def append(self, value: T | None, *, begin: float, seen: float) -> None:
        """Put ``value`` in force.

        Parameters
        ----------
        begin : float
            Earliest monotonic time at which it may have been in force elsewhere.
        seen : float
            Current monotonic time, until which the previous value may have been in
            force.
        """
        self._entries[-1].end = seen
        self._entries.append(_Entry(value, begin))
        if len(self._entries) > _MAX_ENTRIES:
            self.known_from = self._entries.pop(0).end

    def list_values(self, start: float, end: float) -> list[T | None]:
        """Return the values that may have been in force between start and end."""
        return [e.value for e in self._entries if e.begin <= end and e.end >= start]

    def list_changes(self, start: float, end: float, delay: float) -> list[float]:
        """Return the times strictly between start and end at which
        ``list_values(t - delay, t)`` changes.
        """
        changes = (t for e in self._entries for t in (e.begin, e.end + delay))
        return [t for t in changes if start < t < end]
