"""Common parts of all stand-ins: listeners, faults, log of received requests."""

import argparse
import asyncio
import contextlib
import secrets
import socket
import time
from base64 import b64encode
from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any, ClassVar, Self

import attrs
import msgspec
import uvloop
from aiohttp import web
from attrs import define, field, frozen

__all__ = [
    "Faults",
    "ReceivedRequest",
    "StandIn",
    "answer_json",
    "find_free_port",
    "main",
    "notify",
]

# Bodies carry whole histories; the oldest entries are dropped above this size.
MAX_LOG_BYTES = 256 << 20

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


@frozen(kw_only=True)
class ReceivedRequest:
    """A request that the stand-in received.

    Attributes
    ----------
    time : float
        Seconds since the epoch.
    """

    time: float
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def to_json(self) -> dict[str, Any]:
        """Return a form for ``GET /received``; binary bodies are in base64."""
        data = attrs.asdict(self)
        try:
            data["body"] = self.body.decode()
        except UnicodeDecodeError:
            data["body"] = {"base64": b64encode(self.body).decode()}
        return data


def notify(instance: "Faults", attribute: Any, value: Any) -> Any:
    """Notify the stand-in that a switch changed; attrs hook for ``on_setattr``.

    Subclasses of ``Faults`` must pass it again, because attrs does not inherit it.
    """
    # attrs stores the value after this hook, so the listener runs in the next
    # iteration of the event loop.
    if instance.listener is not None:
        asyncio.get_running_loop().call_soon(instance.listener)
    return value


@define(kw_only=True, on_setattr=notify, slots=False)
class Faults:
    """Fault switches common to all stand-ins.

    Attributes
    ----------
    delay : float
        Seconds before each request is handled.
    down : str
        Empty, ``"refuse"`` (connections are closed and refused) or ``"hang"``
        (requests are accepted and never answered).
    lose_answers : int
        Number of next requests that take effect and whose connection is then reset.
    """

    delay: float = 0.0
    down: str = ""
    lose_answers: int = 0
    listener: Callable[[], None] | None = field(
        default=None, repr=False, eq=False, on_setattr=attrs.setters.NO_OP
    )

    def update(self, values: dict[str, Any]) -> None:
        """Set several switches.

        Raises
        ------
        ValueError
            A name is unknown.
        """
        names = {entry.name for entry in attrs.fields(type(self))} - {"listener"}
        unknown = sorted(set(values) - names)
        if unknown:
            raise ValueError(f"unknown faults {unknown}; known are {sorted(names)}")
        for name, value in values.items():
            setattr(self, name, value)

    def to_json(self) -> dict[str, Any]:
        """Return the switches by name."""
        return attrs.asdict(self, filter=lambda entry, _: entry.name != "listener")


def answer_json(data: Any, status: int = 200) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=msgspec.json.encode(data), status=status, content_type="application/json"
    )


