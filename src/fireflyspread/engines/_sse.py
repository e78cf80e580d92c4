"""Server-sent events of chat completions."""

import msgspec

from fireflyspread.engines._engine import Usage
from fireflyspread.exceptions import CrossedAnswerError, TargetError

__all__ = ["DONE_EVENT", "EventSplitter", "extract_answer", "extract_partial"]

DONE_EVENT = b"data: [DONE]\n\n"
_EVENT_END = b"\n\n"
# Bytes of one event; a faulty engine may send them without end.
_MAX_EVENT_BYTES = 1 << 20


class EventSplitter:
    """Splits received bytes after complete events and checks their request id.

    The check searches the bytes of each event for ``"id":"<request_id>"``. Quotation
    marks inside a JSON string are escaped, so generated text cannot match it.

    Parameters
    ----------
    request_id : str
        Id that every event must carry.
    replica : str
        Name of the replica for errors.
    """

    def __init__(self, request_id: str, replica: str) -> None:
        quoted = msgspec.json.encode(request_id)
        self._usual_start = b'data: {"id":' + quoted
        self._id_fields = (b'"id":' + quoted, b'"id": ' + quoted)
        self._replica = replica
        self._partial = b""
        self.is_done = False

    def feed(self, data: bytes) -> bytes:
        """Return the events that are complete now, without the ``[DONE]`` event.

        Raises
        ------
        CrossedAnswerError
            An event belongs to another request.
        TargetError
            The engine reported an error inside the stream, or an event is too large.
        """
        if self._partial:
            data = self._partial + data
        end = data.rfind(_EVENT_END)
        if end < 0 and len(data) > _MAX_EVENT_BYTES:
            raise TargetError(
                f"replica {self._replica} sent an event of more than "
                f"{_MAX_EVENT_BYTES} bytes; retry"
            )
        if end < 0:
            self._partial = data
            return b""
        end += 2
        self._partial = data[end:]
        if self._partial:
            data = data[:end]
        done = data.find(DONE_EVENT)
        # Generated text cannot contain a raw line break, so a match is an event.
        if done >= 0:
            self.is_done = True
            data = data[:done]
        self._check(data)
        return data

    def _check(self, data: bytes) -> None:
        usual_start, (id_field, spaced_id_field) = self._usual_start, self._id_fields
        for event in data.split(_EVENT_END):
            if (
                event.startswith(usual_start)
                or id_field in event
                or spaced_id_field in event
            ):
                continue
            if not event or event.startswith(b":"):
                continue
            if event.startswith(b'data: {"error"'):
                raise TargetError(
                    f"replica {self._replica} failed during the answer: "
                    f"{event[6:200].decode(errors='replace')}; retry"
                )
            raise CrossedAnswerError(
                f"replica {self._replica} sent an event of another request; "
                "the answer was discarded, retry on another replica"
            )


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _Delta(msgspec.Struct, frozen=True):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = _Delta()


class _Chunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


# msgspec raises a RecursionError for values that are nested too deeply.
_MALFORMED = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)
_DECODER = msgspec.json.Decoder(_Chunk)


def extract_partial(events: bytes) -> tuple[str, int]:
    """Return the text of an incomplete answer and the number of its text events.

    The text ends before the first malformed event, because later events cannot be
    trusted.
    """
    parts: list[str] = []
    for event in events.split(_EVENT_END):
        if not event.startswith(b"data: {"):
            continue
        try:
            chunk = _DECODER.decode(memoryview(event)[6:])
        except _MALFORMED:
            break
        if chunk.choices and chunk.choices[0].delta.content:
            parts.append(chunk.choices[0].delta.content)
    return "".join(parts), len(parts)


def extract_answer(events: bytes) -> tuple[str, Usage]:
    """Return the text and the usage of a complete answer.

    Raises
    ------
    TargetError
        The events are not chat completion chunks or carry no usage.
    """
    parts: list[str] = []
    usage: _Usage | None = None
    try:
        for event in events.split(_EVENT_END):
            if not event.startswith(b"data: {"):
                continue
            chunk = _DECODER.decode(memoryview(event)[6:])
            if chunk.choices and chunk.choices[0].delta.content:
                parts.append(chunk.choices[0].delta.content)
            usage = chunk.usage or usage
    except _MALFORMED as exc:
        raise TargetError(f"the engine sent a malformed event: {exc}; retry") from exc
    if usage is None:
        raise TargetError("the engine sent no usage; ask it for stream_options")
    details = usage.prompt_tokens_details or _PromptDetails()
    return "".join(parts), Usage(
        prompt_tokens=usage.prompt_tokens,
        cached_tokens=details.cached_tokens,
        completion_tokens=usage.completion_tokens,
    )
