"""Tests of several gateway processes with requests that crash replicas."""

import asyncio
import contextlib
import random
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import Cluster, Gateway, make_headers, make_turn_headers
from standins.platform_replica import PlatformReplica

# Replicas that a request may crash before it is refused, and further sends that the
# platform tolerates later than _CONTACT_SECONDS after the last of these crashes.
_MAX_CRASHES = 3
_MAX_LATE_SENDS = 3
_CONTACT_SECONDS = 3.0
_CRASH_SECONDS = 0.5
_SEEDS = (1, 2)
_MARKER = "poison"
_PATHS = {
    "safe": f"/prices/{_MARKER}",
    "unsafe": f"/orders/{_MARKER}",
    "stream": f"/turns/stream/{_MARKER}",
}


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=4, replicas=4) as found:
        for replica in (*found.models, *found.orders):
            replica.faults.crash_on = _MARKER
            replica.faults.crash_seconds = _CRASH_SECONDS
        yield found


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as found:
        yield found


def _count_crashes(cluster: Cluster) -> int:
    return sum(each.crash_count for each in (*cluster.models, *cluster.orders))


def _list_run_times(cluster: Cluster, path: str) -> list[float]:
    """Return when replicas received a request, each of which crashed its replica."""
    received = [entry for each in cluster.orders for entry in each.received]
    return sorted(entry.time for entry in received if entry.path == path)


async def _send(
    session: aiohttp.ClientSession, node: Gateway, path: str, request: str
) -> tuple[int, dict[str, str]]:
    """Send a request as a new client attempt and return its status and headers."""
    headers = make_headers(request)
    if path.startswith("/turns/"):
        headers = make_turn_headers(request, f"p-{request}")
    try:
        async with session.post(
            f"http://{node.callers}{path}", headers=headers, data=b"x"
        ) as response:
            await response.read()
            return response.status, dict(response.headers)
    except aiohttp.ClientError:
        return 0, {}


async def _send_to_all(
    session: aiohttp.ClientSession, cluster: Cluster, path: str, name: str
) -> list[int]:
    """Send to one node after the other, when all replicas are back."""
    statuses = []
    for number, node in enumerate(cluster.nodes):
        status, _ = await _send(session, node, path, f"{name}-{number}")
        statuses.append(status)
        await asyncio.sleep(_CRASH_SECONDS + 0.5)
    return statuses


async def _restart_all(cluster: Cluster) -> None:
    for node in cluster.nodes:
        await node.stop(signal.SIGKILL)
    await asyncio.gather(*(node.start(is_first=False) for node in cluster.nodes))


class TestCrashingRequest:
    @pytest.mark.parametrize("kind", _PATHS)
    async def test_is_refused_by_all_nodes_after_three_replicas(
        self, cluster, session, kind
    ):
        """Guards against a request that crashes replicas again at each node."""
        for attempt in range(3):
            await _send_to_all(session, cluster, _PATHS[kind], f"{kind}-{attempt}")
        assert _count_crashes(cluster) <= _MAX_CRASHES
        for number, node in enumerate(cluster.nodes):
            status, headers = await _send(session, node, _PATHS[kind], f"last-{number}")
            assert status == 503
            assert float(headers["Retry-After"]) > 60

    @pytest.mark.parametrize("kind", _PATHS)
    async def test_is_refused_after_a_restart_of_all_nodes(
        self, cluster, session, kind
    ):
        """Guards against nodes that forget at a restart what crashed replicas."""
        path = _PATHS[kind]
        for attempt in range(4):
            node = cluster.nodes[attempt % len(cluster.nodes)]
            await _send(session, node, path, f"before-{attempt}")
            await asyncio.sleep(_CRASH_SECONDS + 0.5)
            await _restart_all(cluster)
        await _send_to_all(session, cluster, path, "after")
        assert _count_crashes(cluster) <= _MAX_CRASHES

    async def test_is_refused_while_the_store_is_unavailable(self, cluster, session):
        """Guards against nodes that learn of crashes only from the store."""
        await _send_to_all(session, cluster, "/prices/other", "warm")
        cluster.store.faults.down = "refuse"
        await asyncio.sleep(0.3)
        # Replicas that crash cannot register again, so the store returns in between.
        for number, node in enumerate(cluster.nodes):
            await _send(session, node, _PATHS["unsafe"], f"r{number}")
            await asyncio.sleep(_CRASH_SECONDS + 0.3)
        assert _count_crashes(cluster) <= _MAX_CRASHES

    async def test_sent_at_once_to_all_nodes_is_refused_afterwards(
        self, cluster, session
    ):
        """Guards against copies of a request that crash replicas without an end."""
        path = _PATHS["safe"]
        for attempt in range(3):
            await asyncio.gather(
                *(
                    _send(session, node, path, f"{attempt}-{number}")
                    for number, node in enumerate(cluster.nodes)
                )
            )
            await asyncio.sleep(_CRASH_SECONDS + 0.5)
        await asyncio.sleep(_CONTACT_SECONDS)
        before = _count_crashes(cluster)
        assert before >= _MAX_CRASHES
        for attempt in range(3):
            await _send_to_all(session, cluster, path, f"late-{attempt}")
        assert _count_crashes(cluster) - before <= _MAX_LATE_SENDS

    async def test_is_refused_although_replicas_fall_silent(self, cluster, session):
        """Guards against crashes that are found only after the caller has left."""
        for replica in cluster.orders:
            replica.faults.crashes_silently = True
            replica.faults.crash_seconds = 1.5
        for number in range(14):
            node = cluster.nodes[number % len(cluster.nodes)]
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.5):
                    await _send(session, node, _PATHS["unsafe"], f"r{number}")
            await asyncio.sleep(0.7)
        times = _list_run_times(cluster, _PATHS["unsafe"])
        late = [at for at in times if at > times[2] + _CONTACT_SECONDS]
        assert len(late) <= _MAX_LATE_SENDS, [at - times[0] for at in times]

    @pytest.mark.parametrize("seed", _SEEDS)
    async def test_is_refused_under_random_kills_and_outages(
        self, cluster, session, seed
    ):
        """Guards against crashes that are forgotten beside kills and store outages."""
        rng = random.Random(seed)
        stopped = asyncio.Event()

        async def kill_nodes() -> None:
            while not stopped.is_set():
                await asyncio.sleep(rng.uniform(0.2, 1.5))
                nodes = rng.sample(cluster.nodes, rng.choice((1, 1, 2, 4)))
                for node in nodes:
                    await node.stop(signal.SIGKILL)
                await asyncio.gather(
                    *(node.start(is_first=False, wait_ready=False) for node in nodes)
                )

        async def interrupt_store() -> None:
            while not stopped.is_set():
                await asyncio.sleep(rng.uniform(0.5, 4.0))
                cluster.store.faults.down = "refuse"
                await asyncio.sleep(rng.uniform(0.1, 1.0))
                cluster.store.faults.down = ""

        faults = [asyncio.create_task(each()) for each in (kill_nodes, interrupt_store)]
        paths = (_PATHS["safe"], _PATHS["unsafe"])
        remaining = 20
        for number in range(400):
            path = rng.choice(paths)
            await _send(session, rng.choice(cluster.nodes), path, f"r{number}")
            await asyncio.sleep(rng.uniform(0.1, 0.8))
            counts = [len(_list_run_times(cluster, each)) for each in paths]
            remaining -= min(counts) >= _MAX_CRASHES
            if not remaining:
                break
        stopped.set()
        await asyncio.gather(*faults)
        assert not remaining
        for path in paths:
            times = _list_run_times(cluster, path)
            late = [at for at in times if at > times[2] + _CONTACT_SECONDS]
            assert len(late) <= _MAX_LATE_SENDS, [at - times[0] for at in times]


