"""Helpers of HTTP clients, shared by the packages for engines and services."""

import asyncio
import functools
import math
import ssl
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any
from urllib.parse import quote

import aiohttp
import msgspec
from aiohttp.client_proto import ResponseHandler
from yarl import URL

from fireflyspread._http_protocol import LimitedProtocol, ResetAwareProtocol
from fireflyspread.exceptions import (
    Outcome,
    ReplicaCrashedError,
    StaleFenceError,
    TargetError,
    TargetUnreachableError,
)

__all__ = [
    "LIMIT_HEADER",
    "AnswerCallback",
    "ClientConnector",
    "SocketConfigurator",
    "accepts_connection",
    "check_status",
    "join_url",
    "open_client_session",
    "open_session",
    "read_limit",
    "read_retry_after",
    "translate_errors",
]

# Common servers close idle connections after 5 s. A request sent on a connection
# that the server is closing looks like a crash, so the client closes it first.
_KEEPALIVE_SECONDS = 4.0
# Bytes of a body that a connection buffers before it stops reading; up to twice as many
# are kept.
_READ_BUFFER_BYTES = 1 << 16
# Requests a second that a target takes from all nodes together.
LIMIT_HEADER = "X-Rate-Limit"
_MAX_ERROR_BODY_BYTES = 64 * 1024
# Seconds. A VM whose process has crashed refuses connections at once; a VM that is
# down does not answer.
_PROBE_TIMEOUT = 0.3


SocketConfigurator = Callable[[Any], None]
# Called with an answer and the seconds since its request was sent.
AnswerCallback = Callable[[aiohttp.ClientResponse, float], None]


class ClientConnector(aiohttp.TCPConnector):
    """Connector of all sessions.

    The event loop opens the sockets. aiohttp opens them itself and hands them over to a
    transport; if that is cancelled, both close the same descriptor, the second time
    after another connection has got its number. uvloop then aborts the process.

    Parameters
    ----------
    configure : callable or None
        Sets the options of the socket of a new connection.

    Attributes
    ----------
    protocol_class : type
        Class of the protocol of each connection.
    """

    protocol_class: type[ResetAwareProtocol] = LimitedProtocol

    def __init__(
        self, *, configure: SocketConfigurator | None = None, **options: Any
    ) -> None:
        super().__init__(**options)
        self._configure = configure
        make_protocol: Any = functools.partial(self.protocol_class, loop=self._loop)
        self._factory = make_protocol

    async def _wrap_create_connection(
        self,
        *args: Any,
        addr_infos: list[aiohttp.AddrInfoType],
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **options: Any,
    ) -> tuple[asyncio.Transport, ResponseHandler]:
        # The caller removes the first address and tries again with the others.
        family, _, protocol, _, (host, port, *_) = addr_infos[0]
        (make_protocol,) = args
        if options.get("ssl"):
            options["ssl_shutdown_timeout"] = self._ssl_shutdown_timeout or None
        try:
            async with asyncio.timeout(timeout.sock_connect or None):
                transport, handler = await self._loop.create_connection(
                    make_protocol, host, port, family=family, proto=protocol, **options
                )
            if self._configure is not None:
                self._configure(transport.get_extra_info("socket"))
        except ssl.CertificateError as exc:
            raise aiohttp.ClientConnectorCertificateError(
                req.connection_key, exc
            ) from exc
        except ssl.SSLError as exc:
            raise aiohttp.ClientConnectorSSLError(req.connection_key, exc) from exc
        except TimeoutError:
            raise
        except OSError as exc:
            raise client_error(req.connection_key, exc) from exc
        return transport, handler


def open_session(**options: Any) -> aiohttp.ClientSession:
    """Return an HTTP session that sends each request once, and stores no cookies.

    By default aiohttp sends a request again, on a new connection, if the connection is
    lost and the method is idempotent by RFC 9110. The route and not the method says
    whether a request may run twice, and the failure of the second send would hide that
    the first one may have run.

    Parameters
    ----------
    **options
        Arguments of ``aiohttp.ClientSession``.
    """
    options.setdefault("cookie_jar", aiohttp.DummyCookieJar())
    options.setdefault("read_bufsize", _READ_BUFFER_BYTES)
    session = aiohttp.ClientSession(**options)
    session._retry_connection = False
    return session


