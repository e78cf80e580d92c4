"""Tests of gateway processes with replicas that go on with streams at a wrong event."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import Cluster, make_config, make_turn_headers
from tests.gateway.test_process import STREAM_BODY

_STREAMS = 8
# Seconds until all nodes know that one of them reaches no replica.
_SETTLE_SECONDS = 1.0
_RESUME_IDS = {
    "begins-again": (1, 2, 3, 4, 5, 6, 7, 8),
    "repeats-the-last": (2, 3, 4, 5, 6, 7, 8),
    "leaves-out-the-next": (4, 5, 6, 7, 8),
    "leaves-out-a-later-one": (3, 5, 6, 7, 8),
    "goes-back": (3, 2, 3, 4, 5, 6, 7, 8),
    "begins-at-zero": (0, 3, 4, 5, 6, 7, 8),
}
_wrong_runs = pytest.mark.parametrize("ids", _RESUME_IDS.values(), ids=_RESUME_IDS)


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, replicas=3) as found:
        config = make_config(4)
        config["routes"][0]["maxAttempts"] = 3
        found.put_config(config)
        yield found


async def _read_stream(
    cluster: Cluster, node: int, request: str, **headers: str
) -> tuple[bytes, bool]:
    """Return the bytes of a stream, and whether it ended as complete."""
    body = b""
    fields = make_turn_headers(request, f"p-{request}")
    async with aiohttp.ClientSession() as session:
        try:
            async with session.post(
                f"http://{cluster.nodes[node].callers}/turns/stream",
                headers={**fields, **headers},
                data=b"x",
            ) as response:
                if response.status != 200:
                    return b"", False
                async for chunk in response.content.iter_any():
                    body += chunk
                return body, True
        except aiohttp.ClientError:
            return body, False


def _break_next_streams(cluster: Cluster) -> None:
    for replica in cluster.models:
        replica.faults.break_streams = 1


class TestStreams:
    @_wrong_runs
    async def test_hold_no_events_out_of_order_behind_a_break(self, cluster, ids):
        """Guards against a replica that goes on with a stream at a wrong event."""
        for replica in cluster.models:
            replica.faults.resume_ids = ids
        for number in range(_STREAMS):
            _break_next_streams(cluster)
            body, is_complete = await _read_stream(cluster, number % 2, f"s{number}")
            assert STREAM_BODY.startswith(body)
            assert not is_complete

    @_wrong_runs
    async def test_hold_no_events_out_of_order_when_taken_up(self, cluster, ids):
        """Guards against a caller whose stream goes on at a wrong event."""
        for number in range(_STREAMS):
            for replica in cluster.models:
                replica.faults.resume_ids = ()
                replica.faults.break_streams = 9
            begun, _ = await _read_stream(cluster, number % 2, f"s{number}")
            for replica in cluster.models:
                replica.faults.resume_ids = ids
                replica.faults.break_streams = 0
            body, is_complete = await _read_stream(
                cluster,
                (number + 1) % 2,
                f"t{number}",
                **{"Last-Event-Id": "2", "Resumes": f"s{number}"},
            )
            assert STREAM_BODY.startswith(begun)
            assert STREAM_BODY[STREAM_BODY.index(b"id: 3") :].startswith(body)
            assert not is_complete

    @_wrong_runs
    async def test_go_on_at_a_sound_replica(self, cluster, ids):
        """Guards against streams that are cut though one replica could go on."""
        for replica in cluster.models[1:]:
            replica.faults.resume_ids = ids
        for number in range(_STREAMS):
            _break_next_streams(cluster)
            body, is_complete = await _read_stream(cluster, number % 2, f"s{number}")
            assert (body, is_complete) == (STREAM_BODY, True)

    @pytest.mark.parametrize("line_end", [b"\r\n", b"\r"], ids=["crlf", "cr"])
    async def test_go_on_with_any_line_end(self, cluster, line_end):
        """Guards against events that never reach the caller."""
        for replica in cluster.models:
            replica.faults.line_end = line_end
        for number in range(_STREAMS):
            _break_next_streams(cluster)
            body, is_complete = await _read_stream(cluster, number % 2, f"s{number}")
            assert body == STREAM_BODY.replace(b"\n", line_end)
            assert is_complete


class TestRelayedStreams:
    @pytest.fixture
    async def relaying_cluster(self, tmp_path: Path) -> AsyncIterator[Cluster]:
        """Three nodes, the first of which reaches no replica."""
        async with Cluster(tmp_path, nodes=3, replicas=3, viewed=True) as found:
            config = make_config(4)
            config["routes"][0]["maxAttempts"] = 3
            found.put_config(config)
            found.views[0].cut(resets=True)
            await asyncio.sleep(_SETTLE_SECONDS)
            yield found

    @_wrong_runs
    async def test_hold_no_events_out_of_order(self, relaying_cluster, ids):
        """Guards against a wrong event that reaches the caller through a relay."""
        cluster = relaying_cluster
        for replica in cluster.models:
            replica.faults.resume_ids = ids
        for number in range(_STREAMS):
            _break_next_streams(cluster)
            body, is_complete = await _read_stream(cluster, 0, f"s{number}")
            assert body
            assert STREAM_BODY.startswith(body)
            assert not is_complete

    async def test_are_in_order_when_the_relaying_node_stops(self, relaying_cluster):
        """Guards against events that two relays of one stream both bring."""
        cluster = relaying_cluster
        for replica in cluster.models:
            replica.faults.work = 0.2
        reads = [
            asyncio.create_task(_read_stream(cluster, 0, f"s{number}"))
            for number in range(_STREAMS)
        ]
        await asyncio.sleep(0.5)
        for node in cluster.nodes[1:]:
            await node.stop()
            await node.start(is_first=False)
        for body, is_complete in await asyncio.gather(*reads):
            assert STREAM_BODY.startswith(body)
            assert body == STREAM_BODY or not is_complete
