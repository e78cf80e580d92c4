"""Client of the platform's replicas."""

import asyncio
import logging
import time
from collections.abc import Callable

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from fireflyspread._http_client import (
    accepts_connection,
    open_session,
)
from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    NoConnectionError,
    ReplicaCrashedError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.forwarding import (
    Backend,
    ConnectionShares,
    Dispatch,
    ForwardRequest,
    Reply,
)
from fireflyspread.platform import _headers as names
from fireflyspread.platform._connections import (
    KEEPALIVE_SECONDS,
    LifoConnector,
    NoPlaceError,
    ResetUnsentError,
    Usage,
    is_reset,
    make_address,
    usage,
)
from fireflyspread.platform._replies import MatchingResponse, ReplicaReply
from fireflyspread.platform._tcp import (
    REPLICA_USER_TIMEOUT_MS,
    configure_socket,
    make_connector,
)

__all__ = ["ReplicaClient"]

_LOG = logging.getLogger(__name__)

# Idle seconds up to which a connection is reused for a request that may run only once.
# Replicas close idle connections after some seconds, faulty ones after 0.3 s.
_MAX_IDLE_SECONDS = 1.0
_MAX_IDLE_EARLY_CLOSE_SECONDS = 0.2
# A request that fails within _STALE_FAILURE_SECONDS found its connection closed. Its
# replica is then taken to close idle connections early for _EARLY_CLOSE_TTL seconds.
_EARLY_CLOSE_TTL = 60.0
_STALE_FAILURE_SECONDS = 0.05
# Seconds after it was established within which a reset shows that the replica has too
# many connections. A replica that crashes later resets all of them.
_NEW_SECONDS = 0.05
# Seconds between attempts to watch a replica while no connection may be opened.
_WATCH_RETRY_SECONDS = 0.1
# Seconds to connect. The latency to replicas is 2 ms, and TCP repeats a lost SYN only
# after 1 s.
_CONNECT_TIMEOUT = 0.4
# Seconds from the start of a replica until its registration is known, with a margin. A
# connection that has been silent for longer belongs to the process before it.
_SILENT_SECONDS = 1.0
# Maximum wait for a connection within the node's share: seconds, and fraction of the
# time until the deadline. Another replica may run the request at once.
_MAX_PLACE_WAIT = 0.2
_PLACE_WAIT_FRACTION = 1 / 8
# Bytes that are read at once from a connection that is only watched.
_READ_BYTES = 1 << 14


