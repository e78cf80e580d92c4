"""Compaction of this node's journal."""

from collections.abc import Iterable

from fireflyspread.clock import Clock
from fireflyspread.recovery._records import (
    IntentDeclared,
    OutcomeRecorded,
    ProgramSnapshot,
    Record,
)
from fireflyspread.recovery._slots import SlotState
from fireflyspread.recovery._store_journal import Sleep, StoreJournal

__all__ = ["RETENTION_SECONDS", "Compactor", "drop_expired"]

RETENTION_SECONDS = 7 * 86_400.0

# Commits of requests queue behind the snapshots, so a step appends only a few.
_SLOTS_PER_STEP = 4

_MAX_QUIESCENCE_POLLS, _QUIESCENCE_POLL_SECONDS = 100, 0.01


def drop_expired(records: Iterable[Record], now: float) -> tuple[Record, ...]:
    """Leave out ended programs and intents that are older than 7 days.

    The age counts from the opening of a program and from the declaration of an intent.
    The outcomes of these intents are left out as well.

    Parameters
    ----------
    now : float
        Seconds since the Unix epoch.
    """
    cutoff = now - RETENTION_SECONDS
    kept: list[Record] = []
    expired: set[str] = set()
    for record in records:
        if isinstance(record, IntentDeclared) and record.declared_at < cutoff:
            expired.add(record.subject)
        elif isinstance(record, OutcomeRecorded) and record.subject in expired:
            continue
        elif (
            isinstance(record, ProgramSnapshot)
            and record.ended is not None
            and record.opened.opened_at < cutoff
        ):
            continue
        else:
            kept.append(record)
    return tuple(kept)


class Compactor:
    """Appends snapshots of the slots with the oldest records and trims the journal.

    Parameters
    ----------
    max_entries : int
        Number of entries above which ``step`` compacts. A new owner reads ten entries
        per call, so 1,000 entries take 100 reads.
    """

    def __init__(
        self,
        journal: StoreJournal,
        *,
        clock: Clock,
        sleep: Sleep,
        max_entries: int = 1_000,
    ) -> None:
        self._journal = journal
        self._clock = clock
        self._sleep = sleep
        self._max_entries = max_entries
        self._snapshot_positions: dict[int, int] = {}

    def reset(self) -> None:
        """Reset for an empty journal."""
        self._snapshot_positions.clear()

    async def step(self, slots: frozenset[int], states: list[SlotState]) -> None:
        """Append some snapshots and delete the entries that they supersede.

        Raises
        ------
        StoreError
            The store does not answer; a later step continues.
        """
        self._snapshot_positions = {
            slot: self._snapshot_positions.get(slot, 0) for slot in slots
        }
        if self._journal.entry_count <= self._max_entries or self._journal.is_failing:
            return
        oldest = sorted(slots, key=lambda slot: self._snapshot_positions[slot])[
            :_SLOTS_PER_STEP
        ]
        positions: dict[int, int] = {}
        for slot in oldest:
            if await self._wait_quiescent(slot):
                positions[slot] = self._journal.end
                self._append_snapshot(slot, states)
        await self._journal.flush()
        self._snapshot_positions.update(positions)
        end = min(self._snapshot_positions.values(), default=self._journal.stored)
        await self._journal.trim(end)

    async def _wait_quiescent(self, slot: int) -> bool:
        """Wait until every committed record of the slot is applied to its state.

        A record is applied after its commit returns, so a snapshot taken in between
        would lose it.
        """
        for _ in range(_MAX_QUIESCENCE_POLLS):
            if self._journal.is_quiescent(slot):
                return True
            await self._sleep(_QUIESCENCE_POLL_SECONDS)
        return False

    def _append_snapshot(self, slot: int, states: list[SlotState]) -> None:
        slots = frozenset({slot})
        records = [r for state in states for r in state.snapshot(slots)]
        kept = drop_expired(records, self._clock.read_wall())
        self._journal.enqueue_snapshot(slot, kept)
