"""JSON responses and errors of the administration API."""

import logging
import math
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec
from aiohttp import web

from fireflyspread.exceptions import FireflyError, Outcome, RequestError

__all__ = ["ErrorBody", "handle_errors", "make_response", "read_json"]

_LOG = logging.getLogger(__name__)

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

T = TypeVar("T")


class ErrorBody(msgspec.Struct, frozen=True, kw_only=True):
    """Body of every error response.

    Attributes
    ----------
    outcome : str
        ``not_run``, ``ran`` or ``may_have_run``.
    retry_after : float or None
        Seconds after which to retry; None when a retry cannot help.
    """

    code: str
    message: str
    outcome: str = Outcome.NOT_RUN.value
    retry_after: float | None = None


def make_response(data: Any, *, status: int = 200) -> web.Response:
    """Return ``data`` as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(data, enc_hook=str),
        status=status,
        content_type="application/json",
    )


async def read_json(request: web.Request, type_: type[T]) -> T:
    """Return the body of ``request`` as a ``type_``.

    Raises
    ------
    RequestError
        The body is not JSON of this type; the message names the invalid field.
    """
    try:
        return msgspec.json.decode(await request.read(), type=type_)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RequestError(f"invalid request body: {exc}; correct it") from exc


@web.middleware
async def handle_errors(request: web.Request, handler: Handler) -> web.StreamResponse:
    """Turn errors into JSON responses that say whether the request ran."""
    try:
        return await handler(request)
    except FireflyError as exc:
        return _make_error_response(
            exc.status,
            ErrorBody(
                code=exc.code,
                message=exc.message,
                outcome=exc.outcome.value,
                retry_after=exc.retry_after,
            ),
        )
    except web.HTTPException as exc:
        return _make_error_response(exc.status, _describe_http_error(request, exc))
    except Exception:
        _LOG.exception("%s %s failed", request.method, request.path)
        message = "unexpected error; the log of this node has the cause"
        outcome = Outcome.MAY_HAVE_RUN.value
        return _make_error_response(
            500, ErrorBody(code="internal", message=message, outcome=outcome)
        )


def _make_error_response(status: int, body: ErrorBody) -> web.Response:
    response = make_response(body, status=status)
    if body.retry_after is not None:
        response.headers["Retry-After"] = str(math.ceil(body.retry_after))
    return response


def _describe_http_error(request: web.Request, exc: web.HTTPException) -> ErrorBody:
    if exc.status == 413:
        return ErrorBody(
            code="payload_too_large",
            message=f"the body exceeds {request.client_max_size} bytes; send less or "
            "raise limits.body_bytes",
        )
    if exc.status in (404, 405):
        return ErrorBody(
            code="not_found",
            message=f"{request.method} {request.path} does not exist; see "
            "docs/operators.md",
        )
    return ErrorBody(code="request_invalid", message=f"{exc.reason}; correct it")
