"""Tests of gateway processes that are cut from all replicas."""

import asyncio
import itertools
import json
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import (
    KEY,
    Cluster,
    Gateway,
    make_config,
    make_headers,
    make_turn_headers,
)
from tests.gateway.test_process import STREAM_BODY

_PATHS = ("/prices/1", "/orders/1", "/turns/stream")
# Seconds after which a cut node must serve its callers again.
_CONTACT_SECONDS = 1.0


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=3, replicas=2, viewed=True) as found:
        yield found


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    timeout = aiohttp.ClientTimeout(total=8.0)
    async with aiohttp.ClientSession(timeout=timeout) as found:
        yield found


class _Callers:
    """Callers of one node."""

    def __init__(self, session: aiohttp.ClientSession, prefix: str = "r") -> None:
        self._session = session
        self._names = (f"{prefix}{number}" for number in itertools.count())
        self.sent: Counter[str] = Counter()

    async def send(
        self, node: Gateway, path: str, *, key: str = KEY, **fields: str
    ) -> tuple[str, int, bytes]:
        """Send one request; return its id, and the status and body of the answer."""
        request = next(self._names)
        headers = make_headers(request, key=key)
        if path.startswith("/turns"):
            headers = make_turn_headers(request, f"p-{request}", budget=5000)
        try:
            async with self._session.post(
                f"http://{node.callers}{path}", headers={**headers, **fields}, data=b"x"
            ) as response:
                return request, response.status, await response.read()
        except aiohttp.ClientError:
            return request, 0, b""

    async def send_all(self, node: Gateway, count: int, path: str) -> list[int]:
        """Send requests one after the other and return the statuses."""
        statuses = []
        for _ in range(count):
            _, status, body = await self.send(node, path)
            if status == 200 and path.startswith("/turns"):
                assert body == STREAM_BODY
            statuses.append(status)
        return statuses


async def _warm_up(callers: _Callers, cluster: Cluster) -> None:
    for node in cluster.nodes:
        for path in _PATHS:
            assert set(await callers.send_all(node, 4, path)) == {200}


async def _cut(cluster: Cluster, *numbers: int, resets: bool) -> None:
    for number in numbers:
        cluster.views[number].cut(resets=resets)
    await asyncio.sleep(_CONTACT_SECONDS)


def _list_lines(node: Gateway) -> list[dict]:
    return [json.loads(line) for line in node.log_path.read_text().splitlines()]


