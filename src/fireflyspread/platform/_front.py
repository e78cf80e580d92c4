"""HTTP handlers for callers and for the platform's readiness check."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Mapping, Sequence

import msgspec
from aiohttp import web
from multidict import CIMultiDict

from fireflyspread._caller_memory import CallerMemory
from fireflyspread._http_server import CallerServer, read_body
from fireflyspread.clock import Clock
from fireflyspread.exceptions import FireflyError, Outcome, QuarantinedError
from fireflyspread.forwarding import (
    CallerLimits,
    Forwarder,
    ForwardRequest,
    ProgramCall,
    Prompt,
    ResponseSink,
)
from fireflyspread.platform import _headers as names
from fireflyspread.platform._cookies import read_affinity_key
from fireflyspread.platform._headers import select_request_headers

__all__ = ["Frontend", "make_readiness_handler", "read_explained_request"]

_LOG = logging.getLogger(__name__)

_READINESS_PATH = "/v1/readiness"
_KEY_SCHEME = "Token "

# Seconds to read the body, in addition to the timeout of the headers.
_BODY_TIMEOUT = 30.0
# Statuses that tell a caller that its request has not run and will not run.
_NOT_RUN_STATUSES = frozenset({402, 408, 421, 429, 503})


class _WebSink(ResponseSink):
    """Writes a response to a caller's connection."""

    def __init__(self, request: web.BaseRequest, *, force_close: bool) -> None:
        self._request = request
        self._force_close = force_close
        self.response: web.StreamResponse | None = None

    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        response = web.StreamResponse(status=status, headers=CIMultiDict(headers))
        if "Content-Length" not in response.headers:
            response.enable_chunked_encoding()
        if self._force_close:
            response.force_close()
        self.response = response
        self.is_started = True
        await response.prepare(self._request)

    async def write(self, data: bytes) -> None:
        assert self.response is not None
        await self.response.write(data)

    async def finish(self) -> None:
        assert self.response is not None
        await self.response.write_eof()


class Frontend:
    """Decodes callers' requests for the forwarder and encodes its errors."""

    def __init__(
        self, forwarder: Forwarder, clock: Clock, memory: CallerMemory
    ) -> None:
        self._forwarder = forwarder
        self._clock = clock
        self.limits = CallerLimits()
        self.is_draining = False
        self.server = CallerServer(
            self._handle,
            memory=memory,
            max_header_bytes=self.limits.max_header_bytes,
            handler_cancellation=True,
            keepalive_timeout=self.limits.idle_timeout,
            tcp_keepalive=True,
        )

    def set_limits(self, limits: CallerLimits) -> None:
        """Apply new limits, also to open connections."""
        self.limits = limits
        self.server.max_header_bytes = limits.max_header_bytes
        self.server._kwargs["keepalive_timeout"] = limits.idle_timeout
        for connection in self.server.connections:
            connection._keepalive_timeout = limits.idle_timeout

    async def _handle(self, web_request: web.BaseRequest) -> web.StreamResponse:
        received_at = self._clock.read_monotonic()
        sink = _WebSink(web_request, force_close=self.is_draining)
        try:
            body = await self._read_body(web_request)
            request = _read_request(web_request, body, received_at)
            await self._forwarder.forward(request, sink)
        except FireflyError as exc:
            if sink.is_started:
                # Without an abort, a truncated response would look complete.
                _abort(web_request)
                assert sink.response is not None
                return sink.response
            return self._make_error(web_request, exc)
        except (ConnectionError, TimeoutError) as exc:
            _LOG.info("connection of a caller lost: %s", exc)
            _abort(web_request)
            return sink.response or web.Response(status=408)
        assert sink.response is not None
        return sink.response

    async def _read_body(self, request: web.BaseRequest) -> bytes:
        max_bytes = self.limits.max_body_bytes
        if request.content.is_eof():
            return await read_body(request, max_bytes)
        _check_before_body(self._forwarder, request)
        async with asyncio.timeout(self.limits.header_timeout + _BODY_TIMEOUT):
            return await read_body(request, max_bytes)

    def _make_error(self, request: web.BaseRequest, exc: FireflyError) -> web.Response:
        status = exc.status
        if isinstance(exc, QuarantinedError):
            # To callers of the platform 422 does not say that the request has not run.
            status = 503
        if status in _NOT_RUN_STATUSES and exc.outcome is not Outcome.NOT_RUN:
            status = 502
        headers = {}
        request_id = request.headers.get(names.REQUEST_ID)
        if request_id is not None:
            headers[names.REQUEST_ID] = request_id
        if exc.retry_after is not None and status in (429, 503):
            headers["Retry-After"] = f"{max(0.0, exc.retry_after):.3f}"
        body = msgspec.json.encode({"code": exc.code, "message": exc.message})
        response = web.Response(
            status=status, body=body, headers=headers, content_type="application/json"
        )
        if self.is_draining:
            response.force_close()
        return response


