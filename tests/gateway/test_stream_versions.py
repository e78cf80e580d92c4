"""Tests of gateway processes before replicas of two software versions."""

import asyncio
import shutil
import signal
from collections.abc import AsyncIterator, Sequence
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from soak.cluster import Cluster, Gateway, make_config, make_turn_headers
from tests.gateway.test_process import STREAM_BODY

_STREAMS = 12
# Seconds between events: streams last longer than a caller needs to go elsewhere.
_EVENT_SECONDS = 0.05
# Seconds until all nodes know the registrations.
_SETTLE_SECONDS = 1.0


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=3, replicas=4) as found:
        for number, replica in enumerate(found.models):
            replica.faults.work = _EVENT_SECONDS
            if number % 2:
                await _set_version(found, number, "v2")
        await asyncio.sleep(_SETTLE_SECONDS)
        yield found


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(force_close=True)
    ) as found:
        yield found


async def _set_version(cluster: Cluster, number: int, version: str) -> None:
    replica = cluster.models[number]
    replica.version = version
    cluster.store.put(
        f"servers/{replica.instance}", replica.make_registration("models")
    )


def _list_versions(cluster: Cluster, *requests: str) -> set[str]:
    """Return the versions of the replicas that ran any of the requests."""
    return {
        replica.version
        for replica in cluster.models
        for run in replica.runs
        if run.request in requests
    }


async def _begin(
    session: aiohttp.ClientSession, node: Gateway, request: str
) -> tuple[bytes, aiohttp.ClientResponse]:
    """Return the first complete events of a stream, and the open response."""
    response = await session.post(
        f"http://{node.callers}/turns/stream",
        headers=make_turn_headers(request, f"p-{request}", budget=5000),
        data=b"x",
    )
    assert response.status == 200
    body = b""
    while body.count(b"\n\n") < 2:
        body += await response.content.readany()
    return body[: body.rfind(b"\n\n") + 2], response


async def _take_up(
    session: aiohttp.ClientSession, node: Gateway, request: str, first: bytes
) -> tuple[int, bytes]:
    """Take up a stream as a new attempt; return its status and body."""
    headers = make_turn_headers(f"{request}-again", f"p-{request}", budget=5000)
    headers["Last-Event-Id"] = str(first.count(b"id: "))
    headers["Resumes"] = request
    async with session.post(
        f"http://{node.callers}/turns/stream", headers=headers, data=b"x"
    ) as response:
        return response.status, await response.read()


async def _take_all_up(
    session: aiohttp.ClientSession,
    cluster: Cluster,
    begun: dict[str, bytes],
    nodes: list[Gateway],
) -> int:
    """Take all streams up and return how many went on, none at another version."""
    answers = await asyncio.gather(
        *(
            _take_up(session, nodes[number % len(nodes)], request, first)
            for number, (request, first) in enumerate(begun.items())
        )
    )
    for (request, first), (status, body) in zip(begun.items(), answers, strict=True):
        assert status in (200, 503)
        assert len(_list_versions(cluster, request, f"{request}-again")) == 1
        if status == 200:
            assert first + body == STREAM_BODY
    return sum(status == 200 for status, _ in answers)


async def _begin_all(
    session: aiohttp.ClientSession, node: Gateway
) -> tuple[dict[str, bytes], list[aiohttp.ClientResponse]]:
    requests = [f"s{number}" for number in range(_STREAMS)]
    found = await asyncio.gather(*(_begin(session, node, r) for r in requests))
    first = {r: events for r, (events, _) in zip(requests, found, strict=True)}
    return first, [response for _, response in found]


async def _restart_all(cluster: Cluster) -> None:
    await _kill(cluster.nodes)
    await asyncio.gather(*(node.start(is_first=False) for node in cluster.nodes))


async def _kill(processes: Sequence[Gateway]) -> None:
    for process in processes:
        process.send_signal(signal.SIGKILL)
    for process in processes:
        await process.stop(signal.SIGKILL)


async def _start_again(cluster: Cluster) -> None:
    """Start all nodes and loan servers, and wait until they know each other."""
    processes = (*cluster.loan_servers, *cluster.nodes)
    await asyncio.gather(*(each.start(is_first=False) for each in processes))
    await asyncio.sleep(_SETTLE_SECONDS)


