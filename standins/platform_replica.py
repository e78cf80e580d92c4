"""Stand-in of a replica on the users' platform: streams, plain answers, faults."""

import asyncio
import contextlib
import itertools
import socket
import struct
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import msgspec
from aiohttp import web
from attrs import define, field

from standins._base import Faults, StandIn, main, notify

__all__ = ["PlatformReplica", "Run"]

TOKENS_PER_EVENT = 9
_PREFIX = "Fireflyspread-"
_EVENT_COUNT = 8


@define(kw_only=True, on_setattr=notify, slots=False)
class ReplicaFaults(Faults):
    """Fault switches of a replica.

    Attributes
    ----------
    break_streams : int
        Number of next streams whose connection is reset in the middle of an event.
    crash_on : str
        A request whose path or body contains this text crashes the replica.
    crash_delay : float
        Seconds from the arrival of such a request to the crash, which comes although
        its sender closes the connection.
    crash_seconds : float
        Seconds until the replica is back after such a crash.
    crashes_silently : bool
        Whether such a crash leaves connections open and without an answer.
    stays_silent : bool
        Whether these connections stay open and without an answer once the replica is
        back; otherwise they are reset then.
    empty_streams : int
        Number of next streams that end before their first event.
    fail_resumes : str
        How requests that go on with a stream are answered: "error" with status 500,
        "json" and "empty" with a complete answer of another content type,
        "partial_head" with a part of a head; by default they go on.
    fails_with : int
        Status with which requests are answered at once without running; 0 runs them.
    line_end : bytes
        Ends the lines of events.
    leaving : bool
        Whether answers say that the replica is leaving; its registration does not.
    limit : float or None
        Requests a second that answers name as the limit of all nodes together.
    lost_answers : int
        Number of next plain requests that run and whose connection is reset before
        the first byte of the answer.
    partial_heads : int
        Number of next requests that run and are answered by a part of a head only.
    refuse : int
        Number of next requests that are refused as not run.
    repeat_refusals : str or None
        Whether the next request on the connection of a refusal is answered first by
        that refusal: "anonymous" without an id, "named" with the id of that refusal.
    reset_answers : int
        Number of next answers whose connection is reset right behind the last bytes.
    reset_events : int
        Complete events of a stream before such a reset.
    resume_ids : tuple of int
        Ids of the events with which a stream goes on, whatever the last event that the
        request names; by default the next ones.
    returns_as : str
        Who the replica is after a crash: "new" has another identity, "same" has the
        same one and another start time, "unregistered" is the same one and does not
        register again.
    unframed : bool
        Whether answers have neither a length nor chunks and end with their connection.
    work : float
        Seconds that a plain request takes, and seconds between events of a stream.
    """

    break_streams: int = 0
    crash_delay: float = 0.0
    crash_on: str = ""
    crash_seconds: float = 0.5
    crashes_silently: bool = False
    empty_streams: int = 0
    fail_resumes: str = ""
    fails_with: int = 0
    line_end: bytes = b"\n"
    leaving: bool = False
    limit: float | None = None
    lost_answers: int = 0
    partial_heads: int = 0
    refuse: int = 0
    repeat_refusals: str | None = None
    reset_answers: int = 0
    reset_events: int = 0
    resume_ids: tuple[int, ...] = ()
    returns_as: str = "new"
    stays_silent: bool = False
    unframed: bool = False
    work: float = 0.002


@define(kw_only=True)
class Run:
    """A request that the replica started.

    Attributes
    ----------
    key : str or None
        ``Authorization`` header, which must not be forwarded to a replica.
    remaining : float
        Value of the ``Time-Remaining`` header in milliseconds.
    is_complete : bool
        Whether the whole answer was sent.
    body : bytes
        Body of the request.
    """

    request: str
    tenant: str
    program: str
    key: str | None
    remaining: float
    events: int = field(default=0)
    is_complete: bool = False
    body: bytes = b""


class _UnframedResponse(web.StreamResponse):
    """A response with neither a length nor chunks."""

    # aiohttp then adds neither of the two headers.
    _length_check = False


