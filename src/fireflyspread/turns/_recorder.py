"""Records the answer of one turn until it is complete."""

from typing import Protocol

from fireflyspread._event_stream import iterate_events, parse_event
from fireflyspread.turns._turn import Turn, extract_data

__all__ = ["TurnRecorder", "make_partial_id"]

# Seconds for which a broken answer can be taken up again.
_PARTIAL_RETENTION = 30.0


def make_partial_id(request: str) -> str:
    """Return the id under which the events of a broken answer are remembered."""
    return f"partial/{request}"


class _Keeper(Protocol):
    async def keep(self, turn: Turn, aliases: tuple[Turn, ...] = ()) -> None: ...

    def remember(self, turn: Turn) -> None: ...

    def read_wall(self) -> float: ...


class TurnRecorder:
    """Collects the events of an answer; created by ``TurnKeeper.begin``.

    Attributes
    ----------
    body : bytes
        The chain and the new input, as the replica is to receive them.

    Parameters
    ----------
    zones : frozenset of str or None
        Zones of the nodes that may hold the turn; None allows all.
    """

    def __init__(
        self,
        keeper: _Keeper,
        *,
        request: str,
        team: str,
        parts: tuple[bytes, ...],
        retention: float,
        resumes: str | None,
        zones: frozenset[str] | None = None,
    ) -> None:
        self._keeper = keeper
        self._request = request
        self.team = team
        self._parts = parts
        self._retention = retention
        self._zones = None if zones is None else tuple(sorted(zones))
        # The request that brought the first event of the answer.
        self._origin = resumes or request
        self._events: list[bytes] = []
        self._is_kept = False
        self.body = b"".join(parts)

    def restore(self, events: bytes, last_event: str) -> bool:
        """Begin with the events of a broken answer up to the one with ``last_event``.

        Returns
        -------
        bool
            Whether there is such an event.
        """
        for event, end in iterate_events(events):
            if parse_event(event) == (True, last_event):
                self._events = [events[:end]]
                return True
        return False

    def add(self, events: bytes) -> None:
        """Record complete events before they are passed on."""
        self._events.append(events)

    async def finish(self) -> None:
        """Return once the complete turn is durable."""
        output = extract_data(b"".join(self._events))
        turn = self._make_turn(self._request, (*self._parts, output), self._retention)
        aliases: tuple[Turn, ...] = ()
        if self._origin != self._request:
            # The caller may name either of the requests that brought the answer.
            aliases = (self._make_turn(self._origin, turn.parts, self._retention),)
        await self._keeper.keep(turn, aliases)
        self._is_kept = True

    def save_partial(self) -> None:
        """Remember the events of an answer that broke off; it is not a turn."""
        if self._events and not self._is_kept:
            partial_id = make_partial_id(self._origin)
            events = (b"".join(self._events),)
            self._keeper.remember(
                self._make_turn(partial_id, events, _PARTIAL_RETENTION)
            )

    def _make_turn(
        self, turn_id: str, parts: tuple[bytes, ...], retention: float
    ) -> Turn:
        return Turn(
            id=turn_id,
            team=self.team,
            parts=parts,
            ended_at=self._keeper.read_wall(),
            retention=retention,
            zones=self._zones,
        )
