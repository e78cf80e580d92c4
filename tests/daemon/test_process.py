"""A real daemon process: resources, start, shutdown, output and limits."""

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import psutil
import pytest
import pytest_asyncio

from standins._answers import verify_answer
from tools.cluster import LocalCluster
from tools.cluster._cluster import OPERATORS, SECRET
from tools.cluster._processes import spawn

MODEL = "lid-matching"
TEAM = "sourcing"
BODY_LIMIT = 100_000
SETTINGS: dict[str, Any] = {"approvals_needed": 2}


@pytest_asyncio.fixture
async def cluster() -> AsyncIterator[LocalCluster]:
    """Yield a cluster of one node with a small body limit and write timeout."""
    async with LocalCluster(
        nodes=1,
        forwarders=False,
        engine={"shortest": 40_000, "longest": 40_000},
        timing={"write_timeout": 1.0},
        limits={"body_bytes": BODY_LIMIT},
        settings=SETTINGS,
    ) as started:
        yield started


def make_turn(text: str, max_tokens: int) -> dict[str, Any]:
    message = {"role": "user", "content": text}
    body = {"turn": 1, "model": MODEL, "messages": [message], "stream": True}
    return {**body, "max_tokens": max_tokens}


async def run_turn(cluster: LocalCluster, text: str = "hello") -> str:
    """Run a streamed turn in a new program and return its answer."""
    async with cluster.open_client(TEAM) as client:
        program = await client.open_program(5_000)
        message = {"role": "user", "content": text}
        answer = await client.run_turn(
            program, 1, [message], model=MODEL, max_tokens=40
        )
    assert verify_answer([text], answer.text) is None
    return answer.text


class Admin:
    """Client of the administration API with the key of one operator."""

    def __init__(self, cluster: LocalCluster, operator: str) -> None:
        (node,) = cluster.nodes.values()
        self._url = node.operators_url + "/admin/v1"
        self._headers = {"Authorization": f"Bearer {OPERATORS[operator]}"}

    async def call(self, method: str, path: str, **options: Any) -> tuple[int, str]:
        async with (
            aiohttp.ClientSession(headers=self._headers) as session,
            session.request(method, self._url + path, **options) as answer,
        ):
            return answer.status, await answer.text()


def list_descriptors(pid: int) -> list[str]:
    targets = []
    for name in os.listdir(f"/proc/{pid}/fd"):
        # A descriptor can be closed between the list and the look at its target.
        with contextlib.suppress(FileNotFoundError):
            targets.append(os.readlink(f"/proc/{pid}/fd/{name}"))
    return targets


def list_maps(pid: int) -> list[str]:
    return Path(f"/proc/{pid}/maps").read_text().splitlines()


class TestResources:
    """Resources that the platform forbids."""

    async def test_opens_nothing_forbidden(self, cluster: LocalCluster) -> None:
        """Guards against an io_uring, shared memory or child processes.

        The event loop or a library may create them without any code here asking for it.
        """
        await run_turn(cluster)
        pid = cluster.find_pid("node-1")
        assert pid is not None
        descriptors = list_descriptors(pid)
        assert len(descriptors) > 5
        assert not [d for d in descriptors if "io_uring" in d]
        assert not [d for d in descriptors if "/dev/shm" in d or "memfd:" in d]
        lines = list_maps(pid)
        forbidden = ("/dev/shm", "/memfd:", "/SYSV", "/dev/zero", "io_uring")
        assert not [line for line in lines if any(name in line for name in forbidden)]
        # A shared mapping that cannot be written to is a cache file of the C library.
        assert not [line for line in lines if line.split()[1][1::2] == "ws"]
        assert psutil.Process(pid).children(recursive=True) == []


class TestShutdown:
    """SIGTERM."""

    async def test_open_stream_is_completed(self, cluster: LocalCluster) -> None:
        """Guards against a drain that aborts a stream, and an exit with an error."""
        for engine in cluster.deployment.engines.values():
            engine.token_seconds = 0.02
        async with cluster.open_client(TEAM) as client:
            program = await client.open_program(5_000)
            url = f"{cluster.urls[0]}/v1/programs/{program}/turns"
            headers = {"Authorization": f"Bearer {cluster.deployment.keys[TEAM]}"}
            async with (
                aiohttp.ClientSession(headers=headers) as session,
                session.post(url, json=make_turn("hello", 100)) as answer,
            ):
                start = await answer.content.readuntil(b"\n\n")
                shutdown = asyncio.create_task(cluster.terminate("node-1"))
                answer_text = (start + await answer.content.read()).decode()
        assert answer_text.endswith("data: [DONE]\n\n")
        assert '"durability":"durable"' in answer_text
        chunks = [
            json.loads(x[6:]) for x in answer_text.splitlines() if x[:7] == "data: {"
        ]
        texts = [c["delta"].get("content", "") for x in chunks for c in x["choices"]]
        assert verify_answer(["hello"], "".join(texts)) is None
        assert len("".join(texts).split()) == 100
        assert await shutdown == 0


