"""HTTP API for callers."""

from fireflyspread.callers._api import CallerApi
from fireflyspread.callers._authentication import Authenticator
from fireflyspread.callers._context import Context
from fireflyspread.callers._guard import RequestGuard

__all__ = ["Authenticator", "CallerApi", "Context", "RequestGuard"]
