"""Values that change over time and are remembered for a while."""

import itertools
import math
from typing import Generic, TypeVar

__all__ = ["Timeline"]

T = TypeVar("T")

# A bucket that was not touched during more changes than these starts empty again.
_MOST_ENTRIES = 32


class Timeline(Generic[T]):
    """A value and its predecessors, each with the time it came into force.

    Parameters
    ----------
    first : T or None
        Value in force before the first change; None stands for "nothing".
    """

    def __init__(self, first: T | None = None) -> None:
        self._starts = [-math.inf]
        self._values: list[T | None] = [first]

    @property
    def since(self) -> float:
        """Time from which the values are known, in seconds."""
        return self._starts[0]

    @property
    def current(self) -> T | None:
        """Value in force now."""
        return self._values[-1]

    def append(self, start: float, value: T | None) -> None:
        """Put ``value`` in force from ``start`` on."""
        self._starts.append(start)
        self._values.append(value)
        del self._starts[:-_MOST_ENTRIES]
        del self._values[:-_MOST_ENTRIES]

    def list_values(self, start: float, end: float) -> list[T | None]:
        """Return the values that were in force at any time from start to end."""
        ends = itertools.chain(self._starts[1:], (math.inf,))
        spans = zip(self._starts, ends, self._values, strict=True)
        return [value for s, e, value in spans if s <= end and e >= start]

    def list_changes(self, start: float, end: float, delay: float) -> list[float]:
        """Return the times strictly between start and end at which
        ``list_values(t - delay, t)`` changes.
        """
        changes = (t for s in self._starts for t in (s, s + delay))
        return [t for t in changes if start < t < end]
