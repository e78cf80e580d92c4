"""Responses, error bodies and event streams of the caller API."""

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

_LOG = logging.getLogger(__name__)

_LOW_WATERMARK_BYTES = 16 * 1024

_RESPONSE_STARTED = web.RequestKey("started", bool)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


def make_json_response(data: Any, *, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(data), status=status, content_type="application/json"
    )


def make_error_body(error: FireflyError) -> dict[str, Any]:
    """Return the JSON form of an error.

    ``outcome`` says whether the request ran: ``not_run``, ``ran`` or
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
        if _RESPONSE_STARTED in request:
            # A second response would become part of the first one's body. Aborting the
            # connection tells the caller that the first one is incomplete.
            _abort(request)
            raise ConnectionResetError(exc.message) from exc
        return _make_error_response(exc)
    except (web.HTTPException, asyncio.CancelledError, ConnectionError):
        raise
    except Exception:
        _LOG.exception("request to %s failed", request.path)
        return _make_error_response(
            FireflyError(
                "internal error; the operator finds the cause in the log",
                outcome=Outcome.MAY_HAVE_RUN,
            )
        )


class EventWriter:
    """Server-sent events to one caller, which may stop reading or disconnect.

    The request continues after the caller has disconnected, so that the caller can
    reconnect for the rest of the answer.

    Parameters
    ----------
    timeout : float
        Seconds after which a caller that does not read is disconnected.
    """

    def __init__(self, request: web.Request, *, timeout: float) -> None:
        self._request = request
        self._timeout = timeout
        self._response: web.StreamResponse | None = None
        self._is_disconnected = False

    @property
    def response(self) -> web.StreamResponse | None:
        """The response, once the first event has been written."""
        return self._response

    async def write(self, events: bytes) -> None:
        """Send events unless the caller has disconnected."""
        if self._is_disconnected:
            return
        try:
            if self._response is None:
                await self._prepare()
            assert self._response is not None
            if self._may_block(len(events)):
                await asyncio.wait_for(self._response.write(events), self._timeout)
            else:
                await self._response.write(events)
        except (ConnectionError, TimeoutError):
            self._disconnect()

    async def fail(self, error: FireflyError) -> web.StreamResponse:
        """End the stream with an error event; raises the error if nothing was sent."""
        if self._response is None:
            raise error
        body = msgspec.json.encode(make_error_body(error))
        await self.write(b"event: error\ndata: " + body + b"\n\n")
        return await self.finish()

    async def finish(self) -> web.StreamResponse:
        """End the stream and return the response."""
        if self._response is None and not self._is_disconnected:
            await self.write(b"")
        if not self._is_disconnected and self._response is not None:
            try:
                await asyncio.wait_for(self._response.write_eof(), self._timeout)
            except (ConnectionError, TimeoutError):
                self._disconnect()
        return self._response or web.Response()

    async def _prepare(self) -> None:
        self._response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "Cache-Control": "no-store",
            }
        )
        self._request[_RESPONSE_STARTED] = True
        await self._response.prepare(self._request)

    def _may_block(self, size: int) -> bool:
        """Return whether writing ``size`` bytes can block until the caller reads.

        A transport pauses writing above 64 KiB and resumes below 16 KiB, so a write
        that stays below 16 KiB never blocks and needs no timeout.
        """
        transport = self._request.transport
        if transport is None:
            return False
        return transport.get_write_buffer_size() + size >= _LOW_WATERMARK_BYTES

    def _disconnect(self) -> None:
        self._is_disconnected = True
        _abort(self._request)


def _abort(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
