"""Rendezvous hashing: nodes ranked for a key, alike on all nodes."""

from collections.abc import Iterable

import xxhash

__all__ = ["rank_nodes"]


def rank_nodes(names: Iterable[str], key: str) -> list[str]:
    """Return the names in an order that depends on ``key``.

    When a name is added or removed, the others keep their order.
    """
    return sorted(
        names, key=lambda name: xxhash.xxh3_64_intdigest(f"{name}/{key}".encode())
    )
