"""Tests of gateway processes with replicas that break off answers without a length."""

import asyncio
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import Cluster, Gateway, make_headers, make_turn_headers
from tests.gateway.test_process import STREAM_BODY

_REQUESTS = 20
_ORDER_BODY = b"done two lids"


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path) as found:
        yield found


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as found:
        yield found


async def _send(
    session: aiohttp.ClientSession, node: Gateway, path: str, request: str
) -> tuple[int, bytes]:
    """Return the status and body of a complete answer, (0, b"") for a broken one."""
    headers = make_headers(request)
    if path.startswith("/turns/"):
        headers = make_turn_headers(request, f"p-{request}")
    try:
        async with session.post(
            f"http://{node.callers}{path}", headers=headers, data=b"two lids"
        ) as response:
            return response.status, await response.read()
    except aiohttp.ClientError:
        return 0, b""


async def _restart_all(cluster: Cluster) -> None:
    for node in cluster.nodes:
        await node.stop(signal.SIGKILL)
    await asyncio.gather(*(node.start(is_first=False) for node in cluster.nodes))


async def _break_all(
    session: aiohttp.ClientSession, cluster: Cluster, path: str, **faults: object
) -> list[tuple[int, bytes]]:
    """Send to all nodes in turn; the first answer to each request is broken off."""
    replicas = (*cluster.models, *cluster.orders)
    answers = []
    for number in range(_REQUESTS):
        node = cluster.nodes[number % len(cluster.nodes)]
        for replica in replicas:
            for name, value in faults.items():
                setattr(replica.faults, name, value)
        answers.append(await _send(session, node, path, f"r{path}{number}"))
        if number == _REQUESTS // 2:
            await _restart_all(cluster)
    return answers


class TestAnswersWithoutLength:
    @pytest.mark.parametrize("events", [0, 1, 7])
    async def test_stream_goes_on_after_a_reset_between_events(
        self, cluster, session, events
    ):
        """Guards against a stream that ends as complete before its last event."""
        answers = await _break_all(
            session,
            cluster,
            "/turns/stream",
            unframed=True,
            reset_answers=1,
            reset_events=events,
        )
        assert answers == [(200, STREAM_BODY)] * _REQUESTS

    async def test_stream_without_an_event_is_not_complete(self, cluster, session):
        """Guards against an empty stream for one that was closed at its start."""
        answers = await _break_all(
            session, cluster, "/turns/stream", unframed=True, empty_streams=1
        )
        assert answers == [(200, STREAM_BODY)] * _REQUESTS

    async def test_safe_request_is_repeated(self, cluster, session):
        """Guards against a truncated body that reaches its caller as complete."""
        answers = await _break_all(
            session, cluster, "/prices/1", unframed=True, reset_answers=1
        )
        assert answers == [(200, _ORDER_BODY)] * _REQUESTS

    async def test_order_may_have_run(self, cluster, session):
        """Guards against a truncated answer to an order, and against a second run."""
        answers = await _break_all(
            session, cluster, "/orders/1", unframed=True, reset_answers=1
        )
        assert {status for status, _ in answers} <= {0, 502}
        runs = cluster.orders[0].count_runs() + cluster.orders[1].count_runs()
        assert set(runs.values()) == {1}

    @pytest.mark.parametrize("path", ["/turns/stream", "/prices/1", "/orders/1"])
    async def test_complete_answers_are_passed_on(self, cluster, session, path):
        """Guards against answers without a length that are taken as broken off."""
        body = STREAM_BODY if path == "/turns/stream" else _ORDER_BODY
        answers = await _break_all(session, cluster, path, unframed=True)
        assert answers == [(200, body)] * _REQUESTS
