"""Tests of HttpService against a local HTTP server."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import web

from fireflyspread._http_client import open_client_session
from fireflyspread.exceptions import (
    Outcome,
    ReplicaCrashedError,
    StaleFenceError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.tools import HttpService, ServiceRequest

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@asynccontextmanager
async def serve(handler: Handler) -> AsyncIterator[HttpService]:
    """Yield a client of a server that runs ``handler``."""
    app = web.Application()
    app.router.add_post("/quote", handler)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    host, port = runner.addresses[0][:2]
    async with open_client_session() as session:
        yield HttpService(
            f"http://{host}:{port}", session=session, max_answer_bytes=100
        )
    await runner.cleanup()


def make_request() -> ServiceRequest:
    """Return a call with an idempotency key."""
    return ServiceRequest(
        request_id="r1",
        path="/quote",
        content_type="text/plain",
        body=b"lid",
        timeout=30.0,
        idempotency_key="k1",
        fence=3,
    )


class TestCall:
    """HttpService.call."""

    async def test_sends_only_named_headers(self) -> None:
        """Guards against headers that pass a caller's key to a service."""
        seen: dict[str, str] = {}

        async def answer(request: web.Request) -> web.Response:
            seen.update({name.lower(): v for name, v in request.headers.items()})
            return web.Response(body=await request.read(), content_type="text/x")

        async with serve(answer) as service:
            got = await service.call(make_request())
        assert (got.status, got.body, got.content_type) == (200, b"lid", "text/x")
        assert seen["idempotency-key"] == "k1"
        assert seen["x-fencing-token"] == "3"
        assert set(seen) <= {
            "host",
            "user-agent",
            "accept",
            "accept-encoding",
            "content-length",
            "content-type",
            "x-request-id",
            "idempotency-key",
            "x-fencing-token",
        }

    async def test_refused_fence_raises_stale_fence_error(self) -> None:
        """Guards against a refused fencing number that is returned as an answer."""

        async def answer(request: web.Request) -> web.Response:
            return web.json_response({"code": "fence_stale"}, status=409)

        async with serve(answer) as service:
            with pytest.raises(StaleFenceError):
                await service.call(make_request())

    async def test_other_conflict_is_an_answer(self) -> None:
        """Guards against a retry of a 409 that is not about the fencing number."""

        async def answer(request: web.Request) -> web.Response:
            return web.json_response(["sold out"], status=409)

        async with serve(answer) as service:
            assert (await service.call(make_request())).status == 409

    async def test_broken_connection_may_have_run(self) -> None:
        """Guards against a call interrupted by a crash that is reported as not run."""

        async def answer(request: web.Request) -> web.Response:
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        async with serve(answer) as service:
            with pytest.raises(ReplicaCrashedError) as caught:
                await service.call(make_request())
        assert caught.value.outcome is Outcome.MAY_HAVE_RUN

    async def test_refused_connection_is_not_run(self) -> None:
        """Guards against a refused connection that is reported as ``may_have_run``."""
        async with open_client_session() as session:
            service = HttpService("http://127.0.0.1:1", session=session)
            with pytest.raises(TargetUnreachableError) as caught:
                await service.call(make_request())
        assert caught.value.outcome is Outcome.NOT_RUN

    async def test_limits_answer_size(self) -> None:
        """Guards against a large answer that exhausts the memory of the node."""

        async def answer(request: web.Request) -> web.Response:
            return web.Response(body=b"x" * 1000)

        async with serve(answer) as service:
            with pytest.raises(TargetError) as caught:
                await service.call(make_request())
        assert caught.value.outcome is Outcome.RAN
