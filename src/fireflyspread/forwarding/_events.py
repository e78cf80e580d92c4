"""Splits a stream of server-sent events at event boundaries."""

from fireflyspread._event_stream import (
    LONGEST_EVENT_END,
    USUAL_EVENT,
    find_events_end,
    iterate_events,
    iterate_fields,
    parse_event,
)
from fireflyspread.exceptions import ReplicaCrashedError
from fireflyspread.forwarding._event_order import EventOrder

__all__ = ["EventSplitter", "contains_event"]

# Bytes of one event. Events carry a few tokens each.
_MAX_EVENT_BYTES = 1 << 20


def contains_event(data: bytes) -> bool:
    """Return whether ``data``, which ends at an event boundary, has any event."""
    return any(name for name, _ in iterate_fields(data))


class EventSplitter:
    """Releases complete events only, so that a stream can be resumed after any of them.

    Only the ids are parsed; the bytes are left unchanged.

    Parameters
    ----------
    order : EventOrder or None
        Checks the ids; None for a stream that the caller begins.

    Attributes
    ----------
    order : EventOrder
        Position of the stream.
    fault : str or None
        Why the event behind the last released one cannot follow it. Nothing more is
        released of such a run.
    """

    def __init__(self, order: EventOrder | None = None) -> None:
        self.order = EventOrder() if order is None else order
        self.fault: str | None = None
        self._partial = b""
        # Bytes of the partial event that contain no end of an event.
        self._searched = 0
        # Complete events that the order holds.
        self._held = b""
        self._may_get_line_feed = False

    @property
    def last_id(self) -> str | None:
        """Id of the last released event."""
        return self.order.last_id

    @property
    def has_partial_event(self) -> bool:
        """Whether an incomplete event is buffered."""
        return bool(self._partial.strip(b"\r\n"))

    def feed(self, data: bytes) -> tuple[bytes, int]:
        """Return the events released by ``data``, and how many of them have an id.

        Raises
        ------
        ReplicaCrashedError
            The event is too large to be one.
        """
        if self.fault is not None:
            return b"", 0
        if not (self._partial or self._held or self._may_get_line_feed):
            usual = USUAL_EVENT.fullmatch(data)
            if usual and self.order.add_usual(usual[1].decode()):
                return data, 1
        rest_of_line_end = b""
        if data and self._may_get_line_feed:
            self._may_get_line_feed = False
            if data.startswith(b"\n"):
                rest_of_line_end, data = data[:1], data[1:]
        if self._partial:
            data = self._partial + data
        end = find_events_end(data, self._searched)
        if end == 0 and len(data) > _MAX_EVENT_BYTES:
            raise ReplicaCrashedError(
                f"an event has more than {_MAX_EVENT_BYTES} bytes; resume elsewhere"
            )
        self._partial = data[end:]
        self._searched = max(0, len(self._partial) - LONGEST_EVENT_END)
        if end == 0:
            return rest_of_line_end, 0
        self._may_get_line_feed = not self._partial and data.endswith(b"\r")
        released, count = self._release(data[:end])
        return rest_of_line_end + released, count

    def _release(self, complete: bytes) -> tuple[bytes, int]:
        """Return the events up to the first one that cannot follow or is held."""
        data, count, end = self._held + complete, 0, 0
        for event, event_end in iterate_events(data, len(self._held)):
            is_event, event_id = parse_event(event)
            if is_event:
                was_held = self.order.holds_event
                self.fault = self.order.add(event_id)
                if self.fault is not None:
                    self._held = b""
                    return data[:end], count
                if not self.order.holds_event:
                    count += was_held + bool(event_id)
            if not self.order.holds_event:
                end = event_end
        if not self.order.holds_event:
            end = len(data)
        self._held = data[end:]
        if len(self._held) > _MAX_EVENT_BYTES:
            self.fault = f"no event in {_MAX_EVENT_BYTES} bytes"
        return data[:end], count

    def end_run(self) -> None:
        """Set ``fault`` if the end of the run cannot be the end of the stream."""
        if self.fault is None:
            self.fault = self.order.end_run()

    def begin_run(self) -> None:
        """Discard what has not been released, and expect another run of the stream."""
        self._partial = self._held = b""
        self._searched = 0
        self._may_get_line_feed = False
        self.fault = None
        self.order.begin_run()
