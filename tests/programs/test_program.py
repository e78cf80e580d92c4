"""Turn order, budget and history of a program, and the program table."""

import pytest

from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import (
    BudgetExceededError,
    HistoryMismatchError,
    NotFoundError,
    OutOfOrderError,
    TurnConflictError,
)
from fireflyspread.programs import Program, ProgramTable, StepKind
from fireflyspread.recovery import (
    ProgramEnded,
    ProgramOpened,
    TurnFailed,
    TurnRecorded,
    find_slot,
)


def make_opened(
    program_id: str = "p-1", *, budget: int = 1000, parent: str | None = None
) -> ProgramOpened:
    return ProgramOpened(
        slot=find_slot(program_id),
        subject=program_id,
        team="clerks",
        budget=budget,
        reserved=100,
        opened_at=0.0,
        parent=parent,
    )


def make_turn(program: Program, *, spent: int = 10, reserved: int = 50) -> TurnRecorded:
    number = len(program.turns) + 1
    added = b'[{"role":"user","content":"%d"}]' % number
    return TurnRecorded(
        slot=program.slot,
        subject=program.id,
        turn=number,
        request_digest=f"digest-{number}",
        added=added,
        answer=b"{}",
        spent=spent,
        reserved=reserved,
        chain=program.history.preview(added),
    )


class TestOrder:
    """Program.accept_turn."""

    def test_refuses_a_skipped_turn(self) -> None:
        """Guards against a turn that is accepted without its predecessor."""
        program = Program.from_record(make_opened())
        with pytest.raises(OutOfOrderError, match="send turn 1"):
            program.accept_turn(2, "digest")

    def test_joins_a_running_turn(self) -> None:
        """Guards against a second start of a turn that is repeated while it runs."""
        program = Program.from_record(make_opened())
        assert program.accept_turn(1, "digest").kind is StepKind.START
        assert program.accept_turn(1, "digest").kind is StepKind.ATTACH

    def test_replays_a_recorded_turn(self) -> None:
        """Guards against a second run of a recorded turn."""
        program = Program.from_record(make_opened())
        program.apply(make_turn(program))
        assert program.accept_turn(1, "digest-1").kind is StepKind.REPLAY

    def test_refuses_another_body(self) -> None:
        """Guards against the first answer for a turn repeated with another body."""
        program = Program.from_record(make_opened())
        program.apply(make_turn(program))
        with pytest.raises(TurnConflictError):
            program.accept_turn(1, "other")


class TestBudget:
    """Program.budget."""

    def test_limits_the_answer_to_the_remaining_tokens(self) -> None:
        """Guards against refusal of a turn that asks for more than remains."""
        budget = Program.from_record(make_opened(budget=100)).budget
        assert budget.fit_answer(40, 500) == 60

    def test_refuses_a_prompt_that_does_not_fit(self) -> None:
        """Guards against a prompt as large as the budget that reaches an engine."""
        budget = Program.from_record(make_opened(budget=100)).budget
        with pytest.raises(BudgetExceededError):
            budget.fit_answer(100, 1)

    def test_charges_a_failed_turn(self) -> None:
        """Guards against retries of failed turns that exceed the budget."""
        program = Program.from_record(make_opened(budget=100))
        program.budget.start(80)
        program.apply(
            TurnFailed(slot=program.slot, subject=program.id, turn=1, spent=70)
        )
        assert program.budget.remaining == 30


class TestHistory:
    """Program.history."""

    def test_refuses_a_turn_of_another_program(self) -> None:
        """Guards against a history with a record that does not follow from it."""
        first = Program.from_record(make_opened("p-1"))
        second = Program.from_record(make_opened("p-2"))
        with pytest.raises(HistoryMismatchError):
            second.apply(make_turn(first))

    def test_renders_all_messages_in_order(self) -> None:
        """Guards against a history without its new messages at the end."""
        program = Program.from_record(make_opened())
        program.apply(make_turn(program))
        rendered = program.history.render(b'[{"role":"user","content":"new"}]')
        assert rendered.index(b'"1"') < rendered.index(b'"new"')


class TestTable:
    """ProgramTable as slot state."""

    def make_table(self) -> ProgramTable:
        return ProgramTable(ManualClock())

    def test_hides_programs_of_other_teams(self) -> None:
        """Guards against errors that reveal the programs of other teams."""
        table = self.make_table()
        table.apply(make_opened())
        with pytest.raises(NotFoundError) as foreign:
            table.find("labs", "p-1")
        with pytest.raises(NotFoundError) as absent:
            table.find("labs", "p-9")
        assert foreign.value.message.replace("p-1", "p-9") == absent.value.message

    def test_charges_open_reservations_on_restore(self) -> None:
        """Guards against free use of a turn that ran on a failed node."""
        table = self.make_table()
        opened = make_opened()
        table.restore(frozenset([opened.slot]), [opened])
        program = table.find("clerks", "p-1")
        assert program.budget.spent == 100

    def test_charges_nothing_after_a_planned_release(self) -> None:
        """Guards against a planned change of owner that charges reservations."""
        first, second = self.make_table(), self.make_table()
        opened = make_opened()
        slots = frozenset([opened.slot])
        first.apply(opened)
        second.restore(slots, [opened, *first.settle(slots)])
        assert second.find("clerks", "p-1").budget.spent == 0

    def test_sub_agents_draw_on_the_parent(self) -> None:
        """Guards against a parent and its sub-agent that use the same tokens."""
        table = self.make_table()
        table.apply(make_opened(budget=1000))
        child_id = table.make_id(frozenset([find_slot("p-1")]))
        child = make_opened(child_id, budget=600, parent="p-1")
        table.apply(child)
        parent = table.find("clerks", "p-1")
        assert parent.budget.remaining == 400
        ended = ProgramEnded(slot=child.slot, subject=child_id, reason="", spent=50)
        table.apply(ended)
        assert parent.budget.remaining == 950

    def test_snapshot_equals_replay(self) -> None:
        """Guards against a compaction that changes budgets, histories or draws."""
        table = self.make_table()
        table.apply(make_opened(budget=1000))
        program = table.find("clerks", "p-1")
        table.apply(make_turn(program))
        child_id = table.make_id(frozenset([program.slot]))
        table.apply(make_opened(child_id, budget=300, parent="p-1"))
        slots = frozenset([program.slot])
        copy = self.make_table()
        copy.restore(slots, table.snapshot(slots))
        restored = copy.find("clerks", "p-1")
        assert restored.history.chain == program.history.chain
        assert restored.budget.drawn == 300
        assert restored.budget.spent == program.budget.spent + 50
