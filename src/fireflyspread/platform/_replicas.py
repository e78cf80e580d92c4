"""Client of the platform's replicas."""

import functools
import logging
import socket
import time
from collections.abc import AsyncIterator
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from multidict import CIMultiDict
from yarl import URL

from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    ReplicaCrashedError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.forwarding import Backend, Dispatch, ForwardRequest, Reply
from fireflyspread.platform import _headers as names
from fireflyspread.platform._headers import select_response_headers
from fireflyspread.routing import LoadReport

__all__ = ["ReplicaClient", "make_connector"]

_LOG = logging.getLogger(__name__)

# Seconds that an unused connection is kept. A repeatable request that meets the close
# of its replica is sent again on a new connection.
_KEEPALIVE = 15.0
# Seconds that a connection may have rested before a request that may run only once;
# replicas close theirs after some seconds, troubled ones after 0.3 s.
_ONCE_REST = 1.0
_TROUBLED_REST = 0.2
# Seconds for which a replica counts as one that drops connections early, and within
# which a send that finds its connection dropped fails.
_TROUBLED_SECONDS = 60.0
_DROP_SECONDS = 0.05
# Seconds to connect; replicas are 2 ms away, and a lost packet is sent again after 1 s.
_CONNECT_TIMEOUT = 0.4
# Milliseconds after which bytes that the other side has not acknowledged, or probes
# of a quiet connection, end it.
_USER_TIMEOUT = 800
_PROBE_SECONDS = 1


def make_connector(
    *, keepalive: float, kind: type[aiohttp.TCPConnector] = aiohttp.TCPConnector
) -> aiohttp.TCPConnector:
    """Return a connector that notices silent connections."""
    return kind(
        limit=0,
        limit_per_host=0,
        keepalive_timeout=keepalive,
        use_dns_cache=False,
        socket_factory=_open_socket,
    )


def _open_socket(address: Any) -> socket.socket:
    family, kind, protocol = address[0], address[1], address[2]
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT)
    return sock


_rest: ContextVar[float] = ContextVar("rest", default=_KEEPALIVE)


class _FreshConnector(aiohttp.TCPConnector):
    """Takes the connection that rested least, if that is no longer than allowed.

    The library takes the one that rested longest, which its replica is about to close.
    """

    async def _get(self, key: Any, traces: Any) -> Any:
        connections = self._conns.get(key)
        while connections:
            protocol, since = connections[-1]
            if not protocol.is_connected() or protocol.should_close:
                connections.pop()
                protocol.close()
                continue
            if time.monotonic() - since > _rest.get():
                return None
            connections.rotate(1)
            return await super()._get(key, traces)
        self._conns.pop(key, None)
        return None


class _MatchedHandler(ResponseHandler):
    """Skips answers that belong to an earlier request of the connection.

    An answer that ends with its connection is whole only if the connection was not
    reset; the library does not tell the two apart.
    """

    expected: str | None = None

    async def read(self) -> Any:
        while True:
            message, payload = await super().read()
            found = message.headers.get(names.REQUEST_ID)
            if found is None or self.expected is None or found == self.expected:
                return message, payload
            _LOG.info("answer to an earlier request skipped", extra={"request": found})

    def connection_lost(self, exc: BaseException | None) -> None:
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError("connection reset"), exc)
        super().connection_lost(exc)


class _MatchedResponse(aiohttp.ClientResponse):
    """Tells its connection which answer it waits for."""

    async def start(self, connection: Any) -> aiohttp.ClientResponse:
        connection.protocol.expected = self.request_info.headers.get(names.REQUEST_ID)
        return await super().start(connection)


class _HttpReply(Reply):
    """An answer read by the HTTP library."""

    def __init__(
        self, response: aiohttp.ClientResponse, replica: Replica, now: float
    ) -> None:
        self._response = response
        self._replica = replica.name
        headers = response.headers
        self.status = response.status
        self.headers = select_response_headers(headers, headers.items())
        self.is_refusal = names.NOT_EXECUTED in headers
        self.is_wrong_instance = response.status == 421
        self.load = _read_load(headers.get(names.LOAD), now)

    async def iterate(self) -> AsyncIterator[bytes]:
        try:
            async for chunk in self._response.content.iter_any():
                yield chunk
        except (aiohttp.ClientError, OSError) as exc:
            raise ReplicaCrashedError(
                f"replica {self._replica} broke off its answer: {exc}; resume or retry"
            ) from exc

    async def close(self) -> None:
        if self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


class ReplicaClient(Backend):
    """Sends requests over kept connections."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._session = _open_session()
        self._troubled: dict[str, float] = {}

    async def send(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply:
        has_body = bool(request.body) or request.method not in ("GET", "HEAD")
        sent_at = self._clock.read_monotonic()
        _rest.set(self._find_rest(replica, dispatch, sent_at))
        try:
            response = await self._session.request(
                request.method,
                URL(replica.url + request.target, encoded=True),
                headers=_make_headers(request, replica, dispatch),
                data=request.body if has_body else None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise TargetUnreachableError(
                f"no connection to replica {replica.name}; try another replica"
            ) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            now = self._clock.read_monotonic()
            if now - sent_at < _DROP_SECONDS:
                self._troubled[replica.name] = now + _TROUBLED_SECONDS
            raise ReplicaCrashedError(
                f"replica {replica.name} gave no answer: {exc}; retry if repeatable"
            ) from exc
        reply = _HttpReply(response, replica, self._clock.read_monotonic())
        if reply.is_refusal or reply.is_wrong_instance:
            return reply
        if response.headers.get(names.REQUEST_ID) != request.id:
            response.close()
            raise TargetError(
                f"replica {replica.name} answered another request; retry if repeatable"
            )
        return reply

    def _find_rest(self, replica: Replica, dispatch: Dispatch, now: float) -> float:
        if dispatch.is_repeatable:
            return _KEEPALIVE
        if self._troubled.get(replica.name, 0.0) > now:
            return _TROUBLED_REST
        return _ONCE_REST

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()


def _open_session() -> aiohttp.ClientSession:
    connector = make_connector(keepalive=_KEEPALIVE, kind=_FreshConnector)
    factory: Any = functools.partial(_MatchedHandler, loop=connector._loop)
    connector._factory = factory
    return aiohttp.ClientSession(
        connector=connector,
        cookie_jar=aiohttp.DummyCookieJar(),
        response_class=_MatchedResponse,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT),
    )


def _make_headers(
    request: ForwardRequest, replica: Replica, dispatch: Dispatch
) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    headers[names.REMAINING] = str(max(1, int(dispatch.remaining * 1000)))
    headers[names.TARGET_INSTANCE] = replica.name
    if dispatch.team is not None:
        headers[names.TENANT] = dispatch.team
    if dispatch.priority is not None:
        headers[names.PRIORITY] = str(dispatch.priority)
    if dispatch.last_event_id is not None:
        headers[names.EVENT_ID] = dispatch.last_event_id
    return headers


def _read_load(value: str | None, now: float) -> LoadReport | None:
    try:
        running, waiting, _ = (int(part) for part in (value or "").split(","))
    except ValueError:
        return None
    return LoadReport(
        running=running,
        waiting=waiting,
        cache_used=0,
        cache_capacity=0,
        received_at=now,
    )
