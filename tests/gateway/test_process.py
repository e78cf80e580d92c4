"""Tests of gateway processes with stand-ins for the platform."""

import asyncio
import json
import os
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from soak.cluster import (
    KEY,
    TOKENS_PER_EVENT,
    Cluster,
    Gateway,
    make_config,
    make_headers,
    make_turn_headers,
)

STREAM_BODY = b"".join(b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(1, 9))


@pytest.fixture
async def cluster(tmp_path: Path) -> AsyncIterator[Cluster]:
    async with Cluster(tmp_path) as found:
        yield found


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as found:
        yield found


async def _post(
    session: aiohttp.ClientSession,
    node: Gateway,
    path: str,
    headers: dict[str, str],
    data: bytes = b"x",
) -> tuple[int, bytes, dict[str, str]]:
    async with session.post(
        f"http://{node.callers}{path}", headers=headers, data=data
    ) as response:
        return response.status, await response.read(), dict(response.headers)


async def _wait_for(check) -> None:
    for _ in range(200):
        if check():
            return
        await asyncio.sleep(0.025)
    raise AssertionError("the condition was not met within 5 s")


class TestGateway:
    async def test_serves_streams_and_orders(self, cluster, session):
        """Guards against an answer that differs from the replica's."""
        node = cluster.nodes[0]
        status, body, headers = await _post(
            session, node, "/turns/stream", make_turn_headers("r1", "p1")
        )
        assert (status, body) == (200, STREAM_BODY)
        assert headers["Fireflyspread-Response-Stamp"].startswith("m-")
        status, body, _ = await _post(
            session, node, "/orders/1?x=%2F", make_headers("r2"), b"two lids"
        )
        assert (status, body) == (200, b"done two lids")
        (run,) = [run for each in cluster.orders for run in each.runs]
        assert (run.request, run.tenant, run.key) == ("r2", "lids", None)
        assert 3000 < run.remaining <= 4000

    async def test_internal_headers_are_not_accepted_from_callers(
        self, cluster, session
    ):
        """Guards against a caller that chooses its own team or replica."""
        headers = make_headers(
            "r1",
            **{
                "Fireflyspread-Tenant": "jars",
                "Fireflyspread-Target-Instance": "o-9",
                "Fireflyspread-Hold": "h",
            },
        )
        status, _, _ = await _post(session, cluster.nodes[0], "/orders/1", headers)
        assert status == 200
        (run,) = [run for each in cluster.orders for run in each.runs]
        assert run.tenant == "lids"
        received = [r for each in cluster.orders for r in each.received][-1]
        assert "Fireflyspread-Hold" not in received.headers

    async def test_broken_stream_resumes(self, cluster, session):
        """Guards against a program that fails because of one broken connection."""
        for replica in cluster.models:
            replica.faults.break_streams = 1
        status, body, _ = await _post(
            session, cluster.nodes[0], "/turns/stream", make_turn_headers("r1", "p1")
        )
        assert (status, body) == (200, STREAM_BODY)

    async def test_order_with_a_lost_answer_may_have_run(self, cluster, session):
        """Guards against an order that runs twice or is reported as not run."""
        for replica in cluster.orders:
            replica.faults.lose_answers = 1
        status, _, _ = await _post(
            session, cluster.nodes[0], "/orders/1", make_headers("r1")
        )
        assert status == 502
        assert sum(each.count_runs()["r1"] for each in cluster.orders) == 1

    async def test_budget_is_shared_by_all_nodes(self, cluster, session):
        """Guards against a separate budget on each node."""
        tokens, refused = 0, 0
        for number in range(40):
            status, body, _ = await _post(
                session,
                cluster.nodes[number % 2],
                "/turns/stream",
                make_turn_headers(f"r{number}", "p1"),
            )
            tokens += TOKENS_PER_EVENT * body.count(b"id: ")
            refused += status == 402
        assert refused > 0
        assert tokens <= 864

    async def test_rate_is_shared_by_all_nodes(self, cluster, session):
        """Guards against a separate rate on each node."""
        answers = await asyncio.gather(
            *(
                _post(
                    session,
                    cluster.nodes[number % 2],
                    "/orders/1",
                    make_headers(f"r{number}", key="jars-key"),
                )
                for number in range(160)
            )
        )
        statuses = [status for status, _, _ in answers]
        assert statuses.count(429) > 0
        assert statuses.count(200) <= (20 * 5 + 20) * 1.1 + 20
        refusal = next(h for s, _, h in answers if s == 429)
        assert float(refusal["Retry-After"]) >= 0.0

    async def test_new_configuration_is_activated_and_kept(self, cluster, session):
        """Guards against a withdrawn key that works, and a return to old versions."""
        node = cluster.nodes[0]
        tenants = [{"name": "lids", "apiKeys": ["new-key"]}]
        cluster.put_config(make_config(9, tenants=tenants))

        async def check(key: str) -> int:
            status, _, _ = await _post(
                session, node, "/prices/1", make_headers("r", key=key)
            )
            return status

        for _ in range(80):
            if await check(KEY) == 401:
                break
            await asyncio.sleep(0.025)
        assert await check(KEY) == 401
        assert await check("new-key") == 200
        cluster.put_config(make_config(4))
        await asyncio.sleep(0.3)
        assert await check(KEY) == 401

    async def test_draining_replica_gets_no_requests(self, cluster, session):
        """Guards against requests to a replica that is shutting down."""
        leaving, staying = cluster.orders
        cluster.store.put(
            f"servers/{leaving.instance}",
            leaving.make_registration("orders", state="draining"),
        )
        await asyncio.sleep(0.3)
        before = len(leaving.runs)
        for number in range(10):
            await _post(
                session, cluster.nodes[0], "/orders/1", make_headers(f"r{number}")
            )
        assert len(leaving.runs) == before
        assert len(staying.runs) >= 10

    async def test_disconnect_of_the_caller_stops_the_replica(self, cluster, session):
        """Guards against replicas that work for disconnected callers."""
        for replica in cluster.models:
            replica.faults.work = 0.5
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.8):
                await _post(
                    session,
                    cluster.nodes[0],
                    "/turns/stream",
                    make_turn_headers("r1", "p1"),
                )
        await asyncio.sleep(1.5)
        (run,) = [run for each in cluster.models for run in each.runs]
        assert run.events <= 3 and not run.is_complete

    async def test_planned_stop_aborts_no_request(self, cluster, session):
        """Guards against answers aborted by a rolling restart."""
        node = cluster.nodes[0]
        for replica in cluster.models:
            replica.faults.work = 0.2
        running = asyncio.create_task(
            _post(session, node, "/turns/stream", make_turn_headers("r1", "p1"))
        )
        await _wait_for(lambda: any(each.runs for each in cluster.models))
        stopping = asyncio.create_task(node.stop())
        await asyncio.sleep(0.2)
        assert not await node.is_ready()
        status, body, headers = await _post(
            session, node, "/orders/1", make_headers("r2")
        )
        assert status == 200 and headers["Connection"] == "close"
        status, body, _ = await running
        assert (status, body) == (200, STREAM_BODY)
        assert await stopping == 0

    async def test_budget_survives_killed_nodes(self, cluster, session):
        """Guards against a budget that is reset by a crash."""
        tokens = 0
        for number in range(30):
            if number in (3, 6):
                for node in cluster.nodes:
                    await node.stop(signal.SIGKILL)
                await asyncio.gather(
                    *(node.start(is_first=False) for node in cluster.nodes)
                )
            _, body, _ = await _post(
                session,
                cluster.nodes[number % 2],
                "/turns/stream",
                make_turn_headers(f"r{number}", "p1"),
            )
            tokens += TOKENS_PER_EVENT * body.count(b"id: ")
        assert tokens <= 864

    async def test_serves_while_the_store_is_unavailable(self, cluster, session):
        """Guards against requests that fail during an outage of the store."""
        await _post(
            session, cluster.nodes[0], "/turns/stream", make_turn_headers("r0", "p1")
        )
        cluster.store.faults.down = "refuse"
        await asyncio.sleep(0.5)
        for number in range(1, 4):
            status, body, _ = await _post(
                session,
                cluster.nodes[number % 2],
                "/turns/stream",
                make_turn_headers(f"r{number}", f"q{number % 2}"),
            )
            assert status == 200, body
            status, body, _ = await _post(
                session, cluster.nodes[0], "/orders/1", make_headers(f"o{number}")
            )
            assert status == 200, body

    async def test_no_io_uring(self, cluster):
        """Guards against io_uring, which the platform forbids."""
        process = cluster.nodes[0].process
        folder = f"/proc/{process.pid}/fd"
        links = sorted(os.readlink(f"{folder}/{fd}") for fd in os.listdir(folder))
        assert not any("[io_uring]" in link for link in links)

    async def test_metrics_and_state(self, cluster, session):
        """Guards against a node whose metrics or state cannot be read."""
        node = cluster.nodes[0]
        await _post(session, node, "/orders/1", make_headers("r1"))
        # A caller may receive its answer before the answer is counted.
        for _ in range(100):
            async with session.get(f"http://{node.metrics}/metrics") as response:
                text = await response.text()
            if "fireflyspread_requests_answered_total" in text:
                break
            await asyncio.sleep(0.025)
        assert "fireflyspread_requests_answered_total" in text
        async with session.get(f"http://{node.metrics}/state") as response:
            state = json.loads(await response.read())
        assert state["version"] == 3
        assert len(state["replicas"]) == 4

    async def test_log_lines_are_json(self, cluster, session):
        """Guards against requests that cannot be traced in the logs."""
        await _post(session, cluster.nodes[0], "/orders/1", make_headers("r1"))
        await asyncio.sleep(0.2)
        lines = cluster.nodes[0].log_path.read_text().splitlines()
        entries = [json.loads(line) for line in lines]
        answered = [e for e in entries if e.get("request") == "r1"]
        assert answered and answered[-1]["replica"].startswith("o-")
        assert any(e["message"] == "node started" for e in entries)
