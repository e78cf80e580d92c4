"""Loopback proxy that delays, resets or blocks connections."""

import asyncio
import contextlib
import enum

__all__ = ["Proxy", "ProxyFault"]

_CHUNK_BYTES = 64 * 1024


class ProxyFault(enum.StrEnum):
    """Fault of a proxy.

    ``DELAY`` delays each chunk, ``RESET`` resets all connections and refuses new ones,
    ``SILENCE`` blocks both directions, and ``CUT_ANSWERS`` blocks the bytes from the
    target. Blocked bytes are delivered when the fault is cleared. ``silence_open``
    injects a fault of its own.
    """

    NONE = "none"
    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    CUT_ANSWERS = "cut_answers"


class Proxy:
    """TCP proxy in front of one address.

    Attributes
    ----------
    fault : ProxyFault
        Fault in effect.
    delay : float
        Seconds by which ``DELAY`` delays each chunk.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._port = 0
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._unblocked = asyncio.Event()
        self._unblocked.set()
        self._pairs: set[tuple[asyncio.StreamWriter, asyncio.StreamWriter]] = set()
        # Writers that get no further bytes.
        self._silent: set[asyncio.StreamWriter] = set()
        self.fault = ProxyFault.NONE
        self.delay = 0.0

    async def start(self) -> str:
        """Start to listen and return the address."""
        await self.accept()
        return f"127.0.0.1:{self._port}"

    async def accept(self) -> None:
        """Accept new connections, again after ``refuse``."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self._port)
        _, self._port = self._server.sockets[0].getsockname()

    def refuse(self) -> None:
        """Refuse new connections; open ones live on."""
        if self._server is not None:
            self._server.close()
            self._server = None

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        self.reset()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def inject(self, fault: ProxyFault, delay: float = 0.0) -> None:
        """Inject a fault until ``clear``; ``delay`` in seconds."""
        self.fault, self.delay = fault, delay
        if fault is ProxyFault.RESET:
            self.reset()
        if fault in (ProxyFault.SILENCE, ProxyFault.CUT_ANSWERS):
            self._unblocked.clear()

    def clear(self) -> None:
        """Clear the fault and deliver blocked bytes."""
        self.fault = ProxyFault.NONE
        self._unblocked.set()

    def silence_open(self, *, requests: bool = True, answers: bool = True) -> int:
        """Drop all further bytes of the open connections; new ones work.

        The connections stay open for good, as on a path that has lost their state.

        Parameters
        ----------
        requests, answers : bool
            Directions to silence.

        Returns
        -------
        int
            Number of open connections.
        """
        for caller, target in self._pairs:
            if requests:
                self._silent.add(target)
            if answers:
                self._silent.add(caller)
        return len(self._pairs)

    def reset(self) -> None:
        """Reset all connections."""
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if self.fault is ProxyFault.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        # ``stop`` cancels the open connections.
        with contextlib.suppress(asyncio.CancelledError):
            await self._forward_both(reader, target_reader, writer, target_writer)

    async def _forward_both(
        self,
        reader: asyncio.StreamReader,
        target_reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_writer: asyncio.StreamWriter,
    ) -> None:
        writers = {writer, target_writer}
        pair = (writer, target_writer)
        self._writers |= writers
        self._pairs.add(pair)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, is_answer=False),
                self._forward(target_reader, writer, is_answer=True),
            )
        finally:
            self._writers -= writers
            self._pairs.discard(pair)
            self._silent -= writers
            for endpoint in writers:
                endpoint.close()

    async def _forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *,
        is_answer: bool,
    ) -> None:
        # A reset of either side is an injected fault and ends both connections.
        with contextlib.suppress(OSError):
            while data := await reader.read(_CHUNK_BYTES):
                if self.fault is ProxyFault.DELAY:
                    await asyncio.sleep(self.delay)
                if self.fault is ProxyFault.SILENCE or (
                    is_answer and self.fault is ProxyFault.CUT_ANSWERS
                ):
                    await self._unblocked.wait()
                if writer not in self._silent:
                    writer.write(data)
                    await writer.drain()
            if writer in self._silent:
                # The other side does not learn of the end either.
                await asyncio.Event().wait()
            if writer.can_write_eof():
                writer.write_eof()
            return
        writer.transport.abort()
