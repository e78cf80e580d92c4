"""Tests of the retries of the caller client and of the workload."""

from collections.abc import AsyncIterator, Awaitable, Callable

import msgspec
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from tools.client import CallerClient, CallError
from tools.cluster import load_bundle
from tools.workload import Workload

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Serve = Callable[[Handler], Awaitable[str]]


@pytest.fixture
async def serve() -> AsyncIterator[Serve]:
    servers = []

    async def start(handler: Handler) -> str:
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", handler)
        servers.append(TestServer(app))
        await servers[-1].start_server()
        return str(servers[-1].make_url("")).rstrip("/")

    yield start
    for server in servers:
        await server.close()


def refuse(code: str, *, retry_after: float | None, outcome: str) -> web.Response:
    error = {"code": code, "message": "m", "outcome": outcome}
    body = {"error": {**error, "retry_after": retry_after}}
    return web.json_response(body, status=503, headers={"X-Outcome": outcome})


def make_stream(text: str, *, is_complete: bool) -> web.Response:
    chunk = {"choices": [{"delta": {"content": text}}]}
    events = b"id: 0\ndata: " + msgspec.json.encode(chunk) + b"\n\n"
    return web.Response(body=events + (b"data: [DONE]\n\n" if is_complete else b""))


async def run_turn(nodes: list[str]) -> tuple[str, int]:
    async with CallerClient(nodes, "k", timeout=20.0) as client:
        answer = await client.run_turn("p", 1, [], model="m")
    return answer.text, answer.attempts


class TestCallerClient:
    """Retries of CallerClient."""

    async def test_cut_stream_is_retried(self, serve: Serve) -> None:
        """Guards against taking a stream without its last event for an answer."""

        async def cut(request: web.Request) -> web.Response:
            return make_stream("half", is_complete=False)

        async def complete(request: web.Request) -> web.Response:
            return make_stream("whole", is_complete=True)

        nodes = [await serve(cut), await serve(complete)]
        assert await run_turn(nodes) == ("whole", 2)

    async def test_refusal_with_retry_after_is_retried(self, serve: Serve) -> None:
        """Guards against giving up on a refusal that names a retry-after."""

        async def busy(request: web.Request) -> web.Response:
            return refuse("overloaded", retry_after=0.01, outcome="not_run")

        async def complete(request: web.Request) -> web.Response:
            return make_stream("whole", is_complete=True)

        nodes = [await serve(busy), await serve(complete)]
        assert await run_turn(nodes) == ("whole", 2)

    async def test_unknown_outcome_is_final(self, serve: Serve) -> None:
        """Guards against running a call twice by a retry after an unknown outcome."""
        calls = []

        async def unknown(request: web.Request) -> web.Response:
            calls.append(request.path)
            return refuse("may_have_run", retry_after=1.0, outcome="may_have_run")

        async with CallerClient([await serve(unknown)], "k") as client:
            with pytest.raises(CallError, match="may_have_run"):
                await client.call("orders", b"{}", idempotency_key="i")
        assert len(calls) == 1


class TestWorkload:
    """Workload.make_plan."""

    @pytest.mark.parametrize("name", ["poklopac", "asociacion"])
    def test_same_seed_same_programs(self, name: str) -> None:
        """Guards against a reported seed that does not reproduce its programs."""
        bundle = load_bundle(name)
        first, second = (Workload(name, bundle, 7) for _ in range(2))
        plans = [first.make_plan(index) for index in range(50)]
        assert plans == [second.make_plan(index) for index in range(50)]
        assert len({plan.steps for plan in plans}) == 50
