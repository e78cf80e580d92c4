"""Bodies of caller requests."""

from typing import Literal, TypeVar

import msgspec
from aiohttp import web

from fireflyspread.exceptions import PayloadTooLargeError, RequestError

__all__ = [
    "ChatBody",
    "ChatMessage",
    "EndBody",
    "OpenBody",
    "TurnBody",
    "decode_body",
    "decode_messages",
    "read_body",
    "read_turn_header",
]

T = TypeVar("T")

DEFAULT_MAX_TOKENS = 1024
EMPTY_MESSAGES = msgspec.Raw(b"[]")


class OpenBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs``; ``model`` is a route to an engine target."""

    budget: int
    model: str | None = None


class EndBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request that ends a program."""

    reason: str = "ended by caller"


class TurnBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /v1/programs/{id}/turns``."""

    turn: int
    messages: msgspec.Raw
    model: str
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False


class ChatBody(msgspec.Struct, frozen=True):
    """Body of ``POST /v1/chat/completions``; unknown options are ignored."""

    model: str
    messages: msgspec.Raw
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool = False

    @property
    def max_answer_tokens(self) -> int:
        """Maximum number of tokens in the answer."""
        return self.max_completion_tokens or self.max_tokens or DEFAULT_MAX_TOKENS


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a program's history."""

    role: Literal["system", "developer", "user", "assistant", "tool"]
    content: str | list[dict[str, object]] | None = None


async def read_body(request: web.Request, max_bytes: int) -> bytes:
    """Return the whole body.

    Raises
    ------
    PayloadTooLargeError
        The body has more than ``max_bytes`` bytes.
    """
    if request.content_length is not None and request.content_length > max_bytes:
        raise _make_too_large_error(max_bytes)
    try:
        return await request.read()
    except web.HTTPRequestEntityTooLarge:
        raise _make_too_large_error(max_bytes) from None


def _make_too_large_error(max_bytes: int) -> PayloadTooLargeError:
    return PayloadTooLargeError(
        f"the body exceeds {max_bytes} bytes; send a smaller one"
    )


def decode_body(data: bytes, kind: type[T]) -> T:
    """Decode a JSON body.

    Raises
    ------
    RequestError
        The body is not JSON or a field is missing, unknown or invalid.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        raise RequestError(f"the body is invalid: {exc}; correct that field") from exc
    except RecursionError as exc:
        raise RequestError("the body is nested too deeply; flatten it") from exc


def decode_messages(raw: msgspec.Raw) -> list[ChatMessage]:
    """Decode and check an array of messages; raises ``RequestError``."""
    messages = decode_body(bytes(raw), list[ChatMessage])
    if not messages:
        raise RequestError("messages is empty; send at least one message")
    return messages


def read_turn_header(request: web.Request) -> int:
    """Return the turn number in the ``X-Turn`` header; raises ``RequestError``."""
    text = request.headers.get("X-Turn", "")
    if not text.isdigit() or int(text) < 1:
        raise RequestError(f"X-Turn is {text!r}; send the number of the turn")
    return int(text)