class TestStreamsOfTwoVersions:
    async def test_broken_stream_goes_on_at_its_version(self, cluster, session):
        """Guards against events of two versions in one answer."""
        tasks = []
        for number in range(_STREAMS):
            headers = make_turn_headers(f"s{number}", f"p{number}", budget=5000)
            node = cluster.nodes[number % len(cluster.nodes)]
            url = f"http://{node.callers}/turns/stream"
            tasks.append(session.post(url, headers=headers, data=b"x"))
        responses = await asyncio.gather(*tasks)
        await asyncio.sleep(3 * _EVENT_SECONDS)
        cluster.models[0].crash(5.0)
        cluster.models[1].crash(5.0)
        bodies = await asyncio.gather(*(each.read() for each in responses))
        assert bodies == [STREAM_BODY] * _STREAMS
        for number in range(_STREAMS):
            assert len(_list_versions(cluster, f"s{number}")) == 1

    async def test_stream_goes_on_at_another_node(self, cluster, session):
        """Guards against a node that does not know where a stream began."""
        begun, responses = await _begin_all(session, cluster.nodes[0])
        for response in responses:
            response.close()
        count = await _take_all_up(session, cluster, begun, cluster.nodes[1:])
        assert count == _STREAMS

    async def test_stream_goes_on_after_the_loss_of_its_node(self, cluster, session):
        """Guards against versions that only the lost node knew."""
        begun, _ = await _begin_all(session, cluster.nodes[0])
        await cluster.nodes[0].stop(signal.SIGKILL)
        count = await _take_all_up(session, cluster, begun, cluster.nodes[1:])
        assert count == _STREAMS

    async def test_stream_goes_on_while_the_store_is_down(self, cluster, session):
        """Guards against streams that are mixed or lost without the store."""
        begun, _ = await _begin_all(session, cluster.nodes[0])
        cluster.store.faults.down = "hang"
        await cluster.nodes[0].stop(signal.SIGKILL)
        count = await _take_all_up(session, cluster, begun, cluster.nodes[1:])
        assert count >= _STREAMS / 2

    async def test_stream_is_not_mixed_after_a_restart_of_all_nodes(
        self, cluster, session
    ):
        """Guards against nodes that guess the version that they have forgotten."""
        begun, _ = await _begin_all(session, cluster.nodes[0])
        await _restart_all(cluster)
        await _take_all_up(session, cluster, begun, cluster.nodes)

    async def test_stream_goes_on_after_a_restart_of_all_nodes(self, cluster, session):
        """Guards against versions that nobody remembers once all nodes are lost."""
        begun, _ = await _begin_all(session, cluster.nodes[0])
        await asyncio.sleep(0.1)
        await _restart_all(cluster)
        count = await _take_all_up(session, cluster, begun, cluster.nodes)
        assert count >= 0.9 * _STREAMS

    async def test_stream_is_not_joined_after_its_version_and_all_nodes_are_gone(
        self, cluster, session
    ):
        """Guards against nodes that know only the version that is left."""
        begun, _ = await _begin_all(session, cluster.nodes[0])
        await asyncio.sleep(0.1)
        for node in cluster.nodes:
            await node.stop(signal.SIGKILL)
        for replica in cluster.models[::2]:
            cluster.store.remove(f"servers/{replica.instance}")
        await asyncio.gather(*(n.start(is_first=False) for n in cluster.nodes))
        await _take_all_up(session, cluster, begun, cluster.nodes)

    async def test_stream_goes_on_after_a_restart_of_all_processes(
        self, cluster, session
    ):
        """Guards against versions that only lost nodes and loan servers knew."""
        begun, _ = await _begin_all(session, cluster.nodes[0])
        await asyncio.sleep(0.1)
        await _kill((*cluster.nodes, *cluster.loan_servers))
        await _start_again(cluster)
        count = await _take_all_up(session, cluster, begun, cluster.nodes)
        assert count >= 0.9 * _STREAMS

    @pytest.mark.parametrize("is_disk_lost", [False, True])
    async def test_stream_is_not_joined_after_its_version_and_all_processes_are_gone(
        self, cluster, session, is_disk_lost
    ):
        """Guards against loan servers that have forgotten a version that just left."""
        begun, _ = await _begin_all(session, cluster.nodes[0])
        await asyncio.sleep(0.1)
        await _kill((*cluster.nodes, *cluster.loan_servers))
        for replica in cluster.models[::2]:
            cluster.store.remove(f"servers/{replica.instance}")
        for loan_server in cluster.loan_servers if is_disk_lost else ():
            shutil.rmtree(loan_server.folder / f"{loan_server.name}-data")
        await _start_again(cluster)
        count = await _take_all_up(session, cluster, begun, cluster.nodes)
        assert is_disk_lost or count

    async def test_stream_without_its_version_is_refused_at_once(
        self, cluster, session
    ):
        """Guards against a stream that goes on at what is left, or waits in vain."""
        begun, responses = await _begin_all(session, cluster.nodes[0])
        for response in responses:
            response.close()
        for number, replica in enumerate(cluster.models):
            if number % 2:
                cluster.store.remove(f"servers/{replica.instance}")
        await asyncio.sleep(0.3)
        started_at = asyncio.get_running_loop().time()
        count = await _take_all_up(session, cluster, begun, cluster.nodes[1:])
        assert 0 < count < _STREAMS
        assert asyncio.get_running_loop().time() - started_at < 2.0


