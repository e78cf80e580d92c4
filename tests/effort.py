"""Number of examples of property tests."""

import os

__all__ = ["FACTOR", "scale_examples"]

FACTOR = int(os.environ.get("PROVE_FACTOR", "1"))


def scale_examples(count: int) -> int:
    """Return ``count`` times the factor PROVE_FACTOR, which ``make prove`` sets."""
    return count * FACTOR
