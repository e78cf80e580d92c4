"""HTTP API for callers."""

from fireflyspread.callers._api import CallerApi
from fireflyspread.callers._context import Context
from fireflyspread.callers._guard import RequestGuard
from fireflyspread.callers._identity import Authenticator

__all__ = ["Authenticator", "CallerApi", "Context", "RequestGuard"]
