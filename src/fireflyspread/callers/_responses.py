"""Answers and errors as callers receive them."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web

from fireflyspread.exceptions import FireflyError, Outcome
from fireflyspread.nodes import OUTCOME_HEADER

__all__ = ["EventWriter", "handle_errors", "make_error_body", "make_json_response"]

_LOGGER = logging.getLogger(__name__)

_NEVER_PAUSED_BYTES = 16 * 1024

_STARTED = web.RequestKey("started", bool)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_json_response(data: Any, *, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(data), status=status, content_type="application/json"
    )


def make_error_body(error: FireflyError) -> dict[str, Any]:
    """Return the JSON form of an error.

    ``outcome`` tells whether the request ran: ``not_run``, ``ran`` or
    ``may_have_run``; ``retry_after`` is in seconds or null.
    """
    return {
        "error": {
            "code": error.code,
            "message": error.message,
            "outcome": error.outcome.value,
            "retry_after": error.retry_after,
        }
    }


def _make_error_response(error: FireflyError) -> web.Response:
    response = make_json_response(make_error_body(error), status=error.status)
    response.headers[OUTCOME_HEADER] = error.outcome.value
    if error.retry_after is not None:
        response.headers["Retry-After"] = str(max(1, math.ceil(error.retry_after)))
    return response


@web.middleware
async def handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn errors into JSON responses."""
    try:
        return await handler(request)
    except FireflyError as exc:
        if _STARTED in request:
            # A second response would become part of the first one's body; without its
            # end the first one is known to be incomplete.
            _abort(request)
            raise ConnectionResetError(exc.message) from exc
        return _make_error_response(exc)
    except (web.HTTPException, asyncio.CancelledError, ConnectionError):
        raise
    except Exception:
        _LOGGER.exception("request to %s failed", request.path)
        return _make_error_response(
            FireflyError(
                "internal error; the operator finds the cause in the log",
                outcome=Outcome.MAY_HAVE_RUN,
            )
        )


class EventWriter:
    """Server-sent events to one caller, which may stop reading or leave.

    The request goes on when the caller has left, so that the caller can come back for
    the rest of the answer.

    Parameters
    ----------
    timeout : float
        Seconds after which a caller that does not read is given up.
    """

    def __init__(self, request: web.Request, *, timeout: float) -> None:
        self._request = request
        self._timeout = timeout
        self._response: web.StreamResponse | None = None
        self._is_gone = False

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once a first event was written."""
        return self._response

    async def write(self, events: bytes) -> None:
        """Send events unless the caller has left."""
        if self._is_gone:
            return
        try:
            if self._response is None:
                await self._prepare()
            assert self._response is not None
            if self._may_wait(len(events)):
                await asyncio.wait_for(self._response.write(events), self._timeout)
            else:
                await self._response.write(events)
        except (ConnectionError, TimeoutError):
            self._leave()

    async def fail(self, error: FireflyError) -> web.StreamResponse:
        """End the stream with an error event; raises it if nothing was sent yet."""
        if self._response is None:
            raise error
        body = msgspec.json.encode(make_error_body(error))
        await self.write(b"event: error\ndata: " + body + b"\n\n")
        return await self.finish()

    async def finish(self) -> web.StreamResponse:
        """End the stream and return the response."""
        if self._response is None and not self._is_gone:
            await self.write(b"")
        if not self._is_gone and self._response is not None:
            try:
                await asyncio.wait_for(self._response.write_eof(), self._timeout)
            except (ConnectionError, TimeoutError):
                self._leave()
        return self._response or web.Response()

    async def _prepare(self) -> None:
        self._response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
            }
        )
        self._request[_STARTED] = True
        await self._response.prepare(self._request)

    def _may_wait(self, size: int) -> bool:
        """Return whether writing ``size`` bytes can wait for the caller to read.

        A transport pauses above 64 KiB and resumes below 16 KiB, so a write that stays
        below the latter never waits and needs no timer.
        """
        transport = self._request.transport
        if transport is None:
            return False
        return transport.get_write_buffer_size() + size >= _NEVER_PAUSED_BYTES

    def _leave(self) -> None:
        self._is_gone = True
        _abort(self._request)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
