"""Clients of model engines."""

from fireflyspread.engines._engine import (
    Engine,
    EngineLoad,
    EngineRequest,
    Order,
    Usage,
)

__all__ = ["Engine", "EngineLoad", "EngineRequest", "Order", "Usage"]
