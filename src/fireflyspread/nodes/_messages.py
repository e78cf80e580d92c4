"""Typed messages between nodes, encoded as MessagePack."""

import msgspec

from fireflyspread.exceptions import PeerError, UnsupportedVersionError
from fireflyspread.loans import Loan
from fireflyspread.routing import CrashReport
from fireflyspread.turns import Turn

__all__ = [
    "MESSAGE_VERSION",
    "AcquireTokens",
    "AllowanceTaken",
    "AuthorityRenewed",
    "BeginTrial",
    "BudgetReserved",
    "BudgetWrite",
    "BudgetsWritten",
    "BundleFetched",
    "ChangesFetched",
    "ConfigFetched",
    "ConfirmFence",
    "EndTrial",
    "ExchangeCold",
    "ExchangeCrashes",
    "ExchangeEvacuations",
    "ExchangeLeaving",
    "ExchangeLimits",
    "ExchangeLoads",
    "Failed",
    "FenceConfirmed",
    "FetchBundle",
    "FetchChanges",
    "FetchConfig",
    "FindStream",
    "Hello",
    "HoldRecords",
    "ListLoans",
    "LoanNoted",
    "LoansListed",
    "Message",
    "NoteDrawn",
    "AnnounceNode",
    "NodeNoted",
    "NoteLoan",
    "RecordStreams",
    "RecordsHeld",
    "RecordsTaken",
    "RenewAuthority",
    "ReserveBudget",
    "ReturnBudget",
    "StreamFound",
    "StreamsRecorded",
    "CopyLoans",
    "LoansCopied",
    "TakeAllowance",
    "TakeRecords",
    "TokensGranted",
    "TrialBegun",
    "TrialEnded",
    "WriteBudgets",
    "decode_message",
    "encode_message",
    "KeepTurns",
    "ForgetTurns",
    "FlushTurns",
    "TurnsKept",
    "FindTurn",
    "TurnFound",
]

MESSAGE_VERSION = 1


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=True):
    """Base of all messages.

    Attributes
    ----------
    node, incarnation : str
        Sender.
    version : int
        Version of the message format.
    """

    node: str = ""
    incarnation: str = ""
    version: int = MESSAGE_VERSION


class Hello(Message, frozen=True, kw_only=True):
    """State of the sender; the receiver answers with a ``Hello`` of its own.

    Attributes
    ----------
    epoch : int
        Epoch of the members document.
    bundle_version : int
        Version of the bundle in force.
    leaving : tuple of str
        VMs that the sender has seen leaving in the VM list.
    crashes : CrashReport
        Crashes of replicas that the sender has seen.
    """

    epoch: int
    bundle_version: int
    leaving: tuple[str, ...] = ()
    crashes: CrashReport = msgspec.field(default_factory=CrashReport)


class RenewAuthority(Message, frozen=True, kw_only=True):
    """Asks the monitor of the sender to renew the sender's authority."""

    epoch: int
    bundle_version: int


class AuthorityRenewed(Message, frozen=True, kw_only=True):
    """Answer to ``RenewAuthority``.

    Attributes
    ----------
    granted : bool
        Whether the monitor guarantees not to remove the node for ``seconds``.
    document : bytes
        The members document if it is newer than that of the requesting node, else
        empty.
    revision : int
        Store revision of ``document``.
    """

    granted: bool
    seconds: float
    epoch: int
    bundle_version: int
    document: bytes = b""
    revision: int = 0


class AcquireTokens(Message, frozen=True, kw_only=True):
    """Asks a home node of ``team`` for rate tokens, or for permits of a replica.

    Attributes
    ----------
    team : str
        Name of the team, or share name of the replica, which tells the kind of limit.
    limit : float
        Requests per second that the replica takes; 0 for a team.
    epoch : int
        Epoch of the members document on the sender.
    patience : float
        Maximum delay in seconds until the tokens may be used.
    requests, seconds : float
        Demand of a program that begins; 0 for other requests.
    """

    team: str
    amount: float
    epoch: int
    patience: float = 0.0
    requests: float = 0.0
    seconds: float = 0.0
    limit: float = 0.0


class TokensGranted(Message, frozen=True, kw_only=True):
    """Answer to ``AcquireTokens``; ``amount`` is already taken from the share.

    Attributes
    ----------
    retry_after : float
        Seconds after which to ask again for what was not granted.
    delay : float
        Seconds after which the tokens may be used.
    """

    amount: float
    retry_after: float = 0.0
    delay: float = 0.0


