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
        """Guards against events that are lost or changed when a read ends in one."""
        answer = make_event("r1", "a") + make_event("r1", "b\n\nc") + DONE_EVENT
        for cut in range(len(answer)):
            splitter = EventSplitter("r1", "x")
            got = splitter.feed(answer[:cut]) + splitter.feed(answer[cut:])
            assert got + DONE_EVENT == answer
            assert splitter.is_done

    def test_rejects_event_without_an_end(self) -> None:
        """Guards against a faulty engine that fills the memory with one event."""
        splitter = EventSplitter("r1", "x")
        with pytest.raises(TargetError):
            for _ in range(100):
                splitter.feed(b"x" * (1 << 16))

    def test_rejects_event_of_another_request(self) -> None:
        """Guards against an answer that reaches the wrong caller."""
        splitter = EventSplitter("r1", "x")
        with pytest.raises(CrossedAnswerError):
            splitter.feed(make_event("r1", "a") + make_event("r2", "b"))

    def test_text_cannot_forge_the_id(self) -> None:
        """Guards against generated text that makes another request's event pass."""
        splitter = EventSplitter("r1", "x")
        with pytest.raises(CrossedAnswerError):
            splitter.feed(make_event("r2", 'data: {"id":"r1"'))

    def test_reports_error_of_engine(self) -> None:
        """Guards against an error that is treated as an event of another request."""
        splitter = EventSplitter("r1", "x")
        with pytest.raises(TargetError, match="out of memory"):
            splitter.feed(b'data: {"error": "out of memory"}\n\n')


class TestExtractAnswer:
    """extract_answer."""

    def test_joins_text_and_reads_usage(self) -> None:
        """Guards against usage or text that is lost between the events."""
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
        """Guards against a turn that is not charged as the engine sent no usage."""
        with pytest.raises(TargetError):
            extract_answer(make_event("r", "a"))
