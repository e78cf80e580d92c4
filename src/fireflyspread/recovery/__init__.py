"""Durability and failover: store, journal, membership, authority, takeover."""

from fireflyspread.recovery._announcements import JoinStage, NodeAddress
from fireflyspread.recovery._authority import Authority
from fireflyspread.recovery._batching import (
    SMALL_FLEET_NODES,
    compute_batch_delay,
)
from fireflyspread.recovery._combiner import WriteCombiner, WriteConflictError
from fireflyspread.recovery._delegates import DelegateChoice
from fireflyspread.recovery._feed import (
    FEEDERS_PER_ZONE,
    FeedAnswer,
    FeedChoice,
    FeedStatus,
)
from fireflyspread.recovery._feed_source import FeedPeers, FeedSource
from fireflyspread.recovery._follower import PrefixFollower, PrefixListener
from fireflyspread.recovery._held import HeldRecords
from fireflyspread.recovery._journal import Durability, Journal
from fireflyspread.recovery._members import Member, MembersDocument, SlotRow
from fireflyspread.recovery._membership import Membership
from fireflyspread.recovery._ownership import Ownership
from fireflyspread.recovery._peers import Peers, RenewalResponse
from fireflyspread.recovery._records import (
    BudgetReserved,
    IntentAbandoned,
    IntentDeclared,
    OutcomeRecorded,
    ProgramEnded,
    ProgramOpened,
    ProgramSnapshot,
    Record,
    SessionHeld,
    SessionReleased,
    SnapshotTaken,
    TurnFailed,
    TurnRecorded,
    decode_records,
    encode_records,
)
from fireflyspread.recovery._roster import (
    LEASE_SECONDS,
    LOAN_SERVER_LEASES_PREFIX,
    LOAN_SERVERS_PREFIX,
    ROSTER_PREFIX,
    Roster,
)
from fireflyspread.recovery._slots import SLOT_COUNT, SlotState, find_slot
from fireflyspread.recovery._store import (
    WRITES_PER_TRANSACTION,
    Change,
    ChangeSource,
    Entry,
    Snapshot,
    SnapshotStore,
    Store,
    Write,
)
from fireflyspread.recovery._store_journal import Holder, StoreJournal

__all__ = [
    "FEEDERS_PER_ZONE",
    "LOAN_SERVERS_PREFIX",
    "LOAN_SERVER_LEASES_PREFIX",
    "LEASE_SECONDS",
    "ROSTER_PREFIX",
    "JoinStage",
    "NodeAddress",
    "PrefixFollower",
    "PrefixListener",
    "Roster",
    "WriteCombiner",
    "WriteConflictError",
    "WRITES_PER_TRANSACTION",
    "Snapshot",
    "SnapshotStore",
    "Write",
    "SLOT_COUNT",
    "SMALL_FLEET_NODES",
    "Authority",
    "BudgetReserved",
    "Change",
    "ChangeSource",
    "DelegateChoice",
    "Durability",
    "Entry",
    "FeedAnswer",
    "FeedChoice",
    "FeedPeers",
    "FeedSource",
    "FeedStatus",
    "HeldRecords",
    "Holder",
    "IntentAbandoned",
    "IntentDeclared",
    "Journal",
    "Member",
    "MembersDocument",
    "Membership",
    "OutcomeRecorded",
    "Ownership",
    "Peers",
    "ProgramEnded",
    "ProgramOpened",
    "ProgramSnapshot",
    "RenewalResponse",
    "Record",
    "SessionHeld",
    "SessionReleased",
    "SlotRow",
    "SlotState",
    "SnapshotTaken",
    "Store",
    "StoreJournal",
    "TurnFailed",
    "TurnRecorded",
    "compute_batch_delay",
    "decode_records",
    "encode_records",
    "find_slot",
]
