"""Sends requests to replicas through other gateway nodes."""

import math
from collections.abc import Sequence

import aiohttp
import msgspec

from fireflyspread._http_client import open_session
from fireflyspread._http_heads import is_valid_field, is_valid_status
from fireflyspread._http_reply import HttpReply
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
    Dispatch,
    ForwardRequest,
    Framing,
    RelayNode,
    RelayNodes,
    Reply,
)
from fireflyspread.gateway._relay_messages import (
    CONNECT_PATH,
    FAILURE_HEADER,
    HEAD_HEADER,
    MAX_HEAD_BYTES,
    SEND_PATH,
    Failure,
    ReplyHead,
    SendRequest,
    copy_headers,
    decode_header,
    make_replica_info,
)
from fireflyspread.recovery import NodeAddress, Roster
from fireflyspread.routing import LoadReport

__all__ = ["HttpRelayNodes"]

# Seconds to connect, and for the answer whether a replica accepts connections.
_CONNECT_TIMEOUT = 0.3
_PROBE_TIMEOUT = 0.5


class _RelayedReply(HttpReply):
    """Reply of a replica that another node passes on."""

    def __init__(
        self,
        response: aiohttp.ClientResponse,
        head: ReplyHead,
        *,
        node: str,
        now: float,
    ) -> None:
        super().__init__(response, f"a replica through node {node}")
        self.status = head.status
        self.headers = head.headers
        self.is_refusal = head.is_refusal
        self.is_wrong_instance = head.is_wrong_instance
        self.rate_limit = head.rate_limit
        self.framing = Framing(head.framing)
        self.is_leaving = head.is_leaving
        self.load = _read_load(head, now)


def _read_load(head: ReplyHead, now: float) -> LoadReport | None:
    if head.load is None:
        return None
    running, waiting = head.load
    slowdown = head.slowdown
    has_slowdown = slowdown is not None and 0 < slowdown < math.inf
    return LoadReport(
        running=running,
        waiting=waiting,
        cache_used=0,
        cache_capacity=0,
        received_at=now,
        slowdown=slowdown if has_slowdown and slowdown is not None else 1.0,
        has_slowdown=has_slowdown,
    )


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
        message = SendRequest(
            id=request.id,
            method=request.method,
            host=request.host,
            request_target=request.request_target,
            headers=copy_headers(request.headers),
            body=request.body,
            replica=make_replica_info(replica),
            remaining=dispatch.remaining,
            priority=dispatch.priority,
            team=dispatch.team,
            last_event_id=dispatch.last_event_id,
            is_repeatable=dispatch.is_repeatable,
        )
        response = await self._post(SEND_PATH, message)
        head = response.headers.get(HEAD_HEADER)
        if head is None:
            response.release()
            raise self._read_failure(response)
        reply_head = decode_header(head, ReplyHead)
        if not _is_valid_head(reply_head):
            response.close()
            raise ReplicaCrashedError(
                f"node {self.name} relayed an answer with a malformed head; "
                "retry if repeatable"
            )
        return _RelayedReply(
            response,
            reply_head,
            node=self.name,
            now=self._clock.read_monotonic(),
        )

    async def accepts_connection(self, replica: Replica) -> bool:
        response = await self._post(
            CONNECT_PATH, make_replica_info(replica), timeout=_PROBE_TIMEOUT
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
            if path != SEND_PATH:
                raise PeerError(f"node {self.name} did not answer") from exc
            raise ReplicaCrashedError(
                f"no response through node {self.name}: {exc}; retry if repeatable"
            ) from exc

    def _read_failure(self, response: aiohttp.ClientResponse) -> FireflyError:
        encoded = response.headers.get(FAILURE_HEADER, "")
        try:
            failure = decode_header(encoded, Failure)
        except ValueError:
            return TargetError(
                f"node {self.name} answered {response.status}; retry if repeatable"
            )
        for kind in (TargetUnreachableError, ReplicaCrashedError, PeerError):
            if failure.code == kind.code:
                return kind(failure.message)
        return TargetError(failure.message, outcome=Outcome(failure.outcome))


def _is_valid_head(head: ReplyHead) -> bool:
    """Return whether the head can be passed on; earlier builds do not check it."""
    return is_valid_status(head.status) and all(
        is_valid_field(name, value) for name, value in head.headers
    )


class HttpRelayNodes(RelayNodes):
    """The members of the cluster that have a relay address."""

    def __init__(
        self, roster: Roster, connector: aiohttp.BaseConnector, clock: Clock
    ) -> None:
        self._roster = roster
        self._clock = clock
        self._session = open_session(
            connector=connector,
            auto_decompress=False,
            max_field_size=MAX_HEAD_BYTES,
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
