"""Intents: non-idempotent requests and their outcomes."""

import enum
from collections import defaultdict
from collections.abc import Iterable

from attrs import define

from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    IdempotencyConflictError,
    MayHaveRunError,
    RequestRunningError,
)
from fireflyspread.recovery import (
    IntentAbandoned,
    IntentDeclared,
    OutcomeRecorded,
    Record,
    SlotState,
    find_slot,
)

__all__ = ["Intent", "IntentState", "IntentTable"]

# Seven days; callers have repeated a request after two days.
RETENTION_SECONDS = 7 * 24 * 3600.0


class IntentState(enum.StrEnum):
    """What is known about a non-idempotent request.

    Attributes
    ----------
    DECLARED
        This node has declared the request and may still get its answer.
    UNKNOWN
        The request may have run and its outcome is unknown.
    ANSWERED
        The outcome is recorded.
    """

    DECLARED = "declared"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


@define(kw_only=True)
class Intent:
    """One non-idempotent request of a team."""

    declared: IntentDeclared
    state: IntentState = IntentState.DECLARED
    outcome: OutcomeRecorded | None = None


class IntentTable(SlotState):
    """Intents by ``team/idempotency key`` for the slots this node owns.

    Parameters
    ----------
    retention : float
        Seconds for which an intent is kept.
    """

    def __init__(self, clock: Clock, *, retention: float = RETENTION_SECONDS) -> None:
        self._clock = clock
        self._retention = retention
        self._slots: dict[int, dict[str, Intent]] = defaultdict(dict)

    def __len__(self) -> int:
        return sum(map(len, self._slots.values()))

    @staticmethod
    def make_subject(team: str, key: str) -> str:
        """Return the subject under which an intent is recorded."""
        return f"{team}/{key}"

    def begin(
        self, subject: str, body_digest: str, route: str
    ) -> IntentDeclared | OutcomeRecorded:
        """Declare an intent, or return the outcome of the first request.

        The caller must commit a returned declaration before it dispatches anything.

        Raises
        ------
        IdempotencyConflictError
            The key was used with another body or route.
        RequestRunningError
            The first request is still running.
        MayHaveRunError
            The first request was dispatched and its outcome is unknown.
        """
        slot = find_slot(subject)
        known = self._slots[slot].get(subject)
        if known is None:
            declared = IntentDeclared(
                slot=slot,
                subject=subject,
                body_digest=body_digest,
                route=route,
                declared_at=self._clock.read_wall(),
            )
            self._slots[slot][subject] = Intent(declared=declared)
            return declared
        if (known.declared.body_digest, known.declared.route) != (body_digest, route):
            raise IdempotencyConflictError(
                "the idempotency key was used for another request; use a new key"
            )
        if known.outcome is not None:
            return known.outcome
        if known.state is IntentState.UNKNOWN:
            raise MayHaveRunError(
                "the first request with this key was dispatched and its outcome is "
                "unknown; ask the target's operator before you submit it again"
            )
        raise RequestRunningError(
            "the first request with this key is still running; ask again for its answer"
        )

    def abandon(self, declared: IntentDeclared) -> IntentAbandoned:
        """Remove an intent that was not dispatched; commit the returned record."""
        self._slots[declared.slot].pop(declared.subject, None)
        return IntentAbandoned(slot=declared.slot, subject=declared.subject)

    def mark_unknown(self, declared: IntentDeclared) -> None:
        """Record that the request was dispatched and no answer came."""
        intent = self._slots[declared.slot].get(declared.subject)
        if intent is not None:
            intent.state = IntentState.UNKNOWN

    def apply(self, record: Record) -> None:
        """Apply a record, live or from a journal."""
        intents = self._slots[record.slot]
        match record:
            case IntentDeclared():
                # The node that declared it may have dispatched it before it failed.
                intents[record.subject] = Intent(
                    declared=record, state=IntentState.UNKNOWN
                )
            case IntentAbandoned():
                intents.pop(record.subject, None)
            case OutcomeRecorded():
                intent = intents.get(record.subject)
                if intent is not None:
                    intent.outcome = record
                    intent.state = IntentState.ANSWERED

    def restore(self, slots: frozenset[int], records: Iterable[Record]) -> None:
        kept = [record for record in records if record.slot in slots]
        self.drop(slots)
        for record in kept:
            self.apply(record)

    def snapshot(self, slots: frozenset[int]) -> tuple[Record, ...]:
        oldest = self._clock.read_wall() - self._retention
        records: list[Record] = []
        for slot in slots:
            for intent in self._slots.get(slot, {}).values():
                if intent.declared.declared_at < oldest:
                    continue
                records.append(intent.declared)
                if intent.outcome is not None:
                    records.append(intent.outcome)
        return tuple(records)

    def settle(self, slots: frozenset[int]) -> tuple[Record, ...]:
        return ()

    def drop(self, slots: frozenset[int]) -> None:
        for slot in slots:
            self._slots.pop(slot, None)

    def is_idle(self, slots: frozenset[int]) -> bool:
        return not any(
            intent.state is IntentState.DECLARED
            for slot in slots
            for intent in self._slots.get(slot, {}).values()
        )

    def expire(self) -> int:
        """Remove intents older than the retention period; return how many."""
        oldest = self._clock.read_wall() - self._retention
        count = 0
        for intents in self._slots.values():
            for subject, intent in list(intents.items()):
                if intent.declared.declared_at < oldest:
                    del intents[subject]
                    count += 1
        return count
