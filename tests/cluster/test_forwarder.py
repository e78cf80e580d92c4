"""Tests of the forwarder and of the example bundles."""

import asyncio
import os
from collections.abc import AsyncIterator

import pytest

from fireflyspread.bundle import Bundle, hash_key
from tools.cluster import Forwarder, load_bundle, load_keys


async def echo(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while data := await reader.read(100):
        writer.write(data)
    writer.close()


@pytest.fixture
async def forwarder() -> AsyncIterator[Forwarder]:
    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    started = Forwarder(f"{host}:{port}", {"self": os.getpid()}.get)
    await started.start()
    yield started
    await started.stop()
    server.close()


async def connect(
    forwarder: Forwarder,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = forwarder.address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


class TestForwarder:
    """Forwarder.block and unblock."""

    async def test_drop_delays_bytes_until_unblocked(
        self, forwarder: Forwarder
    ) -> None:
        """Guards against losing bytes sent while blocked, which TCP would deliver."""
        reader, writer = await connect(forwarder)
        writer.write(b"1")
        assert await reader.read(1) == b"1"
        forwarder.block("self")
        writer.write(b"2")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(1)
        forwarder.unblock("self")
        async with asyncio.timeout(20):
            assert await reader.read(1) == b"2"
        writer.close()

    async def test_reset_breaks_connections(self, forwarder: Forwarder) -> None:
        """Guards against a reset that leaves connections open."""
        reader, writer = await connect(forwarder)
        writer.write(b"1")
        await reader.read(1)
        forwarder.block("*", kind="reset")
        async with asyncio.timeout(20):
            with pytest.raises(ConnectionError):
                if not await reader.read(1):
                    raise ConnectionError("closed")
        writer.close()

    async def test_other_senders_pass(self, forwarder: Forwarder) -> None:
        """Guards against blocking the traffic of all nodes when one is blocked."""
        forwarder.block("another")
        reader, writer = await connect(forwarder)
        writer.write(b"1")
        async with asyncio.timeout(20):
            assert await reader.read(1) == b"1"
        writer.close()


class TestExamples:
    """The example bundles."""

    @pytest.mark.parametrize("name", ["poklopac", "asociacion"])
    def test_keys_match(self, name: str) -> None:
        """Guards against example keys that their bundle does not have for the team."""
        bundle = Bundle.from_config(load_bundle(name))
        keys = {key.digest: key.team for key in bundle.keys}
        assert {t: hash_key(k) for t, k in load_keys(name).items()} == {
            team: digest for digest, team in keys.items()
        }
