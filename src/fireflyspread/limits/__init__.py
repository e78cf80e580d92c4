"""Rate limits of teams and of replicas, enforced across all VMs."""

from fireflyspread.limits._cold_replicas import (
    COLD_PREFIX,
    ColdReplicas,
    ColdRule,
    make_cold_rules,
)
from fireflyspread.limits._demand import Commitments, Demand
from fireflyspread.limits._limiter import RateLimiter
from fireflyspread.limits._replica_limiter import PermitLimiter, ReplicaLimiter
from fireflyspread.limits._replica_limits import ReplicaLimits
from fireflyspread.limits._shares import GRANT_TIMEOUT, ShareLimiter
from fireflyspread.limits._static import StaticSplitLimiter
from fireflyspread.limits._token_peers import TokenGrant, TokenPeers

__all__ = [
    "COLD_PREFIX",
    "GRANT_TIMEOUT",
    "ColdReplicas",
    "ColdRule",
    "Commitments",
    "Demand",
    "PermitLimiter",
    "RateLimiter",
    "ReplicaLimiter",
    "ReplicaLimits",
    "ShareLimiter",
    "StaticSplitLimiter",
    "TokenGrant",
    "TokenPeers",
    "make_cold_rules",
]
