"""Tests of splitting streams into events."""

from hypothesis import given
from hypothesis import strategies as st

from fireflyspread.forwarding import EventSplitter
from tests.forwarding.fakes import make_events


class TestEventSplitter:
    @given(st.integers(0, 12), st.lists(st.integers(1, 40), max_size=30))
    def test_any_chunks_give_the_same_events(self, count, sizes):
        """Guards against bytes lost or doubled at the borders of chunks."""
        data = make_events(1, count)
        splitter, passed, events, at = EventSplitter(), b"", 0, 0
        for size in [*sizes, len(data)]:
            whole, found = splitter.feed(data[at : at + size])
            passed, events, at = passed + whole, events + found, at + size
        assert passed == data
        assert events == count
        assert splitter.last_id == (str(count) if count else None)

    def test_part_of_an_event_is_held_back(self):
        """Guards against a part of an event that is joined with another run's."""
        splitter = EventSplitter()
        assert splitter.feed(make_events(1, 1) + b"id: 2\nda") == (make_events(1, 1), 1)
        assert splitter.has_partial_event
        splitter.discard_partial_event()
        assert splitter.feed(make_events(2, 2)) == (make_events(2, 2), 1)
