"""Splitting, checking and decoding of server-sent events."""

import msgspec
import pytest

from fireflyspread.engines import DONE_EVENT, extract_answer
from fireflyspread.engines._sse import EventSplitter
from fireflyspread.exceptions import CrossedAnswerError, TargetError


def make_event(request: str, content: str, **extra: object) -> bytes:
    """Return one event with ``content``."""
    data = {"id": request, "choices": [{"delta": {"content": content}}], **extra}
    return b"data: " + msgspec.json.encode(data) + b"\n\n"


class TestEventSplitter:
    """EventSplitter.feed."""

    def test_every_cut_gives_the_same_bytes(self) -> None:
        """Events are lost or changed when a read ends within one."""
        answer = make_event("r1", "a") + make_event("r1", "b\n\nc") + DONE_EVENT
        for cut in range(len(answer)):
            splitter = EventSplitter("r1", "x")
            got = splitter.feed(answer[:cut]) + splitter.feed(answer[cut:])
            assert got + DONE_EVENT == answer
            assert splitter.is_done

    def test_rejects_event_of_another_request(self) -> None:
        """An answer that the engine mixed up reaches the wrong caller."""
        splitter = EventSplitter("r1", "x")
        with pytest.raises(CrossedAnswerError):
            splitter.feed(make_event("r1", "a") + make_event("r2", "b"))

    def test_text_cannot_forge_the_id(self) -> None:
        """Generated text that contains an id makes an event of another request pass."""
        splitter = EventSplitter("r1", "x")
        with pytest.raises(CrossedAnswerError):
            splitter.feed(make_event("r2", 'data: {"id":"r1"'))

    def test_reports_error_of_engine(self) -> None:
        """An error within the stream is treated as an event of another request."""
        splitter = EventSplitter("r1", "x")
        with pytest.raises(TargetError, match="out of memory"):
            splitter.feed(b'data: {"error": "out of memory"}\n\n')


class TestExtractAnswer:
    """extract_answer."""

    def test_joins_text_and_reads_usage(self) -> None:
        """Usage or text is lost between the events."""
        usage = {
            "prompt_tokens": 9,
            "completion_tokens": 2,
            "prompt_tokens_details": {"cached_tokens": 4},
        }
        events = make_event("r", "ab") + make_event("r", "c", usage=usage)
        text, counted = extract_answer(events + DONE_EVENT)
        assert text == "abc"
        assert (
            counted.prompt_tokens,
            counted.cached_tokens,
            counted.completion_tokens,
        ) == (9, 4, 2)

    def test_rejects_answer_without_usage(self) -> None:
        """A turn is not charged when the engine sends no usage."""
        with pytest.raises(TargetError):
            extract_answer(make_event("r", "a"))
