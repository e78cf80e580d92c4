"""Tests of gateway processes with replicas that send a refusal once more."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import Cluster, make_headers

_REQUESTS = 24


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path) as found:
        yield found


async def _send_orders(cluster: Cluster) -> dict[str, int]:
    """Send orders in turn, of which all replicas refuse every second one."""
    statuses = {}
    async with aiohttp.ClientSession() as session:
        for number in range(_REQUESTS):
            if number % 2 == 0:
                for replica in cluster.orders:
                    replica.faults.refuse = 1
            request = f"r{number}"
            async with session.post(
                f"http://{cluster.nodes[0].callers}/orders/1",
                headers=make_headers(request),
                data=b"two lids",
            ) as response:
                statuses[request] = response.status
                await response.read()
    return statuses


class TestRepeatedRefusals:
    @pytest.mark.parametrize("kind", ["anonymous", "named"])
    async def test_repeat_does_not_count_as_the_next_answer(self, cluster, kind):
        """Guards against "not run" for a request that the replica ran after all."""
        for replica in cluster.orders:
            replica.faults.repeat_refusals = kind
        statuses = await _send_orders(cluster)
        await asyncio.sleep(0.1)
        runs = cluster.orders[0].count_runs() + cluster.orders[1].count_runs()
        assert max(runs.values()) == 1
        told_not_run = {r for r, status in statuses.items() if status == 503}
        assert told_not_run
        assert not told_not_run & set(runs)
