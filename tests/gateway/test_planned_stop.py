"""Tests of a planned stop of one gateway beside callers on kept connections."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest
from attrs import define, frozen

from soak.cluster import Cluster, Gateway, make_config, make_headers, make_turn_headers

# The stop grace of a gateway is 8 s; its default setting.
_GRACE = 8.0
# Longer than the grace, so that no deadline ends a request before it.
_TIMEOUT_MS = 20_000


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path) as found:
        config = make_config(9)
        for route in config["routes"]:
            route["timeoutMs"] = _TIMEOUT_MS
        found.put_config(config)
        await asyncio.sleep(0.5)
        yield found


@frozen
class Sent:
    """A request and how it ended.

    Attributes
    ----------
    at : float
        Unix seconds when it was sent.
    status : int
        0 if the connection ended without a complete answer.
    """

    request: str
    at: float
    status: int


@define
class Callers:
    """Callers that each keep one connection to a node."""

    node: Gateway
    sent: list[Sent]

    async def run(self, name: str, path: str, *, pause: float) -> None:
        """Send one request after the other until the node accepts no connection."""
        connector = aiohttp.TCPConnector(limit=1, keepalive_timeout=60.0)
        number = 0
        async with aiohttp.ClientSession(connector=connector) as session:
            while True:
                request = f"{name}-{number}"
                number += 1
                try:
                    await self.send(session, request, path)
                except aiohttp.ClientConnectorError:
                    return
                await asyncio.sleep(pause)

    async def send(
        self, session: aiohttp.ClientSession, request: str, path: str
    ) -> None:
        headers = make_headers(request)
        if path.startswith("/turns/"):
            headers = make_turn_headers(request, f"p-{request}")
        headers["Fireflyspread-Time-Remaining"] = str(_TIMEOUT_MS)
        at, status = time.time(), 0
        try:
            async with session.post(
                f"http://{self.node.callers}{path}/{request}",
                headers=headers,
                data=b"x",
            ) as response:
                await response.read()
                status = response.status
        except aiohttp.ClientConnectorError:
            raise
        except aiohttp.ClientError:
            status = 0
        self.sent.append(Sent(request, at, status))


def _list_cut(cluster: Cluster, callers: Callers) -> list[Sent]:
    """Return the requests that reached a replica and got no complete answer."""
    ran = {
        run.request for each in (*cluster.orders, *cluster.models) for run in each.runs
    }
    return [sent for sent in callers.sent if sent.status == 0 and sent.request in ran]


class TestPlannedStop:
    @pytest.mark.parametrize("signals", [1, 3])
    @pytest.mark.parametrize("work", [0.05, 1.0, 3.0, 9.0])
    async def test_no_request_is_cut(self, cluster, work, signals):
        """Guards against requests that a replica runs and nobody answers.

        Some callers send all the time and some on connections that were idle for as
        long as possible; the requests of the last case outlast the grace.
        """
        for replica in cluster.orders:
            replica.faults.work = work
        for replica in cluster.models:
            replica.faults.work = min(work, 3.0) / 8
        node = cluster.nodes[0]
        callers = Callers(node, [])
        tasks = [
            asyncio.create_task(
                callers.run(f"{kind}{number}", path, pause=0.01 + 0.23 * number)
            )
            for kind, path in (
                ("safe", "/prices"),
                ("unsafe", "/orders"),
                ("stream", "/turns/stream"),
            )
            for number in range(4)
        ]
        await asyncio.sleep(1.0)
        stopped_at = time.time()
        stopping = asyncio.create_task(node.stop())
        for _ in range(signals - 1):
            await asyncio.sleep(0.7)
            node.send_signal(signal.SIGTERM)
        assert await stopping == 0
        seconds = time.time() - stopped_at
        await asyncio.gather(*tasks)
        assert any(sent.at > stopped_at for sent in callers.sent)
        assert _list_cut(cluster, callers) == []
        assert seconds < _GRACE
        refused = {sent.status for sent in callers.sent} - {0, 200}
        assert refused <= ({502, 504} if work > 4 else set())


class TestRelays:
    async def test_request_relayed_by_the_stopping_node_is_answered(self, tmp_path):
        """Guards against a relay that outlives the grace and cuts its requests."""
        async with Cluster(tmp_path, nodes=2, viewed=True) as cluster:
            config = make_config(9)
            for route in config["routes"]:
                route["timeoutMs"] = _TIMEOUT_MS
            cluster.put_config(config)
            cluster.views[0].cut(resets=True)
            await asyncio.sleep(1.0)
            for replica in cluster.orders:
                replica.faults.work = 9.0
            node, relay = cluster.nodes
            callers = Callers(node, [])
            async with aiohttp.ClientSession() as session:
                sending = [
                    asyncio.create_task(callers.send(session, f"r{number}", "/orders"))
                    for number in range(3)
                ]
                await asyncio.sleep(1.0)
                assert sum(len(each.runs) for each in cluster.orders) == 3
                stopped_at = time.time()
                assert await relay.stop() == 0
                assert time.time() - stopped_at < _GRACE
                await asyncio.gather(*sending)
            assert [sent.status for sent in callers.sent] == [502, 502, 502]
