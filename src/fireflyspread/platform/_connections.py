"""Connections to the platform's replicas."""

import asyncio
import errno
import functools
import logging
import time
from collections import deque
from collections.abc import Callable
from contextvars import ContextVar
from typing import Any

import aiohttp
from aiohttp.connector import Connection
from attrs import define
from yarl import URL

from fireflyspread._http_client import ClientConnector
from fireflyspread._http_protocol import LimitedProtocol
from fireflyspread.clock import SystemClock
from fireflyspread.forwarding import ConnectionShares
from fireflyspread.platform import _headers as names

__all__ = [
    "KEEPALIVE_SECONDS",
    "LifoConnector",
    "MatchingProtocol",
    "NoPlaceError",
    "ResetUnsentError",
    "Usage",
    "is_reset",
    "make_address",
    "usage",
]

_LOG = logging.getLogger(__name__)

# Seconds that an idle connection is kept. If the replica closes one first, a
# repeatable request that was sent on it fails and is retried as its route allows.
KEEPALIVE_SECONDS = 15.0
# Bytes of the body of a response to an earlier request.
_MAX_SKIPPED_BYTES = 1 << 20
# Errors of a connection that the other side has reset.
_RESET_ERRORS = frozenset({errno.ECONNRESET, errno.EPIPE})


class NoPlaceError(Exception):
    """No connection was free within the node's share, so nothing was sent."""


class ResetUnsentError(Exception):
    """The replica reset a new connection before a byte of the request was sent."""


@define(kw_only=True)
class Usage:
    """How one request may use connections, and which one it got.

    Attributes
    ----------
    max_idle : float
        Idle seconds up to which a connection is reused.
    request_id : str
        Id of the request.
    max_wait : float
        Seconds for which the request waits for a connection within the share.
    is_new : bool
        Whether a connection was opened for the request.
    opened_at : float
        Monotonic seconds at which it was established.
    """

    max_idle: float = KEEPALIVE_SECONDS
    request_id: str = ""
    max_wait: float = 0.0
    is_new: bool = False
    opened_at: float = 0.0


# Set for each request, because aiohttp passes nothing from the request to its
# connector.
usage: ContextVar[Usage | None] = ContextVar("usage", default=None)


def make_address(url: URL) -> str:
    """Return the address by which connections to a replica are counted."""
    return f"{url.host}:{url.port}"


def is_reset(exc: BaseException) -> bool:
    """Return whether an error says that the other side reset the connection.

    aiohttp wraps the error of a body that cannot be written.
    """
    if isinstance(exc, ConnectionResetError):
        return True
    if isinstance(exc, OSError) and exc.errno in _RESET_ERRORS:
        return True
    return exc.__cause__ is not None and is_reset(exc.__cause__)


class MatchingProtocol(LimitedProtocol):
    """Skips responses to earlier requests on the same connection."""

    expected_id: str | None = None
    # Requests sent on this connection.
    sent_count = 0
    # Request that was refused last on this connection.
    refused_id: str | None = None
    # Called once when the connection has ended.
    on_lost: Callable[[], None] | None = None
    # Whether it is counted as being closed.
    is_marked_closing = False

    @property
    def is_lost(self) -> bool:
        """Whether the connection has ended."""
        return self._connection_lost_called

    def connection_lost(self, exc: BaseException | None) -> None:
        super().connection_lost(exc)
        on_lost, self.on_lost = self.on_lost, None
        if on_lost is not None:
            on_lost()

    def take_reset(self) -> bool:
        """Return whether the other side has reset the connection; abort it then."""
        if self.is_lost or self.transport is None:
            return True
        # uvloop reads the error of the socket itself, and then closes the transport
        # before it reports the loss.
        if self.transport.is_closing() or self._read_socket_error() in _RESET_ERRORS:
            self.abort()
            return True
        return False

    def is_expected(self, message: Any) -> bool:
        return super().is_expected(message) and self._has_expected_id(message)

    def _has_expected_id(self, message: Any) -> bool:
        found = message.headers.get(names.REQUEST_ID)
        return found is None or self.expected_id is None or found == self.expected_id

    async def read(self) -> Any:
        while True:
            message, payload = await super().read()
            if self._has_expected_id(message):
                return message, payload
            _LOG.info(
                "response to an earlier request skipped",
                extra={"request": message.headers.get(names.REQUEST_ID)},
            )
            await _skip_body(payload)


