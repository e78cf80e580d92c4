"""Fingerprints of requests, by which equal requests are recognized."""

import xxhash

from fireflyspread.forwarding._config import TeamPolicy
from fireflyspread.forwarding._request import ForwardRequest

__all__ = ["compute_fingerprint"]


def compute_fingerprint(request: ForwardRequest, team: TeamPolicy | None) -> str:
    """Return a hash of what a replica gets of a request, without the caller's ids."""
    state = xxhash.xxh3_128()
    for part in (
        ("" if team is None else team.name).encode(),
        request.method.encode(),
        request.host.encode(),
        request.request_target.encode(),
        request.body,
    ):
        state.update(len(part).to_bytes(8, "big"))
        state.update(part)
    return state.hexdigest()
