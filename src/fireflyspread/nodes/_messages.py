"""Typed messages between nodes, MessagePack by msgspec."""

import msgspec

from fireflyspread.exceptions import PeerError, UnsupportedVersionError
from fireflyspread.loans import Loan

__all__ = [
    "MESSAGE_VERSION",
    "AcquireTokens",
    "AllowanceTaken",
    "AuthorityRenewed",
    "BudgetReserved",
    "BundleFetched",
    "ConfigFetched",
    "ConfirmFence",
    "Failed",
    "FenceConfirmed",
    "FetchBundle",
    "FetchConfig",
    "Hello",
    "HoldRecords",
    "ListLoans",
    "LoanNoted",
    "LoansListed",
    "Message",
    "NoteDrawn",
    "NoteLoan",
    "RecordsHeld",
    "RecordsTaken",
    "RenewAuthority",
    "ReserveBudget",
    "ReturnBudget",
    "TakeAllowance",
    "TakeRecords",
    "TokensGranted",
    "decode_message",
    "encode_message",
]

MESSAGE_VERSION = 1


class Message(msgspec.Struct, frozen=True, kw_only=True, tag_field="kind", tag=True):
    """Base of all messages.

    Attributes
    ----------
    node, incarnation : str
        Sender.
    """

    node: str = ""
    incarnation: str = ""
    version: int = MESSAGE_VERSION


class Hello(Message, frozen=True, kw_only=True):
    """What the sender knows; answered by the same of the other node.

    Attributes
    ----------
    epoch : int
        Epoch of the members document.
    bundle_version : int
        Bundle in force.
    leaving : tuple of str
        VMs that are leaving.
    quarantined : tuple of str
        Fingerprints of requests that crash targets.
    suspects : tuple of str
        Fingerprints of requests in flight at one crash.
    in_force_since : float
        Seconds the bundle has been in force on the sender.
    """

    epoch: int
    bundle_version: int
    leaving: tuple[str, ...] = ()
    quarantined: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()


class RenewAuthority(Message, frozen=True, kw_only=True):
    """The sender asks its monitor not to remove it."""

    epoch: int
    bundle_version: int


