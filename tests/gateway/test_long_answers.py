"""Tests of gateway processes that pass on answers of many sizes."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import msgspec
import pytest

from soak.cluster import Cluster, make_config, make_headers

_SIZES = (1, 70_000, 1_500_000, 3_000_000, 32_000_000)
_FRAMINGS = ("length", "chunks", "connection")
_CHUNK_BYTES = 50_000
# A slow reader takes this much, and then pauses.
_READ_BYTES = 1 << 18
_PAUSE_SECONDS = 0.01


def _make_body(size: int) -> bytes:
    pattern = b"".join(b"%07d\n" % number for number in range(8192))
    return (pattern * (size // len(pattern) + 1))[:size]


class _Replica:
    """Answers ``/prices/FRAMING/SIZE`` with a body of that size."""

    async def __aenter__(self) -> "_Replica":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        self._server.close()

    def make_registration(self) -> bytes:
        """Return the registration that the replica writes to the platform's store."""
        host, port = self._server.sockets[0].getsockname()
        return msgspec.json.encode(
            {
                "service": "orders",
                "address": f"{host}:{port}",
                "zone": "z1",
                "slots": 64,
                "state": "ready",
                "born": 1,
            }
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._answer(reader, writer):
                pass
        writer.close()

    async def _answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:] if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        framing, size = lines[0].split()[1].split("/")[2:]
        body = _make_body(int(size))
        head = (
            "HTTP/1.1 200 OK\r\n"
            f"Fireflyspread-Request-Id: {fields['fireflyspread-request-id']}\r\n"
            "Fireflyspread-Response-Stamp: l.1\r\n"
        )
        head += {
            "length": f"Content-Length: {size}\r\n",
            "chunks": "Transfer-Encoding: chunked\r\n",
            "connection": "Connection: close\r\n",
        }[framing]
        writer.write(head.encode() + b"\r\n")
        if framing != "chunks":
            writer.write(body)
        else:
            for start in range(0, len(body), _CHUNK_BYTES):
                part = body[start : start + _CHUNK_BYTES]
                writer.write(b"%x\r\n%s\r\n" % (len(part), part))
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        return framing != "connection"


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=2, replicas=1, viewed=True) as found:
        found.put_config(make_config(4, timeout=30.0))
        async with _Replica() as replica:
            found.store.put("servers/l-1", replica.make_registration())
            found.store.remove("servers/o-0")
            await asyncio.sleep(0.5)
            yield found


async def _fetch(
    session: aiohttp.ClientSession, url: str, request: str, *, is_slow: bool
) -> bytes:
    headers = {**make_headers(request), "Fireflyspread-Time-Remaining": "30000"}
    async with session.get(url, headers=headers) as response:
        assert response.status == 200
        if not is_slow:
            return await response.read()
        body = bytearray()
        async for part in response.content.iter_chunked(_READ_BYTES):
            body += part
            await asyncio.sleep(_PAUSE_SECONDS)
        return bytes(body)


@pytest.mark.parametrize("is_relayed", [False, True])
@pytest.mark.parametrize("framing", _FRAMINGS)
class TestLongAnswer:
    async def test_arrives_whole(self, cluster, framing, is_relayed):
        """Guards against answers whose end is never passed on to the caller."""
        if is_relayed:
            cluster.views[0].cut(resets=True)
            await asyncio.sleep(1.0)
        timeout = aiohttp.ClientTimeout(total=40.0)
        url = f"http://{cluster.nodes[0].callers}/prices/{framing}"
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for size in _SIZES:
                body = _make_body(size)
                found = await asyncio.gather(
                    *(
                        _fetch(
                            session,
                            f"{url}/{size}",
                            f"{framing}-{size}-{number}",
                            is_slow=bool(number % 2),
                        )
                        for number in range(2 if size > 4_000_000 else 6)
                    )
                )
                assert all(each == body for each in found)
