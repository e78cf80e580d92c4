"""Clients of model engines."""

from fireflyspread.engines._engine import (
    Engine,
    EngineLoad,
    EngineRequest,
    Order,
    Usage,
)
from fireflyspread.engines._http import HttpEngine
from fireflyspread.engines._release import SessionReleaser
from fireflyspread.engines._sse import DONE_EVENT, extract_answer

__all__ = [
    "DONE_EVENT",
    "Engine",
    "EngineLoad",
    "EngineRequest",
    "HttpEngine",
    "Order",
    "SessionReleaser",
    "Usage",
    "extract_answer",
]
