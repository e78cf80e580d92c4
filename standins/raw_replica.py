"""Stand-ins of faulty replicas that write the bytes of their answers themselves."""

import abc
import asyncio
import re
from typing import Self

import msgspec

__all__ = ["MalformedReplica", "RawReplica"]

_ID = re.compile(rb"\r\nFireflyspread-Request-Id: (\S+)\r\n", re.IGNORECASE)
_LENGTH = re.compile(rb"\r\nContent-Length: ([0-9]+)\r\n", re.IGNORECASE)


class RawReplica(abc.ABC):
    """Base of the replicas that write raw bytes.

    Attributes
    ----------
    instance : str
        Name under which the replica is registered.
    open_connections : int
        Connections that the node has not closed.
    requests : list of str
        Ids of the requests received.
    """

    def __init__(self, *, instance: str = "e-1") -> None:
        self.instance = instance
        self.open_connections = 0
        self.requests: list[str] = []
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Self:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return self

    async def __aexit__(self, *exc: object) -> None:
        assert self._server is not None
        self._server.close()

    @property
    def address(self) -> str:
        """Address as ``host:port``."""
        assert self._server is not None
        return "{}:{}".format(*self._server.sockets[0].getsockname())

    def make_registration(self, service: str) -> bytes:
        """Return the registration that the replica writes to the platform's store."""
        return msgspec.json.encode(
            {
                "service": service,
                "address": self.address,
                "zone": "z1",
                "slots": 8,
                "state": "ready",
                "born": 1,
            }
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.open_connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = _LENGTH.search(head)
                await reader.readexactly(0 if length is None else int(length[1]))
                found = _ID.search(head)
                request = b"" if found is None else found[1]
                self.requests.append(request.decode())
                await self._answer(writer, request)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        finally:
            self.open_connections -= 1
            writer.close()

    @abc.abstractmethod
    async def _answer(self, writer: asyncio.StreamWriter, request: bytes) -> None:
        """Write the answer to the request with this id.

        Raises
        ------
        ConnectionError
            The connection has ended, or is to be closed.
        """


class MalformedReplica(RawReplica):
    """Gives each request an answer whose head is no valid one.

    Parameters
    ----------
    head : bytes
        Status line and the first fields of each answer, without the last line end. The
        other fields and ``body`` follow.
    body : bytes
        Body as it is sent, with the framing that ``head`` names.
    closes : bool
        Whether the connection is closed behind each answer.
    """

    def __init__(
        self,
        head: bytes,
        *,
        body: bytes = b"",
        closes: bool = False,
        instance: str = "e-1",
    ) -> None:
        super().__init__(instance=instance)
        self._head = head
        self._body = body
        self._closes = closes

    async def _answer(self, writer: asyncio.StreamWriter, request: bytes) -> None:
        writer.write(
            b"%s\r\nFireflyspread-Request-Id: %s\r\nFireflyspread-Response-Stamp: e.1"
            b"\r\n\r\n%s" % (self._head, request, self._body)
        )
        await writer.drain()
        if self._closes:
            raise ConnectionAbortedError
