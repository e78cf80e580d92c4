"""Connections between nodes that fall silent while new ones work."""

import asyncio
import contextlib
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from fireflyspread.exceptions import PeerError, PeerUnconnectedError
from fireflyspread.nodes import (
    AcquireTokens,
    Message,
    PeerClient,
    PeerServer,
    TokensGranted,
)
from fireflyspread.settings import Address
from soak.proxy import Proxy, ProxyFault

ASK = AcquireTokens(team="scans", amount=2.0, epoch=1)
GRANTED = TokensGranted(amount=2.0)
# Attempts within which a request must get through, at about 0.15 s each.
MAX_ATTEMPTS = 10


class Path:
    """A client, a server that counts its messages, and the proxy between them."""

    def __init__(self) -> None:
        self.handled = 0
        self.client = PeerClient(fail_fast=True)
        self.server = PeerServer(Address(host="127.0.0.1", port=0))
        self.server.register(AcquireTokens, self._grant)
        self.address = ""

    async def start(self) -> None:
        self.proxy = Proxy(str(await self.server.start()))
        self.address = await self.proxy.start()

    async def stop(self) -> None:
        await self.client.close()
        await self.proxy.stop()
        await self.server.stop()

    async def _grant(self, message: AcquireTokens) -> Message:
        self.handled += 1
        return TokensGranted(amount=message.amount)

    async def ask(self) -> Message:
        return await self.client.ask(self.address, ASK, timeout=0.15)

    async def ask_until_answered(self) -> int:
        """Ask again after each failure; return the number of attempts."""
        for attempt in range(1, MAX_ATTEMPTS + 1):
            try:
                assert await self.ask() == GRANTED
            except PeerError:
                await asyncio.sleep(0.05)
            else:
                return attempt
        raise AssertionError(f"no answer in {MAX_ATTEMPTS} attempts")


@pytest_asyncio.fixture
async def path() -> AsyncIterator[Path]:
    path = Path()
    await path.start()
    yield path
    await path.stop()


class TestSilentConnections:
    @pytest.mark.parametrize(
        ("requests", "answers"), [(True, True), (True, False), (False, True)]
    )
    async def test_are_replaced(self, path, requests, answers):
        """Guards against two nodes that cannot talk until TCP gives up."""
        assert await path.ask() == GRANTED
        assert path.proxy.silence_open(requests=requests, answers=answers) == 1
        assert await path.ask_until_answered() > 1
        assert path.client.count_replaced() == 1

    async def test_are_replaced_each_time(self, path):
        """Guards against a replacement that is not watched itself."""
        assert await path.ask() == GRANTED
        for _ in range(3):
            path.proxy.silence_open()
            await path.ask_until_answered()
        assert path.client.count_replaced() == 3

    async def test_are_replaced_while_requests_wait(self, path):
        """Guards against a retired connection whose requests fail early or hang."""
        assert await path.ask() == GRANTED
        path.proxy.silence_open()
        waiting = asyncio.create_task(path.client.ask(path.address, ASK, timeout=2.0))
        await path.ask_until_answered()
        assert not waiting.done()
        with pytest.raises(PeerError, match="did not answer"):
            await waiting

    async def test_are_replaced_after_requests_that_are_given_up(self, path):
        """Guards against callers with a shorter timeout that hide the silence."""
        assert await path.ask() == GRANTED
        path.proxy.silence_open()
        for _ in range(MAX_ATTEMPTS):
            with contextlib.suppress(TimeoutError, PeerError):
                async with asyncio.timeout(0.05):
                    await path.client.ask(path.address, ASK, timeout=30.0)
                    return
            await asyncio.sleep(0.02)
        raise AssertionError(f"no answer in {MAX_ATTEMPTS} attempts")

    async def test_message_is_not_sent_again(self, path):
        """Guards against a message that is handled twice after a replacement."""
        assert await path.ask() == GRANTED
        path.proxy.silence_open(requests=False)
        attempts = await path.ask_until_answered()
        assert path.handled == 1 + attempts


class TestOtherFaults:
    async def test_cut_node_keeps_its_connection(self, path):
        """Guards against a node that is cut off and looks like one that has ended."""
        assert await path.ask() == GRANTED
        path.proxy.inject(ProxyFault.SILENCE)
        path.proxy.refuse()
        for _ in range(6):
            with pytest.raises(PeerError) as caught:
                await path.ask()
            assert not isinstance(caught.value, PeerUnconnectedError)
        path.proxy.clear()
        assert await path.ask_until_answered() <= 2
        assert path.client.count_replaced() == 0
