"""Stand-in of a faulty replica whose bytes do not end until the node closes."""

import asyncio
import itertools
from collections.abc import Iterator

from standins.raw_replica import RawReplica

__all__ = ["KINDS", "EndlessReplica"]

_CHUNK_BYTES = 1 << 16

# Kinds of bytes, by where they occur.
KINDS = (
    "status line",
    "header",
    "headers",
    "interim heads",
    "foreign heads",
    "foreign body",
    "length body",
    "chunked body",
    "tiny chunks",
    "chunk extension",
    "trailers",
    "event",
    "comments",
    "after an answer",
)


def _repeat(unit: bytes) -> bytes:
    return unit * (_CHUNK_BYTES // len(unit) + 1)


def make_bytes(kind: str, request: bytes) -> Iterator[bytes]:
    """Yield the bytes of one answer without end."""
    ids = b"Fireflyspread-Request-Id: %s\r\n" % request
    head = b"HTTP/1.1 200 OK\r\n%sFireflyspread-Response-Stamp: e.1\r\n" % ids
    foreign = b"HTTP/1.1 200 OK\r\nFireflyspread-Request-Id: other\r\n"
    chunk = b"%x\r\n%s\r\n" % (_CHUNK_BYTES, b"x" * _CHUNK_BYTES)
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    event_stream = b"Content-Type: text/event-stream\r\n" + chunked
    first, rest = {
        "status line": (b"HTTP/1.1 200 ", _repeat(b"O")),
        "header": (head + b"X-Endless: ", _repeat(b"x")),
        "headers": (head, _repeat(b"X-Endless: x\r\n")),
        "interim heads": (b"", _repeat(b"HTTP/1.1 100 Continue\r\n\r\n")),
        "foreign heads": (b"", _repeat(foreign + b"Content-Length: 0\r\n\r\n")),
        "foreign body": (foreign + chunked, chunk),
        "length body": (head + b"Content-Length: 4000000000000\r\n\r\n", chunk),
        "chunked body": (head + chunked, chunk),
        "tiny chunks": (head + chunked, _repeat(b"1\r\nx\r\n")),
        "chunk extension": (head + chunked + b"1;", _repeat(b"x")),
        "trailers": (head + chunked + b"0\r\n", _repeat(b"X-Endless: x\r\n")),
        "event": (head + event_stream, chunk),
        "comments": (
            head + event_stream,
            b"%x\r\n%s\r\n" % (4 * _CHUNK_BYTES, b": x\n" * _CHUNK_BYTES),
        ),
        "after an answer": (
            head + b"Content-Length: 2\r\n\r\nok",
            _repeat(foreign + b"Content-Length: 0\r\n\r\n"),
        ),
    }[kind]
    yield first
    yield from itertools.repeat(rest)


class EndlessReplica(RawReplica):
    """Replica that answers each request with bytes without end.

    Parameters
    ----------
    kind : str
        One of ``KINDS``.
    """

    def __init__(self, kind: str, *, instance: str = "e-1") -> None:
        super().__init__(instance=instance)
        self._kind = kind

    async def _answer(self, writer: asyncio.StreamWriter, request: bytes) -> None:
        for data in make_bytes(self._kind, request):
            writer.write(data)
            await writer.drain()
            # Without it the test would have no time of its own.
            await asyncio.sleep(0)
