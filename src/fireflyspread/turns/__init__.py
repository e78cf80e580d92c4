"""Turns that are kept so that callers can continue from them."""

from fireflyspread.turns._delegates import TurnDelegates
from fireflyspread.turns._interfaces import DiskAnswer, TurnDisks, TurnPeers
from fireflyspread.turns._keeper import TurnKeeper, TurnLimits
from fireflyspread.turns._memory import TurnMemory
from fireflyspread.turns._recorder import TurnRecorder
from fireflyspread.turns._store import TurnStore, count_batch
from fireflyspread.turns._turn import Turn, decode_turn, encode_turn, extract_data
from fireflyspread.turns._writer import TurnWriter

__all__ = [
    "DiskAnswer",
    "Turn",
    "TurnDelegates",
    "TurnDisks",
    "TurnKeeper",
    "TurnLimits",
    "TurnMemory",
    "TurnPeers",
    "TurnRecorder",
    "TurnStore",
    "TurnWriter",
    "count_batch",
    "decode_turn",
    "encode_turn",
    "extract_data",
]
