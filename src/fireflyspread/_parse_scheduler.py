"""Shares the time of the event loop with connections that are expensive to parse."""

import abc
import asyncio
import time
from collections import deque

__all__ = ["ExpensiveConnection", "FramingMeter", "ParseScheduler"]

# Seconds between two turns of the scheduler, and seconds of each turn: a third of a
# core.
_INTERVAL = 0.006
_TURN_SECONDS = 0.002
# Bytes of chunk framing beyond those of the body after which a connection is expensive.
# A chunk of one byte costs as much time as a body of some KB.
_MAX_FRAMING_BYTES = 1 << 15


class ExpensiveConnection(abc.ABC):
    """A connection whose bytes wait in a ``ParseScheduler``."""

    __slots__ = ()

    @abc.abstractmethod
    def parse_next(self) -> bool:
        """Parse a small part and return whether more of it waits."""


class ParseScheduler:
    """Parses small parts of expensive connections in turn, for a bounded time."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._queue: deque[ExpensiveConnection] = deque()
        self._handle: asyncio.TimerHandle | None = None

    def add(self, connection: ExpensiveConnection) -> None:
        """Queue a connection, which must not be queued already."""
        self._queue.append(connection)
        if self._handle is None:
            self._handle = self._loop.call_later(_INTERVAL, self._run)

    def _run(self) -> None:
        self._handle = None
        end = time.monotonic() + _TURN_SECONDS
        while self._queue and time.monotonic() < end:
            connection = self._queue.popleft()
            if connection.parse_next():
                self._queue.append(connection)
        if self._queue:
            self._handle = self._loop.call_later(_INTERVAL, self._run)


class FramingMeter:
    """Counts the bytes of a request that belong to no body.

    Attributes
    ----------
    idle_bytes : int
        Bytes since the body last grew.
    """

    __slots__ = ("_body_bytes", "_excess_bytes", "idle_bytes")

    def __init__(self) -> None:
        self.reset()

    def reset(self) -> None:
        """Begin a request."""
        self._body_bytes = self._excess_bytes = self.idle_bytes = 0

    @property
    def is_expensive(self) -> bool:
        """Whether the request consists mostly of framing."""
        return self._excess_bytes > _MAX_FRAMING_BYTES

    def count(self, size: int, body_bytes: int) -> bool:
        """Count ``size`` bytes, and return whether the body has grown by them."""
        progress = body_bytes - self._body_bytes
        self._body_bytes = body_bytes
        self._excess_bytes = max(0, self._excess_bytes + size - 2 * progress)
        self.idle_bytes = 0 if progress else self.idle_bytes + size
        return progress > 0
