"""What must last: store, journal, membership, authority, takeover."""

from fireflyspread.recovery._journal import Durability, Journal
from fireflyspread.recovery._members import Member, MembersDocument, SlotRow
from fireflyspread.recovery._ownership import Ownership
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
    TurnFailed,
    TurnRecorded,
    decode_records,
    encode_records,
)
from fireflyspread.recovery._slots import SLOT_COUNT, SlotState, find_slot
from fireflyspread.recovery._store import Change, Entry, Store
from fireflyspread.recovery._store_journal import Holder, StoreJournal

__all__ = [
    "SLOT_COUNT",
    "BudgetReserved",
    "Change",
    "Durability",
    "Entry",
    "Holder",
    "IntentAbandoned",
    "IntentDeclared",
    "Journal",
    "Member",
    "MembersDocument",
    "OutcomeRecorded",
    "Ownership",
    "ProgramEnded",
    "ProgramOpened",
    "ProgramSnapshot",
    "Record",
    "SessionHeld",
    "SessionReleased",
    "SlotRow",
    "SlotState",
    "Store",
    "StoreJournal",
    "TurnFailed",
    "TurnRecorded",
    "decode_records",
    "encode_records",
    "find_slot",
]
