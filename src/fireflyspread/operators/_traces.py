"""Traces of requests and programs, read from log files."""

from collections.abc import Iterable
from typing import Any

import msgspec
from attrs import frozen

__all__ = ["LogLine", "find_trace", "parse_lines"]

# Fields that every line has or that the output shows in columns of their own.
_OMITTED_FIELDS = frozenset({"time", "level", "logger", "message", "node"})
_ID_FIELDS = ("request", "program")


@frozen(kw_only=True)
class LogLine:
    """One log line.

    Attributes
    ----------
    time : float
        Unix seconds, by the clock of the VM that wrote the line.
    source : str
        Last word of the prefix that a log collector has put before the line; without a
        prefix the name of the file.
    """

    time: float
    source: str
    message: str
    fields: dict[str, Any]

    def describe(self) -> str:
        """Return the message and its fields as one line of text."""
        shown = (f"{k}={v}" for k, v in self.fields.items() if k not in _OMITTED_FIELDS)
        return " ".join([self.message, *shown])


def parse_lines(source: str, lines: Iterable[str]) -> list[LogLine]:
    """Return the log lines among ``lines``.

    If a log collector has put a prefix before a line, the last word of the prefix is
    the source of that line.
    """
    found = []
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            data = msgspec.json.decode(line[start:].encode())
        except msgspec.DecodeError:
            # Output of another program, or a line that a collector has truncated.
            continue
        if not isinstance(data, dict) or "message" not in data:
            continue
        prefix = line[:start].split()
        found.append(
            LogLine(
                time=float(data.get("time", 0.0)),
                source=prefix[-1] if prefix else source,
                message=str(data["message"]),
                fields=data,
            )
        )
    return found


def find_trace(lines: Iterable[LogLine], identifier: str) -> list[LogLine]:
    """Return the lines of a request or program in order of time.

    A program includes its requests. A request includes the lines of its program
    that name no request.
    """
    lines = list(lines)
    matching = [
        line
        for line in lines
        if identifier in (line.fields.get(name) for name in _ID_FIELDS)
    ]
    programs = {line.fields.get("program") for line in matching} - {None, identifier}
    related = [
        line
        for line in lines
        if line.fields.get("program") in programs and not line.fields.get("request")
    ]
    return sorted([*matching, *related], key=lambda line: line.time)
