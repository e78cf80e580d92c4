"""Store keys of operators, and the status of orders to retire a VM with a disk."""

import msgspec

__all__ = [
    "CONFIG_KEY",
    "EVACUATION_PREFIX",
    "OPERATORS_PREFIX",
    "RETIREMENT_PREFIX",
    "encode_retired",
    "make_status_key",
]

OPERATORS_PREFIX = "op/"
CONFIG_KEY = OPERATORS_PREFIX + "config"
RETIREMENT_PREFIX = OPERATORS_PREFIX + "retire/"
# Followed by the name of a zone; any value counts.
EVACUATION_PREFIX = OPERATORS_PREFIX + "evacuate/"
_STATUS_PREFIX = "status/retire/"


def make_status_key(order_key: str) -> str:
    """Return the key of the status of an order."""
    return _STATUS_PREFIX + order_key.removeprefix(RETIREMENT_PREFIX)


def encode_retired() -> bytes:
    """Return the status that allows the platform to remove the VM."""
    return msgspec.json.encode({"state": "completed"})