class TestStreamsOfOneVersion:
    async def test_stream_goes_on_after_a_restart_of_all_nodes(self, cluster, session):
        """Guards against streams that are lost where no version can be mixed."""
        for number in range(len(cluster.models)):
            await _set_version(cluster, number, "v1")
        await _restart_all(cluster)
        begun, _ = await _begin_all(session, cluster.nodes[0])
        await _restart_all(cluster)
        count = await _take_all_up(session, cluster, begun, cluster.nodes)
        assert count == _STREAMS

    async def test_stream_is_not_joined_with_a_version_that_came_during_the_restart(
        self, cluster, session
    ):
        """Guards against a release that no node has seen."""
        for number in range(len(cluster.models)):
            await _set_version(cluster, number, "v1")
        await _restart_all(cluster)
        await asyncio.sleep(0.5)
        begun, _ = await _begin_all(session, cluster.nodes[0])
        for node in cluster.nodes:
            await node.stop(signal.SIGKILL)
        for number in range(len(cluster.models)):
            cluster.models[number].instance += "-new"
            cluster.store.remove(f"servers/m-{number}")
            await _set_version(cluster, number, "v2")
        await asyncio.gather(*(n.start(is_first=False) for n in cluster.nodes))
        requests = [name for r in begun for name in (r, f"{r}-again")]
        before = {r: sum(r in m.count_runs() for m in cluster.models) for r in requests}
        await asyncio.gather(
            *(
                _take_up(session, cluster.nodes[0], request, first)
                for request, first in begun.items()
            )
        )
        after = {r: sum(r in m.count_runs() for m in cluster.models) for r in requests}
        assert after == before


class TestMovedRoutes:
    @pytest.fixture
    async def spare_cluster(self, tmp_path: Path) -> AsyncIterator[Cluster]:
        """Replicas of version v1 of one target, and of version v2 of another one."""
        async with Cluster(tmp_path, nodes=3, replicas=4) as found:
            found.put_config(self._make_config(5, "models"))
            for number, replica in enumerate(found.models):
                replica.faults.work = _EVENT_SECONDS
                if number % 2:
                    replica.version = "v2"
                    found.store.put(
                        f"servers/{replica.instance}",
                        replica.make_registration("spare"),
                    )
            await asyncio.sleep(2 * _SETTLE_SECONDS)
            yield found

    def _make_config(self, version: int, service: str) -> dict[str, Any]:
        config = make_config(version)
        config["services"].append({**config["services"][0], "name": "spare"})
        config["routes"][0]["service"] = service
        return config

    @pytest.mark.parametrize("is_node_lost", [True, False])
    async def test_stream_is_not_joined_with_another_version_of_another_target(
        self, spare_cluster, session, is_node_lost
    ):
        """Guards against nodes that look at the versions of the new target only."""
        cluster = spare_cluster
        begun, responses = await _begin_all(session, cluster.nodes[0])
        cluster.put_config(self._make_config(6, "spare"))
        if is_node_lost:
            await asyncio.sleep(_EVENT_SECONDS)
            await cluster.nodes[0].stop(signal.SIGKILL)
        await asyncio.sleep(_SETTLE_SECONDS)
        for response in responses:
            response.close()
        await _take_all_up(session, cluster, begun, cluster.nodes[1:])
