"""A relayed request behaves like a direct request to the owner."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp
import pytest
import pytest_asyncio
from aiohttp import web
from aiohttp.test_utils import TestServer

from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import Outcome, PeerError
from fireflyspread.nodes import Identity, Relay, RequestSigner
from fireflyspread.recovery import Member

CALLER = Identity(team="scans", key_digest="ab" * 32)
UNREACHABLE = "127.0.0.1:1"

Handle = Callable[[web.Request], Awaitable[web.StreamResponse]]


class Pair:
    """An entry node that relays everything to an owner, and a caller.

    Attributes
    ----------
    handle : callable
        Request handler of the owner.
    errors : list of PeerError
        Errors raised by ``Relay.forward``.
    internal : str or None
        Address at which the entry node reaches the owner; None for the real one.
    task : asyncio.Task or None
        Task of the last relayed request.
    """

    def __init__(self) -> None:
        self.signer = RequestSigner(
            "0123456789abcdef", node="entry-1", clock=ManualClock()
        )
        self.relay = Relay(self.signer, write_timeout=30.0)
        self.handle: Handle | None = None
        self.errors: list[PeerError] = []
        self.internal: str | None = None
        self.task: asyncio.Task[object] | None = None
        self.session = aiohttp.ClientSession()

    async def start(self) -> None:
        self.owner = TestServer(make_app(self._own), skip_url_asserts=True)
        self.entry = TestServer(make_app(self._relay), skip_url_asserts=True)
        await self.owner.start_server()
        await self.entry.start_server()
        self.url = f"http://127.0.0.1:{self.entry.port}"

    async def stop(self) -> None:
        await self.session.close()
        await self.relay.close()
        await self.entry.close()
        await self.owner.close()

    @property
    def member(self) -> Member:
        return Member(
            name="entry-2",
            incarnation="entry-2.1",
            zone="a",
            vm="vm-2",
            internal=self.internal or f"127.0.0.1:{self.owner.port}",
            peers="",
        )

    async def _own(self, request: web.Request) -> web.StreamResponse:
        assert self.handle is not None
        return await self.handle(request)

    async def _relay(self, request: web.Request) -> web.StreamResponse:
        body = await request.read()
        task = self.task = asyncio.current_task()
        try:
            return await self.relay.forward(request, body, self.member, CALLER)
        except PeerError as exc:
            self.errors.append(exc)
            return web.json_response({"outcome": exc.outcome}, status=exc.status)
        except asyncio.CancelledError:
            # The request guard converts the cancellation it caused into an error.
            assert task is not None
            task.uncancel()
            return web.json_response({"outcome": "may_have_run"}, status=401)

    def cancel(self) -> None:
        """Cancel the relayed request as the request guard does."""
        assert self.task is not None
        self.task.cancel()


def make_app(handle: Handle) -> web.Application:
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", handle)
    return app


@pytest_asyncio.fixture
async def pair() -> AsyncIterator[Pair]:
    pair = Pair()
    await pair.start()
    yield pair
    await pair.stop()


async def break_connection(request: web.Request) -> web.StreamResponse:
    assert request.transport is not None
    request.transport.abort()
    return web.Response()


class TestForward:
    """Relay.forward."""

    async def test_passes_request_and_answer(self, pair: Pair) -> None:
        """Guards against a caller's key that is passed on, or a changed request."""
        seen: list[web.Request] = []

        async def handle(request: web.Request) -> web.StreamResponse:
            body = await request.read()
            pair.signer.check(
                request.method, request.rel_url.raw_path_qs, request.headers, body
            )
            seen.append(request)
            return web.Response(status=402, body=body, headers={"X-Turn": "3"})

        pair.handle = handle
        headers = {"Authorization": "Bearer secret", "X-Firefly-Team": "other"}
        async with pair.session.post(
            f"{pair.url}/v1/a%2Fb?q=%20x", data=b"scan", headers=headers
        ) as answer:
            assert (answer.status, answer.headers["X-Turn"]) == (402, "3")
            assert await answer.read() == b"scan"
        assert seen[0].headers.getall("X-Firefly-Team") == ["scans"]
        assert "Authorization" not in seen[0].headers
        assert seen[0].raw_path == "/v1/a%2Fb?q=%20x"

    async def test_streams_chunks_as_they_arrive(self, pair: Pair) -> None:
        """Guards against chunks that arrive only when the answer is complete."""
        received = asyncio.Event()

        async def handle(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b"first")
            await received.wait()
            await response.write(b"second")
            return response

        pair.handle = handle
        async with pair.session.post(pair.url) as answer:
            assert await answer.content.readexactly(5) == b"first"
            received.set()
            assert await answer.read() == b"second"

    async def test_slow_caller_applies_backpressure(self, pair: Pair) -> None:
        """Guards against a slow caller that fills the memory of the entry node."""
        sent = 0
        stalled = asyncio.Event()

        async def handle(request: web.Request) -> web.StreamResponse:
            nonlocal sent
            response = web.StreamResponse()
            await response.prepare(request)
            for _ in range(1000):
                try:
                    async with asyncio.timeout(2.0):
                        await response.write(bytes(1 << 16))
                except TimeoutError:
                    break
                sent += 1
            stalled.set()
            return response

        pair.handle = handle
        async with pair.session.post(pair.url):
            await stalled.wait()
        assert sent < 1000

    async def test_stalled_caller_is_disconnected(self, pair: Pair) -> None:
        """Guards against a caller that never reads and holds its buffers."""
        ended = asyncio.Event()

        async def handle(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            try:
                while True:
                    await response.write(bytes(1 << 16))
            finally:
                ended.set()

        pair.handle = handle
        await pair.relay.close()
        pair.relay = Relay(pair.signer, write_timeout=0.1)
        async with pair.session.post(pair.url) as answer:
            await ended.wait()
            with pytest.raises(aiohttp.ClientError):
                await answer.read()

    async def test_refused_connection_is_not_run(self, pair: Pair) -> None:
        """Guards against a refused connection that is reported as possibly run."""
        pair.internal = UNREACHABLE
        async with pair.session.post(pair.url) as answer:
            assert answer.status == 503
        assert pair.errors[0].outcome is Outcome.NOT_RUN

    @pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
    async def test_request_that_was_sent_may_have_run_whatever_its_method(
        self, pair: Pair, method: str
    ) -> None:
        """Guards against a request that may have run and is reported as not run."""
        pair.handle = break_connection
        async with pair.session.request(method, pair.url) as answer:
            assert answer.status == 503
        assert [each.outcome for each in pair.errors] == [Outcome.MAY_HAVE_RUN]

    async def test_break_inside_the_answer_is_visible(self, pair: Pair) -> None:
        """Guards against a partial answer that looks complete."""

        async def handle(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b"first")
            return await break_connection(request)

        pair.handle = handle
        with pytest.raises(aiohttp.ClientPayloadError):
            async with pair.session.post(pair.url) as answer:
                await answer.read()

    async def test_loop_ends_at_the_hop_limit(self, pair: Pair) -> None:
        """Guards against a relay loop between nodes that disagree on the owner."""

        async def handle(request: web.Request) -> web.StreamResponse:
            body = await request.read()
            try:
                return await pair.relay.forward(request, body, pair.member, CALLER)
            except PeerError as exc:
                pair.errors.append(exc)
                return web.Response(status=exc.status)

        pair.handle = handle
        async with pair.session.post(pair.url) as answer:
            assert answer.status == 503
        assert [error.outcome for error in pair.errors] == [Outcome.NOT_RUN]

    @pytest.mark.parametrize("started", [False, True])
    async def test_abort_requests_ends_those_in_flight(
        self, pair: Pair, started: bool
    ) -> None:
        """Guards against callers that wait for a paused node that was removed."""
        arrived = asyncio.Event()

        async def handle(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            if started:
                await response.prepare(request)
                await response.write(b"first")
            arrived.set()
            await asyncio.Event().wait()
            return response

        async def call() -> int:
            async with pair.session.post(pair.url) as answer:
                if started:
                    await answer.content.readexactly(5)
                    first.set()
                await answer.read()
                return answer.status

        pair.handle = handle
        first = asyncio.Event()
        task = asyncio.create_task(call())
        await (first.wait() if started else arrived.wait())
        pair.relay.abort_requests(pair.member)
        if started:
            with pytest.raises(aiohttp.ClientPayloadError):
                await task
        else:
            assert await task == 503
            assert pair.errors[0].outcome is Outcome.MAY_HAVE_RUN

    async def test_cancellation_ends_a_started_answer(self, pair: Pair) -> None:
        """Guards against callers that wait for a stream after a key's withdrawal."""

        async def handle(request: web.Request) -> web.StreamResponse:
            response = web.StreamResponse()
            await response.prepare(request)
            await response.write(b"first")
            await asyncio.Event().wait()
            return response

        pair.handle = handle
        async with pair.session.post(pair.url) as answer:
            await answer.content.readexactly(5)
            pair.cancel()
            async with asyncio.timeout(30):
                with pytest.raises(aiohttp.ClientPayloadError):
                    await answer.read()
