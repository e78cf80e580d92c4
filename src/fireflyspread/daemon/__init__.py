"""The daemon ``fireflyspreadd``."""

from fireflyspread.daemon._main import main
from fireflyspread.daemon._node import NodeDaemon

__all__ = ["NodeDaemon", "main"]
