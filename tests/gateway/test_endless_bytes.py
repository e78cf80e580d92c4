"""Tests of a gateway process with replicas whose bytes do not end."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import Cluster, Gateway, make_headers, make_turn_headers
from standins.endless_replica import KINDS, EndlessReplica

# Memory of the smallest entry VM.
_MAX_RESIDENT_BYTES = 260 << 20
_PAGE_BYTES = 4096
# Time for which a caller waits, and after which no replica may still send.
_MAX_WAIT_SECONDS = 4.0
_COPIES = 12
# The replica's answer is complete before these bytes, or is a stream of its own form.
_IN_STREAMS = ("event", "comments")
_AFTER_A_HEAD = ("length body", "chunked body", "chunk extension", "trailers")


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, nodes=1, replicas=1) as found:
        yield found


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession(read_bufsize=1 << 12) as found:
        yield found


def _read_resident_bytes(node: Gateway) -> int:
    assert node.process is not None
    fields = Path(f"/proc/{node.process.pid}/statm").read_text().split()
    return int(fields[1]) * _PAGE_BYTES


async def _send(
    session: aiohttp.ClientSession, node: Gateway, path: str, request: str
) -> int:
    """Return the status of a complete answer, 0 for one that was cut off."""
    headers = make_headers(request)
    if path.startswith("/turns/"):
        headers = make_turn_headers(request, f"p-{request}")
    timeout = aiohttp.ClientTimeout(total=_MAX_WAIT_SECONDS + 1)
    try:
        async with session.post(
            f"http://{node.callers}{path}", headers=headers, data=b"x", timeout=timeout
        ) as response:
            async for _ in response.content.iter_any():
                pass
            return response.status
    except aiohttp.ClientError:
        return 0


class TestEndlessBytes:
    @pytest.mark.parametrize("kind", KINDS)
    async def test_memory_is_bounded_and_others_are_served(
        self, cluster, session, kind
    ):
        """Guards against a node that ends because a replica does not stop sending."""
        node = cluster.nodes[0]
        service = "models" if kind in _IN_STREAMS else "orders"
        path = "/turns/stream" if kind in _IN_STREAMS else "/prices/1"
        async with EndlessReplica(kind) as replica:
            cluster.store.put(
                f"servers/{replica.instance}", replica.make_registration(service)
            )
            await asyncio.sleep(0.3)
            running = [
                asyncio.create_task(_send(session, node, path, f"r{n}"))
                for n in range(_COPIES)
            ]
            highest, other_statuses = 0, []
            for number in range(40):
                await asyncio.sleep(0.1)
                highest = max(highest, _read_resident_bytes(node))
                if number % 5 == 0:
                    # The other service has healthy replicas only.
                    other = "/prices/2" if kind in _IN_STREAMS else "/turns/stream"
                    status = await _send(session, node, other, f"other{number}")
                    other_statuses.append(status)
            statuses = await asyncio.gather(*running)
            assert replica.requests > 0
            assert highest < _MAX_RESIDENT_BYTES
            assert set(other_statuses) == {200}
            if kind not in (*_IN_STREAMS, *_AFTER_A_HEAD):
                assert set(statuses) == {200}
            cluster.store.remove(f"servers/{replica.instance}")
            for _ in range(60):
                if not replica.open_connections:
                    break
                await asyncio.sleep(0.05)
            assert replica.open_connections == 0