class ReserveBudget(Message, frozen=True, kw_only=True):
    """Asks the owner of a program's budget account to reserve tokens for a turn.

    Attributes
    ----------
    budget : int
        Budget of the program in tokens.
    most : int
        Tokens to reserve.
    may_lend : bool
        Whether the receiver may lend tokens while the store is unavailable.
    max_wait : float
        Seconds that the sender waits for the answer; 0 if it does not say.
    """

    program: str
    budget: int
    most: int
    may_lend: bool = False
    max_wait: float = 0.0


class BudgetReserved(Message, frozen=True, kw_only=True):
    """Answer to ``ReserveBudget``.

    Attributes
    ----------
    tokens : int
        Tokens reserved.
    is_new : bool
        Whether the program has used nothing so far and no other turn of it runs.
    drawn : int
        Tokens that nodes have drawn from the store, as far as is known.
    code : str
        Code of the error if nothing was reserved, else empty.
    reason : str
        Message of that error.
    has_helpers : bool
        Whether the node writes through other nodes if the store refuses it, so that no
        other node need draw in its place.
    """

    tokens: int
    is_new: bool = False
    drawn: int = 0
    code: str = ""
    reason: str = ""
    has_helpers: bool = False


class BudgetWrite(msgspec.Struct, frozen=True, kw_only=True):
    """One conditional write of a budget record.

    Attributes
    ----------
    record : str
        Key of the record without the prefix that all records have.
    value : bytes or None
        None deletes the record.
    revision : int
        Expected revision of the record; 0 means that it must not exist.
    """

    record: str
    value: bytes | None
    revision: int


class WriteBudgets(Message, frozen=True, kw_only=True):
    """Asks the receiver to write budget records that the store refuses the sender."""

    writes: tuple[BudgetWrite, ...]


class BudgetsWritten(Message, frozen=True, kw_only=True):
    """Answer to ``WriteBudgets``.

    Attributes
    ----------
    revision : int
        Revision of the writes; 0 if a condition did not hold or the writes failed.
    found : tuple of BudgetWrite
        The current records if a condition did not hold, those that exist.
    code, reason : str
        Code and message of the error if the writes failed, else empty.
    """

    revision: int = 0
    found: tuple[BudgetWrite, ...] = ()
    code: str = ""
    reason: str = ""


class NoteDrawn(Message, frozen=True, kw_only=True):
    """Reports a draw on a program's budget to the owner of its account.

    Answered by ``BudgetReserved`` with 0 tokens.

    Attributes
    ----------
    budget : int
        Budget of the program in tokens.
    drawn : int
        Tokens that all nodes have drawn from the store.
    """

    program: str
    budget: int
    drawn: int


class ReturnBudget(Message, frozen=True, kw_only=True):
    """Returns the tokens that a turn reserved and did not use.

    Answered by ``BudgetReserved`` with 0 tokens.
    """

    program: str
    tokens: int


class NoteLoan(Message, frozen=True, kw_only=True):
    """Asks the receiver to write a loan or a draw of the sender to its disk.

    Attributes
    ----------
    tokens : int
        Tokens lent; negative for a draw that repays a loan, 0 for other draws.
    number : int
        Unique among the loans of the sender.
    drawn : int
        Tokens that all nodes have drawn from the store, for a draw; else 0.
    budget : int
        Budget of the program, for a loan; 0 if the node of an earlier release does
        not tell it.
    """

    program: str
    tokens: int
    number: int
    drawn: int = 0
    budget: int = 0


class LoanNoted(Message, frozen=True, kw_only=True):
    """Answer to ``NoteLoan``, sent when the loan is on the disk.

    Attributes
    ----------
    others : int
        Tokens that other nodes have recently lent to the program.
    drawn : int
        Highest number of tokens drawn for the program that any node has reported.
    is_intact : bool
        Whether the receiver has all that was ever written to it. If not, its figures
        may be too low.
    """

    others: int = 0
    drawn: int = 0
    is_intact: bool = True


class ListLoans(Message, frozen=True, kw_only=True):
    """Asks for the loans that may not be in the store yet.

    Attributes
    ----------
    has_draws : bool
        Whether to list also the draws that another loan server needs to replace this
        one.
    is_check : bool
        Whether to list nothing and only tell whether the loans are intact.
    """

    has_draws: bool = False
    is_check: bool = False