class StandIn:
    """Base class of all stand-ins.

    The control paths (``/faults``, ``/received``) are served on the main port and on
    a separate control port, which stays reachable while the stand-in is down.

    Parameters
    ----------
    listen, control : str
        Address and port; port 0 selects a free port.
    faults : Faults or None
        Initial values of the switches.
    log_limit : int
        Maximum number of logged requests; 0 disables the log.
    """

    faults_class: ClassVar[type[Faults]] = Faults

    def __init__(
        self,
        *,
        listen: str = "127.0.0.1:0",
        control: str = "127.0.0.1:0",
        faults: Faults | None = None,
        log_limit: int = 50_000,
    ) -> None:
        self.faults: Any = self.faults_class() if faults is None else faults
        self.received: deque[ReceivedRequest] = deque()
        self._listen = listen
        self._control = control
        self._log_limit = log_limit
        self._log_bytes = 0
        self._runner: web.AppRunner | None = None
        self._control_runner: web.AppRunner | None = None
        self._listener: asyncio.Server | None = None
        self._running: set[asyncio.Task[Any]] = set()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._recovered = asyncio.Event()

    @property
    def url(self) -> str:
        """Base URL, valid after ``start``."""
        return f"http://{self._listen}"

    @property
    def control_url(self) -> str:
        """Base URL of the control port, valid after ``start``."""
        return f"http://{self._control}"

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the stand-in."""
        raise NotImplementedError

    def add_control_routes(self, app: web.Application) -> None:
        """Add further control routes."""

    def can_lose_answer(self, request: web.Request) -> bool:
        """Return whether ``lose_answers`` applies to ``request``."""
        return True

    async def start(self) -> None:
        """Listen on both ports."""
        app = web.Application(client_max_size=64 << 20, middlewares=[self._handle])
        self._add_control(app)
        self.add_routes(app)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        control = web.Application(client_max_size=64 << 20)
        self._add_control(control)
        self._control_runner = web.AppRunner(control, access_log=None)
        await self._control_runner.setup()
        self._control = await _open_site(self._control_runner, self._control)
        await self._open_listener()
        self.faults.listener = self._apply_faults
        self._apply_faults()

    async def stop(self) -> None:
        """Close all connections and stop listening."""
        self.faults.listener = None
        for task in self._tasks:
            task.cancel()
        self.close_connections()
        if self._listener is not None:
            self._listener.close()
        if self._runner is not None:
            await self._runner.cleanup()
        if self._control_runner is not None:
            await self._control_runner.cleanup()

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.stop()

    def track_task(self, task: asyncio.Task[Any]) -> None:
        """Keep a reference to a background task and cancel it in ``stop``."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close_connections(self) -> None:
        """Reset all connections and cancel all running requests, as a crash does."""
        for task in tuple(self._running):
            task.cancel()
        for transport in self.list_transports():
            transport.abort()

    def list_transports(self) -> list[asyncio.Transport]:
        """Return the transports of all open connections."""
        server = None if self._runner is None else self._runner.server
        connections = () if server is None else server.connections
        return [each.transport for each in connections if each.transport is not None]

    def crash(self, seconds: float) -> None:
        """Refuse connections, as a crashed process does, for ``seconds``."""
        self.faults.down = "refuse"
        self._apply_faults()

        async def recover() -> None:
            await asyncio.sleep(seconds)
            self.faults.down = ""

        self.track_task(asyncio.get_running_loop().create_task(recover()))

    async def wait_recovered(self) -> None:
        """Wait until the stand-in does not hang."""
        await self._recovered.wait()

    async def _open_listener(self) -> None:
        assert self._runner is not None and self._runner.server is not None
        host, _, port = self._listen.rpartition(":")
        self._listener = await asyncio.get_running_loop().create_server(
            self._runner.server, host, int(port), backlog=1024, reuse_address=True
        )
        name = self._listener.sockets[0].getsockname()
        self._listen = f"{name[0]}:{name[1]}"

    def _apply_faults(self) -> None:
        if self.faults.down == "hang":
            self._recovered.clear()
        else:
            self._recovered.set()
        if self.faults.down == "refuse":
            if self._listener is not None:
                self._listener.close()
                self._listener = None
                self.close_connections()
        elif self._listener is None:
            self.track_task(
                asyncio.get_running_loop().create_task(self._reopen_listener())
            )

    async def _reopen_listener(self) -> None:
        # The event loop closes the old socket in a later iteration.
        for _ in range(100):
            if self._listener is not None or self.faults.down == "refuse":
                return
            with contextlib.suppress(OSError):
                await self._open_listener()
                return
            await asyncio.sleep(0.02)
        raise OSError(f"cannot listen on {self._listen} again; free the port")

    @web.middleware
    async def _handle(self, request: web.Request, handler: Handler) -> Any:
        if (
            request.path in ("/faults", "/received")
            or request.path in self._control_paths
        ):
            return await handler(request)
        task = asyncio.current_task()
        assert task is not None
        self._running.add(task)
        try:
            return await self._handle_with_faults(request, handler)
        finally:
            self._running.discard(task)

    async def _handle_with_faults(self, request: web.Request, handler: Handler) -> Any:
        body = await request.read()
        if self._log_limit:
            self._log_request(request, body)
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        await self.wait_recovered()
        response = await handler(request)
        if self.faults.lose_answers > 0 and self.can_lose_answer(request):
            self.faults.lose_answers -= 1
            if request.transport is not None:
                request.transport.abort()
        return response

    def _log_request(self, request: web.Request, body: bytes) -> None:
        if len(self.received) == self._log_limit:
            self._log_bytes -= len(self.received.popleft().body)
        entry = ReceivedRequest(
            time=time.time(),
            method=request.method,
            path=request.path,
            query=dict(request.query),
            headers=dict(request.headers),
            body=body,
        )
        self.received.append(entry)
        self._log_bytes += len(body)
        while self._log_bytes > MAX_LOG_BYTES:
            self._log_bytes -= len(self.received.popleft().body)

    def _add_control(self, app: web.Application) -> None:
        app.router.add_get("/faults", self._get_faults)
        app.router.add_put("/faults", self._put_faults)
        app.router.add_get("/received", self._get_received)
        before = len(app.router.routes())
        self.add_control_routes(app)
        added = list(app.router.routes())[before:]
        self._control_paths = {
            r.resource.canonical for r in added if r.resource is not None
        }

    async def _get_faults(self, request: web.Request) -> web.Response:
        return answer_json(self.faults.to_json())

    async def _put_faults(self, request: web.Request) -> web.Response:
        try:
            self.faults.update(msgspec.json.decode(await request.read()))
        except (ValueError, msgspec.DecodeError) as exc:
            return answer_json({"error": str(exc)}, status=400)
        return answer_json(self.faults.to_json())

    async def _get_received(self, request: web.Request) -> web.Response:
        return answer_json([entry.to_json() for entry in self.received])


