"""Answer of a running turn, which several connections can read."""

import asyncio
from collections.abc import AsyncIterator

__all__ = ["AnswerLog"]


class AnswerLog:
    """Chunks of one answer, kept until the record of the turn replaces them.

    A reader gets all chunks from its start position, also those added before.
    """

    def __init__(self) -> None:
        self._chunks: list[bytes] = []
        self._changed = asyncio.Event()
        self._error: Exception | None = None
        self._is_closed = False

    def append(self, chunk: bytes) -> None:
        """Add the next chunk and wake the readers."""
        self._chunks.append(chunk)
        self._wake()

    def close(self, error: Exception | None = None) -> None:
        """End the answer; readers raise ``error`` after the last chunk."""
        self._is_closed = True
        self._error = error
        self._wake()

    def join(self) -> bytes:
        """Return the concatenated chunks."""
        return b"".join(self._chunks)

    async def read(self, start: int = 0) -> AsyncIterator[bytes]:
        """Yield the chunks from index ``start`` until the answer ends."""
        position = start
        while True:
            while position < len(self._chunks):
                yield self._chunks[position]
                position += 1
            if self._is_closed:
                break
            await self._changed.wait()
        if self._error is not None:
            raise self._error

    async def wait_closed(self) -> None:
        """Wait until the answer has ended; raises its error."""
        while not self._is_closed:
            await self._changed.wait()
        if self._error is not None:
            raise self._error

    def _wake(self) -> None:
        # A new event for each change wakes every waiting reader exactly once.
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
