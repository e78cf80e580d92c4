"""Tests of gateway processes before replicas that limit their requests."""

import asyncio
import itertools
import signal
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import Cluster, Gateway, make_headers, make_turn_headers
from standins.platform_replica import PlatformReplica

# Seconds: a window in which the requests at a replica are counted, and the time after
# which all nodes know a new limit.
_WINDOW = 4.0
_SETTLE_SECONDS = 0.7
# Requests a second from each of the callers of one node.
_CALLER_RATE = 25.0


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=3, replicas=3) as found:
        yield found


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    timeout = aiohttp.ClientTimeout(total=8.0)
    async with aiohttp.ClientSession(timeout=timeout) as found:
        yield found


class _Load:
    """Callers that send requests at a steady rate to all nodes."""

    def __init__(self, session: aiohttp.ClientSession, nodes: list[Gateway]) -> None:
        self._session = session
        self._nodes = nodes
        self._numbers = itertools.count()
        self.statuses: Counter[int] = Counter()
        self.retry_after: list[float] = []
        self.seconds_to_refusal: list[float] = []

    async def run(self, seconds: float, *, path: str = "/prices/1") -> None:
        """Send requests for ``seconds`` and wait for the answers."""
        loop = asyncio.get_running_loop()
        tasks, end = [], loop.time() + seconds
        while loop.time() < end:
            tasks += [asyncio.create_task(self._send(n, path)) for n in self._nodes]
            await asyncio.sleep(1 / _CALLER_RATE)
        await asyncio.gather(*tasks)

    async def _send(self, node: Gateway, path: str) -> None:
        number = next(self._numbers)
        headers = make_headers(f"r{number}")
        if path.startswith("/turns"):
            headers = make_turn_headers(f"r{number}", f"p{number}", budget=5000)
        started_at = asyncio.get_running_loop().time()
        try:
            async with self._session.post(
                f"http://{node.callers}{path}", headers=headers, data=b"x"
            ) as response:
                await response.read()
        except aiohttp.ClientError:
            self.statuses[0] += 1
            return
        self.statuses[response.status] += 1
        if response.status == 503:
            self.retry_after.append(float(response.headers["Retry-After"]))
            now = asyncio.get_running_loop().time()
            self.seconds_to_refusal.append(now - started_at)


def _find_busiest(replica: PlatformReplica, since: float) -> int:
    """Return the most requests that arrived in a window after ``since``."""
    arrivals = [at for at in replica.arrivals if at >= since]
    return max((_count(arrivals, at) for at in arrivals), default=0)


def _count(arrivals: list[float], start: float) -> int:
    return sum(start <= at < start + _WINDOW for at in arrivals)


def _get_allowed(limit: float) -> float:
    """Return the requests that all nodes may send in a window."""
    return 1.5 * limit * _WINDOW + 5


def _assert_limits_kept(limits: dict[PlatformReplica, float], since: float) -> None:
    for replica, limit in limits.items():
        assert _find_busiest(replica, since) <= _get_allowed(limit)


def _set_limits(
    replicas: list[PlatformReplica], values: list[float]
) -> dict[PlatformReplica, float]:
    limits = dict(zip(replicas, values, strict=False))
    for replica, limit in limits.items():
        replica.faults.limit = limit
    return limits


def _now() -> float:
    return asyncio.get_running_loop().time()


@pytest.fixture(params=["/prices/1", "/orders/1", "/turns/stream"])
def path(request: pytest.FixtureRequest) -> Iterator[str]:
    return request.param