class PlatformReplica(StandIn):
    """Replica that answers every path; one with ``/stream`` is answered with a stream.

    Attributes
    ----------
    runs : list of Run
        Requests in the order of their start.
    arrivals : list of float
        Times of the event loop at which requests arrived, refused ones included.
    arrived : list of (float, str)
        Unix seconds and path of each of these requests.
    version : str
        Version of its software.
    zone : str
        Availability zone in its registration.
    cold_remaining_ms : int or None
        Milliseconds for which its registration says that it stays cold.
    crash_times : list of float
        Unix seconds of the crashes so far.
    crashed_by : list of str
        Path of the request that caused each crash; empty for another cause.
    on_restart : callable
        Called with the previous instance when the replica is back after a crash and
        registers again.
    """

    faults_class = ReplicaFaults

    def __init__(
        self,
        *,
        instance: str = "i-1",
        events: int = _EVENT_COUNT,
        version: str = "v1",
        zone: str = "z1",
        **options: Any,
    ) -> None:
        super().__init__(**options)
        self.instance = instance
        self.version = version
        self.zone = zone
        self.cold_remaining_ms: int | None = None
        self.crash_times: list[float] = []
        self.crashed_by: list[str] = []
        self.on_restart: Callable[[str], None] = lambda previous: None
        self.runs: list[Run] = []
        self.arrivals: list[float] = []
        self.arrived: list[tuple[float, str]] = []
        self._name = instance
        self._event_count = events
        self._stamps = itertools.count(1)
        self._active = 0
        self._born = 1
        self._refused_on: dict[Any, str] = {}
        # Connections of previous processes that are open and never answered.
        self._silent_transports: set[Any] = set()

    def add_routes(self, app: web.Application) -> None:
        """Answer every path."""
        app.router.add_route("*", "/{path:.*}", self._answer)

    @property
    def crash_count(self) -> int:
        """Number of crashes so far."""
        return len(self.crash_times)

    def crash(self, seconds: float, *, path: str = "") -> None:
        """Reset all connections, and return after ``seconds``."""
        self.crash_times.append(time.time())
        self.crashed_by.append(path)
        if self.faults.crashes_silently:
            self.faults.down = "hang"
            self._apply_faults()
        else:
            super().crash(seconds)

        async def restart() -> None:
            await asyncio.sleep(seconds)
            if self.faults.down == "hang":
                # The process that comes back knows no connection of the previous one.
                if self.faults.stays_silent:
                    self._silent_transports.update(self.list_transports())
                else:
                    self.close_connections()
            self.faults.down = ""
            previous = self.instance
            if self.faults.returns_as == "new":
                self.instance = f"{self._name}.{self.crash_count}"
            if self.faults.returns_as != "unregistered":
                self._born += 1
                self.on_restart(previous)

        self.track_task(asyncio.get_running_loop().create_task(restart()))

    def make_registration(
        self, service: str, *, state: str = "ready", address: str | None = None
    ) -> bytes:
        """Return the registration that the replica writes to the platform's store."""
        stated = {}
        if self.cold_remaining_ms is not None:
            stated["coldRemainingMs"] = self.cold_remaining_ms
        return msgspec.json.encode(
            {
                **stated,
                "service": service,
                "address": address or self.url.removeprefix("http://"),
                "zone": self.zone,
                "version": self.version,
                "slots": 8,
                "state": state,
                "sequence": 1,
                "born": self._born,
            }
        )

    def count_runs(self) -> Counter[str]:
        """Return how often each request ran."""
        return Counter(run.request for run in self.runs)

    def _make_headers(self, request: web.Request) -> dict[str, str]:
        named = {}
        if self.faults.limit is not None:
            named["Server-Limit"] = f"{self.faults.limit:g}"
        if self.faults.leaving:
            named["Server-Leaving"] = "1"
        return {
            **named,
            _PREFIX + "Request-Id": request.headers.get(_PREFIX + "Request-Id", ""),
            _PREFIX + "Response-Stamp": f"{self.instance}.{next(self._stamps)}",
            _PREFIX + "Server-Load": f"{self._active},0,8",
        }

    async def _answer(self, request: web.Request) -> web.StreamResponse:
        is_closed = request.transport is None and self.faults.stays_silent
        if is_closed or request.transport in self._silent_transports:
            # The previous process got the request.
            await asyncio.Event().wait()
        target = request.headers.get(_PREFIX + "Target-Instance")
        headers = self._make_headers(request)
        self.arrivals.append(asyncio.get_running_loop().time())
        self.arrived.append((time.time(), request.path))
        if target is not None and target != self.instance:
            return web.Response(status=421, headers=headers)
        if self.faults.refuse > 0:
            self.faults.refuse -= 1
            headers[_PREFIX + "Not-Executed"] = "1"
            self._refused_on[request.transport] = headers[_PREFIX + "Request-Id"]
            return web.Response(status=503, headers=headers)
        if self.faults.fails_with:
            return web.Response(status=self.faults.fails_with, headers=headers)
        if self.faults.repeat_refusals and request.transport in self._refused_on:
            self._repeat_refusal(request)
        run = Run(
            request=request.headers.get(_PREFIX + "Request-Id", ""),
            tenant=request.headers.get(_PREFIX + "Tenant", ""),
            program=request.headers.get(_PREFIX + "Program-Id", ""),
            key=request.headers.get("Authorization"),
            remaining=float(request.headers.get(_PREFIX + "Time-Remaining", "nan")),
        )
        self.runs.append(run)
        self._active += 1
        try:
            run.body = await request.read()
            if await self._is_crashing(request):
                await self._crash_by(request.path)
            if self.faults.partial_heads > 0:
                self.faults.partial_heads -= 1
                return _close_in_head(request)
            if self.faults.fail_resumes and "Last-Event-Id" in request.headers:
                return self._fail_resume(request, headers)
            if "/stream" in request.path:
                with contextlib.suppress(ConnectionError):
                    # A replica stops its work when the node disconnects.
                    return await self._stream(request, run, headers)
                return web.Response(status=499)
            await asyncio.sleep(self.faults.work)
            return await self._respond(request, run, headers)
        finally:
            self._active -= 1

    def _repeat_refusal(self, request: web.Request) -> None:
        refused = self._refused_on.pop(request.transport)
        name = f"{_PREFIX}Request-Id: {refused}\r\n"
        if self.faults.repeat_refusals == "anonymous":
            name = ""
        assert request.transport is not None
        request.transport.write(
            f"HTTP/1.1 503 Service Unavailable\r\n{name}{_PREFIX}Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def _fail_resume(
        self, request: web.Request, headers: dict[str, str]
    ) -> web.StreamResponse:
        if self.faults.fail_resumes == "partial_head":
            return _close_in_head(request)
        status = 500 if self.faults.fail_resumes == "error" else 200
        text = "" if self.faults.fail_resumes == "empty" else '{"error": "cannot"}\n\n'
        return web.Response(
            text=text, status=status, headers=headers, content_type="application/json"
        )

    async def _is_crashing(self, request: web.Request) -> bool:
        marker = self.faults.crash_on
        return bool(marker) and (
            marker in request.path or marker.encode() in await request.read()
        )

    async def _crash_by(self, path: str) -> None:
        """Crash after the delay, unless the process has ended before."""
        count = self.crash_count

        async def crash_later() -> None:
            await asyncio.sleep(self.faults.crash_delay)
            if self.crash_count == count:
                self.crash(self.faults.crash_seconds, path=path)

        if self.faults.crash_delay:
            self.track_task(asyncio.get_running_loop().create_task(crash_later()))
        else:
            self.crash(self.faults.crash_seconds, path=path)
        await asyncio.Event().wait()

    async def _respond(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            _reset(request)
            return web.Response(status=499)
        body = b"done " + await request.read()
        is_reset = self._is_reset_next()
        run.is_complete = not is_reset
        if not (is_reset or self.faults.unframed):
            return web.Response(body=body, headers=headers)
        response = self._make_response(headers)
        if not self.faults.unframed:
            response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[:4] if is_reset else body)
        if is_reset:
            _reset(request)
        else:
            await response.write_eof()
        return response

    def _is_reset_next(self) -> bool:
        is_reset = self.faults.reset_answers > 0
        if is_reset:
            self.faults.reset_answers -= 1
        return is_reset

    def _make_response(self, headers: dict[str, str]) -> web.StreamResponse:
        if not self.faults.unframed:
            return web.StreamResponse(headers=headers)
        response = _UnframedResponse(headers=headers)
        response.force_close()
        return response

    async def _stream(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        response = self._make_response({**headers, "Content-Type": "text/event-stream"})
        is_reset = self._is_reset_next()
        await response.prepare(request)
        first = int(request.headers.get("Last-Event-Id", "0")) + 1
        numbers: Sequence[int] = range(first, self._event_count + 1)
        if "Last-Event-Id" in request.headers and self.faults.resume_ids:
            numbers = self.faults.resume_ids
        is_cut = self.faults.break_streams > 0
        if is_cut:
            self.faults.break_streams -= 1
        if self.faults.empty_streams > 0:
            self.faults.empty_streams -= 1
            await response.write_eof()
            return response
        for number in numbers:
            if is_reset and number == first + self.faults.reset_events:
                _reset(request)
                return response
            await asyncio.sleep(self.faults.work)
            event = b"id: %d\ndata: piece %d\n\n" % (number, number)
            event = event.replace(b"\n", self.faults.line_end)
            if is_cut and number == first + 2:
                await response.write(event[:7])
                assert request.transport is not None
                request.transport.abort()
                return response
            await response.write(event)
            run.events += 1
        run.is_complete = True
        await response.write_eof()
        return response


def _close_in_head(request: web.Request) -> web.StreamResponse:
    """Send a part of the head of an answer and close the connection."""
    assert request.transport is not None
    request.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\nX-Part: a")
    request.transport.close()
    return web.Response(status=499)


def _reset(request: web.Request) -> None:
    """Reset the connection; the bytes written before arrive first."""
    assert request.transport is not None
    linger = struct.pack("ii", 1, 0)
    sock = request.transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    request.transport.abort()


if __name__ == "__main__":
    main(PlatformReplica, instance=(str, "i-1", "identity of the replica"))
