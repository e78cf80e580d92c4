"""What the system asks of a model engine."""

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
    request : str
        Unique id; the engine repeats it as ``id`` in every event of the answer.
    session : str or None
        Program id under which the engine keeps its KV cache after the answer.
    messages : msgspec.Raw
        JSON array of the whole history with the new messages.
    priority : int
        Lower runs first.
    timeout : float
        Seconds for the whole answer.
    is_continuation : bool
        Whether the last message is an unfinished answer that the engine continues.
    """

    request: str
    model: str
    session: str | None
    messages: msgspec.Raw
    max_tokens: int
    priority: int
    timeout: float
    fence: int = 0
    is_continuation: bool = False


@frozen(kw_only=True)
class Usage:
    """Tokens that an engine counted.

    Attributes
    ----------
    prompt : int
        Tokens of the whole history.
    cached : int
        Prompt tokens that were not computed again.
    completion : int
        Tokens generated.
    """

    prompt: int
    cached: int
    completion: int

    @property
    def computed(self) -> int:
        """Tokens that the engine worked on, prompt and answer."""
        return max(0, self.prompt - self.cached) + self.completion


@frozen(kw_only=True)
class EngineLoad:
    """Load as an engine reports it, with a lag; cache sizes in tokens."""

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
        Fencing number; engines that check it refuse a lower one than they have seen.
    """

    kind: str
    name: str
    fence: int


class Engine(abc.ABC):
    """One replica of a model engine.

    Every method raises ``TargetUnreachableError`` when nothing was dispatched,
    ``ReplicaCrashedError`` when the connection broke and ``TargetError`` for other
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
    async def cancel(self, request: str) -> None:
        """Stop a request; it is no error if it has ended."""

    @abc.abstractmethod
    async def read_load(self) -> EngineLoad:
        """Return the last load report."""

    @abc.abstractmethod
    async def read_cache_events(self, after: int) -> tuple[int, tuple[str, ...]]:
        """Return the newest event number and the sessions evicted since ``after``."""

    @abc.abstractmethod
    async def list_sessions(self) -> tuple[str, ...]:
        """Return the program ids for which the engine holds memory."""

    @abc.abstractmethod
    async def release_session(self, session: str) -> None:
        """Return once the engine has confirmed that it holds nothing."""

    @abc.abstractmethod
    async def export_session(self, session: str) -> bytes:
        """Return the KV cache of a session in the engine's own format."""

    @abc.abstractmethod
    async def import_session(self, session: str, cache: bytes) -> None:
        """Load an exported KV cache."""

    @abc.abstractmethod
    async def order(self, order: Order) -> None:
        """Give an order; raises ``StaleFenceError`` when its number is old."""

    @abc.abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class SessionReleaser(abc.ABC):
    """Gives back the engine memory of programs."""

    @abc.abstractmethod
    def begin_turn(self, program: str, replica: str) -> None:
        """Take note that a program runs on ``replica`` now."""

    @abc.abstractmethod
    def end_turn(self, program: str, replica: str, tokens: int) -> None:
        """Take note that a program pauses and ``replica`` holds ``tokens`` for it."""

    @abc.abstractmethod
    def release(self, program: str, replicas: frozenset[str]) -> None:
        """Release what ``replicas`` hold for an ended program, until they confirm."""
