"""Bundles for tests."""

from typing import Any

from fireflyspread.bundle import Bundle, hash_key

KEY = "key-of-lids"
OTHER_KEY = "key-of-orders"


def make_config() -> dict[str, Any]:
    """Return the decoded JSON of a small valid bundle."""
    return {
        "teams": [
            {"name": "lids", "rate": 10.0, "burst": 20.0},
            {"name": "orders", "rate": 5.0, "burst": 5.0},
        ],
        "keys": [
            {"digest": hash_key(KEY), "team": "lids"},
            {"digest": hash_key(OTHER_KEY), "team": "orders"},
        ],
        "targets": [
            {
                "name": "matcher",
                "kind": "engine",
                "half": "north",
                "replicas": [
                    {
                        "name": "matcher-1",
                        "url": "http://127.0.0.1:9001",
                        "zone": "a",
                        "vm": "vm-9",
                    }
                ],
            },
            {"name": "quotes", "kind": "service", "half": "north", "replicas": []},
        ],
        "routes": [
            {"name": "lid-matching", "target": "matcher"},
            {"name": "order", "target": "quotes", "path": "/o", "idempotent": False},
        ],
    }


def make_bundle(
    *, rate: float = 10.0, half: str = "north", has_key: bool = True
) -> Bundle:
    """Return the example with the given rate of team ``lids``.

    Parameters
    ----------
    half : str
        Half of the organisation that owns the target ``quotes``.
    has_key : bool
        Whether the bundle has ``KEY``.
    """
    config = make_config()
    if not has_key:
        del config["keys"][0]
    config["teams"][0]["rate"] = rate
    config["targets"][1]["half"] = half
    return Bundle.from_config(config)
