"""Rules for the heads of HTTP answers, which the parser reads leniently."""

import re
from collections.abc import Sequence

__all__ = ["are_known_codings", "find_head", "is_valid_field", "is_valid_status"]

_SWITCHING_PROTOCOLS = 101
_TEXT = rb"[\t\x20-\x7e\x80-\xff]*"
_NAME = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
# RFC 9112, sections 2 to 5, without continuation lines. LF alone ends a line too.
_HEAD = re.compile(
    rb"HTTP/1\.[01] ([0-9]{3})(?: %s)?\r?\n((?:%s:%s\r?\n)*)\r?\n"
    % (_TEXT, _NAME, _TEXT)
)
_FIELD_TEXT = re.compile(r"[^\x00-\x08\x0a-\x1f\x7f]*")
_FIELD_NAME = re.compile(_NAME.decode())


def is_valid_status(status: int) -> bool:
    """Return whether a server may answer a request of this package with a status.

    No request asks for another protocol, so none may be answered with a switch to one.
    """
    return 100 <= status < 600 and status != _SWITCHING_PROTOCOLS


def is_valid_field(name: str, value: str) -> bool:
    """Return whether name and value can be sent as one line of a head."""
    return bool(_FIELD_NAME.fullmatch(name) and _FIELD_TEXT.fullmatch(value))


def are_known_codings(values: Sequence[str]) -> bool:
    """Return whether the parser decodes a body with these ``Transfer-Encoding`` fields.

    It decodes chunks only, and ``identity`` was the name of no coding.
    """
    return [value.lower() for value in values] in ([], ["chunked"], ["identity"])


def find_head(
    data: bytes, *, status: int, fields: Sequence[tuple[bytes, bytes]]
) -> int:
    """Return the position behind the first well-formed head with a status and fields.

    Parameters
    ----------
    data : bytes
        Bytes in which the head was read, maybe behind others.
    status : int
        Status as it was read.
    fields : sequence of (bytes, bytes)
        Names and values as they were read.

    Returns
    -------
    int
        -1 if there is none, so the head was read from malformed lines.
    """
    for match in _HEAD.finditer(data):
        if int(match[1]) == status and _split_fields(match[2]) == [*fields]:
            return match.end()
    return -1


def _split_fields(lines: bytes) -> list[tuple[bytes, bytes]]:
    parts = [line.partition(b":") for line in lines.split(b"\n")[:-1]]
    return [(name, value.strip(b" \t\r")) for name, _, value in parts]
