"""Recent turns in the memory of a process."""

from collections import OrderedDict

from fireflyspread.clock import Clock
from fireflyspread.turns._turn import Turn

__all__ = ["TurnMemory"]


class TurnMemory:
    """Turns by id; those that were added first make room for new ones.

    Parameters
    ----------
    max_bytes : int
        Bytes of all chains together. Parts that chains share are counted in each.
    """

    def __init__(self, clock: Clock, *, max_bytes: int) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        self._turns: OrderedDict[str, Turn] = OrderedDict()
        self.size = 0

    def __len__(self) -> int:
        return len(self._turns)

    def add(self, turn: Turn) -> None:
        """Remember a turn, and drop those that have expired or exceed the maximum."""
        self.discard(turn.id)
        self._turns[turn.id] = turn
        self.size += turn.size
        now = self._clock.read_wall()
        while self._turns:
            oldest = next(iter(self._turns.values()))
            if self.size <= self._max_bytes and not oldest.has_expired(now):
                return
            self.discard(oldest.id)

    def get(self, turn_id: str) -> Turn | None:
        """Return a turn; None if it is unknown or has expired."""
        turn = self._turns.get(turn_id)
        if turn is None or turn.has_expired(self._clock.read_wall()):
            return None
        return turn

    def discard(self, turn_id: str) -> None:
        """Forget a turn."""
        turn = self._turns.pop(turn_id, None)
        if turn is not None:
            self.size -= turn.size