class TestOtherRequests:
    async def test_are_served_beside_a_request_that_crashes_replicas(
        self, cluster, session
    ):
        """Guards against innocent requests that are refused or fail meanwhile."""
        statuses: dict[str, list[int]] = {"safe": [], "stream": []}
        stopped = asyncio.Event()
        for replica in (*cluster.models, *cluster.orders):
            replica.faults.work = 0.05

        async def call(number: int, kind: str, path: str) -> None:
            sent = 0
            while not stopped.is_set():
                node = cluster.nodes[(number + sent) % len(cluster.nodes)]
                status, _ = await _send(
                    session, node, f"{path}/{number}-{sent}", f"{kind}{number}-{sent}"
                )
                statuses[kind].append(status)
                sent += 1

        callers = [
            asyncio.create_task(call(number, kind, path))
            for kind, path in (("safe", "/prices"), ("stream", "/turns/stream"))
            for number in range(6)
        ]
        for kind in ("safe", "stream"):
            for attempt in range(2):
                await _send_to_all(session, cluster, _PATHS[kind], f"{kind}-{attempt}")
        stopped.set()
        await asyncio.gather(*callers)
        assert _count_crashes(cluster) <= 2 * _MAX_CRASHES
        for found in statuses.values():
            assert len(found) > 100
            assert set(found) == {200}

    @pytest.mark.parametrize("together", [False, True])
    async def test_identical_ones_survive_crashes_for_other_reasons(
        self, cluster, session, together
    ):
        """Guards against a refusal of requests that were in flight at other crashes.

        ``together`` crashes all replicas at the same moment.
        """
        path = "/prices/today"
        for replica in cluster.orders:
            replica.faults.work = 0.3
        for attempt in range(5):
            running = [
                asyncio.create_task(
                    _send(session, node, path, f"{attempt}-{number}-{copy}")
                )
                for number, node in enumerate(cluster.nodes)
                for copy in range(8)
            ]
            await asyncio.sleep(0.15)
            count = len(cluster.orders) if together else 1
            for replica in cluster.orders[:count]:
                replica.crash(_CRASH_SECONDS)
            statuses = [status for status, _ in await asyncio.gather(*running)]
            if not together:
                assert set(statuses) == {200}
            await asyncio.sleep(_CRASH_SECONDS + 0.5)
        for number, node in enumerate(cluster.nodes):
            status, _ = await _send(session, node, path, f"last-{number}")
            assert status == 200

    async def test_identical_orders_survive_crashes_for_other_reasons(
        self, cluster, session
    ):
        """Guards against a refusal of orders that were in flight at other crashes.

        An order whose replica crashed is not sent again, so that the caller repeats
        it; the one before it was answered.
        """
        path = "/orders/same"
        for replica in cluster.orders:
            replica.faults.work = 0.1
        for attempt in range(5):
            running = asyncio.create_task(
                _send(session, cluster.nodes[attempt % 4], path, f"cut-{attempt}")
            )
            replica = await _wait_until_running(cluster, f"cut-{attempt}")
            replica.crash(_CRASH_SECONDS)
            assert (await running)[0] == 502
            await asyncio.sleep(_CRASH_SECONDS + 0.5)
            status, _ = await _send(session, cluster.nodes[0], path, f"again-{attempt}")
            assert status == 200


async def _wait_until_running(cluster: Cluster, request: str) -> PlatformReplica:
    """Return the replica that runs an order, as soon as one does."""
    async with asyncio.timeout(2.0):
        while True:
            for replica in cluster.orders:
                if replica.count_runs()[request]:
                    return replica
            await asyncio.sleep(0.005)
