"""Checks that the events of a stream follow each other over all of its runs."""

from collections import Counter, deque

__all__ = ["EventOrder", "EventSteps"]

# Longer numbers are compared as text.
_MAX_DIGITS = 100
# Ids that are no numbers are remembered; a stream with more of them cannot go on.
_MAX_TEXT_IDS = 10_000
# Equal differences of ids after which another one shows that events are missing.
_MIN_DIFFERENCES = 2
# Streams of a target from which the step of its ids is known.
_MIN_STREAMS = 4
_MAX_STREAMS = 32
# Fraction of these streams that must agree, so that one faulty replica decides nothing.
_AGREEMENT = 7 / 8


class EventSteps:
    """Differences between the ids of successive events, by target.

    Ids increase, but targets need not number events one by one.
    """

    def __init__(self) -> None:
        self._steps: dict[str, deque[int]] = {}

    def record(self, target: str, step: int) -> None:
        """Remember the step of the first run of a stream.

        Parameters
        ----------
        step : int
            0 if the ids of the stream have no constant step.
        """
        if target not in self._steps:
            self._steps[target] = deque(maxlen=_MAX_STREAMS)
        self._steps[target].append(step)

    def get(self, target: str) -> int | None:
        """Return the step of a target; 0 if it is not constant, None if unknown."""
        steps = self._steps.get(target, ())
        if len(steps) < _MIN_STREAMS:
            return None
        step, count = Counter(steps).most_common(1)[0]
        return step if count >= _AGREEMENT * len(steps) else None


class EventOrder:
    """Decides for each event of a stream whether it may follow those before it.

    A stream may have several runs: a run that breaks is followed by one that should go
    on after the last event. A replica may begin elsewhere, so each run is checked: no
    id may go back or come twice, and none may be left out. Ids that are no numbers are
    only checked for repetition.

    Which id comes next follows from the ids before. If a run goes on with a stream at
    an id that is not the next number, and the step is not known, its first event is
    held until the second one shows the step.

    Parameters
    ----------
    after : str or None
        Id of the event after which the caller takes the stream up.
    step : int or None
        Step between ids; 0 if it is not constant, None if it is not known.

    Attributes
    ----------
    last_id : str or None
        Id of the last accepted event of this answer.
    can_go_on : bool
        Whether another run can go on after the last accepted event.
    is_continuation : bool
        Whether the current run goes on with a stream.
    """

    def __init__(self, *, after: str | None = None, step: int | None = None) -> None:
        self.last_id: str | None = None
        self.can_go_on = True
        self.is_continuation = after is not None
        self._has_joins = after is not None
        self._step = step
        # Differences of ids that agree with the step; enough if the step is given.
        self._agreed = 0 if step is None else _MIN_DIFFERENCES
        self._observed: int | None = None
        # As ``_observed``, without the differences between two runs.
        self._observed_in_runs: int | None = None
        self._has_number_in_run = False
        self._last_number = _parse_number(after)
        self._held_number: int | None = None
        self._has_id_in_run = False
        self._text_ids: set[str] = set()
        if after is not None and self._last_number is None:
            self._text_ids.add(after)

    @property
    def holds_event(self) -> bool:
        """Whether the last event waits for the next one to show the step."""
        return self._held_number is not None

    @property
    def observed_step(self) -> int | None:
        """Step of the only run, 0 if not constant; None if it cannot be told."""
        return None if self._has_joins else self._observed

    @property
    def observed_step_of_runs(self) -> int | None:
        """Step inside the runs of a stream whose end was accepted, as above.

        Targets whose streams all break would not become known otherwise.
        """
        return self._observed_in_runs if self._has_joins else self._observed

    def begin_run(self) -> None:
        """Expect a new run after one that broke."""
        self._held_number = None
        self._has_id_in_run = self._has_number_in_run = False
        if self.last_id is not None:
            self.is_continuation = self._has_joins = True

    def add(self, event_id: str | None) -> str | None:
        """Accept or hold the next event of a run, or return why it cannot follow.

        Parameters
        ----------
        event_id : str or None
            None if the event has no id.
        """
        if not event_id:
            if self.is_continuation and not self._has_id_in_run:
                return "an event of a run that goes on with a stream has no id"
            self.can_go_on = False
            return None
        number = _parse_number(event_id)
        if number is None:
            return self._add_text(event_id)
        previous = self._last_number
        if self._held_number is not None:
            previous = self._held_number
        if previous is not None and number <= previous:
            return f"event {number} comes after event {previous}"
        if previous is not None and not self._has_right_step(previous, number):
            return f"events between {previous} and {number} are missing"
        if previous is not None:
            self._observe_in_run(number - previous)
        if not self.holds_event:
            self._accept(event_id, number)
        return None

    def _observe_in_run(self, step: int) -> None:
        if self._has_number_in_run:
            seen = self._observed_in_runs
            self._observed_in_runs = step if seen in (None, step) else 0
        self._has_number_in_run = True

    def add_usual(self, event_id: str) -> bool:
        """Accept an event whose number is the expected one, else do nothing.

        Takes a fraction of the time of ``add``.
        """
        step, last = self._step, self._last_number
        if not step or step != self._observed or last is None or self._held_number:
            return False
        if len(event_id) > _MAX_DIGITS or int(event_id) != last + step:
            return False
        self._agreed += 1
        self._observe_in_run(step)
        self._accept(event_id, last + step)
        return True

    def _accept(self, event_id: str, number: int | None) -> None:
        self.last_id, self._last_number = event_id, number
        self._has_id_in_run = True
        self._has_number_in_run |= number is not None
        self.can_go_on = len(self._text_ids) < _MAX_TEXT_IDS

    def _add_text(self, event_id: str) -> str | None:
        if event_id in self._text_ids:
            return f"event {event_id!r} comes twice"
        if self.holds_event:
            return f"event {event_id!r} comes after event {self._held_number}"
        if len(self._text_ids) < _MAX_TEXT_IDS:
            self._text_ids.add(event_id)
        self._step = 0
        self._accept(event_id, self._last_number)
        return None

    def _has_right_step(self, previous: int, number: int) -> bool:
        """Return False if an event is missing; may hold the event."""
        step = number - previous
        self._observed = step if self._observed in (None, step) else 0
        if self._held_number is not None:
            assert self._last_number is not None
            if self._held_number - self._last_number != step:
                return False
            self._held_number = None
            self._step = step
        if self._step is None and step > 1 and self.is_continuation:
            self._held_number = number
            return True
        if self._step is None:
            self._step = step
        if self._step in (0, step):
            self._agreed += 1
            return True
        self._observed = 0
        if self.is_continuation or self._agreed >= _MIN_DIFFERENCES:
            return False
        # A single run shows how the target numbers its events.
        self._step = 0
        return True

    def end_run(self) -> str | None:
        """Return why the end of a run cannot be the end of the stream."""
        if self._held_number is None:
            return None
        return f"events between {self._last_number} and {self._held_number} are missing"


def _parse_number(event_id: str | None) -> int | None:
    if event_id is None or len(event_id) > _MAX_DIGITS:
        return None
    return int(event_id) if event_id.isascii() and event_id.isdigit() else None
