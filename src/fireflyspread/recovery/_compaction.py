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
from fireflyspread.recovery._store_journal import StoreJournal

__all__ = ["KEEP_SECONDS", "Compactor", "drop_expired"]

KEEP_SECONDS = 7 * 86_400.0

# Snapshots queue before the commits of requests, so one step appends few of them.
_STEP_SLOTS = 4


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
        self, journal: StoreJournal, *, clock: Clock, max_entries: int = 1_000
    ) -> None:
        self._journal = journal
        self._clock = clock
        self._max_entries = max_entries
        self._covers: dict[int, int] = {}
        self._applied = 0

    def reset(self) -> None:
        """Begin anew for an empty journal."""
        self._covers.clear()
        self._applied = 0

    async def step(self, slots: frozenset[int], states: list[SlotState]) -> None:
        """Append some snapshots and delete what they made superfluous.

        Called at most twice a second. A record that was in the store at the last
        call has been applied to the state by now, because whoever commits a record
        applies it right after the commit; later ones are replayed after the
        snapshot.

        Raises
        ------
        StoreError
            The store does not answer; a later step continues.
        """
        applied, self._applied = self._applied, self._journal.stored
        self._covers = {slot: self._covers.get(slot, 0) for slot in slots}
        if self._journal.entry_count <= self._max_entries or self._journal.is_failing:
            return
        oldest = sorted(slots, key=lambda slot: self._covers[slot])[:_STEP_SLOTS]
        for slot in oldest:
            self._append_snapshot(slot, states, applied)
        await self._journal.flush()
        for slot in oldest:
            self._covers[slot] = applied
        await self._journal.trim(min(self._covers.values(), default=applied))

    def _append_snapshot(
        self, slot: int, states: list[SlotState], applied: int
    ) -> None:
        slots = frozenset({slot})
        records = [r for state in states for r in state.snapshot(slots)]
        kept = drop_expired(records, self._clock.read_wall())
        self._journal.enqueue_snapshot(slot, kept, covers=applied)
