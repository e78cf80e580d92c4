"""Relays caller requests to the node that owns their program."""

import asyncio
import contextlib
import logging
import socket
import ssl
from collections.abc import AsyncIterator, Mapping
from typing import Any

import aiohttp
from aiohttp import hdrs, web
from attrs import frozen
from multidict import CIMultiDict
from yarl import URL

from fireflyspread._http_client import ClientConnector, open_session
from fireflyspread.clock import Clock
from fireflyspread.exceptions import Outcome, PeerError
from fireflyspread.nodes._signature import HOPS_HEADER, Identity, RequestSigner
from fireflyspread.recovery import Member
from fireflyspread.settings import Settings, Tls

__all__ = ["OUTCOME_HEADER", "Relay", "RelayAnswer", "make_ssl_context"]

# Set on errors of the node itself, never on the answers of targets.
OUTCOME_HEADER = "X-Outcome"

_LOG = logging.getLogger(__name__)

# A request is relayed at most twice if the members documents of the nodes differ by
# one epoch.
_MAX_HOPS = 2

# Seconds. The round trip is about 1 ms; allows for a SYN that is lost twice.
_CONNECT_TIMEOUT = 3.5

# Seconds without an acknowledgement after which a connection counts as broken, so
# that a request does not wait for a VM that was lost.
_ACK_TIMEOUT = 5

_HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# The connection to the owner sets its own; the caller's key is not passed on.
_NOT_RELAYED = _HOP_BY_HOP | {"authorization", "host", "content-length", "expect"}

_SAFE_METHODS = frozenset({hdrs.METH_GET, hdrs.METH_HEAD})


@frozen(kw_only=True)
class RelayAnswer:
    """Complete answer of another node.

    Attributes
    ----------
    is_error : bool
        Whether the answer is an error of the node itself and not of a target.
    """

    status: int
    content_type: str
    body: bytes
    is_error: bool


