"""Non-idempotent requests run at most once."""

import pytest

from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import (
    IdempotencyConflictError,
    MayHaveRunError,
    RequestRunningError,
)
from fireflyspread.programs import IntentTable
from fireflyspread.recovery import IntentDeclared, OutcomeRecorded

SUBJECT = IntentTable.make_subject("clerks", "order-1")


def declare(table: IntentTable) -> IntentDeclared:
    begun = table.begin(SUBJECT, "digest", "orders")
    assert isinstance(begun, IntentDeclared)
    return begun


def answer(declared: IntentDeclared) -> OutcomeRecorded:
    return OutcomeRecorded(
        slot=declared.slot,
        subject=declared.subject,
        status=200,
        content_type="application/json",
        body=b"{}",
        recorded_at=0.0,
    )


class TestIntentTable:
    """IntentTable.begin and its records."""

    def test_second_request_waits_for_the_first(self) -> None:
        """Guards against a second dispatch while the first request runs."""
        table = IntentTable(ManualClock())
        declare(table)
        with pytest.raises(RequestRunningError):
            declare(table)

    def test_repeats_the_first_answer(self) -> None:
        """Guards against a second dispatch of a request repeated after two days."""
        clock = ManualClock()
        table = IntentTable(clock)
        outcome = answer(declare(table))
        table.apply(outcome)
        clock.advance(2 * 24 * 3600)
        table.expire()
        assert table.begin(SUBJECT, "digest", "orders") == outcome

    def test_refuses_another_body(self) -> None:
        """Guards against the first answer for a key reused with another body."""
        table = IntentTable(ManualClock())
        declare(table)
        with pytest.raises(IdempotencyConflictError):
            table.begin(SUBJECT, "other", "orders")

    def test_does_not_run_again_after_a_takeover(self) -> None:
        """Guards against a second run of a request that ran on a failed node."""
        first, second = IntentTable(ManualClock()), IntentTable(ManualClock())
        declared = declare(first)
        second.restore(frozenset([declared.slot]), [declared])
        with pytest.raises(MayHaveRunError):
            declare(second)

    def test_abandoned_request_may_be_sent_again(self) -> None:
        """Guards against a key blocked by a request that was not dispatched."""
        first, second = IntentTable(ManualClock()), IntentTable(ManualClock())
        declared = declare(first)
        second.restore(frozenset([declared.slot]), [declared, first.abandon(declared)])
        declare(second)

    def test_snapshot_keeps_outcomes(self) -> None:
        """Guards against a compaction that loses the outcome of an intent."""
        first, second = IntentTable(ManualClock()), IntentTable(ManualClock())
        outcome = answer(declare(first))
        first.apply(outcome)
        slots = frozenset([outcome.slot])
        second.restore(slots, first.snapshot(slots))
        assert second.begin(SUBJECT, "digest", "orders") == outcome
