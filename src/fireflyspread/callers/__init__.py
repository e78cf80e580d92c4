"""HTTP API for callers."""

from fireflyspread.callers._api import CallerApi
from fireflyspread.callers._context import Context
from fireflyspread.callers._identity import Authenticator
from fireflyspread.callers._keys import KeyGuard

__all__ = ["Authenticator", "CallerApi", "Context", "KeyGuard"]
