"""Formatters of log lines, and the fields that they include."""

import ast
import json
import logging
from pathlib import Path

import fireflyspread
from fireflyspread.logs import FIELDS, JsonFormatter, TextFormatter


def make_record(**extra: object) -> logging.LogRecord:
    """Return a record with extra fields."""
    record = logging.LogRecord("x", logging.INFO, "f", 1, "rolled %s", ("it",), None)
    record.__dict__.update(extra)
    return record


class TestFormatters:
    """JsonFormatter and TextFormatter."""

    def test_json_has_fields(self) -> None:
        """Guards against losing a line with a value that JSON cannot represent."""
        line = JsonFormatter().format(make_record(operator="ana", version={1}))
        entry = json.loads(line)
        assert entry["message"] == "rolled it"
        assert (entry["operator"], entry["version"]) == ("ana", "{1}")

    def test_text_has_fields(self) -> None:
        """Guards against text lines without the extra fields."""
        line = TextFormatter().format(make_record(operator="ana", version=3))
        assert line.endswith("rolled it version=3 operator=ana")


def _list_extra_keys() -> set[str]:
    """Return the constant keys of all dictionaries passed as ``extra``."""
    keys: set[str] = set()
    for path in Path(fireflyspread.__file__).parent.rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            for keyword in node.keywords:
                if keyword.arg == "extra" and isinstance(keyword.value, ast.Dict):
                    keys.update(
                        key.value
                        for key in keyword.value.keys
                        if isinstance(key, ast.Constant) and isinstance(key.value, str)
                    )
    return keys


class TestFields:
    """FIELDS."""

    def test_no_field_is_dropped(self):
        """Guards against extra fields that the formatters drop silently."""
        assert _list_extra_keys() <= set(FIELDS)

    def test_fields_of_a_request_are_written(self):
        """Guards against dropped fields of a request.

        Their dictionary is not built in the call, so the search above misses them.
        """
        names = {"request", "program", "budget", "program_left", "first", "seconds"}
        assert names <= set(FIELDS)
