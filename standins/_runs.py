"""Chat requests of the engine stand-in and the format of their answers."""

import time
from typing import Any

import msgspec
from attrs import asdict, define, field

from standins._answers import (
    choose_answer_tokens,
    count_tokens,
    digest_contents,
    generate_words,
    read_content,
)

__all__ = ["Run", "make_final_events", "make_event_parts", "make_response"]

_INTERNAL_FIELDS = ("contents", "words", "task")


@define(eq=False, kw_only=True)
class Run:
    """One chat request.

    Attributes
    ----------
    time : float
        Start in seconds since the epoch.
    state : str
        ``waiting``, ``running``, ``done``, ``cancelled``, ``broken`` (the connection
        closed first) or ``crashed``.
    added : int
        Prompt tokens after the last answer of the history.
    offset : int
        Tokens of the partial answer that the request carried.
    """

    request: str
    session: str | None
    priority: int
    fence: int
    digest: str
    time: float
    state: str = "waiting"
    prompt: int = 0
    added: int = 0
    cached: int = 0
    completion: int = 0
    offset: int = 0
    contents: list[str] = field(factory=list, repr=False)
    words: list[str] = field(factory=list, repr=False)
    task: Any = field(default=None, repr=False)

    @classmethod
    def from_body(
        cls, body: dict[str, Any], *, fence: int, shortest: int, longest: int
    ) -> "Run":
        """Parse a chat request and generate its answer.

        With ``continue_final_message`` the last message is the start of the answer.
        ``shortest`` and ``longest`` bound the tokens of the answer.
        """
        messages = list(body["messages"])
        is_continuation = bool(body.get("continue_final_message"))
        partial = read_content(messages.pop()) if is_continuation else ""
        contents = [read_content(message) for message in messages]
        roles = [message.get("role") for message in messages]
        last = max((i for i, r in enumerate(roles) if r == "assistant"), default=-1)
        digest = digest_contents(contents)
        offset = count_tokens(partial)
        count = choose_answer_tokens(digest, shortest, longest)
        count = min(count, offset + int(body.get("max_tokens") or count))
        return cls(
            request=body.get("request_id") or f"chat-{time.monotonic_ns()}",
            session=body.get("session_id"),
            priority=int(body.get("priority") or 0),
            fence=fence,
            digest=digest,
            time=time.time(),
            prompt=sum(map(count_tokens, contents)) + offset,
            added=sum(map(count_tokens, contents[last + 1 :])) + offset,
            offset=offset,
            contents=contents,
            words=generate_words(digest, max(count, offset))[offset:],
        )

    @property
    def texts(self) -> list[str]:
        """Text of each event; a space precedes each word but the first of an answer."""
        texts = [" " + word for word in self.words]
        if texts and self.offset == 0:
            texts[0] = self.words[0]
        return texts

    @property
    def answer(self) -> str:
        """Whole answer, with the part that the request carried."""
        return " ".join(generate_words(self.digest, self.offset + len(self.words)))

    def to_json(self) -> dict[str, Any]:
        """Return the form for ``GET /runs``."""
        return asdict(self, filter=lambda entry, _: entry.name not in _INTERNAL_FIELDS)


def make_event_parts(run: Run) -> tuple[bytes, bytes]:
    """Return the bytes of an event before and after its JSON-encoded text."""
    name = msgspec.json.encode(run.request)
    head = b'data: {"id":' + name + b',"object":"chat.completion.chunk","choices":'
    head += b'[{"index":0,"delta":{"content":'
    return head, b'},"finish_reason":null}]}\n\n'


def make_final_events(run: Run) -> bytes:
    """Return the final events of a stream: finish reason, usage and ``[DONE]``."""
    finish = {"index": 0, "delta": {}, "finish_reason": "stop"}
    last = {"id": run.request, "object": "chat.completion.chunk", "choices": [finish]}
    usage = {**last, "choices": [], "usage": _make_usage(run)}
    lines = [msgspec.json.encode(last), msgspec.json.encode(usage), b"[DONE]"]
    return b"".join(b"data: " + line + b"\n\n" for line in lines)


def make_response(run: Run) -> dict[str, Any]:
    """Return the response body of a request without ``stream``."""
    message = {"role": "assistant", "content": "".join(run.texts)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    return {
        "id": run.request,
        "object": "chat.completion",
        "choices": [choice],
        "usage": _make_usage(run),
    }


def _make_usage(run: Run) -> dict[str, Any]:
    return {
        "prompt_tokens": run.prompt,
        "completion_tokens": run.completion,
        "total_tokens": run.prompt + run.completion,
        "prompt_tokens_details": {"cached_tokens": run.cached},
    }
