"""Programs whose account is not at the first node of their ranking."""

from collections import OrderedDict

from fireflyspread.clock import Clock

__all__ = ["PlacedPrograms"]

# Seconds for which a program may pause, and programs remembered at most.
_TTL = 60.0
_MAX_PROGRAMS = 4096


class PlacedPrograms:
    """Remembers which node has taken over a program's account."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._nodes: OrderedDict[str, tuple[str, float]] = OrderedDict()

    def get(self, program: str) -> str | None:
        """Return the node that took over, or None."""
        node, used_at = self._nodes.get(program, (None, 0.0))
        if node is None or self._clock.read_monotonic() > used_at + _TTL:
            return None
        return node

    def set(self, program: str, node: str) -> None:
        """Remember that ``node`` has granted a turn of ``program``."""
        self._nodes[program] = (node, self._clock.read_monotonic())
        self._nodes.move_to_end(program)
        while len(self._nodes) > _MAX_PROGRAMS:
            self._nodes.popitem(last=False)