def _abort(request: web.BaseRequest) -> None:
    if request.transport is not None:
        request.transport.abort()


def _check_before_body(forwarder: Forwarder, request: web.BaseRequest) -> None:
    """Refuse a request without a route or key before its body is read."""
    forwarder.check(
        host=request.headers.get("Host", ""),
        path=request.raw_path.partition("?")[0],
        key=_read_key(request.headers),
    )


def _read_key(headers: Mapping[str, str]) -> str | None:
    authorization = headers.get("Authorization", "")
    if not authorization.startswith(_KEY_SCHEME):
        return None
    return authorization.removeprefix(_KEY_SCHEME)


def _read_request(
    request: web.BaseRequest, body: bytes, received_at: float
) -> ForwardRequest:
    headers = request.headers
    request_target = request.raw_path
    remaining = _read_number(headers.get(names.TIME_REMAINING))
    return ForwardRequest(
        id=headers.get(names.REQUEST_ID, ""),
        method=request.method,
        host=headers.get("Host", ""),
        path=request_target.partition("?")[0],
        request_target=request_target,
        headers=select_request_headers(headers, headers.items()),
        body=body,
        received_at=received_at,
        key=_read_key(headers),
        max_wait=None if remaining is None else remaining / 1000,
        program=_read_program(headers),
        prompt=_read_prompt(headers),
        last_event_id=headers.get(names.LAST_EVENT_ID),
        resumes=headers.get(names.RESUMES),
        previous_turn=headers.get(names.PREVIOUS_TURN),
        affinity_key=read_affinity_key(headers),
    )


def _read_program(headers: Mapping[str, str]) -> ProgramCall | None:
    program = headers.get(names.PROGRAM_ID)
    if program is None:
        return None
    remaining = _read_number(headers.get(names.PROGRAM_DEADLINE))
    budget = _read_number(headers.get(names.TOKEN_BUDGET))
    return ProgramCall(
        id=program,
        session_id=headers.get(names.SESSION_ID, ""),
        remaining=None if remaining is None else remaining / 1000,
        budget=None if budget is None else int(budget),
    )


def _read_prompt(headers: Mapping[str, str]) -> Prompt | None:
    count, _, max_output = headers.get(names.TOKEN_COUNT, "").partition(",")
    tokens, output = _read_number(count), _read_number(max_output)
    if tokens is None or output is None:
        return None
    parts = []
    for part in headers.get(names.PROMPT_PREFIX, "").split(","):
        name, _, size = part.strip().partition(":")
        number = _read_number(size)
        if name and number is not None:
            parts.append((name, int(number)))
    hint = _read_number(headers.get(names.LENGTH_HINT))
    return Prompt(
        model=headers.get(names.MODEL, ""),
        input_tokens=int(tokens),
        max_output_tokens=int(output),
        parts=tuple(parts),
        output_tokens_hint=None if hint is None else int(hint),
    )


def read_explained_request(
    request: web.BaseRequest, received_at: float
) -> ForwardRequest:
    """Return the request that a query of the command ``where`` describes.

    The query has the fields ``host`` and ``path`` and, if given, ``model_tokens``,
    ``prefix``, ``program`` and ``affinity`` in the form of the headers of callers; the
    key is in the header ``Authorization``.
    """
    query = request.query
    target = query.get("path", "/")
    fields = {
        names.TOKEN_COUNT: query.get("model_tokens", ""),
        names.PROMPT_PREFIX: query.get("prefix", ""),
    }
    program = query.get("program")
    return ForwardRequest(
        id="",
        method="GET",
        host=query.get("host", ""),
        path=target.partition("?")[0],
        request_target=target,
        headers=(),
        body=b"",
        received_at=received_at,
        key=_read_key(request.headers),
        program=ProgramCall(id=program) if program else None,
        prompt=_read_prompt(fields),
        affinity_key=query.get("affinity", ""),
    )


def _read_number(text: str | None) -> float | None:
    """Return the number in ``text``, or None if it is malformed or out of range."""
    try:
        number = float(text or "")
    except ValueError:
        return None
    return number if abs(number) < 1e15 else None


def make_readiness_handler(
    is_ready: Callable[[], bool],
) -> Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]:
    """Return the handler of the platform's readiness check."""

    async def handle(request: web.BaseRequest) -> web.Response:
        if request.path != _READINESS_PATH:
            return web.Response(status=404)
        return web.Response(status=200 if is_ready() else 503)

    return handle
