"""Rules for the heads of HTTP answers, which the parser reads leniently."""

__all__ = ["is_valid_status"]

_SWITCHING_PROTOCOLS = 101


def is_valid_status(status: int) -> bool:
    """Return whether a server may answer a request of this package with a status.

    No request asks for another protocol, so none may be answered with a switch to one.
    """
    return 100 <= status < 600 and status != _SWITCHING_PROTOCOLS
