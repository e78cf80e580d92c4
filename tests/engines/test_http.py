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


class FakeEngine:
    """Answers as configured and stores what it received."""

    def __init__(self) -> None:
        self.answer = make_event("r1", "a") + DONE_EVENT
        self.status = 200
        self.headers: dict[str, str] = {}
        self.hang = asyncio.Event()
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
            await self.hang.wait()
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

    async def order(self, request: web.Request) -> web.Response:
        return web.Response(status=409)


@asynccontextmanager
async def serve(fake: FakeEngine) -> AsyncIterator[HttpEngine]:
    """Yield a client of ``fake``."""
    app = web.Application()
    app.router.add_post("/v1/chat/completions", fake.complete)
    app.router.add_post("/v1/requests/{id}/cancel", fake.cancel)
    app.router.add_delete("/v1/sessions/{id}", fake.release)
    app.router.add_post("/v1/orders", fake.order)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    async with open_client_session() as session:
        engine = HttpEngine(f"http://{host}:{port}", session=session)
        yield engine
        await engine.close()
    fake.hang.set()
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
        """A field of the request is dropped or the answer is rewritten."""
        fake = FakeEngine()
        async with serve(fake) as engine:
            got = [part async for part in engine.stream(make_request())]
        assert b"".join(got) == fake.answer
        assert got[-1] == DONE_EVENT
        assert fake.fence == "7"
        assert fake.body["messages"] == [{"role": "user"}]
        assert fake.body["session_id"] == "p/1"
        assert fake.cancelled == []

    async def test_broken_connection_is_a_crash(self) -> None:
        """A crash is treated as the end of the answer."""
        fake = FakeEngine()
        fake.answer, fake.breaks = make_event("r1", "a"), True
        async with serve(fake) as engine:
            with pytest.raises(ReplicaCrashedError):
                async for _ in engine.stream(make_request()):
                    pass

    async def test_end_without_done_is_a_crash(self) -> None:
        """A truncated answer with a clean end of the body is treated as complete."""
        fake = FakeEngine()
        fake.answer = make_event("r1", "a")
        async with serve(fake) as engine:
            with pytest.raises(ReplicaCrashedError):
                async for _ in engine.stream(make_request()):
                    pass

    async def test_early_close_cancels(self) -> None:
        """An engine continues to generate for a caller whose key was withdrawn."""
        fake = FakeEngine()
        fake.answer, fake.hangs = make_event("r1", "a"), True
        async with serve(fake) as engine:
            stream = engine.stream(make_request())
            async with aclosing(stream) as events:  # type: ignore[type-var]
                await anext(events)
            await asyncio.wait_for(fake.cancel_arrived.wait(), 30)
        assert fake.cancelled == ["r1"]

    async def test_stall_ends_a_stream(self) -> None:
        """A replica that stalls during an answer blocks the turn until its deadline."""
        fake = FakeEngine()
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
        """A request that timed out is reported as not run."""
        fake = FakeEngine()
        fake.answer, fake.hangs = make_event("r1", "a"), True
        async with serve(fake) as engine:
            with pytest.raises(TargetError) as caught:
                async for _ in engine.stream(make_request(timeout=0.05)):
                    pass
        assert caught.value.outcome is Outcome.MAY_HAVE_RUN
        assert caught.value.code == "target_failed"

    async def test_marked_refusal_is_not_run(self) -> None:
        """A refusal that is safe to retry is reported as possibly run."""
        fake = FakeEngine()
        fake.status, fake.headers = 503, {"X-Not-Run": "true", "Retry-After": "3"}
        async with serve(fake) as engine:
            with pytest.raises(TargetError) as caught:
                async for _ in engine.stream(make_request()):
                    pass
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after == 3.0

    async def test_refused_connection_is_unreachable(self) -> None:
        """A request to a replica that is down is reported as possibly run."""
        async with serve(FakeEngine()) as engine:
            closed = HttpEngine("http://127.0.0.1:1", session=engine._session)
            with pytest.raises(TargetUnreachableError):
                async for _ in closed.stream(make_request()):
                    pass


class TestSessions:
    """HttpEngine.release_session."""

    @pytest.mark.parametrize("status", [200, 404])
    async def test_confirmed(self, status: int) -> None:
        """The release of a session that no longer exists is retried forever."""
        fake = FakeEngine()
        fake.status = status
        async with serve(fake) as engine:
            await engine.release_session("p/1")

    async def test_not_confirmed(self) -> None:
        """A failed release is treated as confirmed."""
        fake = FakeEngine()
        fake.status = 500
        async with serve(fake) as engine:
            with pytest.raises(TargetError):
                await engine.release_session("p/1")


class TestOrder:
    """HttpEngine.order."""

    async def test_old_fence(self) -> None:
        """An order with an old fence is reported as a failure of the replica."""
        async with serve(FakeEngine()) as engine:
            with pytest.raises(StaleFenceError):
                await engine.order(Order(kind="load_model", name="m", fence=1))
