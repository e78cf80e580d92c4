"""Tests of the memory that answers share."""

from hypothesis import given
from hypothesis import strategies as st

from fireflyspread.forwarding._answer_buffers import AnswerBuffers


def _make_buffers() -> AnswerBuffers:
    return AnswerBuffers(max_answer_bytes=100, max_total_bytes=250, part_bytes=10)


class TestAnswerBuffers:
    def test_answer_is_held_back_up_to_its_limit(self):
        """Guards against answers that cannot be replaced by another replica's."""
        with _make_buffers().open() as buffer:
            buffer.add(b"x" * 99)
            assert not buffer.is_due
            buffer.add(b"x")
            assert buffer.is_due

    def test_rest_follows_in_parts_once_a_part_was_taken(self):
        """Guards against an answer that fills its limit again and again."""
        with _make_buffers().open() as buffer:
            buffer.add(b"x" * 100)
            assert buffer.take_part() == b"x" * 10
            assert len(buffer) == 90
            assert buffer.is_due

    def test_end_of_a_request_frees_its_bytes(self):
        """Guards against memory that requests that failed take from the others."""
        buffers = _make_buffers()
        with buffers.open() as buffer:
            buffer.add(b"x" * 60)
            assert buffers.held_bytes == 60
        assert buffers.held_bytes == 0

    @given(
        st.lists(
            st.tuples(st.integers(0, 39), st.binary(min_size=1, max_size=10)),
            max_size=400,
        )
    )
    def test_total_is_limited_whatever_the_number_of_answers(self, steps):
        """Guards against a process that ends for lack of memory."""
        buffers = _make_buffers()
        opened = [buffers.open() for _ in range(40)]
        expected = [b""] * len(opened)
        passed_on = [b""] * len(opened)
        for number, data in steps:
            buffer = opened[number]
            buffer.add(data)
            expected[number] += data
            while buffer.is_due:
                passed_on[number] += buffer.take_part()
            # Each of the others holds less than a part beyond the limit.
            assert buffers.held_bytes < 250 + len(opened) * 10
            assert len(buffer) < 100
        for number, buffer in enumerate(opened):
            while part := buffer.take_part():
                passed_on[number] += part
        assert passed_on == expected
        assert buffers.held_bytes == 0