class ReplicaClient(Backend):
    """Sends requests to replicas over persistent connections.

    Parameters
    ----------
    find_max_connections : callable or None
        Returns the connections that a replica accepts from all nodes; None if unknown.
    count_interval : float
        Seconds for which a decrease of the number of nodes has no effect.

    Attributes
    ----------
    shares : ConnectionShares
        Bounds the connections to each replica.
    """

    def __init__(
        self,
        clock: Clock,
        *,
        find_max_connections: Callable[[Replica], int | None] | None = None,
        count_interval: float = 0.0,
    ) -> None:
        self._clock = clock
        self._find_max_connections = find_max_connections or (lambda _: None)
        self.shares = ConnectionShares(clock, interval=count_interval)
        self._session = _open_session()
        connector = self._session.connector
        assert isinstance(connector, LifoConnector)
        connector.shares = self.shares
        self._connector = connector
        self._early_close_until: dict[str, float] = {}
        # Later checks of connections to replaced processes, by process.
        self._timers: dict[str, asyncio.TimerHandle] = {}

    async def send(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply:
        response = await self._request(request, replica, dispatch)
        reply = ReplicaReply(response, replica, self._clock.read_monotonic())
        is_not_run = reply.is_refusal or reply.is_wrong_instance
        has_id = names.REQUEST_ID in response.headers
        if not response.belongs_to(request.id) or not (has_id or is_not_run):
            response.close()
            raise TargetError(
                f"replica {replica.name} sent a response that names another request "
                "or none; retry if repeatable"
            )
        if is_not_run:
            response.mark_refused(request.id)
        return reply

    async def _request(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> MatchingResponse:
        has_body = bool(request.body) or request.method not in ("GET", "HEAD")
        sent_at = self._clock.read_monotonic()
        address = self._bound_connections(replica)
        used = Usage(
            max_idle=self._get_max_idle(replica, dispatch, sent_at),
            request_id=request.id,
            max_wait=min(_MAX_PLACE_WAIT, _PLACE_WAIT_FRACTION * dispatch.remaining),
        )
        usage.set(used)
        try:
            response = await self._session.request(
                request.method,
                URL(replica.url + request.request_target, encoded=True),
                headers=_make_headers(request, replica, dispatch),
                data=request.body if has_body else None,
                allow_redirects=False,
            )
        except NoPlaceError as exc:
            raise NoConnectionError(
                f"the connections of this node to replica {replica.name} are in use; "
                "try another replica"
            ) from exc
        except ResetUnsentError as exc:
            raise self._make_reset_error(replica) from exc
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise TargetUnreachableError(
                f"no connection to replica {replica.name}; try another replica"
            ) from exc
        except (aiohttp.ClientError, OSError, ValueError) as exc:
            now = self._clock.read_monotonic()
            is_full = time.monotonic() - used.opened_at < _NEW_SECONDS
            if used.is_new and is_full and is_reset(exc):
                self._record_reset(replica, address)
            if now - sent_at < _STALE_FAILURE_SECONDS:
                self._early_close_until[replica.name] = now + _EARLY_CLOSE_TTL
            raise ReplicaCrashedError(
                f"no response from replica {replica.name}: {exc}; retry if repeatable"
            ) from exc
        assert isinstance(response, MatchingResponse)
        if used.is_new:
            self.shares.record_accepted(address)
        return response

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the connections to the replicas."""
        self.shares.nodes.record(count)
        self._connector.trim_all()

    def list_gauges(self) -> list[tuple[str, float]]:
        """Return the gauges of the connections to replicas, by name."""
        shares = self.shares
        return [
            ("connections.open", shares.open_count),
            ("connections.opened", shares.opened),
            ("connections.refused", shares.refused),
            ("connections.reset", shares.resets),
            ("connections.lowered", shares.count_lowered()),
        ]

    def _bound_connections(self, replica: Replica) -> str:
        """Apply the bound of a replica; return the address of its connections."""
        address = make_address(URL(replica.url))
        value = self._find_max_connections(replica)
        if value is not None:
            # A replica that is no longer registered keeps its bound.
            self.shares.set_max_connections(address, value)
        return address

    def _record_reset(self, replica: Replica, address: str) -> None:
        self.shares.record_reset(address)
        self._connector.trim(address)
        _LOG.info(
            "replica reset a new connection",
            extra={"replica": replica.name, "limit": self.shares.get_limit(address)},
        )

    def _make_reset_error(self, replica: Replica) -> TargetError:
        """Return the error for a connection that was reset before it was used.

        A replica with a bound is full; one without may be starting or ending.
        """
        address = make_address(URL(replica.url))
        limit = self.shares.get_limit(address)
        _LOG.info(
            "replica reset a new connection before the request was sent",
            extra={"replica": replica.name, "limit": limit},
        )
        kind = TargetUnreachableError if limit is None else NoConnectionError
        return kind(
            f"replica {replica.name} reset a new connection; try another replica"
        )

    async def accepts_connection(self, replica: Replica) -> bool:
        return await accepts_connection(replica.url)

    async def wait_disconnected(self, replica: Replica, *, timeout: float) -> bool:
        url = URL(replica.url)
        address = self._bound_connections(replica)
        protocol = self._connector.find_open(url)
        is_counted = protocol is None and self.shares.try_open(address)
        if protocol is None and not is_counted:
            protocol = self._connector.find_acquired(url)
        if protocol is None and not is_counted:
            pause = min(timeout, _WATCH_RETRY_SECONDS)
            await asyncio.sleep(pause)
            if pause >= timeout:
                return False
            return await self.wait_disconnected(replica, timeout=timeout - pause)
        closed = None if protocol is None else protocol.closed
        try:
            async with asyncio.timeout(timeout):
                if closed is None:
                    await _wait_end_of_connection(url)
                else:
                    # Otherwise asyncio logs the error of a reset connection.
                    closed.add_done_callback(lambda f: f.cancelled() or f.exception())
                    await asyncio.wait([closed])
        except TimeoutError:
            return False
        finally:
            if is_counted:
                self._connector.leave_place(address)
        return True

    def close_connections(self, replica: Replica) -> None:
        """Close the connections to a process that no longer runs at its address.

        They may stay open without ever being answered. A request that was just sent may
        run on the successor, so its connection is closed only if it stays silent.
        """
        now = time.monotonic()
        self.shares.forget_resets(make_address(URL(replica.url)))
        self._close_silent(replica, now - _SILENT_SECONDS)
        timer = asyncio.get_running_loop().call_later(
            _SILENT_SECONDS, lambda: self._close_silent(replica, now)
        )
        self._timers[replica.vm] = timer

    def _close_silent(self, replica: Replica, since: float) -> None:
        timer = self._timers.pop(replica.vm, None)
        if timer is not None:
            timer.cancel()
        count = self._connector.close_silent(URL(replica.url), since=since)
        _LOG.info(
            "connections to a replaced replica closed",
            extra={"replica": replica.name, "count": count},
        )

    def _get_max_idle(self, replica: Replica, dispatch: Dispatch, now: float) -> float:
        if dispatch.is_repeatable:
            return KEEPALIVE_SECONDS
        if self._early_close_until.get(replica.name, 0.0) > now:
            return _MAX_IDLE_EARLY_CLOSE_SECONDS
        return _MAX_IDLE_SECONDS

    async def close(self) -> None:
        """Close all connections."""
        for timer in self._timers.values():
            timer.cancel()
        await self._session.close()


async def _wait_end_of_connection(url: URL) -> None:
    """Open a connection and return when the other side has ended it."""
    try:
        async with asyncio.timeout(_CONNECT_TIMEOUT):
            reader, writer = await asyncio.open_connection(url.host, url.port)
    except (OSError, TimeoutError):
        return
    try:
        configure_socket(
            writer.get_extra_info("socket"), user_timeout=REPLICA_USER_TIMEOUT_MS
        )
        while await reader.read(_READ_BYTES):
            pass
    except OSError:
        return
    finally:
        writer.close()


def _open_session() -> aiohttp.ClientSession:
    return open_session(
        connector=make_connector(
            keepalive=KEEPALIVE_SECONDS,
            kind=LifoConnector,
            user_timeout=REPLICA_USER_TIMEOUT_MS,
        ),
        response_class=MatchingResponse,
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding", "Content-Type"),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT),
    )


def _make_headers(
    request: ForwardRequest, replica: Replica, dispatch: Dispatch
) -> CIMultiDict[str]:
    headers = CIMultiDict(request.headers)
    headers[names.TIME_REMAINING] = str(max(1, int(dispatch.remaining * 1000)))
    headers[names.TARGET_INSTANCE] = replica.name
    if dispatch.team is not None:
        headers[names.TENANT] = dispatch.team
    if dispatch.priority is not None:
        headers[names.REQUEST_PRIORITY] = str(dispatch.priority)
    if dispatch.last_event_id is not None:
        headers[names.LAST_EVENT_ID] = dispatch.last_event_id
    return headers
