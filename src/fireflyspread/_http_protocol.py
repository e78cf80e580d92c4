"""Protocols of HTTP client connections to peers that may be faulty."""

import asyncio
import logging
import socket
import time
from typing import Any

import aiohttp
from aiohttp import hdrs
from aiohttp.client_proto import ResponseHandler

from fireflyspread._http_heads import are_known_codings, find_head, is_valid_status

__all__ = ["LimitedProtocol", "ResetAwareProtocol", "UnexpectedBytesError"]

_LOG = logging.getLogger(__name__)

# Responses on one connection before the expected one, interim ones included. Replicas
# repeat single answers.
_MAX_UNEXPECTED_RESPONSES = 16
# Bytes that may arrive without any of them belonging to a body.
_MAX_IDLE_BYTES = 1 << 18
# Bytes of heads and chunk framing by which those of its body may be exceeded in one
# answer, and how many of them a second makes good. Parsing one-byte chunks costs as
# much as bodies of several hundred times their size.
_MAX_FRAMING_BYTES = 1 << 14
_FRAMING_BYTES_PER_SECOND = 1 << 14
# Bytes that are parsed before the limits are checked.
_MAX_PARSED_BYTES = 1 << 14


class UnexpectedBytesError(aiohttp.ClientPayloadError):
    """The other side sends bytes that are no answer, or hardly any body in them."""


class ResetAwareProtocol(ResponseHandler):
    """Fails an answer whose connection is reset.

    aiohttp takes an answer without a length or chunks as complete however its
    connection ends.
    """

    def eof_received(self) -> None:
        # If data and a reset arrive in one step of the loop, libuv reports an end of
        # the stream, and the reset remains as the pending error of the socket.
        error = self._read_socket_error()
        if error:
            self._fail_payload(OSError(error, "connection reset"))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        if exc is not None:
            self._fail_payload(exc)
        super().connection_lost(exc)

    def _read_socket_error(self) -> int:
        if self.transport is None:
            return 0
        sock = self.transport.get_extra_info("socket")
        return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def _fail_payload(self, cause: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"), cause)


class LimitedProtocol(ResetAwareProtocol):
    """Closes a connection on which bytes arrive that belong to no answer.

    A faulty peer may send an invalid head, or bytes outside bodies without end.

    Attributes
    ----------
    active_at : float
        When bytes arrived last; monotonic seconds.
    """

    active_at = 0.0
    _unexpected_count = 0
    # Bytes since the last progress of a body.
    _idle_bytes = 0
    _body_bytes = 0
    # Excess of framing over the body, in bytes, at a time in monotonic seconds.
    _framing_bytes = 0.0
    _framing_counted_at = 0.0
    # Bytes that arrived behind those at which reading was paused.
    _unparsed = b""
    # What is wrong with the head of an answer.
    _head_fault: str | None = None

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop=loop)
        # Bytes behind the last head or body, which may hold the next head.
        self._head_parts: list[bytes] = []

    def set_response_params(self, **options: Any) -> None:
        self._head_parts.clear()
        super().set_response_params(**options)

    def is_expected(self, message: Any) -> bool:
        """Return whether the head of an answer belongs to the request."""
        return message.code >= 200

    async def read(self) -> Any:
        message, payload = await super().read()
        if self.is_expected(message):
            self._unexpected_count = self._idle_bytes = 0
            self._framing_bytes = 0.0
        return message, payload

    def feed_data(self, data: Any, size: int = 0) -> None:
        message, _ = data
        if self._head_fault is None:
            self._head_fault = self._find_head_fault(message)
        if self._head_fault is None:
            self._unexpected_count += 1
            super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse ``data``, or go on with earlier data if it is empty."""
        if self._head_fault is not None:
            # Nothing behind an invalid head counts.
            return
        self.active_at = time.monotonic()
        if not data:
            # The parser keeps the rest of the part in which it was paused.
            self._parse(b"")
        data, self._unparsed = self._unparsed + data, b""
        # In parts, because the parser does not return before the end of the data.
        for start in range(0, len(data), _MAX_PARSED_BYTES):
            if self._reading_paused:
                self._unparsed = data[start:]
                return
            if not self.is_connected():
                return
            self._parse(data[start : start + _MAX_PARSED_BYTES])

    def _parse(self, part: bytes) -> None:
        self._head_parts.append(part)
        super().data_received(part)
        is_in_body = self._payload is not None and not self._payload.is_eof()
        # A paused parser has not read the whole part yet.
        if is_in_body and not self._reading_paused:
            self._head_parts.clear()
        self._count_bytes(len(part))
        if self._head_fault is not None:
            self._reject(self._head_fault)
        elif (
            self._unexpected_count > _MAX_UNEXPECTED_RESPONSES
            or self._idle_bytes > _MAX_IDLE_BYTES
            or self._framing_bytes > _MAX_FRAMING_BYTES
        ):
            self._reject("bytes that are no answer")

    def _find_head_fault(self, message: Any) -> str | None:
        if not is_valid_status(message.code):
            return f"an answer with the invalid status {message.code:03}"
        data = b"".join(self._head_parts)
        end = find_head(data, status=message.code, fields=message.raw_headers)
        if end < 0:
            return "an answer with a malformed head"
        self._head_parts = [data[end:]]
        codings = message.headers.getall(hdrs.TRANSFER_ENCODING, ())
        if not are_known_codings(codings):
            return f"an answer with the transfer codings {codings!r:.64}"
        return None

    def _count_bytes(self, size: int) -> None:
        total = 0 if self._payload is None else self._payload.total_bytes
        progress = total - self._body_bytes if total >= self._body_bytes else total
        self._body_bytes = total
        self._idle_bytes = 0 if progress else self._idle_bytes + size
        made_good = _FRAMING_BYTES_PER_SECOND * (
            self.active_at - self._framing_counted_at
        )
        self._framing_counted_at = self.active_at
        self._framing_bytes = max(
            0.0, self._framing_bytes + size - 2 * progress - made_good
        )

    def _reject(self, fault: str) -> None:
        transport = self.transport
        peer = None if transport is None else transport.get_extra_info("peername")
        _LOG.warning("connection to %s closed: %s", peer, fault)
        error = UnexpectedBytesError(fault)
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
        self.set_exception(error)
        if transport is not None:
            transport.abort()