class AuthorityRenewed(Message, frozen=True, kw_only=True):
    """Answer to ``RenewAuthority``.

    Attributes
    ----------
    granted : bool
        Whether the monitor will not remove the node for ``seconds``.
    document : bytes
        The members document when it is newer than the asking node's, else empty.
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
    """The sender is short of a team's rate tokens.

    Attributes
    ----------
    patience : float
        Seconds that the tokens may come later.
    requests, seconds : float
        Demand of a program that begins; 0 requests for other requests.
    """

    team: str
    amount: float
    epoch: int
    patience: float = 0.0
    requests: float = 0.0
    seconds: float = 0.0


class TokensGranted(Message, frozen=True, kw_only=True):
    """The amount was taken from the answerer's share before this was sent.

    Attributes
    ----------
    delay : float
        Seconds after which the tokens may be used.
    """

    amount: float
    retry_after: float = 0.0
    delay: float = 0.0


class ReserveBudget(Message, frozen=True, kw_only=True):
    """The sender wants tokens set aside for a turn of a program kept here."""

    program: str
    budget: int
    most: int
    may_lend: bool = False


class BudgetReserved(Message, frozen=True, kw_only=True):
    """Tokens set aside.

    Attributes
    ----------
    code : str
        Empty, or the code of the error that tells why there are none.
    """

    tokens: int
    is_new: bool = False
    drawn: int = 0
    code: str = ""
    reason: str = ""


class NoteDrawn(Message, frozen=True, kw_only=True):
    """Another node has drawn for a program that the receiver keeps; answered by
    ``BudgetReserved`` of 0 tokens.
    """

    program: str
    budget: int
    drawn: int


class ReturnBudget(Message, frozen=True, kw_only=True):
    """What a turn did not use; answered by ``BudgetReserved`` of 0 tokens."""

    program: str
    tokens: int


class NoteLoan(Message, frozen=True, kw_only=True):
    """The sender lends to a program, or has drawn for it; write it to the disk.

    Attributes
    ----------
    tokens : int
        Tokens lent; negative when they were drawn afterwards, 0 for other draws.
    drawn : int
        Tokens that all nodes have drawn from the store, if the sender has drawn.
    """

    program: str
    tokens: int
    number: int
    drawn: int = 0


class LoanNoted(Message, frozen=True, kw_only=True):
    """The loan is on the disk.

    Attributes
    ----------
    others : int
        Tokens that other nodes have lent to the program lately.
    drawn : int
        Most tokens that nodes said to have been drawn for the program.
    """

    others: int = 0
    drawn: int = 0


class ListLoans(Message, frozen=True, kw_only=True):
    """The sender wants the loans that may not be in the store."""


class LoansListed(Message, frozen=True, kw_only=True):
    """The loans of the last while."""

    loans: tuple[Loan, ...]


class TakeAllowance(Message, frozen=True, kw_only=True):
    """The sender keeps a program now and wants what is held here.

    Attributes
    ----------
    drawn : dict of str to int
        What each process has drawn by the store's record.
    """

    program: str
    amount: int
    drawn: dict[str, int] = {}


class AllowanceTaken(Message, frozen=True, kw_only=True):
    """Tokens that the answerer has given up."""

    amount: int


class FetchConfig(Message, frozen=True, kw_only=True):
    """The sender wants a configuration newer than ``config_version``."""

    config_version: int


class ConfigFetched(Message, frozen=True, kw_only=True):
    """The configuration in force on the answerer; empty when it is not newer.

    Attributes
    ----------
    is_away : bool
        Whether the answerer does not reach the store either.
    """

    config_version: int
    config: bytes = b""
    is_away: bool = False


class FetchBundle(Message, frozen=True, kw_only=True):
    """The sender wants a bundle newer than ``bundle_version``."""

    bundle_version: int


class BundleFetched(Message, frozen=True, kw_only=True):
    """The bundle in force on the answerer; ``bundle`` is its canonical JSON."""

    bundle_version: int
    bundle: bytes
    fences: dict[str, int]


class HoldRecords(Message, frozen=True, kw_only=True):
    """Keep journal records of the sender while the store does not answer.

    Attributes
    ----------
    journal : str
        Key prefix of the sender's journal.
    records : bytes
        Encoded records.
    position : int
        Number of the first record among the sender's pending records.
    """

    journal: str
    position: int
    records: bytes


class RecordsHeld(Message, frozen=True, kw_only=True):
    """The records are held."""

    position: int


class TakeRecords(Message, frozen=True, kw_only=True):
    """The sender has sealed ``journal`` and wants the records held for it."""

    journal: str


class RecordsTaken(Message, frozen=True, kw_only=True):
    """Records that were held, in the order of writing."""

    records: tuple[bytes, ...]


class ConfirmFence(Message, frozen=True, kw_only=True):
    """Ask whether the node still acts on a target under an older bundle."""

    target: str
    bundle_version: int


class FenceConfirmed(Message, frozen=True, kw_only=True):
    """Answer to ``ConfirmFence``; ``in_flight`` counts actions under older ones."""

    bundle_version: int
    in_flight: int


class Failed(Message, frozen=True, kw_only=True):
    """The answerer could not do what was asked."""

    code: str
    reason: str


AnyMessage = (
    Hello
    | RenewAuthority
    | AuthorityRenewed
    | AcquireTokens
    | TokensGranted
    | ReserveBudget
    | BudgetReserved
    | ReturnBudget
    | NoteDrawn
    | NoteLoan
    | LoanNoted
    | ListLoans
    | LoansListed
    | TakeAllowance
    | AllowanceTaken
    | FetchConfig
    | ConfigFetched
    | FetchBundle
    | BundleFetched
    | HoldRecords
    | RecordsHeld
    | TakeRecords
    | RecordsTaken
    | ConfirmFence
    | FenceConfirmed
    | Failed
)

_DECODER = msgspec.msgpack.Decoder(AnyMessage)


class _Envelope(msgspec.Struct):
    version: int = 0


def encode_message(message: Message) -> bytes:
    """Return the wire form of ``message``."""
    return msgspec.msgpack.encode(message)


def decode_message(data: bytes) -> Message:
    """Return the message in ``data``.

    Raises
    ------
    UnsupportedVersionError
        The message has another version than ``MESSAGE_VERSION``.
    PeerError
        The bytes are not a message.
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
        raise PeerError("the bytes are not a message of this system") from exc