class LoansListed(Message, frozen=True, kw_only=True):
    """Answer to ``ListLoans``: the recent loans.

    Attributes
    ----------
    is_intact : bool
        Whether the receiver has all loans that were ever written to it.
    """

    loans: tuple[Loan, ...]
    is_intact: bool = True


class CopyLoans(Message, frozen=True, kw_only=True):
    """Asks a loan server to write entries of others to its disk.

    Attributes
    ----------
    is_complete : bool
        Whether these are all entries that the receiver may have lost with its disk.
    """

    loans: tuple[Loan, ...]
    is_complete: bool = False


class LoansCopied(Message, frozen=True, kw_only=True):
    """Answer to ``CopyLoans``, sent when the entries are on the disk."""


class TakeAllowance(Message, frozen=True, kw_only=True):
    """Asks a previous owner of a program's budget account for unspent tokens.

    Attributes
    ----------
    amount : int
        Maximum number of tokens to hand over.
    drawn : dict of str to int
        Tokens that each process has drawn, as recorded in the store.
    request : str
        Id under which the request is repeated until it is answered; empty if the
        node of an earlier release does not repeat it.
    """

    program: str
    amount: int
    drawn: dict[str, int] = {}
    request: str = ""


class AllowanceTaken(Message, frozen=True, kw_only=True):
    """Answer to ``TakeAllowance``.

    Attributes
    ----------
    amount : int
        Tokens handed over to the requesting node.
    recipients : tuple of str
        Nodes to which tokens of the program were handed over before.
    """

    amount: int
    recipients: tuple[str, ...] = ()


class FetchConfig(Message, frozen=True, kw_only=True):
    """Asks for a configuration newer than ``config_version``."""

    config_version: int


class ConfigFetched(Message, frozen=True, kw_only=True):
    """Answer to ``FetchConfig``.

    Attributes
    ----------
    config_version : int
        Version active on the answering node.
    config : bytes
        Empty if that version is not newer than the requested one.
    is_away : bool
        Whether the store is unavailable to the answering node.
    """

    config_version: int
    config: bytes = b""
    is_away: bool = False


class FetchBundle(Message, frozen=True, kw_only=True):
    """Asks for a bundle newer than ``bundle_version``."""

    bundle_version: int


class BundleFetched(Message, frozen=True, kw_only=True):
    """Answer to ``FetchBundle``: the bundle in force on the answering node.

    Attributes
    ----------
    bundle : bytes
        Canonical JSON.
    fences : dict of str to int
        Fencing number of each target.
    """

    bundle_version: int
    bundle: bytes
    fences: dict[str, int]


class HoldRecords(Message, frozen=True, kw_only=True):
    """Asks to hold journal records of the sender while the store is unavailable.

    Attributes
    ----------
    journal : str
        Key prefix of the sender's journal.
    position : int
        Position of the first record in the journal.
    records : bytes
        Encoded journal entry; empty releases the held records before ``position``.
    """

    journal: str
    position: int
    records: bytes


class RecordsHeld(Message, frozen=True, kw_only=True):
    """Answer to ``HoldRecords``: the records are held."""

    position: int


class TakeRecords(Message, frozen=True, kw_only=True):
    """Asks for the records held for ``journal``, which the sender has sealed."""

    journal: str


class RecordsTaken(Message, frozen=True, kw_only=True):
    """Answer to ``TakeRecords``: the held records in the order of writing."""

    records: tuple[bytes, ...]


class ExchangeCrashes(Message, frozen=True, kw_only=True):
    """The crash report of the sender; the receiver answers with its own."""

    report: CrashReport


class BeginTrial(Message, frozen=True, kw_only=True):
    """Asks whether a request that was in flight at a crash may run.

    Attributes
    ----------
    request : str
        Unique to the trial.
    seconds : float
        Maximum length of the trial.
    """

    fingerprint: str
    request: str
    seconds: float


class TrialBegun(Message, frozen=True, kw_only=True):
    """Answer to ``BeginTrial``; not granted while an equal request is on trial."""

    granted: bool


class EndTrial(Message, frozen=True, kw_only=True):
    """Reports the end of a trial.

    Attributes
    ----------
    answered : bool
        Whether the replica answered, so that equal requests need no trial.
    """

    fingerprint: str
    request: str
    answered: bool


