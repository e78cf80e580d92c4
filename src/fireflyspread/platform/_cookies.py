"""Cookies of callers."""

from collections.abc import Mapping

from fireflyspread.platform._headers import AFFINITY_KEY

__all__ = ["read_affinity_key"]

# Characters of a key that count.
_MAX_KEY_LENGTH = 256


def read_affinity_key(headers: Mapping[str, str]) -> str:
    """Return what tells requests about the same object; empty if nothing does."""
    for pair in headers.get("Cookie", "").split(";"):
        name, _, value = pair.strip().partition("=")
        if name == AFFINITY_KEY:
            return value.strip().strip('"')[:_MAX_KEY_LENGTH]
    return ""