class TestCutNode:
    @pytest.mark.parametrize("resets", [False, True])
    async def test_serves_its_callers(self, cluster, session, resets):
        """Guards against a node that has only its own links to the replicas."""
        callers = _Callers(session)
        await _warm_up(callers, cluster)
        await _cut(cluster, 0, resets=resets)
        for path in _PATHS:
            assert set(await callers.send_all(cluster.nodes[0], 20, path)) == {200}

    async def test_two_of_three_cut_nodes_serve_their_callers(self, cluster, session):
        """Guards against nodes that relay through each other and not the third."""
        callers = _Callers(session)
        await _cut(cluster, 0, 1, resets=True)
        for node in cluster.nodes:
            for path in _PATHS:
                statuses = await callers.send_all(node, 10, path)
                assert statuses.count(200) >= 9

    async def test_node_that_starts_cut_serves_its_callers(self, cluster, session):
        """Guards against paths that only an earlier request could have found broken."""
        cluster.views[0].cut(resets=True)
        await cluster.nodes[0].stop()
        await cluster.nodes[0].start(is_first=False)
        callers = _Callers(session)
        await asyncio.sleep(_CONTACT_SECONDS)
        for path in _PATHS:
            assert set(await callers.send_all(cluster.nodes[0], 10, path)) == {200}

    async def test_requests_run_at_most_once(self, cluster, session):
        """Guards against orders that both ways run, at the start of a cut too."""
        callers = _Callers(session)
        await _warm_up(callers, cluster)

        async def send_on() -> list[int]:
            return await callers.send_all(cluster.nodes[0], 200, "/orders/1")

        tasks = [asyncio.create_task(send_on()) for _ in range(4)]
        for resets in (True, False):
            await asyncio.sleep(0.3)
            cluster.views[0].cut(resets=resets)
            await asyncio.sleep(0.3)
            await cluster.views[0].heal()
        statuses = [status for task in tasks for status in await task]
        runs: Counter[str] = Counter()
        for replica in cluster.orders:
            runs += replica.count_runs()
        assert max(runs.values()) == 1
        assert statuses.count(200) >= 0.95 * len(statuses)

    async def test_other_nodes_keep_their_view(self, cluster, session):
        """Guards against a cut that counts as crashes of replicas on all nodes."""
        callers = _Callers(session)
        await _warm_up(callers, cluster)
        tasks = [
            asyncio.create_task(callers.send_all(cluster.nodes[0], 5, "/turns/stream"))
            for _ in range(8)
        ]
        await asyncio.sleep(0.01)
        await _cut(cluster, 0, resets=True)
        await asyncio.gather(*tasks)
        for node in cluster.nodes:
            messages = Counter(line["message"] for line in _list_lines(node))
            assert not any("crashed" in message for message in messages)

    async def test_cancelled_stream_ends_at_the_replica(self, cluster, session):
        """Guards against work for callers that have left, behind another node."""
        for replica in cluster.models:
            replica.faults.work = 0.2
        await _cut(cluster, 0, resets=True)
        headers = make_turn_headers("left", "p-left", budget=5000)
        response = await session.post(
            f"http://{cluster.nodes[0].callers}/turns/stream",
            headers=headers,
            data=b"x",
        )
        await response.content.readany()
        response.close()
        await asyncio.sleep(1.0)
        runs = [r for m in cluster.models for r in m.runs if r.request == "left"]
        assert len(runs) == 1
        assert runs[0].events < 8

    async def test_deadline_reaches_the_replica(self, cluster, session):
        """Guards against a relayed request with more time than its caller waits."""
        callers = _Callers(session)
        await _cut(cluster, 0, resets=True)
        await callers.send_all(cluster.nodes[0], 2, "/prices/1")
        request, status, _ = await callers.send(
            cluster.nodes[0], "/prices/1", **{"Fireflyspread-Time-Remaining": "700"}
        )
        assert status == 200
        runs = [r for m in cluster.orders for r in m.runs if r.request == request]
        assert all(run.remaining <= 700 for run in runs)
        assert all(run.key is None for run in runs)

    async def test_rates_hold(self, cluster, session):
        """Guards against requests that other nodes relay beside a team's rate."""
        cluster.put_config(
            make_config(
                4,
                tenants=[
                    {"name": "lids", "apiKeys": [KEY], "ratePerS": 20, "burst": 20}
                ],
            )
        )
        await _cut(cluster, 0, resets=True)
        callers = _Callers(session)
        tasks = [callers.send(cluster.nodes[0], "/prices/1") for _ in range(200)]
        answers = await asyncio.gather(*tasks)
        served = sum(status == 200 for _, status, _ in answers)
        assert served <= (20 * 5 + 20) * 1.1 + 20
        assert {status for _, status, _ in answers} <= {200, 429}

    async def test_limits_of_replicas_hold(self, cluster, session):
        """Guards against relayed requests beside the limit that a replica names."""
        for replica in cluster.orders:
            replica.faults.limit = 3.0
        await _cut(cluster, 0, resets=True)
        callers = _Callers(session)
        loop = asyncio.get_running_loop()
        await callers.send_all(cluster.nodes[0], 4, "/prices/1")
        since, tasks = loop.time(), []
        while loop.time() < since + 4.0:
            tasks.append(
                asyncio.create_task(callers.send(cluster.nodes[0], "/prices/1"))
            )
            await asyncio.sleep(0.03)
        await asyncio.gather(*tasks)
        for replica in cluster.orders:
            count = sum(since <= at < since + 4.0 for at in replica.arrivals)
            assert 6 <= count <= 1.5 * 3.0 * 4.0 + 5

    async def test_broken_stream_goes_on(self, cluster, session):
        """Guards against relayed streams that a broken connection ends."""
        callers = _Callers(session)
        await _cut(cluster, 0, resets=True)
        for replica in cluster.models:
            replica.faults.break_streams = 1
        statuses = await callers.send_all(cluster.nodes[0], 6, "/turns/stream")
        assert statuses.count(200) == 6

    async def test_crashing_replica_is_avoided(self, cluster, session):
        """Guards against a dead replica that looks alive because others relay."""
        callers = _Callers(session)
        await _cut(cluster, 0, resets=True)
        cluster.orders[0].crash(30.0)
        statuses = await callers.send_all(cluster.nodes[0], 20, "/prices/1")
        assert statuses.count(200) >= 19

    async def test_request_that_crashes_replicas_is_refused(self, cluster, session):
        """Guards against crashes that nobody counts because another node relays."""
        for replica in cluster.orders:
            replica.faults.crash_on = "poison"
        callers = _Callers(session)
        await _cut(cluster, 0, resets=True)
        await callers.send_all(cluster.nodes[0], 2, "/prices/1")
        statuses = []
        for _ in range(24):
            _, status, _ = await callers.send(cluster.nodes[0], "/prices/poison")
            statuses.append(status)
            await asyncio.sleep(0.4)
        # Three crashes prove it, and three more may follow before all nodes know.
        assert sum(replica.crash_count for replica in cluster.orders) <= 6
        assert statuses[-1] == 503

    async def test_direct_links_are_used_after_the_cut(self, cluster, session):
        """Guards against nodes that relay forever, and against a second cut."""
        callers = _Callers(session)
        for _ in range(2):
            await _cut(cluster, 0, resets=True)
            assert set(await callers.send_all(cluster.nodes[0], 5, "/prices/1")) == {
                200
            }
            await cluster.views[0].heal()
            await asyncio.sleep(2.0)
            before = len(_list_lines(cluster.nodes[0]))
            assert set(await callers.send_all(cluster.nodes[0], 10, "/prices/1")) == {
                200
            }
            lines = _list_lines(cluster.nodes[0])[before:]
            assert not any("relayed" in line["message"] for line in lines)
