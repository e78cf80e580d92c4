"""Bundles: what operators describe, approve and roll."""

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

__all__ = [
    "ActiveBundle",
    "Bundle",
    "BundleHolder",
    "Key",
    "Replica",
    "Route",
    "Target",
    "TargetKind",
    "Team",
    "hash_key",
]
