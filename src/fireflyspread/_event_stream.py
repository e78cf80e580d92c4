"""Format of server-sent events: boundaries and fields."""

import re
from collections.abc import Iterator

__all__ = [
    "LONGEST_EVENT_END",
    "USUAL_EVENT",
    "find_events_end",
    "iterate_events",
    "iterate_fields",
    "parse_event",
]

# Lines end with CR LF, LF or CR, and a blank line ends an event. A CR at the end of the
# data counts, because the next byte may come seconds later or never.
_EVENT_END = re.compile(rb"(?:\r\n|\r(?!\n)|\n)(?:\r\n|\r(?!\n)|\n)")
_LINE_END = re.compile(rb"\r\n|\r|\n")
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LONGEST_EVENT_END = 4
# The usual form of an event, which needs no parsing of its lines.
USUAL_EVENT = re.compile(rb"id: ?([0-9]+)\n(?:data:[^\r\n]*\n)+\n")


def find_events_end(data: bytes, start: int) -> int:
    """Return the position behind the last complete event; 0 if none ends."""
    if b"\r" not in data:
        found = data.rfind(b"\n\n", start)
        return 0 if found < 0 else found + 2
    end = 0
    for match in _EVENT_END.finditer(data, start):
        end = match.end()
    return end


def iterate_events(data: bytes, start: int = 0) -> Iterator[tuple[bytes, int]]:
    """Yield each complete event from ``start`` on and the position behind it."""
    if b"\r" in data:
        for match in _EVENT_END.finditer(data, start):
            yield data[start : match.end()], match.end()
            start = match.end()
        return
    while (end := data.find(b"\n\n", start)) >= 0:
        yield data[start : end + 2], end + 2
        start = end + 2


def iterate_fields(event: bytes) -> Iterator[tuple[bytes, bytes]]:
    """Yield name and value of each field; comments and blank lines are none."""
    if event.startswith(_BYTE_ORDER_MARK):
        event = event[len(_BYTE_ORDER_MARK) :]
    for line in _LINE_END.split(event):
        name, _, value = line.partition(b":")
        if name:
            yield name, value.removeprefix(b" ")


def parse_event(event: bytes) -> tuple[bool, str | None]:
    """Return whether a caller sees an event or its id, and the id."""
    if usual := USUAL_EVENT.fullmatch(event):
        return True, usual[1].decode()
    is_event, event_id = False, None
    for name, value in iterate_fields(event):
        if name == b"id" and b"\0" not in value:
            is_event, event_id = True, value.decode("utf-8", "replace")
        elif name == b"data":
            is_event = True
    return is_event, event_id
