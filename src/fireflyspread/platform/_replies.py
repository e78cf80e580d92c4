"""Responses of the platform's replicas."""

import logging
import math
import time
from collections.abc import Mapping, Sequence
from typing import Any

import aiohttp

from fireflyspread._http_client import read_limit
from fireflyspread._http_reply import HttpReply
from fireflyspread.bundle import Replica
from fireflyspread.forwarding import Framing
from fireflyspread.platform import _headers as names
from fireflyspread.platform._connections import MatchingProtocol
from fireflyspread.platform._headers import select_response_headers
from fireflyspread.platform._load import read_load

__all__ = ["MatchingResponse", "ReplicaReply", "read_cold_remaining"]

_LOG = logging.getLogger(__name__)


class MatchingResponse(aiohttp.ClientResponse):
    """Sets the request id that its connection expects in the response."""

    _protocol: MatchingProtocol
    _is_first_on_connection = False

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        self._protocol = connection.protocol
        self._protocol.expected_id = self.request_info.headers.get(names.REQUEST_ID)
        self._protocol.sent_count += 1
        self._protocol.active_at = time.monotonic()
        self._is_first_on_connection = self._protocol.sent_count == 1
        return await super().start(connection)

    def belongs_to(self, request_id: str) -> bool:
        """Return whether this is a response to the request.

        A response without an id is one only on a connection that has carried no other
        request: on others it may repeat the response to an earlier one.
        """
        found = self.headers.get(names.REQUEST_ID)
        if found is None:
            return self._is_first_on_connection
        return found == request_id

    def mark_refused(self, request_id: str) -> None:
        """Keep the request from being sent on this connection again."""
        self._protocol.refused_id = request_id


class ReplicaReply(HttpReply):
    """Response of a replica."""

    def __init__(
        self, response: aiohttp.ClientResponse, replica: Replica, now: float
    ) -> None:
        super().__init__(response, f"replica {replica.name}")
        headers = response.headers
        self.status = response.status
        self.headers = select_response_headers(headers, headers.items())
        self.is_refusal = names.NOT_EXECUTED in headers
        self.is_wrong_instance = response.status == 421
        self.is_leaving = _read_leaving(
            headers.getall(names.SERVER_LEAVING, ()), replica
        )
        self.load = read_load(headers.get(names.SERVER_LOAD), now)
        self.rate_limit = read_limit(response, names.SERVER_LIMIT)
        self.framing = _read_framing(response)
        if not self.is_wrong_instance:
            self.cold_remaining = read_cold_remaining(headers)


def _read_framing(response: aiohttp.ClientResponse) -> Framing:
    if "chunked" in response.headers.get("Transfer-Encoding", "").lower():
        return Framing.CHUNKS
    has_no_body = response.method == "HEAD" or response.status in (204, 304)
    if has_no_body or "Content-Length" in response.headers:
        return Framing.LENGTH
    return Framing.CONNECTION


def _read_leaving(values: Sequence[str], replica: Replica) -> bool:
    """Return whether one of the values says that the replica is leaving."""
    if values and set(values) != {"1"}:
        _LOG.warning(
            "unknown value of %s: %.64r",
            names.SERVER_LEAVING,
            values[0],
            extra={"replica": replica.name},
        )
    return "1" in values


def read_cold_remaining(headers: Mapping[str, str]) -> float | None:
    """Return the seconds for which a replica stays cold; None if it does not say.

    Any response may have the header, that of a health check too.
    """
    try:
        remaining = float(headers.get(names.COLD_REMAINING, "")) / 1000
    except ValueError:
        return None
    return remaining if math.isfinite(remaining) and remaining >= 0 else None
