"""Turns that are kept so that callers can continue from them."""

from fireflyspread.turns._interfaces import DiskAnswer, TurnDisks, TurnPeers
from fireflyspread.turns._keeper import TurnKeeper, TurnLimits
from fireflyspread.turns._memory import TurnMemory
from fireflyspread.turns._recorder import TurnRecorder
from fireflyspread.turns._store import TURNS_PER_WRITE, TurnStore
from fireflyspread.turns._turn import Turn, decode_turn, encode_turn, extract_data
from fireflyspread.turns._writer import TurnWriter

__all__ = [
    "TURNS_PER_WRITE",
    "DiskAnswer",
    "Turn",
    "TurnDisks",
    "TurnKeeper",
    "TurnLimits",
    "TurnMemory",
    "TurnPeers",
    "TurnRecorder",
    "TurnStore",
    "TurnWriter",
    "decode_turn",
    "encode_turn",
    "extract_data",
]
