"""Requests to forward, and the interface for writing their responses."""

import abc
from collections.abc import Sequence

from attrs import frozen

__all__ = ["ForwardRequest", "ProgramCall", "Prompt", "ResponseSink"]


@frozen(kw_only=True)
class Prompt:
    """What a caller declares about a model request.

    Attributes
    ----------
    input_tokens, max_output_tokens : int
        Tokens of the prompt, and the maximum number of tokens to generate.
    parts : tuple of (str, int)
        Ids and sizes in tokens of the prompt's parts in order; parts with equal ids
        have equal text.
    output_tokens_hint : int or None
        The caller's estimate of the answer's tokens; its median error is zero.
    """

    model: str
    input_tokens: int
    max_output_tokens: int
    parts: tuple[tuple[str, int], ...] = ()
    output_tokens_hint: int | None = None

    @property
    def expected_output_tokens(self) -> int:
        """Expected number of tokens in the answer."""
        return max(
            1,
            self.max_output_tokens
            if self.output_tokens_hint is None
            else self.output_tokens_hint,
        )

    @property
    def may_be_first_turn(self) -> bool:
        """Whether the prompt can belong to the first turn of a program.

        The prompt of a first turn has a shared part and one of its own; prompts of
        later turns and of sub-agents have more parts.
        """
        return len(self.parts) <= _MAX_FIRST_TURN_PARTS


# Parts of a first turn's prompt: the one that all programs of the route share, and
# the program's own.
_MAX_FIRST_TURN_PARTS = 2


@frozen(kw_only=True)
class ProgramCall:
    """The program that a request belongs to.

    Attributes
    ----------
    session_id : str
        Session whose turns follow one another; a program may have several.
    remaining : float or None
        Seconds until the program's deadline; negative once it has passed.
    budget : int or None
        Tokens that all turns of the program together may generate.
    """

    id: str
    session_id: str = ""
    remaining: float | None = None
    budget: int | None = None


@frozen(kw_only=True)
class ForwardRequest:
    """One request as received from a caller.

    Attributes
    ----------
    request_target : str
        Path and query as received.
    headers : sequence of (str, str)
        Headers that are forwarded unchanged.
    received_at : float
        Monotonic seconds.
    max_wait : float or None
        Seconds that the caller waits for the answer.
    last_event_id : str or None
        Id of the event after which the caller resumes a stream.
    resumes : str or None
        Id of the caller's request that brought the first event of that stream.
    previous_turn : str or None
        Id of the turn that this one continues from.
    affinity_key : str
        Equal for requests about the same object; empty if unknown.
    """

    id: str
    method: str
    host: str
    path: str
    request_target: str
    headers: Sequence[tuple[str, str]]
    body: bytes
    received_at: float
    key: str | None = None
    max_wait: float | None = None
    program: ProgramCall | None = None
    prompt: Prompt | None = None
    last_event_id: str | None = None
    resumes: str | None = None
    previous_turn: str | None = None
    affinity_key: str = ""


class ResponseSink(abc.ABC):
    """Writes the response to the caller."""

    is_started: bool = False

    @abc.abstractmethod
    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        """Send the status and headers of the response."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> None:
        """Send a chunk of the body."""

    @abc.abstractmethod
    async def finish(self) -> None:
        """End the response as complete."""
