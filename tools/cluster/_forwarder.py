"""TCP forwarder that can block the traffic of chosen processes."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import psutil

__all__ = ["Forwarder"]

CHUNK_BYTES = 65_536


class _Link:
    """One forwarded connection.

    While it is blocked, received bytes are held back and delivered afterwards, as TCP
    retransmits what was sent while the network lost packets.
    """

    def __init__(self, source: tuple[str, int]) -> None:
        self.source = source
        self.tasks: list[asyncio.Task[None]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.unblocked = asyncio.Event()
        self.unblocked.set()

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self.unblocked.wait()
            writer.write(data)
            await writer.drain()
        await self.unblocked.wait()
        if writer.can_write_eof():
            writer.write_eof()

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Forwarder:
    """Forwards the connections to one address to another.

    The node that opened a connection is identified by its local port, because all nodes
    connect from the loopback address.

    Parameters
    ----------
    target : str
        ``host:port`` of the destination.
    find_pid : callable
        Returns the process id of the node with a name, or None.
    """

    def __init__(
        self, target: str, find_pid: Callable[[str], int | None] = lambda name: None
    ) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._find_pid = find_pid
        self._blocked: dict[str, str] = {}
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            for task in link.tasks:
                task.cancel()
            link.abort()

    def block(self, source: str, *, kind: str = "drop") -> None:
        """Block the traffic of a node, or of all nodes with ``"*"``.

        Parameters
        ----------
        kind : str
            ``"drop"`` holds back all bytes; ``"reset"`` resets the connections.
        """
        self._blocked[source] = kind
        self._apply()

    def unblock(self, source: str) -> None:
        """Unblock the traffic of a node."""
        self._blocked.pop(source, None)
        self._apply()

    def _apply(self) -> None:
        ports = self._list_blocked_ports()
        for link in tuple(self._links):
            self._apply_to(link, ports)

    def _apply_to(self, link: _Link, ports: dict[str, set[int]]) -> None:
        kind = self._find_kind(link, ports)
        if kind == "reset":
            link.abort()
        elif kind == "drop":
            link.unblocked.clear()
        else:
            link.unblocked.set()

    def _list_blocked_ports(self) -> dict[str, set[int]]:
        # Listing the sockets of a process takes milliseconds and blocks the stand-ins
        # in this process, so it is done once for all connections.
        return {
            name: _list_ports(self._find_pid(name))
            for name in self._blocked
            if name != "*"
        }

    def _find_kind(self, link: _Link, ports: dict[str, set[int]]) -> str:
        for name, kind in self._blocked.items():
            if name == "*" or link.source[1] in ports[name]:
                return kind
        return ""

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link = _Link(writer.get_extra_info("peername"))
        link.writers.append(writer)
        self._links.add(link)
        try:
            self._apply_to(link, self._list_blocked_ports())
            await link.unblocked.wait()
            out_reader, out_writer = await asyncio.open_connection(
                self._host, self._port
            )
            link.writers.append(out_writer)
            link.tasks = [
                asyncio.create_task(link.copy(reader, out_writer)),
                asyncio.create_task(link.copy(out_reader, writer)),
            ]
            await asyncio.gather(*link.tasks)
        except (OSError, asyncio.CancelledError):
            # ``stop`` cancels the copies; no task awaits this one, so it ends here.
            link.abort()
        finally:
            self._links.discard(link)
            for task in link.tasks:
                task.cancel()
            for endpoint in link.writers:
                with contextlib.suppress(OSError, RuntimeError):
                    endpoint.close()


def _list_ports(pid: int | None) -> set[int]:
    if pid is None:
        return set()
    try:
        connections: list[Any] = psutil.Process(pid).net_connections(kind="tcp")
    except psutil.Error:
        return set()
    return {connection.laddr[1] for connection in connections}
