"""Tests of HTTP sessions against servers whose answers end with their connection."""

import asyncio
from collections.abc import Callable
from typing import Any

import aiohttp
import pytest
import uvloop

from fireflyspread._http_client import open_client_session
from fireflyspread.clock import ManualClock
from fireflyspread.daemon._build import build_pools
from fireflyspread.limits import ReplicaLimits
from fireflyspread.platform._replicas import _open_session as open_replica_session
from standins.raw_server import RawServer

_HEAD = b"HTTP/1.1 200 OK\r\nFireflyspread-Request-Id: r1\r\n\r\n"
_CLOCK = ManualClock()
_BODIES = {"empty": b"", "event": b"id: 1\ndata: x\n\n", "bytes": b"x" * 500}
_SESSIONS: dict[str, Callable[[], Any]] = {
    "shared": open_client_session,
    "daemon": lambda: build_pools(ReplicaLimits(_CLOCK), _CLOCK)[0]._session,
    "replicas": open_replica_session,
}


async def _answer(open_session: Callable[[], Any], server: RawServer) -> bytes:
    async with open_session() as session:
        task = asyncio.create_task(_read(session, server.url))
        await asyncio.to_thread(server.received.wait, 5.0)
        server.send()
        return await task


async def _read(session: aiohttp.ClientSession, url: str) -> bytes:
    headers = {"Fireflyspread-Request-Id": "r1"}
    async with session.get(url, headers=headers) as response:
        return await response.read()


@pytest.mark.parametrize("open_session", _SESSIONS.values(), ids=_SESSIONS)
@pytest.mark.parametrize("body", _BODIES.values(), ids=_BODIES)
class TestAnswerWithoutLength:
    """On uvloop, which the programs run on."""

    def test_reset_beside_the_last_data_is_not_an_end(self, open_session, body):
        """Guards against a truncated answer that is taken as complete."""
        with RawServer(_HEAD + body, is_reset=True) as server:
            with pytest.raises(aiohttp.ClientPayloadError):
                uvloop.run(_answer(open_session, server))

    def test_close_is_an_end(self, open_session, body):
        """Guards against complete answers that are reported as broken off."""
        with RawServer(_HEAD + body, is_reset=False) as server:
            assert uvloop.run(_answer(open_session, server)) == body