class TrialEnded(Message, frozen=True, kw_only=True):
    """Answer to ``EndTrial``."""


class ExchangeLimits(Message, frozen=True, kw_only=True):
    """Limits that replicas named; answered with those that the receiver knows.

    Attributes
    ----------
    limits : dict of str to tuple
        Requests per second (None after the end of a limit) and age in seconds by
        replica process.
    """

    limits: dict[str, tuple[float | None, float]]


class ExchangeLeaving(Message, frozen=True, kw_only=True):
    """Replicas that are leaving; answered with those that the receiver knows.

    Attributes
    ----------
    replicas : dict of str to float
        Seconds since the replica said so, by replica process.
    """

    replicas: dict[str, float]


class ExchangeCold(Message, frozen=True, kw_only=True):
    """Replicas that are cold; answered with those that the receiver knows.

    Attributes
    ----------
    replicas : dict of str to tuple
        Service, and seconds for which it stays cold, by replica process.
    """

    replicas: dict[str, tuple[str, float]]


class ExchangeEvacuations(Message, frozen=True, kw_only=True):
    """Zones being evacuated; answered with those that the receiver knows.

    Attributes
    ----------
    revision : int
        Revision of the store up to which the zones are complete.
    """

    zones: list[str]
    revision: int


class ExchangeLoads(Message, frozen=True, kw_only=True):
    """Load of replicas; answered with what all other nodes have on them.

    Attributes
    ----------
    is_aggregator : bool
        Whether the loads are sums over the nodes that report to the sender.
    loads : dict of str to tuple
        Requests, last reported slowdown (1.0 is usual) and its age in seconds, by
        replica process.
    """

    is_aggregator: bool
    loads: dict[str, tuple[int, float | None, float]]


class RecordStreams(Message, frozen=True, kw_only=True):
    """Asks to remember streams.

    Attributes
    ----------
    origins : dict of str to tuple
        Target and software version by the request that began the stream.
    versions : dict of str to tuple
        Versions that targets have now, if the receiver remembers them.
    """

    origins: dict[str, tuple[str, str]]
    versions: dict[str, tuple[str, ...]] = {}


class StreamsRecorded(Message, frozen=True, kw_only=True):
    """Answer to ``RecordStreams``.

    Attributes
    ----------
    versions : dict of str to tuple
        Versions that the targets of the message have or recently had.
    """

    versions: dict[str, tuple[str, ...]] = {}


class FindStream(Message, frozen=True, kw_only=True):
    """Asks which version of a target began the stream of a request."""

    request: str
    target: str


class StreamFound(Message, frozen=True, kw_only=True):
    """Answer to ``FindStream``.

    Attributes
    ----------
    origin : tuple or None
        Target and software version; None if the node does not know the stream.
    versions : tuple of str
        Versions that the target recently had, as far as the node knows.
    is_complete : bool
        Whether a loan server knows all versions that the target recently had. Loan
        servers of earlier releases do not tell.
    """

    origin: tuple[str, str] | None
    versions: tuple[str, ...]
    is_complete: bool = True


class KeepTurns(Message, frozen=True, kw_only=True):
    """Asks a node to remember turns, or a loan server to write them to its disk.

    Attributes
    ----------
    is_durable : bool
        Whether a node answers only once the turns are durable.
    is_delegated : bool
        Whether the sender writes the turns itself if the node cannot write them to the
        store. The node then refuses at once, and does not remember the turns.
    """

    turns: tuple[Turn, ...]
    is_durable: bool = False
    is_delegated: bool = False


class ForgetTurns(Message, frozen=True, kw_only=True):
    """Tells a loan server that the store has turns."""

    turns: tuple[str, ...]


class FlushTurns(Message, frozen=True, kw_only=True):
    """Asks a loan server to write all its turns to the store."""


class TurnsKept(Message, frozen=True, kw_only=True):
    """Answer to ``KeepTurns``, ``ForgetTurns`` and ``FlushTurns``."""


class FindTurn(Message, frozen=True, kw_only=True):
    """Asks for a turn.

    Attributes
    ----------
    is_search : bool
        Whether a node also looks in the store and on the disks.
    """

    turn: str
    is_search: bool = False


class TurnFound(Message, frozen=True, kw_only=True):
    """Answer to ``FindTurn``.

    Attributes
    ----------
    turn : Turn or None
        None if the process does not have it.
    complete_since : float
        Unix seconds; turns that ended earlier may have been lost with a disk.
    """

    turn: Turn | None
    complete_since: float = 0.0


