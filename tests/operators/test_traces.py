"""Traces of requests and programs in log files."""

import json

from fireflyspread.operators._traces import find_trace, parse_lines


def _make_line(time: float, message: str, **fields: object) -> str:
    return json.dumps({"time": time, "message": message, **fields})


class TestFindTrace:
    def test_orders_lines_of_several_nodes(self):
        """Guards against a trace of a request that lacks the lines of another node."""
        first = [
            _make_line(2.0, "request answered", request="r1", program="p"),
            "Traceback of something else",
            _make_line(5.0, "request answered", request="r2", program="q"),
        ]
        second = ["  1.0 node-b " + _make_line(1.0, "budget lent", program="p")]
        lines = parse_lines("a.log", first) + parse_lines("b.log", second)
        trace = find_trace(lines, "r1")
        assert [line.message for line in trace] == ["budget lent", "request answered"]
        assert [line.source for line in trace] == ["node-b", "a.log"]

    def test_includes_all_requests_of_program(self):
        """Guards against a program's trace that has only one of its requests."""
        lines = parse_lines(
            "a.log",
            [
                _make_line(n, "request answered", request=f"r{n}", program="p")
                for n in range(3)
            ],
        )
        assert len(find_trace(lines, "p")) == 3

    def test_is_empty_for_unknown_id(self):
        """Guards against a trace of an unknown id with other requests' lines."""
        lines = parse_lines("a.log", [_make_line(1.0, "x", request="r1")])
        assert find_trace(lines, "r9") == []
