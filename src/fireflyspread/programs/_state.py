"""Slot state that consists of several parts."""

from collections.abc import Iterable

from fireflyspread.recovery import Record, SlotState

__all__ = ["CombinedState"]


class CombinedState(SlotState):
    """Passes each operation on the slot state to all parts."""

    def __init__(self, *parts: SlotState) -> None:
        self._parts = parts

    def restore(self, slots: frozenset[int], records: Iterable[Record]) -> None:
        kept = tuple(records)
        for part in self._parts:
            part.restore(slots, kept)

    def snapshot(self, slots: frozenset[int]) -> tuple[Record, ...]:
        return tuple(r for part in self._parts for r in part.snapshot(slots))

    def settle(self, slots: frozenset[int]) -> tuple[Record, ...]:
        return tuple(r for part in self._parts for r in part.settle(slots))

    def drop(self, slots: frozenset[int]) -> None:
        for part in self._parts:
            part.drop(slots)

    def is_idle(self, slots: frozenset[int]) -> bool:
        return all(part.is_idle(slots) for part in self._parts)
