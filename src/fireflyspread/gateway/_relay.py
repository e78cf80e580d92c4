"""Relay of requests between gateway nodes over HTTP."""

import base64
import logging
from collections.abc import AsyncIterator, Callable, Sequence
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    FireflyError,
    Outcome,
    PeerError,
    ReplicaCrashedError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.forwarding import (
    Backend,
    Dispatch,
    ForwardRequest,
    Framing,
    RelayNode,
    RelayNodes,
    Reply,
)
from fireflyspread.recovery import NodeAddress, Roster
from fireflyspread.routing import LoadReport, ReplicaDirectory, Scheduler

__all__ = ["HttpRelayNodes", "RelayServer"]

_LOG = logging.getLogger(__name__)

_SEND_PATH = "/send"
_CONNECT_PATH = "/connect"
# Base64 of the encoded ``_ReplyHead`` or ``_Failure``.
_HEAD_HEADER = "X-Firefly-Reply"
_FAILURE_HEADER = "X-Firefly-Failure"
# Bytes: a head has the headers of a replica.
_MAX_HEAD_BYTES = 1 << 16
_MAX_REQUEST_BYTES = 16 << 20
# Requests of other nodes that a node relays at the same time, so that its own callers
# are served.
_MAX_RELAYED_REQUESTS = 256
# Seconds to connect, and for the answer whether a replica accepts connections.
_CONNECT_TIMEOUT = 0.3
_PROBE_TIMEOUT = 0.5
# The server keeps idle connections longer than its clients do.
_SERVER_KEEPALIVE_SECONDS = 60.0


class _ReplicaInfo(msgspec.Struct):
    name: str
    url: str
    zone: str
    vm: str
    version: str


class _SendRequest(msgspec.Struct):
    """A request, the replica that it goes to and the options of its dispatch."""

    id: str
    method: str
    host: str
    request_target: str
    headers: list[tuple[str, str]]
    body: bytes
    replica: _ReplicaInfo
    remaining: float
    priority: int | None
    team: str | None
    last_event_id: str | None
    is_repeatable: bool


class _ReplyHead(msgspec.Struct):
    """What a node knows of a reply before its body."""

    status: int
    headers: list[tuple[str, str]]
    is_refusal: bool
    is_wrong_instance: bool
    load: tuple[int, int] | None
    rate_limit: float | None
    framing: str


class _Failure(msgspec.Struct):
    """Why there is no reply.

    Attributes
    ----------
    code : str
        Code of the error.
    """

    code: str
    message: str
    outcome: str


def _encode(value: msgspec.Struct) -> str:
    return base64.b64encode(msgspec.msgpack.encode(value)).decode("ascii")


