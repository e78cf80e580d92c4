"""Bundles: the configuration that operators draft, approve and roll."""

from fireflyspread.bundle._difference import (
    Action,
    Difference,
    FieldChange,
    compare,
)
from fireflyspread.bundle._documents import CURRENT_KEY, CurrentDocument, Roll
from fireflyspread.bundle._feed import BundleFeed, PeerFetcher
from fireflyspread.bundle._holder import BundleHolder
from fireflyspread.bundle._model import (
    ActiveBundle,
    Bundle,
    Key,
    Replica,
    Route,
    Target,
    TargetKind,
    Team,
    hash_key,
)
from fireflyspread.bundle._rollout import MAX_BUNDLE_BYTES, Rollout, compute_fences

__all__ = [
    "CURRENT_KEY",
    "MAX_BUNDLE_BYTES",
    "Action",
    "ActiveBundle",
    "Bundle",
    "BundleFeed",
    "BundleHolder",
    "CurrentDocument",
    "Difference",
    "FieldChange",
    "Key",
    "PeerFetcher",
    "Replica",
    "Roll",
    "Rollout",
    "Route",
    "Target",
    "TargetKind",
    "Team",
    "compare",
    "compute_fences",
    "hash_key",
]
