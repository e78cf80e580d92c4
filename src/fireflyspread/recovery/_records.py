"""Records of the journal, encoded as MessagePack.

They are msgspec structs instead of attrs classes, because msgspec cannot decode a
tagged union into attrs classes.
"""

import msgspec

__all__ = [
    "BudgetReserved",
    "IntentAbandoned",
    "IntentDeclared",
    "OutcomeRecorded",
    "ProgramEnded",
    "ProgramOpened",
    "ProgramSnapshot",
    "Record",
    "SessionHeld",
    "SessionReleased",
    "TurnFailed",
    "SnapshotTaken",
    "TurnRecorded",
    "decode_records",
    "encode_records",
]


class Record(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=True):
    """Base of all records.

    Attributes
    ----------
    slot : int
        Slot of the program or intent.
    subject : str
        Program id, or ``team/idempotency key`` of an intent.
    """

    slot: int
    subject: str


class ProgramOpened(Record, frozen=True, kw_only=True):
    """A program was opened.

    Attributes
    ----------
    budget : int
        Tokens the program may use.
    reserved : int
        Tokens reserved for the first turn.
    opened_at : float
        Seconds since the Unix epoch.
    """

    team: str
    budget: int
    reserved: int
    opened_at: float
    parent: str | None = None


class TurnRecorded(Record, frozen=True, kw_only=True):
    """A turn was completed.

    Attributes
    ----------
    request_digest : str
        SHA-256 of the caller's body.
    added : bytes
        JSON array of the messages that the turn added to the history, the
        answer being the last.
    answer : bytes
        The answer as the caller received it, without streaming frames.
    spent : int
        Tokens the turn used.
    reserved : int
        Tokens reserved for the next turn.
    chain : str
        SHA-256 over the previous chain value and ``added``.
    context_tokens : int
        Tokens of the whole history after the turn, as the engine counted them.
    """

    turn: int
    request_digest: str
    added: bytes
    answer: bytes
    spent: int
    reserved: int
    chain: str
    context_tokens: int = 0
    status: int = 200


class TurnFailed(Record, frozen=True, kw_only=True):
    """A turn ended without an answer; ``spent`` tokens are charged for it."""

    turn: int
    spent: int


class BudgetReserved(Record, frozen=True, kw_only=True):
    """Tokens were reserved for the next turn beyond what the last record reserved."""

    reserved: int


class SessionHeld(Record, frozen=True, kw_only=True):
    """A replica holds engine memory for the program."""

    replica: str


class SessionReleased(Record, frozen=True, kw_only=True):
    """A replica confirmed that it holds no engine memory for the program."""

    replica: str


class ProgramEnded(Record, frozen=True, kw_only=True):
    """The program takes no more calls.

    Attributes
    ----------
    spent : int
        Tokens used in total; settles the draw on the parent's budget.
    """

    reason: str
    spent: int


class ProgramSnapshot(Record, frozen=True, kw_only=True):
    """Whole state of a program, for compaction and change of owner."""

    opened: ProgramOpened
    turns: tuple[TurnRecorded, ...]
    spent: int
    reserved: int
    sessions: tuple[str, ...] = ()
    ended: ProgramEnded | None = None


class IntentDeclared(Record, frozen=True, kw_only=True):
    """A non-idempotent request is about to be dispatched.

    Attributes
    ----------
    body_digest : str
        SHA-256 of the caller's body.
    declared_at : float
        Seconds since the Unix epoch.
    """

    body_digest: str
    route: str
    declared_at: float


class IntentAbandoned(Record, frozen=True, kw_only=True):
    """A declared request was not dispatched and never will be."""


class OutcomeRecorded(Record, frozen=True, kw_only=True):
    """A non-idempotent request was answered by its target.

    Attributes
    ----------
    recorded_at : float
        Seconds since the Unix epoch.
    """

    status: int
    content_type: str
    body: bytes
    recorded_at: float


class SnapshotTaken(Record, frozen=True, kw_only=True):
    """The next ``count`` records of the journal are the whole state of the slot."""

    count: int


AnyRecord = (
    ProgramOpened
    | TurnRecorded
    | TurnFailed
    | BudgetReserved
    | SessionHeld
    | SessionReleased
    | ProgramEnded
    | ProgramSnapshot
    | IntentDeclared
    | IntentAbandoned
    | OutcomeRecorded
    | SnapshotTaken
)

_DECODER = msgspec.msgpack.Decoder(tuple[AnyRecord, ...])


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Return the MessagePack form of ``records``."""
    return msgspec.msgpack.encode(records)


def decode_records(data: bytes) -> tuple[Record, ...]:
    """Return the records in ``data``; raises ``msgspec.DecodeError``."""
    return _DECODER.decode(data)
