"""Protocol of HTTP server connections whose callers may send anything."""

import asyncio
import logging
from typing import Any

from aiohttp import hdrs, web
from aiohttp.http import HttpRequestParser
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from fireflyspread._parse_scheduler import ExpensiveConnection, FramingMeter
from fireflyspread._request_payloads import drop_payload, release_frames

__all__ = ["CallerProtocol"]

_LOG = logging.getLogger(__name__)

# Bytes that are parsed before the limits are checked, and in one turn of an expensive
# connection.
_MAX_PARSED_BYTES = 1 << 14
_MAX_SLOW_BYTES = 1 << 12
# Fields of one head. The parser needs 0.4 KB and 3 us for each, however short.
_MAX_FIELDS = 1024
_FIELD_BYTES = 400
# The parser checks the size of each field and of the first line only; the protocol
# counts whole heads, against limits that may change.
_MAX_PARSER_BYTES = 1 << 26
# What a transport and the buffers of the answer hold for a caller that does not read.
_UNREAD_BYTES = 1 << 18
# Seconds for which the rest of a refused body is read and dropped, so that its sender
# gets the response.
_LINGERING_SECONDS = 3.0


class CallerProtocol(RequestHandler, ExpensiveConnection):
    """A connection of a caller, which may send anything.

    A request is not parsed before the one ahead of it is answered and the response has
    left for the most part. What the connection holds is recorded in an account.

    Parameters
    ----------
    server : CallerServer
        Has the limits, the account and the refusal of its connections.
    """

    def __init__(self, server: Any, **options: Any) -> None:
        super().__init__(
            server,
            max_line_size=_MAX_PARSER_BYTES,
            max_field_size=_MAX_PARSER_BYTES,
            max_headers=_MAX_FIELDS,
            read_bufsize=server.read_bytes,
            lingering_time=_LINGERING_SECONDS,
            **options,
        )
        # One request at a time: the parser stops at the end of each.
        self._parser = HttpRequestParser(
            self,
            self._loop,
            server.read_bytes,
            max_line_size=_MAX_PARSER_BYTES,
            max_field_size=_MAX_PARSER_BYTES,
            max_headers=_MAX_FIELDS,
            payload_exception=RequestPayloadError,
            max_msg_queue_size=1,
        )
        self._server = server
        self._account: Any = None
        self.body = bytearray()
        self._unparsed = bytearray()
        self._payload: Any = None
        # What the head of the request holds, and the body that the handler has.
        self._request_bytes = 0
        # Length that the head of the request states, if it does.
        self._body_length = 0
        self._head_bytes = self._head_lines = 0
        self._framing = FramingMeter()
        # Whether a request was passed on that is not answered, whether all of it has
        # arrived, and whether its handler has got it.
        self._is_answering = self._is_complete = self._is_running = False
        self._is_broken = self._is_expensive = self._is_queued = False
        self._is_refused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._account = self._server.memory.open(
            is_refusable=self.is_refusable, refuse=self.refuse
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        if self._account is not None:
            self._account.close()
        self._unparsed.clear()
        super().connection_lost(exc)

    def is_refusable(self) -> bool:
        """Return whether no request runs, or the caller does not read the response."""
        return not self._is_running or self._paused

    def refuse(self) -> None:
        """Close the connection, with 503 if a request has not begun to run."""
        transport = self.transport
        self._is_refused = True
        self._unparsed.clear()
        if not self._is_running:
            self._drop_request()
        self._account.close()
        if transport is None:
            return
        if self._is_running or self._paused:
            transport.abort()
        else:
            if self._is_answering or self._head_bytes:
                transport.write(self._server.refusal)
            self.force_close()

    def _drop_request(self) -> None:
        # At once: the loop may read from many other connections before it closes this.
        self.body.clear()
        self._parser = None
        drop_payload(self._payload)

    def start_running(self) -> None:
        """Record that the handler has the whole request.

        Raises
        ------
        ConnectionResetError
            The request has been refused and must not run.
        """
        if self._is_refused:
            raise ConnectionResetError("the request was refused")
        self._is_running = True

    def keep(self, size: int) -> None:
        """Count bytes of the body that the handler keeps; may refuse the connection."""
        self._request_bytes += size
        self._record_held()

    def pause_writing(self) -> None:
        super().pause_writing()
        self._record_held()

    def resume_writing(self) -> None:
        super().resume_writing()
        self._record_held()
        if not self._is_answering:
            self._go_on()

    def data_received(self, data: bytes) -> None:
        """Parse ``data``, or go on with earlier data if it is empty."""
        if self._is_broken or self._force_close or self._close:
            return
        if self._is_blocked or self._is_expensive:
            if data:
                self._hold(data)
            elif self._is_expensive and not self._is_complete:
                # The parser was paused in the part that it keeps.
                self._parse(b"")
            self._queue_expensive()
            return
        if self._unparsed:
            self._unparsed += data
            if not data:
                self._parse(b"")
            self._drain()
        elif len(data) <= _MAX_PARSED_BYTES:
            self._parse(data)
        else:
            self._parse_parts(data)

    @property
    def _is_blocked(self) -> bool:
        """Whether nothing may be parsed until a response has left or a body is read."""
        return self._reading_paused or (
            self._is_complete and (self._is_answering or self._paused)
        )

    def parse_next(self) -> bool:
        self._is_queued = False
        if self._is_broken or self._force_close or self._is_blocked:
            return False
        part = bytes(self._unparsed[:_MAX_SLOW_BYTES])
        del self._unparsed[: len(part)]
        self._parse(part)
        if not self._is_expensive:
            self._drain()
            return False
        if self._unparsed and not self._is_broken and not self._is_blocked:
            self._is_queued = True
            return True
        self._release_transport()
        return False

    def _queue_expensive(self) -> None:
        if (
            self._is_expensive
            and self._unparsed
            and not self._is_queued
            and not self._is_blocked
        ):
            self._is_queued = True
            self._server.parse_scheduler.add(self)

    def _hold(self, data: bytes) -> None:
        self._unparsed += data
        if not self._buffer_paused:
            self._pause_reading_for_buffer()
        self._record_held()

    def _parse_parts(self, data: bytes) -> None:
        start = 0
        while start < len(data):
            if self._is_broken or self._force_close:
                return
            if self._is_blocked or self._is_expensive or self._unparsed:
                self._unparsed += data[start:]
                self._drain()
                return
            # A body of known length is parsed at once up to its end.
            end = start + max(_MAX_PARSED_BYTES, self._count_remaining())
            self._parse(data[start:end])
            start = end

    def _count_remaining(self) -> int:
        """Return how many bytes of a body of known length have not been parsed."""
        if not self._body_length or self._payload is None or self._is_complete:
            return 0
        return self._body_length - self._payload.total_raw_bytes

    def _drain(self) -> None:
        """Parse what waits, until something has to be awaited."""
        while self._unparsed:
            if self._is_broken or self._force_close:
                self._unparsed.clear()
                return
            if self._is_blocked or self._is_expensive:
                if not self._buffer_paused:
                    self._pause_reading_for_buffer()
                self._record_held()
                self._queue_expensive()
                return
            size = max(_MAX_PARSED_BYTES, self._count_remaining())
            part = bytes(self._unparsed[:size])
            del self._unparsed[: len(part)]
            self._parse(part)
        self._release_transport()

    def _release_transport(self) -> None:
        if self._buffer_paused and not self._unparsed and not self._is_broken:
            self._resume_reading_for_buffer()

    def _resume_reading_if_drained(self) -> None:
        # The base class would parse the next request while this one is answered.
        return

    def _go_on(self) -> None:
        """Parse the next request if the last one is done with."""
        if self._parser is None or self._is_broken or self._force_close or self._close:
            return
        if self._is_complete and not self._paused:
            self._parse(b"")
            self._drain()

    def _parse(self, part: bytes) -> None:
        if self._parser is None:
            return
        if self._is_complete:
            self._is_complete = self._is_expensive = False
            self._payload = None
        try:
            messages, is_upgraded, tail = self._parser.feed_data(part)
        except HttpProcessingError as exc:
            self._reject(400, exc)
            return
        if is_upgraded:
            # No protocol is offered; what follows is the next request.
            self._parser.set_upgraded(False)
            self._unparsed[:0] = tail
        for message, payload in messages:
            self._begin_request(message, payload)
        if self._is_broken:
            return
        if self._payload is None:
            if part:
                self._count_head(part)
            return
        self._record_held()
        if self._payload.is_eof():
            self._is_complete = True
            if not self._is_answering:
                # The request was answered before all of it had arrived.
                self._loop.call_soon(self._go_on)
        elif not self._body_length and part:
            self._count_framing(part)

    def _begin_request(self, message: Any, payload: Any) -> None:
        size = sum(len(name) + len(value) + 4 for name, value in message.raw_headers)
        size += len(message.path) + len(message.method) + 13
        if size > self._server.max_header_bytes:
            self._reject_head()
            return
        self._payload = payload
        self._request_bytes = size + len(message.raw_headers) * _FIELD_BYTES
        self._head_bytes = self._head_lines = 0
        self._framing.reset()
        self._is_answering = True
        self._body_length = 0
        if not message.chunked and not payload.is_eof():
            self._body_length = int(message.headers.get(hdrs.CONTENT_LENGTH, 0))
        self._enqueue(message, payload)

    def _enqueue(self, message: Any, payload: Any) -> None:
        if self._force_close:
            return
        self._request_count += 1
        self._messages.append((message, payload))
        waiter = self._waiter
        if waiter is not None and not waiter.done():
            waiter.set_result(None)

    def _count_head(self, part: bytes) -> None:
        self._head_bytes += len(part)
        self._head_lines += part.count(b"\n")
        self._request_bytes = self._head_bytes + self._head_lines * _FIELD_BYTES
        self._record_held()
        if self._head_bytes > self._server.max_header_bytes:
            self._reject_head()

    def _reject_head(self) -> None:
        self._reject(431, HttpProcessingError(message="the head is too large"))

    def _count_framing(self, part: bytes) -> None:
        if not self._framing.count(len(part), self._payload.total_bytes):
            # Trailers and extensions; the parser keeps the former.
            self._request_bytes += len(part) + part.count(b"\n") * _FIELD_BYTES
            self._record_held()
        if self._framing.idle_bytes > self._server.max_header_bytes:
            self._reject(400, RequestPayloadError("bytes that belong to no body"))
        elif self._framing.is_expensive:
            self._is_expensive = True

    def _record_held(self) -> None:
        held = self._request_bytes + len(self._unparsed)
        if self._payload is not None and self._payload is not EMPTY_PAYLOAD:
            # Bytes that the handler has not taken.
            held += self._payload._size
        if self._paused:
            held += _UNREAD_BYTES
        self._account.resize(held)

    def _reject(self, status: int, error: Exception) -> None:
        """Answer with an error, or fail the body that is being read."""
        self._is_broken = True
        self._lingering_time = 0.0
        self._unparsed.clear()
        if not self._buffer_paused:
            self._pause_reading_for_buffer()
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(RequestPayloadError(str(error)))
        else:
            # The given error refers to frames of the parser and so to its data.
            plain = HttpProcessingError(message="malformed request")
            self._enqueue(_ErrInfo(status, plain, plain.message), EMPTY_PAYLOAD)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status not in (400, 431):
            return super().handle_error(request, status, exc, message)
        # A caller could fill the log with the traces of the base class.
        _LOG.info("request of a caller refused with %d", status)
        response = web.Response(status=status)
        response.force_close()
        return response

    async def _handle_request(
        self, request: web.BaseRequest, start_time: float | None, request_handler: Any
    ) -> tuple[web.StreamResponse, bool]:
        if self._is_refused:
            return web.Response(status=503), True  # An error would keep the request.
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            release_frames(request.content)
            self._is_answering = self._is_running = False
            self._request_bytes = 0
            self._account.end_request()
            if self._unparsed or self._paused:
                self._record_held()
            self._go_on()
