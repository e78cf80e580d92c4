"""Stand-in of a server whose answers end with their connection."""

import socket
import struct
import threading

__all__ = ["RawServer"]

_TIMEOUT_SECONDS = 5.0


class RawServer:
    """Sends one answer of raw bytes and ends the connection at once.

    The answer waits for ``send``, which blocks the caller's event loop until the
    connection has ended, so that the loop sees the data and the end in one step.

    Parameters
    ----------
    answer : bytes
        Head and body.
    is_reset : bool
        Whether the connection is reset instead of closed.
    """

    def __init__(self, answer: bytes, *, is_reset: bool) -> None:
        self._answer = answer
        self._is_reset = is_reset
        self._released = threading.Event()
        self._sent = threading.Event()
        self.received = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._serve, daemon=True)

    def __enter__(self) -> "RawServer":
        self._thread.start()
        return self

    def __exit__(self, *exc: object) -> None:
        self._released.set()
        self._listener.close()

    @property
    def url(self) -> str:
        """Base URL of the server."""
        return "http://{}:{}".format(*self._listener.getsockname())

    def send(self) -> None:
        """Send the answer to the request that was received."""
        self._released.set()
        assert self._sent.wait(_TIMEOUT_SECONDS)

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        request = b""
        while b"\r\n\r\n" not in request:
            request += connection.recv(1 << 16)
        self.received.set()
        self._released.wait(_TIMEOUT_SECONDS)
        connection.sendall(self._answer)
        if self._is_reset:
            linger = struct.pack("ii", 1, 0)
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        connection.close()
        self._sent.set()
