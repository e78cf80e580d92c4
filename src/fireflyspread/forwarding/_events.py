"""Splits a stream of server-sent events at event boundaries."""

import re

from fireflyspread.exceptions import ReplicaCrashedError

__all__ = ["EventSplitter", "contains_event"]

_END = b"\n\n"
# Bytes of one event. Events carry a few tokens each.
_MAX_EVENT_BYTES = 1 << 20
# A line that is no comment.
_FIELD = re.compile(rb"^[^:\r\n]", re.MULTILINE)
_ID = re.compile(rb"^id: ?([^\r\n]*)$", re.MULTILINE)


def contains_event(data: bytes) -> bool:
    """Return whether ``data``, which ends at an event boundary, has any event."""
    return _FIELD.search(data) is not None


class EventSplitter:
    """Releases complete events only, so that a stream can be resumed after any of them.

    Only the ids are parsed; the bytes are left unchanged.

    Attributes
    ----------
    last_id : str or None
        Id of the last complete event.
    """

    def __init__(self) -> None:
        self._partial = b""
        self.last_id: str | None = None

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Return the events completed by ``data``, and how many of them have an id.

        Raises
        ------
        ReplicaCrashedError
            The event is too large to be one.
        """
        if self._partial:
            data = self._partial + data
        end = data.rfind(_END)
        if end < 0 and len(data) > _MAX_EVENT_BYTES:
            raise ReplicaCrashedError(
                f"an event has more than {_MAX_EVENT_BYTES} bytes; resume elsewhere"
            )
        if end < 0:
            self._partial = data
            return b"", 0
        end += len(_END)
        complete, self._partial = data[:end], data[end:]
        ids = _ID.findall(complete)
        if ids:
            self.last_id = ids[-1].decode("ascii", "replace")
        return complete, len(ids)

    def discard_partial_event(self) -> None:
        """Discard the buffered part of an event after its stream has broken."""
        self._partial = b""
