"""Compaction of this node's own journal."""

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

__all__ = ["KEEP_SECONDS", "Compactor", "drop_expired"]

KEEP_SECONDS = 7 * 86_400.0

# Snapshots queue before the commits of requests, so one step appends few of them.
_STEP_SLOTS = 4

# How often and how long to wait for a moment without a commit of a slot.
_QUIET_ATTEMPTS, _QUIET_POLL = 100, 0.01


def drop_expired(records: Iterable[Record], now: float) -> tuple[Record, ...]:
    """Leave out finished programs and intents that are older than 7 days."""
    limit = now - KEEP_SECONDS
    kept: list[Record] = []
    expired: set[str] = set()
    for record in records:
        if isinstance(record, IntentDeclared) and record.declared_at < limit:
            expired.add(record.subject)
        elif isinstance(record, OutcomeRecorded) and record.subject in expired:
            continue
        elif (
            isinstance(record, ProgramSnapshot)
            and record.ended is not None
            and record.opened.opened_at < limit
        ):
            continue
        else:
            kept.append(record)
    return tuple(kept)


class Compactor:
    """Re-appends the slots with the oldest records and deletes the oldest entries.

    Parameters
    ----------
    max_entries : int
        Entries above which ``step`` does anything. A new owner reads ten entries
        with one call, so 1,000 entries are 100 reads.
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
        self._covers: dict[int, int] = {}

    def reset(self) -> None:
        """Begin anew for an empty journal."""
        self._covers.clear()

    async def step(self, slots: frozenset[int], states: list[SlotState]) -> None:
        """Append some snapshots and delete what they made superfluous.

        Raises
        ------
        StoreError
            The store does not answer; a later step continues.
        """
        self._covers = {slot: self._covers.get(slot, 0) for slot in slots}
        if self._journal.entry_count <= self._max_entries or self._journal.is_failing:
            return
        oldest = sorted(slots, key=lambda slot: self._covers[slot])[:_STEP_SLOTS]
        taken: dict[int, int] = {}
        for slot in oldest:
            if await self._wait_quiet(slot):
                taken[slot] = self._journal.end
                self._append_snapshot(slot, states)
        await self._journal.flush()
        self._covers.update(taken)
        end = min(self._covers.values(), default=self._journal.stored)
        await self._journal.trim(end)

    async def _wait_quiet(self, slot: int) -> bool:
        """Wait until every record of the slot has been applied to its state.

        A record is written first and applied after its commit, so a snapshot taken
        in between would lose it.
        """
        for _ in range(_QUIET_ATTEMPTS):
            if self._journal.is_quiet(slot):
                return True
            await self._sleep(_QUIET_POLL)
        return False

    def _append_snapshot(self, slot: int, states: list[SlotState]) -> None:
        slots = frozenset({slot})
        records = [r for state in states for r in state.snapshot(slots)]
        kept = drop_expired(records, self._clock.read_wall())
        self._journal.enqueue_snapshot(slot, kept)
