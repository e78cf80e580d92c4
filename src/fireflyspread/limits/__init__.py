"""Rate limits of teams and of replicas, enforced across all VMs."""

from fireflyspread.limits._demand import Commitments, Demand
from fireflyspread.limits._limiter import RateLimiter
from fireflyspread.limits._replica_limiter import ReplicaLimiter
from fireflyspread.limits._replica_limits import ReplicaLimits
from fireflyspread.limits._shares import GRANT_TIMEOUT, ShareLimiter
from fireflyspread.limits._static import StaticSplitLimiter
from fireflyspread.limits._token_peers import TokenGrant, TokenPeers

__all__ = [
    "GRANT_TIMEOUT",
    "Commitments",
    "Demand",
    "RateLimiter",
    "ReplicaLimiter",
    "ReplicaLimits",
    "ShareLimiter",
    "StaticSplitLimiter",
    "TokenGrant",
    "TokenPeers",
]
