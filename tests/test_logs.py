"""Log lines carry the ids of what they are about."""

import json
import logging

from fireflyspread.logs import JsonFormatter, TextFormatter


def make_record(**extra: object) -> logging.LogRecord:
    """Return a record with extra fields."""
    record = logging.LogRecord("x", logging.INFO, "f", 1, "rolled %s", ("it",), None)
    record.__dict__.update(extra)
    return record


class TestFormatters:
    """JsonFormatter and TextFormatter."""

    def test_json_has_fields(self) -> None:
        """A value that JSON does not know does not lose the line."""
        line = JsonFormatter().format(make_record(operator="ana", version={1}))
        entry = json.loads(line)
        assert entry["message"] == "rolled it"
        assert (entry["operator"], entry["version"]) == ("ana", "{1}")

    def test_text_has_fields(self) -> None:
        """The ids are in text lines too."""
        line = TextFormatter().format(make_record(operator="ana", version=3))
        assert line.endswith("rolled it version=3 operator=ana")
