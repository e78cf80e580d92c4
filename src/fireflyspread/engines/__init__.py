"""Clients of model engines."""

from fireflyspread.engines._engine import (
    Engine,
    EngineLoad,
    EngineRequest,
    Order,
    SessionReleaser,
    Usage,
)
from fireflyspread.engines._http import HttpEngine
from fireflyspread.engines._poll import ReplicaPoller
from fireflyspread.engines._sse import DONE_EVENT, extract_answer, extract_partial
from fireflyspread.engines._sweep import SessionSweeper
from fireflyspread.engines._tasks import ReplicaTasks

__all__ = [
    "DONE_EVENT",
    "Engine",
    "EngineLoad",
    "EngineRequest",
    "HttpEngine",
    "Order",
    "ReplicaPoller",
    "ReplicaTasks",
    "SessionReleaser",
    "SessionSweeper",
    "Usage",
    "extract_answer",
    "extract_partial",
]