def _copy_headers(headers: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
    # The names may be of a subclass of ``str``, which cannot be encoded.
    return [(str(name), value) for name, value in headers]


def _make_replica_info(replica: Replica) -> _ReplicaInfo:
    return _ReplicaInfo(
        name=replica.name,
        url=replica.url,
        zone=replica.zone,
        vm=replica.vm,
        version=replica.version,
    )


class _RelayedReply(Reply):
    """Reply of a replica that another node passes on."""

    def __init__(
        self, response: aiohttp.ClientResponse, head: _ReplyHead, now: float
    ) -> None:
        self._response = response
        self.status = head.status
        self.headers = head.headers
        self.is_refusal = head.is_refusal
        self.is_wrong_instance = head.is_wrong_instance
        self.rate_limit = head.rate_limit
        self.framing = Framing(head.framing)
        self.load = None
        if head.load is not None:
            running, waiting = head.load
            self.load = LoadReport(
                running=running,
                waiting=waiting,
                cache_used=0,
                cache_capacity=0,
                received_at=now,
            )

    async def iterate(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as exc:
            raise ReplicaCrashedError(
                f"a relayed response broke off: {exc}; resume or retry"
            ) from exc

    async def close(self) -> None:
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


class _HttpRelayNode(RelayNode):
    """A node that relays requests over HTTP."""

    def __init__(
        self, address: NodeAddress, session: aiohttp.ClientSession, clock: Clock
    ) -> None:
        self.name = address.name
        self.zone = address.zone
        self._url = f"http://{address.relay}"
        self._session = session
        self._clock = clock

    async def send(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply:
        message = _SendRequest(
            id=request.id,
            method=request.method,
            host=request.host,
            request_target=request.request_target,
            headers=_copy_headers(request.headers),
            body=request.body,
            replica=_make_replica_info(replica),
            remaining=dispatch.remaining,
            priority=dispatch.priority,
            team=dispatch.team,
            last_event_id=dispatch.last_event_id,
            is_repeatable=dispatch.is_repeatable,
        )
        response = await self._post(_SEND_PATH, message)
        head = response.headers.get(_HEAD_HEADER)
        if head is None:
            response.release()
            raise self._read_failure(response)
        return _RelayedReply(
            response,
            msgspec.msgpack.decode(base64.b64decode(head), type=_ReplyHead),
            self._clock.read_monotonic(),
        )

    async def accepts_connection(self, replica: Replica) -> bool:
        response = await self._post(
            _CONNECT_PATH, _make_replica_info(replica), timeout=_PROBE_TIMEOUT
        )
        response.release()
        return response.status == 200

    async def _post(
        self, path: str, message: msgspec.Struct, *, timeout: float | None = None
    ) -> aiohttp.ClientResponse:
        try:
            return await self._session.post(
                self._url + path,
                data=msgspec.msgpack.encode(message),
                timeout=aiohttp.ClientTimeout(
                    total=timeout, sock_connect=_CONNECT_TIMEOUT
                ),
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise PeerError(f"no connection to node {self.name}: {exc}") from exc
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            if path != _SEND_PATH:
                raise PeerError(f"node {self.name} did not answer") from exc
            raise ReplicaCrashedError(
                f"no response through node {self.name}: {exc}; retry if repeatable"
            ) from exc

    def _read_failure(self, response: aiohttp.ClientResponse) -> FireflyError:
        encoded = response.headers.get(_FAILURE_HEADER, "")
        try:
            failure = msgspec.msgpack.decode(base64.b64decode(encoded), type=_Failure)
        except (msgspec.DecodeError, ValueError):
            return TargetError(
                f"node {self.name} answered {response.status}; retry if repeatable"
            )
        for kind in (TargetUnreachableError, ReplicaCrashedError, PeerError):
            if failure.code == kind.code:
                return kind(failure.message)
        return TargetError(failure.message, outcome=Outcome(failure.outcome))


class HttpRelayNodes(RelayNodes):
    """The members of the cluster that have a relay address."""

    def __init__(
        self, roster: Roster, connector: aiohttp.BaseConnector, clock: Clock
    ) -> None:
        self._roster = roster
        self._clock = clock
        self._session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            max_field_size=_MAX_HEAD_BYTES,
        )

    def list_nodes(self) -> Sequence[RelayNode]:
        alive = set(self._roster.list_names())
        return [
            _HttpRelayNode(address, self._session, self._clock)
            for address in self._roster.list_peers()
            if address.relay and address.name in alive
        ]

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


class RelayServer:
    """Sends requests of other nodes to replicas, and never to a further node.

    Parameters
    ----------
    backend : Backend
        Client that connects to replicas directly.
    is_path_broken : callable
        Returns whether this node does not reach a replica.
    """

    def __init__(
        self,
        backend: Backend,
        *,
        directory: ReplicaDirectory,
        scheduler: Scheduler,
        clock: Clock,
        is_path_broken: Callable[[Replica], bool],
    ) -> None:
        self._backend = backend
        self._directory = directory
        self._scheduler = scheduler
        self._clock = clock
        self._is_path_broken = is_path_broken
        self.running = 0
        self.server = web.Server(
            self._handle,
            request_factory=_make_request,
            handler_cancellation=True,
            access_log=None,
            keepalive_timeout=_SERVER_KEEPALIVE_SECONDS,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        data = await request.read()
        try:
            if request.path == _CONNECT_PATH:
                return await self._connect(data)
            if request.path == _SEND_PATH:
                message = msgspec.msgpack.decode(data, type=_SendRequest)
                return await self._relay(request, message)
        except msgspec.DecodeError as exc:
            _LOG.warning("a message of another node cannot be decoded: %s", exc)
            return web.Response(status=400)
        except FireflyError as exc:
            failure = _Failure(exc.code, exc.message, exc.outcome)
            return web.Response(
                status=exc.status, headers={_FAILURE_HEADER: _encode(failure)}
            )
        return web.Response(status=404)

    async def _connect(self, data: bytes) -> web.Response:
        replica = self._find(msgspec.msgpack.decode(data, type=_ReplicaInfo))
        is_up = not self._is_path_broken(
            replica
        ) and await self._backend.accepts_connection(replica)
        return web.Response(status=200 if is_up else 503)

    def _find(self, info: _ReplicaInfo) -> Replica:
        """Return the replica as this node knows it, or as the other node does."""
        found = self._directory.find_replica(info.name)
        return found or Replica(
            name=info.name,
            url=info.url,
            zone=info.zone,
            vm=info.vm,
            version=info.version,
        )

    async def _relay(
        self, request: web.BaseRequest, message: _SendRequest
    ) -> web.StreamResponse:
        replica = self._find(message.replica)
        if self.running >= _MAX_RELAYED_REQUESTS:
            raise PeerError("this node relays too many requests; use another node")
        if self._is_path_broken(replica):
            raise TargetUnreachableError(
                f"this node does not reach replica {replica.name}; use another node"
            )
        self.running += 1
        sent_at = self._clock.read_monotonic()
        try:
            reply = await self._backend.send(
                self._make_request(message), replica, _make_dispatch(message)
            )
            self._report(replica, reply, sent_at)
            try:
                return await _pass_on(request, reply)
            finally:
                await reply.close()
        finally:
            self.running -= 1

    def _make_request(self, message: _SendRequest) -> ForwardRequest:
        return ForwardRequest(
            id=message.id,
            method=message.method,
            host=message.host,
            path=message.request_target.partition("?")[0],
            request_target=message.request_target,
            headers=message.headers,
            body=message.body,
            received_at=self._clock.read_monotonic(),
        )

    def _report(self, replica: Replica, reply: Reply, sent_at: float) -> None:
        if reply.load is not None:
            self._scheduler.report_load(replica.name, reply.load)
        if not reply.is_wrong_instance:
            self._scheduler.report_limit(replica, reply.rate_limit, sent_at=sent_at)


def _make_request(
    message: Any, payload: Any, protocol: Any, writer: Any, task: Any
) -> web.BaseRequest:
    return web.BaseRequest(
        message,
        payload,
        protocol,
        writer,
        task,
        protocol._loop,
        client_max_size=_MAX_REQUEST_BYTES,
    )


def _make_dispatch(message: _SendRequest) -> Dispatch:
    return Dispatch(
        remaining=message.remaining,
        priority=message.priority,
        team=message.team,
        last_event_id=message.last_event_id,
        is_repeatable=message.is_repeatable,
    )


async def _pass_on(request: web.BaseRequest, reply: Reply) -> web.StreamResponse:
    head = _ReplyHead(
        status=reply.status,
        headers=_copy_headers(reply.headers),
        is_refusal=reply.is_refusal,
        is_wrong_instance=reply.is_wrong_instance,
        load=None if reply.load is None else (reply.load.running, reply.load.waiting),
        rate_limit=reply.rate_limit,
        framing=reply.framing.value,
    )
    response = web.StreamResponse(headers={_HEAD_HEADER: _encode(head)})
    response.enable_chunked_encoding()
    await response.prepare(request)
    try:
        async for chunk in reply.iterate():
            await response.write(chunk)
    except TargetError as exc:
        _LOG.info("a relayed response broke off: %s", exc.message)
        # Without an abort, the truncated response would look complete.
        if request.transport is not None:
            request.transport.abort()
        return response
    await response.write_eof()
    return response