class FetchChanges(Message, frozen=True, kw_only=True):
    """Asks a feeder for the changes of the store under a prefix.

    Attributes
    ----------
    after : int
        Store revision up to which the sender knows the changes.
    wait : float
        Seconds after which to answer without changes.
    """

    prefix: str
    after: int
    wait: float


class ChangesFetched(Message, frozen=True, kw_only=True):
    """Answer to ``FetchChanges``.

    Attributes
    ----------
    status : str
        A ``FeedStatus``.
    changes : tuple of (str, bytes or None, int)
        Key, value or None if it was deleted, and store revision of each change.
    revision : int
        Store revision up to which the changes are complete.
    age : float
        Seconds since the store has answered the feeder.
    """

    status: str
    changes: tuple[tuple[str, bytes | None, int], ...] = ()
    revision: int = 0
    age: float = 0.0


class AnnounceNode(Message, frozen=True, kw_only=True):
    """Tells the receiver of the sender, which joins the nodes that share rates.

    Attributes
    ----------
    zone, peers, relay, stage : str
        See ``NodeAddress``.
    """

    zone: str
    peers: str
    relay: str = ""
    stage: str


class NodeNoted(Message, frozen=True, kw_only=True):
    """Answer to ``AnnounceNode``, sent when the receiver counts the sender.

    Attributes
    ----------
    zone, peers, relay, stage : str
        See ``NodeAddress``; those of the receiver.
    """

    zone: str
    peers: str
    relay: str = ""
    stage: str


class ConfirmFence(Message, frozen=True, kw_only=True):
    """Asks whether the node still acts on a target under an older bundle."""

    target: str
    bundle_version: int


class FenceConfirmed(Message, frozen=True, kw_only=True):
    """Answer to ``ConfirmFence``.

    Attributes
    ----------
    bundle_version : int
        Version in force on the answering node.
    in_flight : int
        Actions under older versions that are still in flight.
    """

    bundle_version: int
    in_flight: int


class Failed(Message, frozen=True, kw_only=True):
    """Answer to a request that failed, with the code and message of the error."""

    code: str
    reason: str


AnyMessage = (
    Hello
    | RenewAuthority
    | AuthorityRenewed
    | AcquireTokens
    | BeginTrial
    | TrialBegun
    | EndTrial
    | TrialEnded
    | TokensGranted
    | ReserveBudget
    | BudgetReserved
    | WriteBudgets
    | BudgetsWritten
    | ReturnBudget
    | NoteDrawn
    | AnnounceNode
    | NodeNoted
    | NoteLoan
    | LoanNoted
    | ListLoans
    | LoansListed
    | CopyLoans
    | LoansCopied
    | TakeAllowance
    | AllowanceTaken
    | FetchConfig
    | ConfigFetched
    | FetchBundle
    | BundleFetched
    | FetchChanges
    | ChangesFetched
    | HoldRecords
    | RecordsHeld
    | TakeRecords
    | RecordsTaken
    | ExchangeCrashes
    | ExchangeLimits
    | ExchangeLeaving
    | ExchangeEvacuations
    | ExchangeCold
    | ExchangeLoads
    | RecordStreams
    | StreamsRecorded
    | FindStream
    | StreamFound
    | KeepTurns
    | ForgetTurns
    | FlushTurns
    | TurnsKept
    | FindTurn
    | TurnFound
    | ConfirmFence
    | FenceConfirmed
    | Failed
)

_DECODER = msgspec.msgpack.Decoder(AnyMessage)


class _Envelope(msgspec.Struct):
    version: int = 0


def encode_message(message: Message) -> bytes:
    """Return ``message`` as MessagePack."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message in ``data``.

    Raises
    ------
    UnsupportedVersionError
        The message has another version than ``MESSAGE_VERSION``.
    PeerError
        The bytes cannot be decoded as a message.
    """
    try:
        version = msgspec.msgpack.decode(data, type=_Envelope).version
        if version != MESSAGE_VERSION:
            raise UnsupportedVersionError(
                f"message version {version} is not {MESSAGE_VERSION}; "
                "run the same release on all nodes"
            )
        return _DECODER.decode(data)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise PeerError(f"cannot decode a message of {len(data)} bytes") from exc
