"""Slots, the partitions in which nodes own programs and intents."""

import abc
from collections.abc import Iterable

import xxhash

from fireflyspread.recovery._records import Record

__all__ = ["SLOT_COUNT", "SlotState", "find_slot"]

SLOT_COUNT = 256


def find_slot(key: str) -> int:
    """Return the slot of a program id or of ``team/idempotency key``."""
    return xxhash.xxh64_intdigest(key.encode()) % SLOT_COUNT


class SlotState(abc.ABC):
    """State that is rebuilt from journal records when a slot changes its owner."""

    @abc.abstractmethod
    def restore(self, slots: frozenset[int], records: Iterable[Record]) -> None:
        """Rebuild the state of ``slots`` from records in the order of writing.

        Records of other slots are ignored. Tokens that were reserved but not settled
        count as spent afterwards.
        """

    @abc.abstractmethod
    def snapshot(self, slots: frozenset[int]) -> tuple[Record, ...]:
        """Return records from which ``restore`` rebuilds the current state."""

    @abc.abstractmethod
    def settle(self, slots: frozenset[int]) -> tuple[Record, ...]:
        """Return records to append before idle ``slots`` are released.

        They return tokens that are reserved but not in use, so that a planned change
        of owner charges nothing.
        """

    @abc.abstractmethod
    def drop(self, slots: frozenset[int]) -> None:
        """Drop the state of slots that another node owns now."""

    @abc.abstractmethod
    def is_idle(self, slots: frozenset[int]) -> bool:
        """Return whether no request of ``slots`` is running."""