def open_client_session(*, connect_timeout: float = 1.0) -> aiohttp.ClientSession:
    """Return the session that all clients of one process share.

    It has no connection limit, stores no cookies (they would mix teams) and ignores
    proxies set in the environment. Needs a running event loop.

    Parameters
    ----------
    connect_timeout : float
        Seconds to establish a TCP connection.
    """
    return open_session(
        connector=ClientConnector(
            limit=0, limit_per_host=0, keepalive_timeout=_KEEPALIVE_SECONDS
        ),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout),
        headers={"User-Agent": "fireflyspread"},
    )


async def accepts_connection(url: str) -> bool:
    """Return whether a TCP connection to the host of ``url`` can be made."""
    address = URL(url)
    try:
        async with asyncio.timeout(_PROBE_TIMEOUT):
            _, writer = await asyncio.open_connection(address.host, address.port)
    except (OSError, TimeoutError):
        return False
    writer.close()
    return True


def join_url(base: str, *parts: str) -> URL:
    """Return ``base`` with each of ``parts`` quoted as one path segment."""
    path = "".join("/" + quote(part, safe="") for part in parts)
    return URL(base + path, encoded=True)


def read_retry_after(response: aiohttp.ClientResponse) -> float | None:
    """Return the seconds of a ``Retry-After`` header; None without a valid one."""
    try:
        return max(0.0, float(response.headers["Retry-After"]))
    except (KeyError, ValueError):
        return None


def read_limit(response: aiohttp.ClientResponse, header: str) -> float | None:
    """Return the requests per second that an answer names; None without a number."""
    try:
        rate = float(response.headers.get(header, ""))
    except ValueError:
        return None
    return rate if math.isfinite(rate) and rate >= 0.0 else None


@contextmanager
def translate_errors(replica: str) -> Iterator[None]:
    """Translate exceptions of the HTTP client into those of this package.

    Raises
    ------
    TargetUnreachableError
        No connection was established, so nothing was dispatched.
    ReplicaCrashedError
        The connection was closed before the answer was complete.
    TargetError
        The request timed out or failed otherwise, e.g. on an invalid response.
    """
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise TargetUnreachableError(
            f"no connection to replica {replica}; try another replica"
        ) from exc
    except TimeoutError as exc:
        raise TargetError(
            f"replica {replica} did not answer in time; allow more time or retry"
        ) from exc
    except (
        aiohttp.ServerDisconnectedError,
        aiohttp.ClientPayloadError,
        OSError,
    ) as exc:
        raise ReplicaCrashedError(
            f"replica {replica} closed the connection during a request; "
            "try another replica"
        ) from exc
    except aiohttp.ClientError as exc:
        raise TargetError(
            f"the HTTP request to replica {replica} failed: {exc}"
        ) from exc


async def check_status(response: aiohttp.ClientResponse, replica: str) -> None:
    """Raise an error for a status of 400 or above.

    Raises
    ------
    StaleFenceError
        The replica refused the fencing number.
    TargetError
        Any other status; the outcome is ``not_run`` for a 503 with ``X-Not-Run: true``.
    """
    if response.status < 400:
        return
    body = await response.content.read(_MAX_ERROR_BODY_BYTES)
    if response.status == 409 and read_code(body) == StaleFenceError.code:
        raise StaleFenceError(
            f"replica {replica} has seen a newer bundle; retry under the newest one"
        )
    raise_if_not_run(response, replica)
    raise TargetError(
        f"replica {replica} answered with status {response.status}; retry later",
        retry_after=read_retry_after(response),
    )


def raise_if_not_run(response: aiohttp.ClientResponse, replica: str) -> None:
    """Raise ``TargetError`` with ``not_run`` for a 503 with ``X-Not-Run: true``."""
    if response.status == 503 and response.headers.get("X-Not-Run") == "true":
        raise TargetError(
            f"replica {replica} refused the request without running it; retry later",
            retry_after=read_retry_after(response),
            outcome=Outcome.NOT_RUN,
        )


def read_code(body: bytes) -> str | None:
    """Return the error code of a JSON body, at the top level or under ``error``."""
    try:
        data = msgspec.json.decode(body, type=_CodeBody)
    except (msgspec.DecodeError, RecursionError):
        return None
    if isinstance(data.error, dict) and data.code is None:
        return str(data.error.get("code"))
    return data.code


class _CodeBody(msgspec.Struct):
    code: str | None = None
    error: object = None