class TestStart:
    """Start with invalid settings."""

    @pytest.mark.parametrize(
        ("change", "field", "remedy"),
        [
            ({"node_secret": "short"}, "node_secret", "give at least 16"),
            ({"timing": {"lease_ttl": "x"}}, "timing.lease_ttl", "whole number"),
            ({"colour": 1}, "colour", "unknown"),
        ],
    )
    async def test_invalid_settings_are_refused(
        self, tmp_path: Path, change: dict[str, Any], field: str, remedy: str
    ) -> None:
        """Guards against ignored fields and messages without field or remedy."""
        names = ("callers", "internal", "peers", "operators")
        settings = {
            "node": {"name": "entry-1", "zone": "a", "vm": "vm-1"},
            "listen": {name: "127.0.0.1:0" for name in names},
            "platform": {"store": "http://127.0.0.1:1"},
            "node_secret": SECRET,
            **change,
        }
        path, log = tmp_path / "settings.json", tmp_path / "log"
        path.write_text(json.dumps(settings))
        process = await spawn(["fireflyspread.daemon", str(path)], log)
        assert await asyncio.wait_for(process.wait(), 60) == 2
        text = log.read_text()
        assert field in text and remedy in text
        assert "Traceback" not in text


class TestOutput:
    """Logs and the state dump."""

    async def test_carries_no_secrets(self, cluster: LocalCluster) -> None:
        """Guards against keys and histories in logs, the state dump or a refusal."""
        marker = "confidential-question"
        await run_turn(cluster, marker)
        # A refusal that quotes the request would contain the key.
        wrong = "wrong-key-of-a-caller"
        headers = {"Authorization": f"Bearer {wrong}"}
        url = cluster.urls[0] + "/v1/programs"
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.post(url, json={"budget": 5}) as answer,
        ):
            assert answer.status == 401
            refusal = await answer.text()
        status, dump = await Admin(cluster, "olga").call("GET", "/state")
        assert status == 200 and json.loads(dump)["node"] == "node-1"
        await cluster.terminate("node-1")
        log = cluster.nodes["node-1"].read_logs()
        assert len([json.loads(line) for line in log.splitlines()]) > 2
        keys = [*cluster.deployment.keys.values(), *OPERATORS.values(), SECRET, wrong]
        for text in (dump, log, refusal):
            assert not [key for key in keys if key in text]
            assert marker not in text and "sha256:" not in text


class TestCallers:
    """Callers that do not read their answer or send too much."""

    async def test_stalled_reader_does_not_block_others(
        self, cluster: LocalCluster
    ) -> None:
        """Guards against a caller that blocks others by not reading its answer.

        Its connection must be closed after the write timeout, and its turn must be
        recorded completely all the same.
        """
        key = cluster.deployment.keys[TEAM]
        async with cluster.open_client(TEAM) as client:
            program = await client.open_program(90_000)
            body = json.dumps(make_turn("long", 40_000)).encode()
            host, _, port = cluster.urls[0][7:].rpartition(":")
            head = (
                f"POST /v1/programs/{program}/turns HTTP/1.1\r\nHost: {host}\r\n"
                f"Authorization: Bearer {key}\r\nContent-Length: {len(body)}\r\n\r\n"
            )
            with socket.socket() as stalled:
                stalled.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                stalled.setblocking(False)
                loop = asyncio.get_running_loop()
                await loop.sock_connect(stalled, (host, int(port)))
                await loop.sock_sendall(stalled, head.encode() + body)
                for number in range(5):
                    async with asyncio.timeout(30):
                        await run_turn(cluster, f"other {number}")
                path = f"/v1/programs/{program}/turns/1"
                answer_text = (await client.request("GET", path)).decode()
                # An aborted connection shows that the answer exceeded the buffers.
                received = b""
                async with asyncio.timeout(30):
                    while data := await loop.sock_recv(stalled, 65_536):
                        received += data
        assert received.startswith(b"HTTP/1.1 200") and b"[DONE]" not in received
        assert answer_text.endswith("data: [DONE]\n\n")
        events = [
            json.loads(x[6:]) for x in answer_text.splitlines() if x[:7] == "data: {"
        ]
        texts = [c["delta"].get("content", "") for x in events for c in x["choices"]]
        assert verify_answer(["long"], "".join(texts)) is None
        assert len("".join(texts).split()) == 40_000

    async def test_body_above_limit_is_refused(self, cluster: LocalCluster) -> None:
        """Guards against reading bodies above the limit into memory.

        The refusal must not affect the next request, whose body just fits the limit.
        """
        headers = {"Authorization": f"Bearer {cluster.deployment.keys[TEAM]}"}
        url = cluster.urls[0] + "/v1/services/quotes"
        for size, status in ((BODY_LIMIT + 1, 413), (BODY_LIMIT, 200)):
            async with (
                aiohttp.ClientSession(headers=headers) as session,
                session.post(url, data=b"x" * size) as answer,
            ):
                assert answer.status == status
                if status == 413:
                    error = (await answer.json())["error"]
                    assert error["code"] == "payload_too_large"
                    assert error["outcome"] == "not_run"
        services = cluster.deployment.services.values()
        assert sum(len(service.effects) for service in services) == 1


class TestApprovals:
    """The setting ``approvals_needed``."""

    async def test_one_approval_of_two_is_not_enough(
        self, cluster: LocalCluster
    ) -> None:
        """Guards against a rollout by one operator where two must approve."""
        olga, paul = Admin(cluster, "olga"), Admin(cluster, "paul")
        bundle = {**cluster.deployment.bundle}
        bundle["teams"] = [{**team, "burst": 500} for team in bundle["teams"]]
        _, draft = await olga.call("POST", "/bundles", json=bundle)
        path = f"/bundles/{json.loads(draft)['digest']}"
        roll = {"expected_version": 1}
        await olga.call("POST", f"{path}/approvals")
        status, answer = await olga.call("POST", f"{path}/roll", json=roll)
        assert (status, json.loads(answer)["code"]) == (409, "bundle_not_approved")
        await paul.call("POST", f"{path}/approvals")
        status, answer = await olga.call("POST", f"{path}/roll", json=roll)
        assert status == 200 and json.loads(answer)["version"] == 2