async def _skip_body(payload: aiohttp.StreamReader) -> None:
    size = 0
    async for chunk in payload.iter_any():
        size += len(chunk)
        if size > _MAX_SKIPPED_BYTES:
            raise aiohttp.ClientPayloadError("response to an earlier request too large")


class LifoConnector(ClientConnector):
    """Reuses the connection with the shortest idle time, within the node's share.

    aiohttp reuses the one with the longest idle time, which its replica is the most
    likely to close.

    Attributes
    ----------
    shares : ConnectionShares
        Counts the connections to each replica and bounds them.
    """

    protocol_class = MatchingProtocol

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.shares = ConnectionShares(SystemClock())
        # Requests that wait for a connection, by address.
        self._waiting: dict[str, deque[asyncio.Future[None]]] = {}

    async def connect(self, req: Any, traces: Any, timeout: Any) -> Connection:
        """Return an idle connection or a new one.

        Raises
        ------
        NoPlaceError
            The share of the replica is used up.
        ResetUnsentError
            The replica reset the new connection.
        """
        address = make_address(req.url)
        used = usage.get() or Usage()
        connection = await self._acquire_place(req.connection_key, address, used)
        if connection is not None:
            return connection
        used.is_new = True
        try:
            connection = await super().connect(req, traces, timeout)
        except BaseException as exc:
            self.leave_place(address)
            if is_reset(exc):
                self.shares.record_reset(address)
                raise ResetUnsentError from exc
            raise
        self._watch(connection, address)
        used.opened_at = time.monotonic()
        return connection

    def _watch(self, connection: Connection, address: str) -> None:
        """Count a new connection until it ends; no request was written to it yet."""
        protocol = connection.protocol
        assert isinstance(protocol, MatchingProtocol)
        self.shares.record_opened()
        if not protocol.take_reset():
            protocol.on_lost = functools.partial(self.leave_place, address)
            return
        # aiohttp writes no byte of the request before it has the connection.
        connection.close()
        self.leave_place(address)
        self.shares.record_reset(address)
        raise ResetUnsentError

    async def _acquire_place(
        self, key: Any, address: str, used: Usage
    ) -> Connection | None:
        """Return an idle connection, or None once another one may be opened."""
        until = self._loop.time() + used.max_wait
        while True:
            connection: Connection | None = await self._get(key, [])
            if connection is not None:
                return connection
            if self.shares.try_open(address):
                return None
            if self.shares.is_full(address):
                # An idle connection that this request may not use.
                self._close_idle(address, 1)
            remaining = until - self._loop.time()
            if remaining <= 0:
                self.shares.record_refused()
                raise NoPlaceError
            pause = self.shares.get_pause(address) or remaining
            await self._wait_for_change(address, min(remaining, pause))

    async def _wait_for_change(self, address: str, timeout: float) -> None:
        """Wait until a connection becomes idle or ends."""
        future = self._loop.create_future()
        waiting = self._waiting.setdefault(address, deque())
        waiting.append(future)
        try:
            await asyncio.wait([future], timeout=timeout)
        except asyncio.CancelledError:
            if future.done():
                self._wake(address)
            raise
        finally:
            if not future.done():
                waiting.remove(future)
            if not waiting and self._waiting.get(address) is waiting:
                del self._waiting[address]

    def _wake(self, address: str) -> None:
        """Let the request that has waited longest try again."""
        waiting = self._waiting.get(address)
        if waiting:
            waiting.popleft().set_result(None)

    def leave_place(self, address: str, *, was_closing: bool = False) -> None:
        """Stop counting a connection."""
        self.shares.record_closed(address, was_closing=was_closing)
        self._wake(address)

    def _release(self, key: Any, protocol: Any, *, should_close: bool = False) -> None:
        super()._release(key, protocol, should_close=should_close)
        address = f"{key.host}:{key.port}"
        if not protocol.is_connected():
            self._mark_closing(protocol, address)
        self.trim(address)
        self._wake(address)

    def _mark_closing(self, protocol: MatchingProtocol, address: str) -> None:
        """Record that a connection is being closed; it counts until it has ended."""
        if protocol.on_lost is not None and not protocol.is_marked_closing:
            protocol.is_marked_closing = True
            self.shares.record_closing(address)
            protocol.on_lost = functools.partial(
                self.leave_place, address, was_closing=True
            )

    def trim(self, address: str) -> None:
        """Close idle connections beyond the share."""
        excess = self.shares.count_excess(address)
        if excess:
            self._close_idle(address, excess)

    def trim_all(self) -> None:
        """Close idle connections beyond the shares of all replicas."""
        for address in {f"{key.host}:{key.port}" for key in self._conns}:
            self.trim(address)

    def _close_idle(self, address: str, count: int) -> None:
        """Close idle connections, those that were not needed for longest first."""
        for key, connections in self._conns.items():
            if f"{key.host}:{key.port}" != address:
                continue
            while connections and count > 0:
                protocol, _ = connections.popleft()
                assert isinstance(protocol, MatchingProtocol)
                # One that has ended frees no place.
                count -= protocol.is_connected()
                self._mark_closing(protocol, address)
                protocol.close()

    async def _get(self, key: Any, traces: Any) -> Any:
        used = usage.get() or Usage()
        connections = self._conns.get(key)
        while connections:
            protocol, idle_since = connections[-1]
            if not protocol.is_connected() or protocol.should_close:
                connections.pop()
                protocol.close()
                continue
            if time.monotonic() - idle_since > used.max_idle:
                return None
            assert isinstance(protocol, MatchingProtocol)
            if protocol.refused_id == used.request_id:
                # A repeat of that refusal would have the expected id.
                return None
            # aiohttp takes the first connection of the deque.
            connections.rotate(1)
            return await super()._get(key, traces)
        self._conns.pop(key, None)
        return None

    def find_acquired(self, url: URL) -> MatchingProtocol | None:
        """Return a connection to the host of ``url`` that a request uses."""
        for protocol in self._acquired:
            if (
                isinstance(protocol, MatchingProtocol)
                and protocol.transport is not None
                and protocol.transport.get_extra_info("peername")
                == (url.host, url.port)
            ):
                return protocol
        return None

    def find_open(self, url: URL) -> MatchingProtocol | None:
        """Return an idle connection to the host of ``url`` that is still open."""
        for key, connections in self._conns.items():
            if (key.host, key.port) != (url.host, url.port):
                continue
            for protocol, _ in connections:
                if protocol.is_connected() and not protocol.should_close:
                    assert isinstance(protocol, MatchingProtocol)
                    return protocol
        return None

    def close_silent(self, url: URL, *, since: float) -> int:
        """Close the connections to a host that are idle or have long been silent.

        Parameters
        ----------
        since : float
            Monotonic seconds; a connection with a request is closed if no byte has
            arrived on it since.

        Returns
        -------
        int
            Number of connections with a request.
        """
        for key, connections in self._conns.items():
            if (key.host, key.port) == (url.host, url.port):
                for protocol, _ in connections:
                    protocol.close()
        silent = [
            protocol
            for protocol in self._acquired
            if isinstance(protocol, MatchingProtocol)
            and protocol.transport is not None
            and protocol.transport.get_extra_info("peername") == (url.host, url.port)
            and protocol.active_at < since
        ]
        for protocol in silent:
            protocol.set_exception(aiohttp.ServerDisconnectedError())
            if protocol.transport is not None:
                protocol.transport.abort()
        return len(silent)
