"""The caller client retries what can be retried and nothing else."""

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


def make_stream(text: str, *, is_whole: bool) -> web.Response:
    chunk = {"choices": [{"delta": {"content": text}}]}
    events = b"id: 0\ndata: " + msgspec.json.encode(chunk) + b"\n\n"
    return web.Response(body=events + (b"data: [DONE]\n\n" if is_whole else b""))


async def run_turn(nodes: list[str]) -> tuple[str, int]:
    async with CallerClient(nodes, "k", patience=20.0) as client:
        answer = await client.run_turn("p", 1, [], model="m")
    return answer.text, answer.attempts


class TestCallerClient:
    """Retries."""

    async def test_cut_stream_is_sent_again(self, serve: Serve) -> None:
        """A stream without its last event is not taken for a whole answer."""

        async def cut(request: web.Request) -> web.Response:
            return make_stream("half", is_whole=False)

        async def whole(request: web.Request) -> web.Response:
            return make_stream("whole", is_whole=True)

        nodes = [await serve(cut), await serve(whole)]
        assert await run_turn(nodes) == ("whole", 2)

    async def test_retries_refusal_with_time(self, serve: Serve) -> None:
        """A refusal that names a time is repeated at another node."""

        async def busy(request: web.Request) -> web.Response:
            return refuse("overloaded", retry_after=0.01, outcome="not_run")

        async def whole(request: web.Request) -> web.Response:
            return make_stream("whole", is_whole=True)

        nodes = [await serve(busy), await serve(whole)]
        assert await run_turn(nodes) == ("whole", 2)

    async def test_unknown_outcome_is_final(self, serve: Serve) -> None:
        """A call that may have run is never sent again."""
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
        """A reported seed leads to the same programs again."""
        bundle = load_bundle(name)
        first, second = (Workload(name, bundle, 7) for _ in range(2))
        plans = [first.make_plan(index) for index in range(50)]
        assert plans == [second.make_plan(index) for index in range(50)]
        assert len({plan.steps for plan in plans}) == 50
