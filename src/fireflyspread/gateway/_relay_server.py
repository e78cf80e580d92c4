"""Relays requests of other gateway nodes to replicas."""

import logging
from collections.abc import Callable

import msgspec
from aiohttp import web

from fireflyspread._caller_memory import CallerMemory
from fireflyspread._decoding import decode_msgpack
from fireflyspread._http_server import CallerServer, read_body
from fireflyspread._stop_deadline import StopDeadline
from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    FireflyError,
    Outcome,
    PeerError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.forwarding import Backend, Dispatch, ForwardRequest, Reply
from fireflyspread.gateway._relay_messages import (
    CONNECT_PATH,
    FAILURE_HEADER,
    HEAD_HEADER,
    SEND_PATH,
    Failure,
    ReplicaInfo,
    ReplyHead,
    SendRequest,
    copy_headers,
    encode_header,
)
from fireflyspread.routing import ReplicaDirectory, Scheduler

__all__ = ["RelayServer"]

_LOG = logging.getLogger(__name__)

_MAX_REQUEST_BYTES = 16 << 20
_MAX_CONNECT_BYTES = 1 << 16
_MAX_BYTES = {CONNECT_PATH: _MAX_CONNECT_BYTES, SEND_PATH: _MAX_REQUEST_BYTES}
# Requests of other nodes that a node relays at the same time, so that its own callers
# are served.
_MAX_RELAYED_REQUESTS = 256
# The server keeps idle connections longer than its clients do.
_SERVER_KEEPALIVE_SECONDS = 60.0


class RelayServer:
    """Sends requests of other nodes to replicas, and never to a further node.

    Parameters
    ----------
    backend : Backend
        Client that connects to replicas directly.
    is_path_broken : callable
        Returns whether this node does not reach a replica.

    Attributes
    ----------
    running : int
        Requests that are relayed now.
    stop_deadline : StopDeadline
        When all of them must have ended, because the process stops.
    """

    def __init__(
        self,
        backend: Backend,
        *,
        directory: ReplicaDirectory,
        scheduler: Scheduler,
        clock: Clock,
        is_path_broken: Callable[[Replica], bool],
        memory: CallerMemory,
    ) -> None:
        self._backend = backend
        self._directory = directory
        self._scheduler = scheduler
        self._clock = clock
        self._is_path_broken = is_path_broken
        self.running = 0
        self.stop_deadline = StopDeadline(clock)
        refusal = PeerError("this node holds too much for callers; use another node")
        self.server = CallerServer(
            self._handle,
            memory=memory,
            refusal_headers={
                FAILURE_HEADER: encode_header(
                    Failure(refusal.code, refusal.message, refusal.outcome)
                )
            },
            handler_cancellation=True,
            keepalive_timeout=_SERVER_KEEPALIVE_SECONDS,
        )

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        max_bytes = _MAX_BYTES.get(request.path)
        if max_bytes is None:
            return web.Response(status=404)
        try:
            if request.path == CONNECT_PATH:
                return await self._connect(await read_body(request, max_bytes))
            message = decode_msgpack(await read_body(request, max_bytes), SendRequest)
            async with self.stop_deadline.limit():
                return await self._relay(request, message)
        except msgspec.DecodeError as exc:
            _LOG.warning("a message of another node cannot be decoded: %s", exc)
            return web.Response(status=400)
        except FireflyError as exc:
            failure = Failure(exc.code, exc.message, exc.outcome)
            return web.Response(
                status=exc.status, headers={FAILURE_HEADER: encode_header(failure)}
            )
        except TimeoutError:
            _LOG.info("a relayed request was cut off, because this node stops")
            # The other node cannot know whether the request has run.
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)

    async def _connect(self, data: bytes) -> web.Response:
        replica = self._find(decode_msgpack(data, ReplicaInfo))
        is_up = not self._is_path_broken(
            replica
        ) and await self._backend.accepts_connection(replica)
        return web.Response(status=200 if is_up else 503)

    def _find(self, info: ReplicaInfo) -> Replica:
        """Return the replica as this node knows it, or as the other node does."""
        found = self._directory.find_replica(info.name)
        if found is not None and found.zone == info.zone:
            return found
        # A replica that has moved to another zone may be outside the request's homes.
        return Replica(
            name=info.name,
            url=info.url,
            zone=info.zone,
            vm=info.vm,
            version=info.version,
        )

    async def _relay(
        self, request: web.BaseRequest, message: SendRequest
    ) -> web.StreamResponse:
        replica = self._find(message.replica)
        if self.stop_deadline.at < float("inf"):
            raise PeerError("this node stops; use another node")
        if self.running >= _MAX_RELAYED_REQUESTS:
            raise PeerError("this node relays too many requests; use another node")
        if self._is_path_broken(replica):
            raise TargetUnreachableError(
                f"this node does not reach replica {replica.name}; use another node"
            )
        if reason := self._directory.find_exclusion(replica):
            raise TargetError(
                f"replica {replica.name} {reason}; try another",
                outcome=Outcome.NOT_RUN,
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

    def _make_request(self, message: SendRequest) -> ForwardRequest:
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
            if reply.is_leaving:
                self._directory.mark_leaving(replica)
            self._scheduler.report_limit(replica, reply.rate_limit, sent_at=sent_at)


def _make_dispatch(message: SendRequest) -> Dispatch:
    return Dispatch(
        remaining=message.remaining,
        priority=message.priority,
        team=message.team,
        last_event_id=message.last_event_id,
        is_repeatable=message.is_repeatable,
    )


async def _pass_on(request: web.BaseRequest, reply: Reply) -> web.StreamResponse:
    load = reply.load
    head = ReplyHead(
        status=reply.status,
        headers=copy_headers(reply.headers),
        is_refusal=reply.is_refusal,
        is_wrong_instance=reply.is_wrong_instance,
        load=None if load is None else (load.running, load.waiting),
        rate_limit=reply.rate_limit,
        framing=reply.framing.value,
        is_leaving=reply.is_leaving,
        slowdown=load.slowdown if load is not None and load.has_slowdown else None,
    )
    response = web.StreamResponse(headers={HEAD_HEADER: encode_header(head)})
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
