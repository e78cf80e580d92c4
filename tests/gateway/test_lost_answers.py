"""Tests of gateway processes whose replicas lose answers."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import Cluster, make_headers

_METHODS = ("GET", "HEAD", "PUT", "DELETE", "POST")
_REQUESTS = 12


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=2, replicas=4, viewed=True) as found:
        yield found


async def _send_all(cluster: Cluster, method: str, path: str) -> list[int]:
    """Send requests one after the other to the first node; return the statuses."""
    statuses = []
    async with aiohttp.ClientSession() as session:
        # Each request is one client attempt, whatever its method.
        session._retry_connection = False
        for number in range(_REQUESTS):
            async with session.request(
                method,
                f"http://{cluster.nodes[0].callers}{path}",
                headers=make_headers(f"{method}-{number}"),
                data=None if method in ("GET", "HEAD", "DELETE") else b"two lids",
            ) as response:
                statuses.append(response.status)
    return statuses


def _count_runs(cluster: Cluster) -> dict[str, int]:
    runs: dict[str, int] = {}
    for replica in cluster.orders:
        for request, count in replica.count_runs().items():
            runs[request] = runs.get(request, 0) + count
    return runs


class TestUnsafeRequest:
    @pytest.mark.parametrize("is_relayed", [False, True])
    @pytest.mark.parametrize("method", _METHODS)
    async def test_runs_once_whatever_its_method(self, cluster, method, is_relayed):
        """Guards against an unsafe request that runs twice if its answer is lost."""
        await _send_all(cluster, "POST", "/prices/warm")
        if is_relayed:
            # The node reaches replicas only through the other one.
            cluster.views[0].cut(resets=True)
            await asyncio.sleep(1.0)
            await _send_all(cluster, "POST", "/prices/relayed")
        for replica in cluster.orders:
            replica.runs.clear()
            replica.faults.lost_answers = 2
        statuses = await _send_all(cluster, method, "/orders/book")
        runs = _count_runs(cluster)
        lost = sum(2 - replica.faults.lost_answers for replica in cluster.orders)
        assert lost > 0
        assert len(runs) == _REQUESTS
        assert set(runs.values()) == {1}
        assert statuses.count(502) == lost
        assert statuses.count(200) == _REQUESTS - lost

    async def test_is_answered_502_if_its_replica_crashes(self, cluster):
        """Guards against an unsafe request that goes on to the next replica."""
        for replica in cluster.orders:
            replica.faults.crash_on = "poison"
            replica.faults.crash_seconds = 0.3
        async with aiohttp.ClientSession() as session:
            session._retry_connection = False
            async with session.put(
                f"http://{cluster.nodes[0].callers}/orders/poison",
                headers=make_headers("r1"),
                data=b"two lids",
            ) as response:
                assert response.status == 502
        assert sum(replica.crash_count for replica in cluster.orders) == 1
