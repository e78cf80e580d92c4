"""HTTP server whose connections hold a bounded amount of memory together."""

from collections.abc import Awaitable, Callable, Mapping
from typing import Any

from aiohttp import web
from aiohttp.web_protocol import RequestPayloadError

from fireflyspread._caller_memory import CallerMemory
from fireflyspread._caller_protocol import CallerProtocol
from fireflyspread._parse_scheduler import ParseScheduler
from fireflyspread.exceptions import PayloadTooLargeError, RequestError

__all__ = ["CallerServer", "read_body"]

# Bytes of a body that a connection buffers before it stops reading; up to twice as many
# are kept.
_READ_BUFFER_BYTES = 1 << 16
# The same while the handler reads a body that does not arrive at once.
_LONG_BODY_BUFFER_BYTES = 1 << 18
_RETRY_AFTER_SECONDS = 1


class CallerServer(web.Server):
    """Server of connections that share a ``CallerMemory``.

    Parameters
    ----------
    refusal_headers : mapping
        Headers of the response to requests that are refused because of memory.
    read_bytes : int
        Bytes of a body that a connection buffers before it stops reading.

    Attributes
    ----------
    max_header_bytes : int
        Maximum size of a head; changes apply to open connections.
    """

    def __init__(
        self,
        handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
        *,
        memory: CallerMemory,
        max_header_bytes: int = 16384,
        refusal_headers: Mapping[str, str] | None = None,
        read_bytes: int = _READ_BUFFER_BYTES,
        **options: Any,
    ) -> None:
        super().__init__(handler, access_log=None, **options)
        self.memory = memory
        self.max_header_bytes = max_header_bytes
        self.read_bytes = read_bytes
        self.parse_scheduler = ParseScheduler(self._loop)
        self.refusal = _encode_refusal(refusal_headers or {})

    def __call__(self) -> CallerProtocol:
        return CallerProtocol(self, loop=self._loop, **self._kwargs)


def _encode_refusal(headers: Mapping[str, str]) -> bytes:
    lines = [
        "HTTP/1.1 503 Service Unavailable",
        f"Retry-After: {_RETRY_AFTER_SECONDS}",
        "Content-Length: 0",
        "Connection: close",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join((*lines, "", "")).encode()


async def read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    """Return the body of a request.

    Raises
    ------
    PayloadTooLargeError
        The body is declared to be, or is, longer than ``max_bytes``.
    RequestError
        The body is malformed.
    ConnectionResetError
        The connection was closed or refused.
    """
    protocol: Any = request.protocol
    content = request.content
    if (request.content_length or 0) > max_bytes:
        raise PayloadTooLargeError(f"the body exceeds {max_bytes} bytes; send less")
    try:
        data = await content.readany()
        if content.at_eof() and len(data) <= max_bytes:
            protocol.keep(len(data))
            protocol.start_running()
            return data
        content.set_read_chunk_size(_LONG_BODY_BUFFER_BYTES)
        body = protocol.body
        while data:
            if len(body) + len(data) > max_bytes:
                raise PayloadTooLargeError(
                    f"the body exceeds {max_bytes} bytes; send less"
                )
            body += data
            # When bytes are taken from the payload, more are parsed at once, and
            # recorded without those taken; so all are recorded here.
            protocol.keep(len(data))
            # Otherwise the variable holds a copy of up to 0.75 MB while this waits.
            data = b""
            data = await content.readany()
        protocol.start_running()
        return bytes(body)
    except RequestPayloadError as exc:
        raise RequestError(f"malformed body: {exc}; send valid chunks") from exc
    except RuntimeError as exc:
        # The reader's error if its bytes were dropped after they had woken it.
        if protocol.connected:
            raise
        raise ConnectionResetError("the connection was closed") from exc
    finally:
        protocol.body.clear()
