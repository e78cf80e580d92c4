"""Tests of splitting streams at event boundaries."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fireflyspread.exceptions import ReplicaCrashedError
from fireflyspread.forwarding import EventSplitter
from tests.forwarding.fakes import make_events


class TestEventSplitter:
    @given(st.integers(0, 12), st.lists(st.integers(1, 40), max_size=30))
    def test_events_do_not_depend_on_chunking(self, count, sizes):
        """Guards against bytes lost or duplicated at chunk boundaries."""
        data = make_events(1, count)
        splitter, released, events, offset = EventSplitter(), b"", 0, 0
        for size in [*sizes, len(data)]:
            complete, new = splitter.feed(data[offset : offset + size])
            released, events, offset = released + complete, events + new, offset + size
        assert released == data
        assert events == count
        assert splitter.last_id == (str(count) if count else None)

    def test_event_without_an_end_is_rejected(self):
        """Guards against a faulty replica that fills the memory with one event."""
        splitter = EventSplitter()
        with pytest.raises(ReplicaCrashedError):
            for _ in range(100):
                splitter.feed(b"data: " + b"x" * (1 << 16))

    def test_partial_event_is_buffered(self):
        """Guards against parts of an event from two runs being joined."""
        splitter = EventSplitter()
        assert splitter.feed(make_events(1, 1) + b"id: 2\nda") == (make_events(1, 1), 1)
        assert splitter.has_partial_event
        splitter.begin_run()
        assert splitter.feed(make_events(2, 2)) == (make_events(2, 2), 1)
