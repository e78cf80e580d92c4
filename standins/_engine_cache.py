"""KV cache of the engine stand-in: sessions, eviction and cache events."""

import hashlib
import time
from collections import OrderedDict
from typing import Protocol

import msgspec
from attrs import define, frozen

__all__ = ["CacheEvent", "SessionCache"]


class EventLossFaults(Protocol):
    """Fault switch that the cache reads."""

    lose_events: int


@frozen
class CacheEvent:
    """Eviction of a session; events that are lost leave gaps in the numbers.

    Attributes
    ----------
    time : float
        Seconds of the monotonic clock.
    """

    number: int
    time: float
    session: str


@define
class Session:
    """Cached prefix of messages, as pairs of digest and tokens.

    Attributes
    ----------
    tokens : int
        Tokens of the prefix.
    running : int
        Requests in flight; above 0 the session cannot be evicted.
    """

    prefix: list[tuple[bytes, int]]
    tokens: int = 0
    running: int = 0


class SessionCache:
    """LRU cache of sessions.

    Parameters
    ----------
    capacity : int
        Maximum tokens of all sessions together.
    faults : EventLossFaults
        Switches with the number of next events to drop.
    """

    def __init__(self, capacity: int, faults: EventLossFaults) -> None:
        self.capacity = capacity
        self._faults = faults
        self.sessions: OrderedDict[str, Session] = OrderedDict()
        self.events: list[CacheEvent] = []
        self.last_event_number = 0

    @property
    def used(self) -> int:
        """Tokens of all sessions."""
        return sum(session.tokens for session in self.sessions.values())

    def start_request(
        self, session_id: str, contents: list[str], tokens: list[int]
    ) -> int:
        """Add a prompt to a session and return the tokens that were cached."""
        session = self.sessions.setdefault(session_id, Session([]))
        self.sessions.move_to_end(session_id)
        session.running += 1
        prefix = list(zip(map(_digest, contents), tokens, strict=True))
        cached = 0
        for old, new in zip(session.prefix, prefix, strict=False):
            if old != new:
                break
            cached += old[1]
        session.prefix = prefix
        session.tokens = sum(tokens)
        self._evict()
        return cached

    def end_request(self, session_id: str) -> None:
        """End a request, so that its session can be evicted if no other one runs.

        Does nothing if the session has been released.
        """
        session = self.sessions.get(session_id)
        if session is not None:
            session.running = max(0, session.running - 1)
            self._evict()

    def add_answer(self, session_id: str, answer: str, tokens: int) -> None:
        """Add an answer to a session; does nothing if it has been released."""
        session = self.sessions.get(session_id)
        if session is not None:
            session.prefix.append((_digest(answer), tokens))
            session.tokens += tokens
            self.sessions.move_to_end(session_id)

    def release(self, session_id: str) -> bool:
        """Drop a session and return whether it was cached."""
        return self.sessions.pop(session_id, None) is not None

    def clear(self) -> None:
        """Drop all sessions without events, as a restart does."""
        self.sessions.clear()

    def export_session(self, session_id: str) -> bytes | None:
        """Return the cache of a session, or None if it is not cached."""
        session = self.sessions.get(session_id)
        return None if session is None else msgspec.msgpack.encode(session.prefix)

    def import_session(self, session_id: str, data: bytes) -> None:
        """Import the cache of a session.

        Raises
        ------
        msgspec.DecodeError
            The data are not an exported cache.
        """
        prefix = msgspec.msgpack.decode(data, type=list[tuple[bytes, int]])
        self.sessions[session_id] = Session(prefix, sum(tokens for _, tokens in prefix))
        self._evict()

    def _evict(self) -> None:
        used = self.used
        for session_id, session in list(self.sessions.items()):
            if used <= self.capacity:
                return
            if session.running:
                continue
            used -= session.tokens
            del self.sessions[session_id]
            self.last_event_number += 1
            if self._faults.lose_events > 0:
                self._faults.lose_events -= 1
                continue
            self.events.append(
                CacheEvent(self.last_event_number, time.monotonic(), session_id)
            )

    def read_events(self, after: int, lag: float) -> tuple[int, list[str]]:
        """Return the newest number and the evictions older than ``lag`` seconds."""
        until = time.monotonic() - lag
        visible = [e for e in self.events if e.number > after and e.time <= until]
        return (visible[-1].number if visible else after), [e.session for e in visible]


def _digest(content: str) -> bytes:
    return hashlib.sha256(content.encode()).digest()[:16]
