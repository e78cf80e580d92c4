"""HttpEngine against a small HTTP server."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import aclosing, asynccontextmanager

import msgspec
import pytest
from aiohttp import web

from fireflyspread._http_client import open_client_session
from fireflyspread.engines import DONE_EVENT, EngineRequest, HttpEngine, Order
from fireflyspread.exceptions import (
    Outcome,
    ReplicaCrashedError,
    StaleFenceError,
    TargetError,
    TargetUnreachableError,
)
from tests.engines.test_sse import make_event


class FakeEngineServer:
    """Answers as configured and stores what it received."""

    def __init__(self) -> None:
        self.answer = make_event("r1", "a") + DONE_EVENT
        self.status = 200
        self.headers: dict[str, str] = {}
        self.resumed = asyncio.Event()
        self.breaks = False
        self.hangs = False
        self.body: dict[str, object] = {}
        self.fence = ""
        self.cancelled: list[str] = []
        self.cancel_arrived = asyncio.Event()

    async def complete(self, request: web.Request) -> web.StreamResponse:
        self.body = msgspec.json.decode(await request.read())
        self.fence = request.headers["X-Fencing-Token"]
        if self.status != 200:
            return web.Response(status=self.status, headers=self.headers)
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(self.answer)
        if self.hangs:
            await self.resumed.wait()
        if self.breaks:
            assert request.transport is not None
            request.transport.abort()
        return response

    async def cancel(self, request: web.Request) -> web.Response:
        self.cancelled.append(request.match_info["id"])
        self.cancel_arrived.set()
        return web.Response()

    async def release(self, request: web.Request) -> web.Response:
        return web.Response(status=self.status)

    async def load(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        while True:
            await response.write(b"x" * (1 << 16))

    async def order(self, request: web.Request) -> web.Response:
        return web.Response(status=409)


@asynccontextmanager
async def serve(fake: FakeEngineServer) -> AsyncIterator[HttpEngine]:
    """Yield a client of ``fake``."""
    app = web.Application()
    app.router.add_post("/v1/chat/completions", fake.complete)
    app.router.add_post("/v1/requests/{id}/cancel", fake.cancel)
    app.router.add_delete("/v1/sessions/{id}", fake.release)
    app.router.add_post("/v1/orders", fake.order)
    app.router.add_get("/v1/load", fake.load)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    async with open_client_session() as session:
        engine = HttpEngine(f"http://{host}:{port}", session=session)
        yield engine
        await engine.close()
    fake.resumed.set()
    await runner.cleanup()


def make_request(timeout: float = 30.0) -> EngineRequest:
    """Return request ``r1``."""
    return EngineRequest(
        request_id="r1",
        model="m",
        session_id="p/1",
        messages=msgspec.Raw(b'[{"role":"user"}]'),
        max_tokens=5,
        priority=1,
        timeout=timeout,
        fence=7,
    )


class TestStream:
    """HttpEngine.stream."""

    async def test_passes_bytes_and_fields(self) -> None:
        """Guards against a field that is dropped or an answer that is rewritten."""
        fake = FakeEngineServer()
        async with serve(fake) as engine:
            got = [part async for part in engine.stream(make_request())]
        assert b"".join(got) == fake.answer
        assert got[-1] == DONE_EVENT
        assert fake.fence == "7"
        assert fake.body["messages"] == [{"role": "user"}]
        assert fake.body["session_id"] == "p/1"
        assert fake.cancelled == []

    async def test_broken_connection_is_a_crash(self) -> None:
        """Guards against a crash that is treated as the end of the answer."""
        fake = FakeEngineServer()
        fake.answer, fake.breaks = make_event("r1", "a"), True
        async with serve(fake) as engine:
            with pytest.raises(ReplicaCrashedError):
                async for _ in engine.stream(make_request()):
                    pass

    async def test_end_without_done_is_a_crash(self) -> None:
        """Guards against a truncated answer that is treated as complete.

        The body ends cleanly but without the last event.
        """
        fake = FakeEngineServer()
        fake.answer = make_event("r1", "a")
        async with serve(fake) as engine:
            with pytest.raises(ReplicaCrashedError):
                async for _ in engine.stream(make_request()):
                    pass

    async def test_early_close_cancels(self) -> None:
        """Guards against an engine that runs on after the key was withdrawn."""
        fake = FakeEngineServer()
        fake.answer, fake.hangs = make_event("r1", "a"), True
        async with serve(fake) as engine:
            stream = engine.stream(make_request())
            async with aclosing(stream) as events:  # type: ignore[type-var]
                await anext(events)
            await asyncio.wait_for(fake.cancel_arrived.wait(), 30)
        assert fake.cancelled == ["r1"]

    async def test_stall_ends_a_stream(self) -> None:
        """Guards against a stalled replica that blocks the turn until its deadline."""
        fake = FakeEngineServer()
        fake.answer, fake.hangs = make_event("r1", "a"), True
        got = []
        async with serve(fake) as engine:
            stalled = HttpEngine(
                engine._url, session=engine._session, stall_timeout=0.05
            )
            with pytest.raises(TargetError) as caught:
                async with asyncio.timeout(20):
                    async for part in stalled.stream(make_request(timeout=1000.0)):
                        got.append(part)
            await asyncio.wait_for(fake.cancel_arrived.wait(), 30)
            await stalled.close()
        assert got == [make_event("r1", "a")]
        assert caught.value.code == "target_failed"

    async def test_timeout_may_have_run(self) -> None:
        """Guards against a request that timed out and is reported as not run."""
        fake = FakeEngineServer()
        fake.answer, fake.hangs = make_event("r1", "a"), True
        async with serve(fake) as engine:
            with pytest.raises(TargetError) as caught:
                async for _ in engine.stream(make_request(timeout=0.05)):
                    pass
        assert caught.value.outcome is Outcome.MAY_HAVE_RUN
        assert caught.value.code == "target_failed"

    async def test_marked_refusal_is_not_run(self) -> None:
        """Guards against a refusal that is reported as possibly run."""
        fake = FakeEngineServer()
        fake.status, fake.headers = 503, {"X-Not-Run": "true", "Retry-After": "3"}
        async with serve(fake) as engine:
            with pytest.raises(TargetError) as caught:
                async for _ in engine.stream(make_request()):
                    pass
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after == 3.0

    async def test_refused_connection_is_unreachable(self) -> None:
        """Guards against an unsent request that is reported as possibly run."""
        async with serve(FakeEngineServer()) as engine:
            closed = HttpEngine("http://127.0.0.1:1", session=engine._session)
            with pytest.raises(TargetUnreachableError):
                async for _ in closed.stream(make_request()):
                    pass


class TestLoad:
    """HttpEngine.read_load."""

    async def test_answer_without_an_end_is_rejected(self) -> None:
        """Guards against a faulty engine that fills the memory with one answer."""
        fake = FakeEngineServer()
        async with serve(fake) as engine:
            with pytest.raises(TargetError) as caught:
                await engine.read_load()
        assert "more than" in caught.value.message


class TestSessions:
    """HttpEngine.release_session."""

    @pytest.mark.parametrize("status", [200, 404])
    async def test_missing_session_counts_as_released(self, status: int) -> None:
        """Guards against retries forever for a session that no longer exists."""
        fake = FakeEngineServer()
        fake.status = status
        async with serve(fake) as engine:
            await engine.release_session("p/1")

    async def test_failed_release_is_not_confirmed(self) -> None:
        """Guards against a failed release that is treated as confirmed."""
        fake = FakeEngineServer()
        fake.status = 500
        async with serve(fake) as engine:
            with pytest.raises(TargetError):
                await engine.release_session("p/1")


class TestOrder:
    """HttpEngine.order."""

    async def test_old_fence_is_reported_as_stale(self) -> None:
        """Guards against an old fence that is reported as a failed replica."""
        async with serve(FakeEngineServer()) as engine:
            with pytest.raises(StaleFenceError):
                await engine.order(Order(kind="load_model", name="m", fence=1))