class TestLimitedReplicas:
    async def test_get_no_more_than_their_limit(self, cluster, session, path):
        """Guards against nodes that ignore or each use the whole limit."""
        replicas = cluster.models if path.startswith("/turns") else cluster.orders
        limits = _set_limits(replicas, [4.0, 1.0])
        load = _Load(session, cluster.nodes)
        since = _now() + _SETTLE_SECONDS
        await load.run(_SETTLE_SECONDS + _WINDOW + 1.0, path=path)
        _assert_limits_kept(limits, since)
        # The replica without a limit serves what the others do not take.
        assert set(load.statuses) == {200}

    async def test_limits_of_all_replicas_are_used(self, cluster, session):
        """Guards against limits that nodes leave unused, and against late refusals."""
        limits = _set_limits(cluster.orders, [6.0, 6.0, 6.0])
        load = _Load(session, cluster.nodes)
        since = _now() + _SETTLE_SECONDS
        await load.run(_SETTLE_SECONDS + _WINDOW + 2.0)
        _assert_limits_kept(limits, since)
        used = sum(
            at >= since and at < since + _WINDOW + 2.0
            for replica in limits
            for at in replica.arrivals
        )
        assert used >= 0.8 * sum(limits.values()) * (_WINDOW + 2.0)
        assert set(load.statuses) <= {200, 503}
        assert min(load.retry_after) > 0.0
        # What cannot be served before its deadline is refused at once.
        at_once = sum(seconds < 0.5 for seconds in load.seconds_to_refusal)
        assert at_once >= 0.9 * len(load.seconds_to_refusal)

    async def test_restarted_node_keeps_the_limit(self, cluster, session):
        """Guards against nodes that forget a limit, or that start with a full share."""
        limits = _set_limits(cluster.orders, [2.0, 2.0, 2.0])
        load = _Load(session, cluster.nodes)
        since = _now() + _SETTLE_SECONDS
        task = asyncio.create_task(load.run(_SETTLE_SECONDS + 2 * _WINDOW))
        for node in cluster.nodes:
            await asyncio.sleep(2.0)
            await node.stop(signal.SIGKILL)
            await node.start(is_first=False)
        await task
        _assert_limits_kept(limits, since)

    async def test_limit_holds_while_the_store_is_down(self, cluster, session):
        """Guards against shares that depend on the store."""
        cluster.store.faults.down = "hang"
        limits = _set_limits(cluster.orders, [3.0, 3.0, 3.0])
        load = _Load(session, cluster.nodes)
        since = _now() + _SETTLE_SECONDS
        await load.run(_SETTLE_SECONDS + _WINDOW + 1.0)
        _assert_limits_kept(limits, since)
        assert load.statuses[200] >= 0.7 * sum(limits.values()) * _WINDOW

    async def test_resumed_streams_count(self, cluster, session):
        """Guards against sends after a broken connection that nobody counts."""
        limits = _set_limits(cluster.models, [3.0, 3.0, 3.0])
        for replica in cluster.models:
            replica.faults.break_streams = 1000
        load = _Load(session, cluster.nodes)
        since = _now() + _SETTLE_SECONDS
        await load.run(_SETTLE_SECONDS + _WINDOW + 1.0, path="/turns/stream")
        _assert_limits_kept(limits, since)


class TestEndOfLimit:
    async def test_replica_is_used_again(self, cluster, session):
        """Guards against limits that outlive the answers that named them."""
        _set_limits(cluster.orders, [1.0, 1.0, 1.0])
        load = _Load(session, cluster.nodes)
        await load.run(2.0)
        for replica in cluster.orders:
            replica.faults.limit = None
        await load.run(3.0)
        load.statuses.clear()
        await load.run(1.0)
        assert set(load.statuses) == {200}

    async def test_restarted_replica_is_used_again(self, cluster, session):
        """Guards against a limit that a replica's next process inherits."""
        replicas = cluster.orders
        _set_limits(replicas, [0.5, 0.5, 0.5])
        load = _Load(session, cluster.nodes)
        await load.run(2.0)
        for replica in replicas:
            replica.faults.limit = None
            replica.crash(0.2)
        await asyncio.sleep(1.5)
        load.statuses.clear()
        await load.run(0.5)
        assert set(load.statuses) == {200}
