"""Tests of turns and the text of their chains."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflyspread.turns import Turn, decode_turn, encode_turn, extract_data
from fireflyspread.turns._turn import CLOCK_MARGIN

_LINES = st.binary(max_size=40).filter(lambda b: not set(b) & set(b"\r\n"))


def make_turn(turn_id: str = "t0", **changes: object) -> Turn:
    """Return a turn of team ``lids`` that ended at 1000 s."""
    values: dict[str, object] = {
        "id": turn_id,
        "team": "lids",
        "parts": (b"in", b"out\n"),
        "ended_at": 1000.0,
        "retention": 60.0,
    }
    return Turn(**{**values, **changes})


class TestTurn:
    def test_survives_encoding(self):
        """Guards against bytes that are no text and are lost in the store."""
        turn = make_turn(parts=(b"\xff\x00", b""))
        assert decode_turn(encode_turn(turn)) == turn

    def test_expires_after_its_retention(self):
        """Guards against a turn that is refused too early."""
        assert not make_turn().has_expired(1060.0 + CLOCK_MARGIN)
        assert make_turn().has_expired(1060.1 + CLOCK_MARGIN)


class TestExtractData:
    def test_takes_data_lines_only(self):
        """Guards against ids and comments in the text that a model is to continue."""
        events = b"id: 1\ndata: a\n\n: comment\n\nid: 2\nevent: x\ndata:b\ndata: c\n\n"
        assert extract_data(events) == b"a\nb\nc\n"

    @pytest.mark.parametrize("line_end", [b"\r\n", b"\r"])
    def test_takes_lines_with_any_end(self, line_end):
        """Guards against turns without text, or with ends of lines in it."""
        events = b"id: 1\ndata: a\n\nid: 2\ndata:b\n\n".replace(b"\n", line_end)
        assert extract_data(events) == b"a\nb\n"

    @given(st.lists(_LINES))
    def test_keeps_the_bytes_of_each_line(self, lines):
        """Guards against data that is stripped or taken as a field."""
        events = b"".join(b"id: 7\ndata: " + line + b"\n\n" for line in lines)
        assert extract_data(events) == b"".join(line + b"\n" for line in lines)
