"""Messages between nodes: delivery, error codes, reconnection and TLS."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import suppress
from pathlib import Path

import msgspec
import pytest
import pytest_asyncio
import trustme

from fireflyspread.exceptions import (
    NoAuthorityError,
    PeerError,
    UnsupportedVersionError,
)
from fireflyspread.nodes import (
    AcquireTokens,
    FetchBundle,
    Message,
    PeerClient,
    PeerServer,
    TokensGranted,
    encode_message,
)
from fireflyspread.nodes._messages import Hello
from fireflyspread.settings import Address, Tls

ANY_PORT = Address(host="127.0.0.1", port=0)
ASK = AcquireTokens(team="scans", amount=2.0, epoch=1)


async def grant(message: AcquireTokens) -> Message:
    return TokensGranted(amount=message.amount)


async def refuse(message: AcquireTokens) -> Message:
    raise NoAuthorityError("no authority since 3 s")


@pytest_asyncio.fixture
async def server() -> AsyncIterator[PeerServer]:
    server = PeerServer(ANY_PORT, node="entry-1")
    yield server
    await server.stop()


@pytest_asyncio.fixture
async def client() -> AsyncIterator[PeerClient]:
    client = PeerClient()
    yield client
    await client.close()


class TestPeers:
    """PeerServer and PeerClient."""

    async def test_answers_many_at_once(
        self, server: PeerServer, client: PeerClient
    ) -> None:
        """Guards against concurrent requests that get each other's answers."""
        server.register(AcquireTokens, grant)
        address = str(await server.start())
        requests = [
            client.ask(
                address, AcquireTokens(team="scans", amount=n, epoch=1), timeout=30
            )
            for n in range(100)
        ]
        answers = await asyncio.gather(*requests)
        assert answers == [TokensGranted(amount=n) for n in range(100)]

    async def test_slow_handler_blocks_no_other(
        self, server: PeerServer, client: PeerClient
    ) -> None:
        """Guards against a waiting handler that delays the next request."""
        release = asyncio.Event()

        async def wait(message: FetchBundle) -> Message:
            await release.wait()
            return TokensGranted(amount=0)

        server.register(FetchBundle, wait)
        server.register(AcquireTokens, grant)
        address = str(await server.start())
        blocked = asyncio.create_task(
            client.ask(address, FetchBundle(bundle_version=1), timeout=30)
        )
        assert await client.ask(address, ASK, timeout=30) == TokensGranted(amount=2)
        assert not blocked.done()
        release.set()
        assert await blocked == TokensGranted(amount=0)

    async def test_handler_error_keeps_its_code(
        self, server: PeerServer, client: PeerClient
    ) -> None:
        """Guards against a refusal whose error code is lost."""
        server.register(AcquireTokens, refuse)
        address = str(await server.start())
        with pytest.raises(PeerError, match="no_authority"):
            await client.ask(address, ASK, timeout=30)

    async def test_unexpected_handler_error_is_answered(
        self, server: PeerServer, client: PeerClient
    ) -> None:
        """Guards against an exception in a handler that ends the serving task."""

        async def fail(message: FetchBundle) -> Message:
            raise ZeroDivisionError

        server.register(FetchBundle, fail)
        server.register(AcquireTokens, grant)
        address = str(await server.start())
        for _ in range(20):
            with pytest.raises(PeerError, match="internal"):
                await client.ask(address, FetchBundle(bundle_version=1), timeout=30)
        assert await client.ask(address, ASK, timeout=30) == TokensGranted(amount=2)

    async def test_unknown_kind_is_refused(
        self, server: PeerServer, client: PeerClient
    ) -> None:
        """Guards against a message without a handler that times out."""
        address = str(await server.start())
        with pytest.raises(PeerError, match="message_unknown"):
            await client.ask(address, ASK, timeout=30)

    async def test_unknown_version_is_refused(
        self, server: PeerServer, client: PeerClient
    ) -> None:
        """Guards against nodes of incompatible releases that accept messages."""
        address = str(await server.start())
        newer = msgspec.structs.replace(ASK, version=99)
        with pytest.raises(UnsupportedVersionError):
            await client.ask(address, newer, timeout=30)

    async def test_no_answer_is_a_peer_error(
        self, server: PeerServer, client: PeerClient
    ) -> None:
        """Guards against a request to a stopped node that never ends."""
        address = str(await server.start())
        await server.stop()
        with pytest.raises(PeerError, match="did not answer"):
            await client.ask(address, ASK, timeout=0.1)

    async def test_reconnects(self, client: PeerClient) -> None:
        """Guards against a restarted node that is not reached without a new client.

        A request that is sent before the client notices the lost connection may fail,
        as it is never sent twice. The failure of a request in flight shows that the
        client has noticed it; from then on every request must be answered.
        """
        arrived = asyncio.Event()

        async def hang(message: FetchBundle) -> Message:
            arrived.set()
            await asyncio.Event().wait()
            raise AssertionError

        first = PeerServer(ANY_PORT)
        first.register(FetchBundle, hang)
        first.register(AcquireTokens, grant)
        address = await first.start()
        await client.ask(str(address), ASK, timeout=30)
        in_flight = asyncio.create_task(
            client.ask(str(address), FetchBundle(bundle_version=1), timeout=30)
        )
        await arrived.wait()
        await first.stop()
        with pytest.raises(PeerError, match="connection"):
            await in_flight
        second = PeerServer(address)
        second.register(AcquireTokens, grant)
        await second.start()
        try:
            answer = await client.ask(str(address), ASK, timeout=30)
        finally:
            await second.stop()
        assert answer == TokensGranted(amount=2)

    async def test_message_is_not_resent_after_disconnect(
        self, server: PeerServer, client: PeerClient
    ) -> None:
        """Guards against a message that is sent twice after a broken connection."""
        arrived = asyncio.Event()

        async def hang(message: AcquireTokens) -> Message:
            arrived.set()
            await asyncio.Event().wait()
            raise AssertionError

        server.register(AcquireTokens, hang)
        address = str(await server.start())
        ask = asyncio.create_task(client.ask(address, ASK, timeout=30))
        await arrived.wait()
        await server.stop()
        with pytest.raises(PeerError, match="connection"):
            await ask