class Relay:
    """Forwards caller requests to the owner's internal address.

    Must be built inside a running event loop.

    Parameters
    ----------
    signer : RequestSigner
        Signs the relayed requests.
    tls : Tls or None
        Uses HTTPS between nodes.
    write_timeout : float
        Seconds after which a caller that does not read is disconnected.
    """

    def __init__(
        self,
        signer: RequestSigner,
        *,
        tls: Tls | None = None,
        write_timeout: float = 30.0,
    ) -> None:
        self._signer = signer
        self._scheme = "http" if tls is None else "https"
        self._write_timeout = write_timeout
        self._in_flight: dict[str, set[asyncio.Timeout]] = {}
        self._session = open_session(
            connector=ClientConnector(
                limit=0,
                ssl=True if tls is None else make_ssl_context(tls, server=False),
                configure=_configure_socket,
            ),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT),
            auto_decompress=False,
            skip_auto_headers=("Accept", "Accept-Encoding", "Content-Type"),
        )

    @classmethod
    def from_config(cls, settings: Settings, clock: Clock) -> "Relay":
        """Build the relay of the node that ``settings`` describe."""
        signer = RequestSigner(
            settings.node_secret, node=settings.node.name, clock=clock
        )
        write_timeout = settings.timing.write_timeout
        return cls(signer, tls=settings.tls, write_timeout=write_timeout)

    async def forward(
        self, request: web.Request, body: bytes, member: Member, identity: Identity
    ) -> web.StreamResponse:
        """Forward ``request`` to ``member`` and stream its answer to the caller.

        If the connection to ``member`` breaks after the answer has begun, the
        connection to the caller is closed, so that a partial answer never looks
        complete.

        Raises
        ------
        PeerError
            No answer began. The outcome is ``may_have_run`` if the request was sent,
            whatever its method.
        """
        hops = _count_hops(request) + 1
        if hops > _MAX_HOPS:
            raise PeerError(
                f"the request was relayed {_MAX_HOPS} times without reaching the "
                "owner of its program; repeat it when the nodes agree on the owner"
            )
        response: web.StreamResponse | None = None
        try:
            async with self._track(member):
                answer = await self._send(request, body, member, identity, hops)
                async with answer:
                    response = _make_response(answer)
                    await self._stream(request, answer, response)
        except TimeoutError as exc:
            # ``abort_requests`` was called for the member.
            if response is None or not response.prepared:
                raise _make_broken_error(request, member) from exc
            _close_connection(request)
        except BaseException:
            # This node ended the request, for example because its key was withdrawn.
            # The caller must not wait for the rest of the answer.
            if response is not None and response.prepared:
                _abort_connection(request)
            raise
        return response

    async def call(
        self,
        member: Member,
        path: str,
        *,
        headers: Mapping[str, str],
        body: bytes,
        identity: Identity,
        timeout: float,
    ) -> "RelayAnswer":
        """Send a request of this node itself to ``member`` and return the answer.

        Parameters
        ----------
        timeout : float
            Seconds until the answer is complete.

        Raises
        ------
        PeerError
            No complete answer; the outcome says whether the request may have run.
        """
        signed = self._signer.sign("POST", path, headers, body, identity, hops=1)
        url = URL(f"{self._scheme}://{member.internal}{path}", encoded=True)
        try:
            async with self._session.post(
                url,
                headers={**headers, **signed},
                data=body,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout, sock_connect=_CONNECT_TIMEOUT
                ),
            ) as answer:
                return RelayAnswer(
                    status=answer.status,
                    content_type=answer.headers.get(hdrs.CONTENT_TYPE, ""),
                    body=await answer.read(),
                    is_error=OUTCOME_HEADER in answer.headers,
                )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise PeerError(
                f"no connection to node {member.name}: {exc}; repeat the request"
            ) from exc
        except (aiohttp.ClientError, TimeoutError) as exc:
            raise PeerError(
                f"node {member.name} did not answer; repeat the request with the "
                "same idempotency key",
                outcome=Outcome.MAY_HAVE_RUN,
            ) from exc

    def abort_requests(self, member: Member) -> None:
        """Abort the requests in flight to a member that has been removed.

        A paused process keeps its connections open, so the callers would wait forever
        although another node owns their programs now.
        """
        now = asyncio.get_running_loop().time()
        for scope in self._in_flight.get(member.incarnation, ()):
            if not scope.expired():
                scope.reschedule(now)

    async def close(self) -> None:
        """Close all connections."""
        await self._session.close()

    @contextlib.asynccontextmanager
    async def _track(self, member: Member) -> AsyncIterator[None]:
        scope = asyncio.timeout(None)
        scopes = self._in_flight.setdefault(member.incarnation, set())
        scopes.add(scope)
        try:
            async with scope:
                yield
        finally:
            scopes.discard(scope)
            if not scopes:
                self._in_flight.pop(member.incarnation, None)

    async def _send(
        self,
        request: web.Request,
        body: bytes,
        member: Member,
        identity: Identity,
        hops: int,
    ) -> aiohttp.ClientResponse:
        path = request.rel_url.raw_path_qs
        headers = _select_headers(request.headers, _NOT_RELAYED)
        headers.update(
            self._signer.sign(request.method, path, headers, body, identity, hops=hops)
        )
        url = URL(f"{self._scheme}://{member.internal}{path}", encoded=True)
        try:
            return await self._session.request(
                request.method,
                url,
                headers=headers,
                data=body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise PeerError(
                f"no connection to node {member.name} at {member.internal}: {exc}; "
                "repeat the request"
            ) from exc
        except aiohttp.ClientError as exc:
            raise _make_broken_error(request, member) from exc

    async def _stream(
        self,
        request: web.Request,
        answer: aiohttp.ClientResponse,
        response: web.StreamResponse,
    ) -> None:
        await response.prepare(request)
        while True:
            try:
                # Combines the chunks that have arrived into one write.
                chunk = await answer.content.readany()
            except aiohttp.ClientError as exc:
                _LOG.warning(
                    "connection to %s broke during its answer: %s", answer.url.host, exc
                )
                _close_connection(request)
                return
            if not chunk:
                return
            try:
                async with asyncio.timeout(self._write_timeout) as scope:
                    await response.write(chunk)
            except ConnectionResetError:
                # The caller has disconnected; the owner completes the request.
                return
            except TimeoutError:
                if not scope.expired():
                    raise
                _abort_connection(request)
                return


def make_ssl_context(tls: Tls, *, server: bool) -> ssl.SSLContext:
    """Return a context that requires a certificate of the authority from both sides.

    Raises
    ------
    PeerError
        A file of ``tls`` cannot be read or is invalid.
    """
    purpose = ssl.Purpose.CLIENT_AUTH if server else ssl.Purpose.SERVER_AUTH
    try:
        context = ssl.create_default_context(purpose, cafile=tls.authority)
        context.load_cert_chain(tls.certificate, tls.private_key)
    except (OSError, ssl.SSLError) as exc:
        raise PeerError(f"cannot load the files of tls: {exc}") from exc
    context.verify_mode = ssl.CERT_REQUIRED
    return context


def _configure_socket(sock: Any) -> None:
    # One keep-alive probe per second, so their number equals the timeout in seconds.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _ACK_TIMEOUT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _ACK_TIMEOUT * 1000)


def _count_hops(request: web.Request) -> int:
    # A caller may send any value; one that is not a number counts as no hop.
    text = request.headers.get(HOPS_HEADER, "")
    return int(text) if text.isascii() and text.isdigit() else 0


def _select_headers(
    headers: Mapping[str, str], dropped: frozenset[str]
) -> CIMultiDict[str]:
    named = headers.get(hdrs.CONNECTION, "").lower().split(",")
    dropped = dropped.union(name.strip() for name in named)
    return CIMultiDict(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped and not name.lower().startswith("x-firefly-")
    )


def _make_response(answer: aiohttp.ClientResponse) -> web.StreamResponse:
    headers = _select_headers(answer.headers, _HOP_BY_HOP)
    return web.StreamResponse(
        status=answer.status, reason=answer.reason, headers=headers
    )


def _make_broken_error(request: web.Request, member: Member) -> PeerError:
    is_safe = request.method in _SAFE_METHODS
    remedy = "repeat the request" if is_safe else "look up its outcome before repeating"
    return PeerError(
        f"the connection to node {member.name} broke before the answer; {remedy}",
        outcome=Outcome.MAY_HAVE_RUN,
    )


def _close_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.close()


def _abort_connection(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
