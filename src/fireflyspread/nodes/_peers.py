"""Requests and replies between nodes over pynng."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

import pynng

from fireflyspread.exceptions import (
    FireflyError,
    PeerError,
    SealedError,
    UnsupportedVersionError,
)
from fireflyspread.nodes._messages import (
    Failed,
    Message,
    decode_message,
    encode_message,
)
from fireflyspread.nodes._peer_connection import PeerConnection, close_context
from fireflyspread.settings import Address, Tls

__all__ = ["PeerClient", "PeerServer"]

_LOG = logging.getLogger(__name__)

# Bytes. A journal value (1 MB) and its envelope fit; no valid message is larger.
_MAX_MESSAGE_BYTES = 4 << 20

# By default the library sends a request again when its connection breaks and after a
# minute; here the caller decides whether to repeat it.
_NO_RESEND = -1

# Milliseconds to send an answer. A client whose connection has fallen silent reads
# none, and a handler must not wait for it.
_SEND_TIMEOUT_MS = 5_000

_MIN_RECONNECT_MS = 50
_MAX_RECONNECT_MS = 500

# Code of the answer to a message that an earlier release does not know.
_UNKNOWN_KIND = "message_unknown"

MessageT = TypeVar("MessageT", bound=Message)
Handler = Callable[[Any], Awaitable[Message]]


class PeerServer:
    """Answers the messages of other nodes.

    Parameters
    ----------
    address : Address
        Where to listen; port 0 takes any free port.
    node, incarnation : str
        Sender of the answers.
    max_concurrency : int
        Maximum number of messages that are handled at the same time.
    tls : Tls or None
        Encrypts the connections and requires from the other node a certificate
        issued by the configured authority.
    """

    def __init__(
        self,
        address: Address,
        *,
        node: str = "",
        incarnation: str = "",
        max_concurrency: int = 16,
        tls: Tls | None = None,
    ) -> None:
        self._address = address
        self._node = node
        self._incarnation = incarnation
        self._max_concurrency = max_concurrency
        self._tls = tls
        self._handlers: dict[type[Message], Handler] = {}
        self._socket: pynng.Rep0 | None = None
        self._contexts: list[pynng.Context] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._is_closing = False

    def register(
        self,
        kind: type[MessageT],
        handler: Callable[[MessageT], Awaitable[Message]],
    ) -> None:
        """Answer messages of ``kind`` with the result of ``handler``.

        A ``FireflyError`` raised by the handler is answered with ``Failed``, which
        carries the code and message of the error.
        """
        self._handlers[kind] = handler

    async def start(self) -> Address:
        """Listen and return the address with the actual port.

        Raises
        ------
        PeerError
            The server cannot listen on the address.
        """
        config = _make_tls_config(self._tls, pynng.TLSConfig.MODE_SERVER)
        try:
            self._socket = pynng.Rep0(
                recv_max_size=_MAX_MESSAGE_BYTES,
                send_timeout=_SEND_TIMEOUT_MS,
                tls_config=config,
                async_backend="asyncio",
            )
            listener = self._socket.listen(_make_url(str(self._address), self._tls))
        except pynng.NNGException as exc:
            await self.stop()
            raise PeerError(
                f"cannot listen for nodes on {self._address}: {exc}; free the port or "
                "change listen.peers"
            ) from exc
        self._add_contexts()
        # The port is in network byte order.
        port = int.from_bytes(listener.local_address.port.to_bytes(2, "little"), "big")
        return Address(host=self._address.host, port=port)

    def raise_concurrency(self, count: int) -> None:
        """Handle at least ``count`` messages at the same time from now on."""
        self._max_concurrency = max(self._max_concurrency, count)
        if self._socket is not None and not self._is_closing:
            self._add_contexts()

    def _add_contexts(self) -> None:
        assert self._socket is not None
        while len(self._contexts) < self._max_concurrency:
            context = self._socket.new_context()
            self._contexts.append(context)
            self._tasks.add(asyncio.create_task(self._serve(context)))

    async def stop(self) -> None:
        """Stop answering and close all connections."""
        self._is_closing = True
        pending = set(self._tasks)
        while pending:
            # pynng drops the cancellation of a receive that completes at the same
            # moment, so the task is cancelled until it ends.
            for task in pending:
                task.cancel()
            _, pending = await asyncio.wait(pending, timeout=1.0)
        self._tasks.clear()
        for context in self._contexts:
            close_context(context)
        self._contexts.clear()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    async def _serve(self, context: pynng.Context) -> None:
        try:
            while not self._is_closing:
                data = await context.arecv()
                answer = await self._answer(data)
                try:
                    await context.asend(encode_message(answer))
                except pynng.Closed:
                    raise
                except pynng.NNGException as exc:
                    _LOG.warning("cannot send an answer to another node: %s", exc)
        except pynng.Closed:
            return

    async def _answer(self, data: bytes) -> Message:
        try:
            message = decode_message(data)
            handler = self._handlers.get(type(message))
            if handler is None:
                name = type(message).__name__
                return self._fail(_UNKNOWN_KIND, f"this node has no handler for {name}")
            return await handler(message)
        except FireflyError as exc:
            return self._fail(exc.code, exc.message)
        except Exception as exc:
            _LOG.exception("the handler of a message from another node failed")
            return self._fail(FireflyError.code, f"{type(exc).__name__}: see the logs")

    def _fail(self, code: str, reason: str) -> Failed:
        return Failed(
            node=self._node, incarnation=self._incarnation, code=code, reason=reason
        )


class PeerClient:
    """Sends requests to other nodes over one connection for each address.

    Parameters
    ----------
    tls : Tls or None
        Encrypts the connections and presents the certificate.
    fail_fast : bool
        Whether a request to a node without a connection fails at once instead of
        waiting for the connection until its timeout.
    """

    def __init__(self, *, tls: Tls | None = None, fail_fast: bool = False) -> None:
        self._tls = tls
        self._fail_fast = fail_fast
        self._connections: dict[str, PeerConnection] = {}
        self._replaced = 0

    async def ask(self, address: str, message: Message, *, timeout: float) -> Message:
        """Send ``message`` to the node at ``address`` and return its answer.

        A lost connection is reestablished in the background, and one that has fallen
        silent is replaced. The message is never sent twice; the other node may have
        handled it even if this method raises.

        Parameters
        ----------
        address : str
            ``ip:port`` of the other node.
        timeout : float
            Seconds for connecting, sending and receiving in total.

        Raises
        ------
        UnsupportedVersionError
            One of the two nodes does not support the message version of the other.
        SealedError
            A new owner has already taken this node's records from the other node.
        PeerError
            The node did not answer in time, or could not handle the message.
        """
        task = asyncio.current_task()
        assert task is not None
        cancellations = task.cancelling()
        try:
            return await self._ask(address, message, timeout)
        finally:
            # pynng drops the cancellation of a send or receive that completes at the
            # same moment; a loop around this method would then never end.
            if task.cancelling() > cancellations:
                raise asyncio.CancelledError

    async def _ask(self, address: str, message: Message, timeout: float) -> Message:
        try:
            async with asyncio.timeout(timeout):
                data = await self._exchange(address, encode_message(message))
        except TimeoutError as exc:
            raise PeerError(
                f"{address} did not answer {type(message).__name__} within "
                f"{timeout:g} s; check the node and the network"
            ) from exc
        except ValueError as exc:
            raise PeerError(f"{address!r} is no address of a node: {exc}") from exc
        except pynng.NNGException as exc:
            raise PeerError(
                f"the connection to {address} failed during "
                f"{type(message).__name__}: {exc}"
            ) from exc
        answer = decode_message(data)
        if isinstance(answer, Failed):
            raise _make_error(address, answer)
        return answer

    def forget(self, address: str) -> None:
        """Close the connection to a node that is no longer a member."""
        connection = self._connections.pop(address, None)
        if connection is not None:
            self._replaced += connection.replaced
            connection.close()

    async def close(self) -> None:
        """Close all connections; running requests fail."""
        for address in tuple(self._connections):
            self.forget(address)

    def count_replaced(self) -> int:
        """Return how many connections were replaced after they had fallen silent."""
        return self._replaced + sum(c.replaced for c in self._connections.values())

    async def _exchange(self, address: str, data: bytes) -> bytes:
        connection = self._connections.get(address)
        if connection is None:
            connection = PeerConnection(address, lambda: self._dial(address))
            self._connections[address] = connection
        return await connection.exchange(data, fail_fast=self._fail_fast)

    def _dial(self, address: str) -> pynng.Req0:
        # Without an explicit name the library rejects certificates of IP addresses.
        host = Address.from_text(address).host
        config = _make_tls_config(self._tls, pynng.TLSConfig.MODE_CLIENT, host)
        socket = pynng.Req0(
            resend_time=_NO_RESEND,
            recv_max_size=_MAX_MESSAGE_BYTES,
            reconnect_time_min=_MIN_RECONNECT_MS,
            reconnect_time_max=_MAX_RECONNECT_MS,
            tls_config=config,
            async_backend="asyncio",
        )
        socket.dial(_make_url(address, self._tls), block=False)
        return socket


def _make_error(address: str, answer: Failed) -> FireflyError:
    text = f"{address} answered {answer.code}: {answer.reason}"
    if answer.code == SealedError.code:
        return SealedError(text)
    if answer.code in (UnsupportedVersionError.code, _UNKNOWN_KIND):
        return UnsupportedVersionError(text)
    return PeerError(text)


def _make_url(address: str, tls: Tls | None) -> str:
    return f"{'tcp' if tls is None else 'tls+tcp'}://{address}"


def _make_tls_config(
    tls: Tls | None, mode: int, server_name: str | None = None
) -> pynng.TLSConfig | None:
    if tls is None:
        return None
    try:
        certificate = Path(tls.certificate).read_text(encoding="ascii")
        private_key = Path(tls.private_key).read_text(encoding="ascii")
        authority = Path(tls.authority).read_text(encoding="ascii")
    except OSError as exc:
        raise PeerError(f"cannot read {exc.filename}: {exc.strerror}; see tls") from exc
    return pynng.TLSConfig(
        mode,
        server_name=server_name,
        own_cert_string=certificate,
        own_key_string=private_key,
        ca_string=authority,
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
