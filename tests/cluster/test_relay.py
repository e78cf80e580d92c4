"""Streams through a node that loses contact, seen in the bytes of the connection."""

import asyncio

import msgspec

from tools.client import CallerClient
from tools.cluster import LocalCluster

ENGINE = {"token_seconds": 0.05, "shortest": 1000, "longest": 1000}
LIMIT_SECONDS = 30.0


async def open_stream(
    url: str, key: str, program: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = url.removeprefix("http://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    message = {"role": "user", "content": "hello"}
    body = {"turn": 1, "model": "lid-matching", "messages": [message]}
    data = msgspec.json.encode({**body, "max_tokens": 1000, "stream": True})
    head = f"POST /v1/programs/{program}/turns HTTP/1.1\r\nHost: {host}\r\n"
    head += f"Authorization: Bearer {key}\r\nContent-Type: application/json\r\n"
    writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
    return reader, writer


async def read_to_end(reader: asyncio.StreamReader) -> bytes:
    """Read until the connection is closed or an error event ends the answer."""
    data = b""
    try:
        while part := await reader.read(65_536):
            data += part
            if b"event: error" in data and data.endswith(b"0\r\n\r\n"):
                break
    except ConnectionError:
        return data
    return data


class TestIsolatedNode:
    """Answers that an isolated node has begun."""

    async def test_ends_streams_in_one_response(self) -> None:
        """A second response inside the first one makes HTTP clients wait for ever."""
        async with LocalCluster(nodes=3, engine=ENGINE) as cluster:
            key = cluster.deployment.keys["sourcing"]
            # A node opens programs in slots of its own, so node-1 relays these.
            async with CallerClient(cluster.urls[1:], key) as client:
                programs = [await client.open_program(100_000) for _ in range(4)]
            url = cluster.nodes["node-1"].url
            streams = [await open_stream(url, key, program) for program in programs]
            firsts = [await reader.read(500) for reader, _ in streams]
            cluster.isolate("node-1")
            async with asyncio.timeout(LIMIT_SECONDS):
                rests = await asyncio.gather(*(read_to_end(r) for r, _ in streams))
            for first, rest in zip(firsts, rests, strict=True):
                assert (first + rest).count(b"HTTP/1.1 ") == 1
            for _, writer in streams:
                writer.close()
