"""Tests of the raw bytes of streams through a node that becomes isolated."""

import asyncio

import msgspec

from tools.client import CallerClient
from tools.cluster import LocalCluster

ENGINE_OPTIONS = {"token_seconds": 0.05, "shortest": 1000, "longest": 1000}
STREAM_END_TIMEOUT_SECONDS = 30.0


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
    """Answers that a node started before it was isolated."""

    async def test_ends_streams_in_one_response(self) -> None:
        """Guards against clients that hang on a second response inside the first."""
        async with LocalCluster(nodes=3, engine=ENGINE_OPTIONS) as cluster:
            key = cluster.deployment.keys["sourcing"]
            # A node opens programs in its own slots, so node-1 relays these.
            async with CallerClient(cluster.urls[1:], key) as client:
                programs = [await client.open_program(100_000) for _ in range(4)]
            url = cluster.nodes["node-1"].url
            streams = [await open_stream(url, key, program) for program in programs]
            firsts = [await reader.read(500) for reader, _ in streams]
            cluster.isolate("node-1")
            async with asyncio.timeout(STREAM_END_TIMEOUT_SECONDS):
                rests = await asyncio.gather(*(read_to_end(r) for r, _ in streams))
            for first, rest in zip(firsts, rests, strict=True):
                assert (first + rest).count(b"HTTP/1.1 ") == 1
            for _, writer in streams:
                writer.close()