async def _open_site(runner: web.AppRunner, listen: str) -> str:
    host, _, port = listen.rpartition(":")
    await web.TCPSite(runner, host, int(port)).start()
    name: Any = runner.addresses[0]
    return f"{name[0]}:{name[1]}"


def main(cls: Callable[..., StandIn], **options: tuple[type, Any, str]) -> None:
    """Run one stand-in as a program until it is interrupted.

    Parameters
    ----------
    cls : type
        Class of the stand-in.
    **options : tuple of (type, default, help)
        Further command-line options, passed to the class as keyword arguments.
    """
    parser = argparse.ArgumentParser(description=cls.__doc__)
    parser.add_argument("--listen", required=True, help="address and port")
    parser.add_argument("--control", default="127.0.0.1:0", help="control address")
    parser.add_argument("--log-limit", type=int, default=50_000)
    for name, (kind, default, text) in options.items():
        flag = "--" + name.replace("_", "-")
        parser.add_argument(flag, type=kind, default=default, help=text)
    arguments = vars(parser.parse_args())

    async def run() -> None:
        stand_in = cls(**arguments)
        await stand_in.start()
        print(f"listening {stand_in.url} control {stand_in.control_url}", flush=True)
        await asyncio.Event().wait()

    with contextlib.suppress(KeyboardInterrupt):
        uvloop.run(run())


def find_free_port() -> int:
    """Return a TCP port of the loopback address that no other process is given.

    Ephemeral ports of outgoing connections start at 32768; a lower port cannot be
    taken by one of them before the process that receives it listens.

    Raises
    ------
    RuntimeError
        All ports, or the blocks of all processes, are in use.
    """
    return _ports.take()


class _PortBlock:
    """Ports that no other process uses.

    The first port of the block stays bound until the process ends. Otherwise two test
    processes could be given the same port before one of them listens. A port returns
    after all others of the block, if it is free by then.
    """

    _FIRST = 10_000
    _SIZE = 1_000
    _COUNT = 22

    def __init__(self) -> None:
        self._lock: socket.socket | None = None
        self._ports: deque[int] = deque()

    def take(self) -> int:
        """Return a free port."""
        if self._lock is None:
            self._lock = self._bind_block()
        for _ in range(len(self._ports)):
            self._ports.rotate(-1)
            with socket.socket() as probe, contextlib.suppress(OSError):
                probe.bind(("127.0.0.1", self._ports[-1]))
                return self._ports[-1]
        raise RuntimeError("all ports are in use; end unused clusters of this process")

    def _bind_block(self) -> socket.socket:
        blocks = [self._FIRST + self._SIZE * n for n in range(self._COUNT)]
        secrets.SystemRandom().shuffle(blocks)
        for first in blocks:
            lock = socket.socket()
            try:
                lock.bind(("127.0.0.1", first))
                lock.listen()
            except OSError:
                lock.close()
                continue
            self._ports.extend(range(first + 1, first + self._SIZE))
            return lock
        raise RuntimeError("all blocks of ports are in use; end other test processes")


_ports = _PortBlock()
