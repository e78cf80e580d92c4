"""Connection to another node that is replaced when it falls silent."""

import asyncio
import logging
import time
from collections import Counter
from collections.abc import Callable

import pynng

from fireflyspread.exceptions import PeerUnconnectedError

__all__ = ["PeerConnection", "close_context"]

_LOG = logging.getLogger(__name__)

# Seconds that a request waits for the first connection.
_FIRST_DIAL_TIMEOUT = 0.3
# Seconds without any answer after which an unanswered request makes the connection
# suspect. The shortest timeout of a message is as long.
_MIN_SILENCE = 0.1
# Seconds for which a second connection is being established before it is dialed anew.
_DIAL_TIMEOUT = 1.0


class PeerConnection:
    """Sends requests to one address.

    A path may drop all packets of an open connection while new connections work. TCP
    notices this after many minutes, so a request without an answer makes this class
    establish a second connection. Requests move to it once it is established; a node
    that is only slow or cut off keeps its connection, which tells it from one that has
    ended.

    Parameters
    ----------
    address : str
        ``ip:port`` of the other node.
    dial : callable
        Returns a new socket that connects to the address in the background.

    Attributes
    ----------
    replaced : int
        Number of connections that were replaced because they had fallen silent.
    """

    def __init__(self, address: str, dial: Callable[[], pynng.Req0]) -> None:
        self.replaced = 0
        self._address = address
        self._dial = dial
        self._socket = dial()
        self._dialed_at = time.monotonic()
        self._successor: pynng.Req0 | None = None
        self._successor_dialed_at = 0.0
        self._unanswered_since: float | None = None
        self._running: Counter[pynng.Req0] = Counter()

    async def exchange(self, data: bytes, *, fail_fast: bool) -> bytes:
        """Send ``data`` and return the answer.

        Parameters
        ----------
        fail_fast : bool
            Whether to fail at once without a connection. The library keeps dialing
            in the background.

        Raises
        ------
        PeerUnconnectedError
            There is no connection.
        pynng.NNGException
            The connection failed.
        """
        socket = self._choose_socket()
        sent_at = time.monotonic()
        if (
            fail_fast
            and not socket.pipes
            and sent_at > self._dialed_at + _FIRST_DIAL_TIMEOUT
        ):
            raise PeerUnconnectedError(
                f"no connection to {self._address}; check the node"
            )
        context = socket.new_context()
        self._running[socket] += 1
        try:
            await context.asend(data)
            answer = await context.arecv()
        except asyncio.CancelledError:
            # A timeout of the caller cancels the request.
            self._note_unanswered(socket, sent_at)
            raise
        finally:
            close_context(context)
            self._end_request(socket)
        if socket is self._socket:
            self._unanswered_since = None
        return answer

    def close(self) -> None:
        """Close all connections; running requests fail."""
        sockets = {self._socket, *self._running}
        if self._successor is not None:
            sockets.add(self._successor)
            self._successor = None
        for socket in sockets:
            socket.close()

    def _choose_socket(self) -> pynng.Req0:
        if self._successor is None:
            return self._socket
        if self._unanswered_since is None:
            # The node has answered after all: it was slow.
            self._successor.close()
            self._successor = None
        elif self._successor.pipes:
            self._adopt_successor()
        return self._socket

    def _adopt_successor(self) -> None:
        assert self._successor is not None
        _LOG.warning(
            "connection to %s replaced, it has fallen silent",
            self._address,
            extra={"seconds": time.monotonic() - (self._unanswered_since or 0.0)},
        )
        silent, self._socket, self._successor = self._socket, self._successor, None
        self._dialed_at, self._unanswered_since = self._successor_dialed_at, None
        self.replaced += 1
        if not self._running[silent]:
            silent.close()

    def _note_unanswered(self, socket: pynng.Req0, sent_at: float) -> None:
        """Dial a second connection if nothing was answered on ``socket`` for long."""
        if socket is not self._socket or not socket.pipes:
            return
        if self._unanswered_since is None:
            self._unanswered_since = sent_at
        now = time.monotonic()
        if now - self._unanswered_since < _MIN_SILENCE:
            return
        if self._successor is not None:
            if self._successor.pipes or now < self._successor_dialed_at + _DIAL_TIMEOUT:
                return
            self._successor.close()
        self._successor, self._successor_dialed_at = self._dial(), now

    def _end_request(self, socket: pynng.Req0) -> None:
        self._running[socket] -= 1
        if self._running[socket]:
            return
        del self._running[socket]
        if socket is not self._socket:
            socket.close()


def close_context(context: pynng.Context) -> None:
    """Close a context, also if its socket has been closed before."""
    try:
        context.close()
    except pynng.Closed:
        return
