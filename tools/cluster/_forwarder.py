"""TCP forwarder that can stop the traffic of chosen processes."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any

import psutil

__all__ = ["Forwarder"]

CHUNK_BYTES = 65_536


class _Link:
    """One forwarded connection.

    While cut, the bytes wait unread, as they wait in a sender's buffer when the network
    loses packets; after the heal they are delivered.
    """

    def __init__(self, source: tuple[str, int]) -> None:
        self.source = source
        self.tasks: list[asyncio.Task[None]] = []
        self.writers: list[asyncio.StreamWriter] = []
        self.passes = asyncio.Event()
        self.passes.set()

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(CHUNK_BYTES):
            await self.passes.wait()
            writer.write(data)
            await writer.drain()
        await self.passes.wait()
        if writer.can_write_eof():
            writer.write_eof()

    def abort(self) -> None:
        for writer in self.writers:
            writer.transport.abort()


class Forwarder:
    """Forwards one address to another.

    The sender of a connection is found by its port among the sockets of the known
    processes, because all of them come from the loopback address.

    Parameters
    ----------
    target : str
        ``host:port`` of the destination.
    find_pid : callable
        Returns the process id of a node name, or None.
    """

    def __init__(
        self, target: str, find_pid: Callable[[str], int | None] = lambda name: None
    ) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._find_pid = find_pid
        self._cut: dict[str, str] = {}
        self._links: set[_Link] = set()
        self._server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        for link in tuple(self._links):
            for task in link.tasks:
                task.cancel()
            link.abort()

    def cut(self, source: str, *, kind: str = "drop") -> None:
        """Stop the traffic of a node, or of all with ``"*"``.

        Parameters
        ----------
        kind : str
            ``"drop"`` (no bytes pass) or ``"reset"`` (connections are reset).
        """
        self._cut[source] = kind
        self._apply()

    def heal(self, source: str) -> None:
        """Let the traffic of a node pass again."""
        self._cut.pop(source, None)
        self._apply()

    def _apply(self) -> None:
        ports = self._find_ports()
        for link in tuple(self._links):
            self._apply_to(link, ports)

    def _apply_to(self, link: _Link, ports: dict[str, set[int]]) -> None:
        kind = self._find_kind(link, ports)
        if kind == "reset":
            link.abort()
        elif kind == "drop":
            link.passes.clear()
        else:
            link.passes.set()

    def _find_ports(self) -> dict[str, set[int]]:
        # Listing the sockets of a process takes milliseconds and blocks the stand-ins
        # in this process, so it is done once for all connections.
        return {
            name: _list_ports(self._find_pid(name)) for name in self._cut if name != "*"
        }

    def _find_kind(self, link: _Link, ports: dict[str, set[int]]) -> str:
        for name, kind in self._cut.items():
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
            self._apply_to(link, self._find_ports())
            await link.passes.wait()
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
            # ``stop`` cancels the copies; nobody awaits this connection's task.
            link.abort()
        finally:
            self._links.discard(link)
            for task in link.tasks:
                task.cancel()
            for end in link.writers:
                with contextlib.suppress(OSError, RuntimeError):
                    end.close()


def _list_ports(pid: int | None) -> set[int]:
    if pid is None:
        return set()
    try:
        connections: list[Any] = psutil.Process(pid).net_connections(kind="tcp")
    except psutil.Error:
        return set()
    return {connection.laddr[1] for connection in connections}