class TestCancellation:
    """Cancellation of PeerClient.ask."""

    @pytest.mark.parametrize("fails", [False, True])
    async def test_dropped_cancellation_takes_effect(
        self, client: PeerClient, monkeypatch: pytest.MonkeyPatch, fails: bool
    ) -> None:
        """Guards against a cancellation that is lost when a receive completes.

        A node that lost its membership would then ask its monitor forever.
        """

        async def exchange(address: str, data: bytes) -> bytes:
            # Simulates a receive that completes while it is being cancelled.
            with suppress(asyncio.CancelledError):
                await asyncio.Event().wait()
            if fails:
                raise TimeoutError
            return encode_message(TokensGranted(amount=1.0))

        monkeypatch.setattr(client, "_exchange", exchange)
        task = asyncio.create_task(client.ask("127.0.0.1:1", ASK, timeout=30.0))
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


class TestTls:
    """Encrypted connections between nodes."""

    @pytest.fixture
    def tls(self, tmp_path: Path) -> Tls:
        return make_tls(tmp_path, trustme.CA())

    async def test_connects_with_a_certificate_of_the_authority(self, tls: Tls) -> None:
        """Guards against nodes of the same authority that cannot connect."""
        server = PeerServer(ANY_PORT, tls=tls)
        server.register(AcquireTokens, grant)
        client = PeerClient(tls=tls)
        try:
            address = str(await server.start())
            assert await client.ask(address, ASK, timeout=30) == TokensGranted(amount=2)
        finally:
            await client.close()
            await server.stop()

    async def test_refuses_other_authority(self, tls: Tls, tmp_path: Path) -> None:
        """Guards against tokens for a process without a valid certificate."""
        (tmp_path / "other").mkdir()
        server = PeerServer(ANY_PORT, tls=tls)
        server.register(AcquireTokens, grant)
        client = PeerClient(tls=make_tls(tmp_path / "other", trustme.CA()))
        try:
            address = str(await server.start())
            with pytest.raises(PeerError):
                await client.ask(address, ASK, timeout=0.5)
        finally:
            await client.close()
            await server.stop()


def make_tls(folder: Path, authority: trustme.CA) -> Tls:
    """Write a certificate for 127.0.0.1 and return its paths."""
    issued = authority.issue_cert("127.0.0.1")
    issued.cert_chain_pems[0].write_to_path(folder / "certificate.pem")
    issued.private_key_pem.write_to_path(folder / "key.pem")
    authority.cert_pem.write_to_path(folder / "authority.pem")
    return Tls(
        certificate=str(folder / "certificate.pem"),
        private_key=str(folder / "key.pem"),
        authority=str(folder / "authority.pem"),
    )


class TestFailFast:
    """``PeerClient(fail_fast=True)``."""

    async def test_stopped_node_fails_at_once(self):
        """Guards against a request to a stopped node that waits for its timeout."""
        client = PeerClient(fail_fast=True)
        request = Hello(node="a", epoch=1, bundle_version=1)
        loop = asyncio.get_running_loop()
        try:
            with pytest.raises(PeerError):
                await client.ask("127.0.0.1:1", request, timeout=0.5)
            start = loop.time()
            with pytest.raises(PeerError, match="no connection"):
                await client.ask("127.0.0.1:1", request, timeout=30.0)
            assert loop.time() - start < 10.0
        finally:
            await client.close()
