"""State of one program, and the order of its turns."""

import enum
from collections.abc import Iterator

from attrs import define, field, frozen

from fireflyspread.exceptions import (
    OutOfOrderError,
    ProgramEndedError,
    TurnConflictError,
)
from fireflyspread.programs._answers import AnswerLog
from fireflyspread.programs._budget import Budget
from fireflyspread.programs._history import History
from fireflyspread.recovery import (
    BudgetReserved,
    ProgramEnded,
    ProgramOpened,
    ProgramSnapshot,
    Record,
    SessionHeld,
    SessionReleased,
    TurnFailed,
    TurnRecorded,
)

__all__ = ["Program", "RunningTurn", "Step", "StepKind"]


@define(kw_only=True)
class RunningTurn:
    """A turn that waits for a replica or has been dispatched."""

    number: int
    request_digest: str
    answer: AnswerLog = field(factory=AnswerLog)


class StepKind(enum.StrEnum):
    """How a received turn is handled."""

    START = "start"
    ATTACH = "attach"
    REPLAY = "replay"


@frozen(kw_only=True)
class Step:
    """How to handle a received turn.

    Attributes
    ----------
    running : RunningTurn or None
        Turn to run (START) or to wait for (ATTACH).
    record : TurnRecorded or None
        Recorded turn to return (REPLAY).
    """

    kind: StepKind
    running: RunningTurn | None = None
    record: TurnRecorded | None = None


@define(kw_only=True, eq=False)
class Program:
    """State of one program on its owner node.

    Attributes
    ----------
    turns : list of TurnRecorded
        Recorded turns in order.
    running : RunningTurn or None
        Turn in progress.
    sessions : set of str
        Replicas that may hold a session of the program.
    holder : str or None
        Replica that served the latest turn and may still hold its KV cache.
    last_active : float
        Monotonic time of the last change in seconds.
    """

    opened: ProgramOpened
    budget: Budget
    history: History
    turns: list[TurnRecorded] = field(factory=list)
    running: RunningTurn | None = None
    sessions: set[str] = field(factory=set)
    ended: ProgramEnded | None = None
    holder: str | None = None
    last_active: float = 0.0

    @classmethod
    def from_record(cls, opened: ProgramOpened) -> "Program":
        """Build a program without turns."""
        return cls(
            opened=opened,
            budget=Budget(limit=opened.budget, reserved=opened.reserved),
            history=History(opened.subject),
        )

    @property
    def id(self) -> str:
        """Program id."""
        return self.opened.subject

    @property
    def slot(self) -> int:
        """Slot of the program."""
        return self.opened.slot

    @property
    def team(self) -> str:
        """Team whose key opened the program."""
        return self.opened.team

    @property
    def context_tokens(self) -> int:
        """Tokens of the history by the latest count of an engine."""
        return next((t.context_tokens for t in reversed(self.turns)), 0)

    def accept_turn(self, number: int, request_digest: str) -> Step:
        """Start, join or replay turn ``number``.

        Raises
        ------
        TurnConflictError
            The turn was already sent with another body.
        OutOfOrderError
            ``number`` is not the number of the next turn.
        ProgramEndedError
            The program accepts no new turns.
        """
        if 1 <= number <= len(self.turns):
            record = self.turns[number - 1]
            self._require_same(number, record.request_digest, request_digest)
            return Step(kind=StepKind.REPLAY, record=record)
        if number != len(self.turns) + 1:
            raise OutOfOrderError(
                f"turn {number} is not next; send turn {len(self.turns) + 1}"
            )
        if self.running is not None:
            self._require_same(number, self.running.request_digest, request_digest)
            return Step(kind=StepKind.ATTACH, running=self.running)
        if self.ended is not None:
            raise ProgramEndedError(
                f"the program has ended ({self.ended.reason}); open a new one"
            )
        self.running = RunningTurn(number=number, request_digest=request_digest)
        return Step(kind=StepKind.START, running=self.running)

    def apply(self, record: Record) -> None:
        """Apply a journal record of this program."""
        match record:
            case TurnRecorded():
                self.history.extend(record.added, chain=record.chain)
                self.turns.append(record)
                self.budget.settle(record.spent)
                self.budget.reserved = record.reserved
            case TurnFailed():
                self.budget.settle(record.spent)
                self.budget.reserved = 0
            case BudgetReserved():
                self.budget.reserved = record.reserved
            case SessionHeld():
                self.sessions.add(record.replica)
            case SessionReleased():
                self.sessions.discard(record.replica)
            case ProgramEnded():
                self.ended = record
                self.budget.reserved = 0

    def stop_running(self, error: Exception | None = None) -> None:
        """Remove the running turn and end its answer."""
        if self.running is not None:
            self.running.answer.close(error)
            self.running = None

    def snapshot(self) -> ProgramSnapshot:
        """Return a record from which the program can be rebuilt."""
        return ProgramSnapshot(
            slot=self.slot,
            subject=self.id,
            opened=self.opened,
            turns=tuple(self.turns),
            spent=self.budget.spent,
            reserved=self.budget.reserved,
            sessions=tuple(sorted(self.sessions)),
            ended=self.ended,
        )

    @classmethod
    def from_snapshot(cls, snapshot: ProgramSnapshot) -> "Program":
        """Rebuild a program; the table adds the draws of its sub-agents."""
        program = cls.from_record(snapshot.opened)
        for turn in snapshot.turns:
            program.history.extend(turn.added, chain=turn.chain)
            program.turns.append(turn)
        program.budget.spent = snapshot.spent
        program.budget.reserved = snapshot.reserved
        program.sessions = set(snapshot.sessions)
        program.ended = snapshot.ended
        return program

    def iterate_messages(self) -> Iterator[bytes]:
        """Yield the JSON array of messages that each turn added."""
        for turn in self.turns:
            yield turn.added

    def _require_same(self, number: int, known: str, received: str) -> None:
        if known != received:
            raise TurnConflictError(
                f"turn {number} was already sent with another body; "
                "repeat the first body or send the next turn"
            )
