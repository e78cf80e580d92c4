"""Rates of teams over all VMs together."""

from fireflyspread.limits._demand import Commitments, Demand
from fireflyspread.limits._limiter import RateLimiter
from fireflyspread.limits._shares import ASK_TIMEOUT, ShareLimiter
from fireflyspread.limits._static import StaticSplitLimiter
from fireflyspread.limits._token_peers import TokenGrant, TokenPeers

__all__ = [
    "ASK_TIMEOUT",
    "Commitments",
    "Demand",
    "RateLimiter",
    "ShareLimiter",
    "StaticSplitLimiter",
    "TokenGrant",
    "TokenPeers",
]
