"""Interface of the model engine clients."""

import abc
from collections.abc import AsyncIterator

import msgspec
from attrs import frozen

__all__ = ["Engine", "EngineLoad", "EngineRequest", "Order", "SessionReleaser", "Usage"]


@frozen(kw_only=True)
class EngineRequest:
    """One model turn.

    Attributes
    ----------
    request_id : str
        Unique id; the engine repeats it as ``id`` in every event of the answer.
    session_id : str or None
        Program id under which the engine keeps the KV cache after the answer.
    messages : msgspec.Raw
        JSON array of the whole history with the new messages.
    priority : int
        Lower runs first.
    timeout : float
        Seconds for the whole answer.
    fence : int
        Fencing number that is sent with the request.
    is_continuation : bool
        Whether the last message is an unfinished answer that the engine continues.
    """

    request_id: str
    model: str
    session_id: str | None
    messages: msgspec.Raw
    max_tokens: int
    priority: int
    timeout: float
    fence: int = 0
    is_continuation: bool = False


@frozen(kw_only=True)
class Usage:
    """Token counts reported by an engine.

    Attributes
    ----------
    prompt_tokens : int
        Tokens of the whole history.
    cached_tokens : int
        Prompt tokens that were taken from the KV cache.
    completion_tokens : int
        Generated tokens.
    """

    prompt_tokens: int
    cached_tokens: int
    completion_tokens: int

    @property
    def computed_tokens(self) -> int:
        """Prompt tokens that were not cached plus generated tokens."""
        return max(0, self.prompt_tokens - self.cached_tokens) + self.completion_tokens


@frozen(kw_only=True)
class EngineLoad:
    """Load as an engine reports it, with a delay; cache sizes in tokens."""

    running: int
    waiting: int
    cache_used: int
    cache_capacity: int


@frozen(kw_only=True)
class Order:
    """An order to load a model, adapter or version, or to change role.

    Attributes
    ----------
    fence : int
        Fencing number; engines that check it reject one below the highest they know.
    """

    kind: str
    name: str
    fence: int


class Engine(abc.ABC):
    """One replica of a model engine.

    Every method raises ``TargetUnreachableError`` if nothing was sent,
    ``ReplicaCrashedError`` if the connection broke and ``TargetError`` for other
    failures.
    """

    @abc.abstractmethod
    def stream(self, request: EngineRequest) -> AsyncIterator[bytes]:
        """Yield the server-sent events of the answer, whole events only.

        The last yielded event before ``[DONE]`` carries the usage. Closing the
        iterator early cancels the request. Raises ``CrossedAnswerError`` for an event
        of another request.
        """

    @abc.abstractmethod
    async def cancel(self, request_id: str) -> None:
        """Stop a request; does nothing if it has ended."""

    @abc.abstractmethod
    async def read_load(self) -> EngineLoad:
        """Return the current load report."""

    @abc.abstractmethod
    async def read_cache_events(self, after: int) -> tuple[int, tuple[str, ...]]:
        """Return the newest event number and the sessions evicted since ``after``."""

    @abc.abstractmethod
    async def list_sessions(self) -> tuple[str, ...]:
        """Return the ids of the programs for which the engine holds a KV cache."""

    @abc.abstractmethod
    async def release_session(self, session_id: str) -> None:
        """Release a session; returns when the engine has confirmed it."""

    @abc.abstractmethod
    async def export_session(self, session_id: str) -> bytes:
        """Return the KV cache of a session in the engine's own format."""

    @abc.abstractmethod
    async def import_session(self, session_id: str, cache: bytes) -> None:
        """Load an exported KV cache."""

    @abc.abstractmethod
    async def order(self, order: Order) -> None:
        """Send an order; raises ``StaleFenceError`` if its fence is too low."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class SessionReleaser(abc.ABC):
    """Releases the KV caches that engines hold for programs."""

    @abc.abstractmethod
    def begin_turn(self, program: str, replica: str) -> None:
        """Record that a turn of a program runs on ``replica``."""

    @abc.abstractmethod
    def end_turn(self, program: str, replica: str, tokens: int) -> None:
        """Record that a program pauses while ``replica`` caches ``tokens`` for it."""

    @abc.abstractmethod
    def release(self, program: str, replicas: frozenset[str]) -> None:
        """Release the sessions of an ended program, with retries until confirmed."""
