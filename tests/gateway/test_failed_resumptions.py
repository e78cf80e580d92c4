"""Tests of gateway processes whose replicas fail to go on, or close in a head."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import Cluster, make_config, make_headers, make_turn_headers
from tests.gateway.test_process import STREAM_BODY

_REQUESTS = 12
# Seconds within which a configuration is in force.
_CONFIG_SECONDS = 2.0
_FAILURES = ["error", "json", "empty", "partial_head"]


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path, replicas=3) as found:
        yield found


async def _send(
    cluster: Cluster, path: str, headers: dict[str, str]
) -> tuple[int, bytes, bool]:
    """Return status, bytes and whether the answer was complete."""
    body = b""
    async with aiohttp.ClientSession() as session:
        try:
            async with session.post(
                f"http://{cluster.nodes[0].callers}{path}", headers=headers, data=b"x"
            ) as response:
                async for chunk in response.content.iter_any():
                    body += chunk
                return response.status, body, True
        except aiohttp.ClientPayloadError:
            return 200, body, False
        except aiohttp.ClientError:
            return 0, body, False


class TestBrokenStreams:
    @pytest.mark.parametrize("failure", _FAILURES)
    async def test_hold_no_bytes_of_a_failed_resumption(self, cluster, failure):
        """Guards against an error inside a stream, and a part that looks whole."""
        for replica in cluster.models:
            replica.faults.fail_resumes = failure
        for number in range(_REQUESTS):
            for replica in cluster.models:
                replica.faults.break_streams = 1
            headers = make_turn_headers(f"s{number}", f"p{number}")
            status, body, is_complete = await _send(cluster, "/turns/stream", headers)
            assert status == 200
            assert STREAM_BODY.startswith(body)
            assert not is_complete

    @pytest.mark.parametrize("failure", _FAILURES)
    async def test_go_on_at_a_sound_replica(self, cluster, failure):
        """Guards against a stream that ends with the first failed resumption."""
        config = make_config(4)
        for route in config["routes"]:
            route["maxAttempts"] = 3
        cluster.put_config(config)
        await asyncio.sleep(_CONFIG_SECONDS)
        for replica in cluster.models[:2]:
            replica.faults.fail_resumes = failure
        complete = 0
        for number in range(_REQUESTS):
            for replica in cluster.models[:2]:
                replica.faults.break_streams = 1
            headers = make_turn_headers(f"s{number}", f"p{number}")
            status, body, is_complete = await _send(cluster, "/turns/stream", headers)
            assert status == 200
            assert STREAM_BODY.startswith(body)
            assert is_complete == (body == STREAM_BODY)
            complete += is_complete
        assert complete == _REQUESTS


class TestPartialHeads:
    @pytest.mark.parametrize("path", ["/turns/stream", "/prices/1", "/orders/1"])
    async def test_are_no_answers(self, cluster, path):
        """Guards against status 200 with an empty body that is framed as whole."""
        for number in range(_REQUESTS):
            for replica in (*cluster.models, *cluster.orders):
                replica.faults.partial_heads = 1
            name = f"r{number}"
            headers = make_headers(name)
            if path == "/turns/stream":
                headers = make_turn_headers(name, name)
            status, body, is_complete = await _send(cluster, path, headers)
            if path == "/orders/1":
                assert status == 502
            assert status != 200 or (is_complete and body)
        runs = sum((each.count_runs() for each in cluster.orders), start=Counter())
        assert path != "/orders/1" or set(runs.values()) == {1}
