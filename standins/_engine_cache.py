"""KV cache of the engine stand-in: sessions, eviction and cache events."""

import hashlib
import time
from collections import OrderedDict
from typing import Protocol

import msgspec
from attrs import define, frozen

__all__ = ["CacheEvent", "SessionCache"]


class LosesEvents(Protocol):
    """Switch that the cache needs."""

    lose_events: int


@frozen
class CacheEvent:
    """Eviction of a session; numbers increase by one, also for lost events."""

    number: int
    time: float
    session: str


@define
class Session:
    """Prefix of messages whose KV cache is held: digest and tokens of each."""

    prefix: list[tuple[bytes, int]]
    tokens: int = 0
    running: int = 0


class SessionCache:
    """Sessions in order of use; the least recently used one is evicted first.

    Parameters
    ----------
    capacity : int
        Tokens of all sessions together.
    faults : LosesEvents
        Switches with the number of next events to lose.
    """

    def __init__(self, capacity: int, faults: LosesEvents) -> None:
        self.capacity = capacity
        self._faults = faults
        self.sessions: OrderedDict[str, Session] = OrderedDict()
        self.events: list[CacheEvent] = []
        self.last_number = 0

    @property
    def used(self) -> int:
        """Tokens of all sessions."""
        return sum(session.tokens for session in self.sessions.values())

    def begin(self, name: str, contents: list[str], tokens: list[int]) -> int:
        """Compute a prompt into a session and return the tokens found in it."""
        session = self.sessions.setdefault(name, Session([]))
        self.sessions.move_to_end(name)
        session.running += 1
        prefix = list(zip(map(_digest, contents), tokens, strict=True))
        cached = 0
        for held, wanted in zip(session.prefix, prefix, strict=False):
            if held != wanted:
                break
            cached += held[1]
        session.prefix = prefix
        session.tokens = sum(tokens)
        self._evict()
        return cached

    def end(self, name: str) -> None:
        """Let a session be evicted again; it may have been released meanwhile."""
        session = self.sessions.get(name)
        if session is not None:
            session.running = max(0, session.running - 1)
            self._evict()

    def add_answer(self, name: str, answer: str, tokens: int) -> None:
        """Add an answer to a session that may have been released meanwhile."""
        session = self.sessions.get(name)
        if session is not None:
            session.prefix.append((_digest(answer), tokens))
            session.tokens += tokens
            self.sessions.move_to_end(name)

    def release(self, name: str) -> bool:
        """Free a session and return whether it was held."""
        return self.sessions.pop(name, None) is not None

    def clear(self) -> None:
        """Lose everything, as a restarted process has; no events are sent."""
        self.sessions.clear()

    def export(self, name: str) -> bytes | None:
        """Return the cache of a session, or None if it is not held."""
        session = self.sessions.get(name)
        return None if session is None else msgspec.msgpack.encode(session.prefix)

    def load(self, name: str, data: bytes) -> None:
        """Load an exported cache; raises ``msgspec.DecodeError``."""
        prefix = msgspec.msgpack.decode(data, type=list[tuple[bytes, int]])
        self.sessions[name] = Session(prefix, sum(tokens for _, tokens in prefix))
        self._evict()

    def _evict(self) -> None:
        used = self.used
        for name, session in list(self.sessions.items()):
            if used <= self.capacity:
                return
            if session.running:
                continue
            used -= session.tokens
            del self.sessions[name]
            self.last_number += 1
            if self._faults.lose_events > 0:
                self._faults.lose_events -= 1
                continue
            self.events.append(CacheEvent(self.last_number, time.monotonic(), name))

    def read_events(self, after: int, lag: float) -> tuple[int, list[str]]:
        """Return the newest number and the evictions older than ``lag`` seconds."""
        until = time.monotonic() - lag
        seen = [e for e in self.events if e.number > after and e.time <= until]
        return (seen[-1].number if seen else after), [e.session for e in seen]


def _digest(content: str) -> bytes:
    return hashlib.sha256(content.encode()).digest()[:16]
