"""Budget records as they are kept in the store."""

import logging

import msgspec
import xxhash

from fireflyspread._decoding import decode_json
from fireflyspread.budgets._account import (
    LOST_NODES,
    Account,
    ProgramRecord,
    is_lost_process,
)

__all__ = [
    "RECORDS_PREFIX",
    "count_live_loans",
    "decode_record",
    "encode_record",
    "make_lost_record",
    "make_record_key",
]

_LOG = logging.getLogger(__name__)

RECORDS_PREFIX = "programs/"


def count_live_loans(account: Account, lent: int) -> int:
    """Return the tokens lent without those of lost nodes, which count as drawn."""
    drawn = {} if account.record is None else account.record.drawn
    lost = sum(n for process, n in drawn.items() if is_lost_process(process))
    return max(0, lent - lost)


def make_lost_record(account: Account, tokens: int) -> ProgramRecord:
    """Return a record of tokens that others have drawn, as far as is reported."""
    drawn = {LOST_NODES: min(account.budget, tokens)}
    return ProgramRecord(budget=account.budget, drawn=drawn)


def make_record_key(program: str) -> str:
    """Return the key of a program's record."""
    # Callers choose program ids, so they may be long and contain any character.
    return RECORDS_PREFIX + xxhash.xxh3_128_hexdigest(program.encode())


def encode_record(record: ProgramRecord) -> bytes:
    """Return the value of a record."""
    return msgspec.json.encode(record)


def decode_record(value: bytes, account: Account) -> ProgramRecord:
    """Return the record in ``value``; the whole budget is spent if it is damaged."""
    try:
        return decode_json(value, ProgramRecord)
    except msgspec.DecodeError as exc:
        _LOG.error(
            "budget record cannot be decoded, the whole budget counts as spent: %s",
            exc,
            extra={"program": account.program},
        )
        return ProgramRecord(budget=account.budget, drawn={LOST_NODES: account.budget})
