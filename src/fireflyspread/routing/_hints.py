"""Which replica holds the prefix of which program."""

from attrs import define

__all__ = ["CacheHints", "Hint"]


@define(frozen=True)
class Hint:
    """A replica that may hold a prefix of ``tokens`` tokens."""

    replica: str
    tokens: int


class CacheHints:
    """What this node believes of the KV caches; a wrong hint costs only time.

    Parameters
    ----------
    capacity : int
        Programs remembered; the one recorded longest ago is dropped first.
    """

    def __init__(self, *, capacity: int = 100_000) -> None:
        self._capacity = capacity
        self._hints: dict[str, Hint] = {}
        self._programs: dict[str, set[str]] = {}

    def get(self, program: str) -> Hint | None:
        """Return the hint of a program."""
        return self._hints.get(program)

    def record(self, program: str, replica: str, tokens: int) -> None:
        """Take note that a replica has answered a turn of ``tokens`` tokens."""
        self.forget(program)
        if len(self._hints) >= self._capacity:
            self.forget(next(iter(self._hints)))
        self._hints[program] = Hint(replica, tokens)
        self._programs.setdefault(replica, set()).add(program)

    def forget(self, program: str) -> None:
        """Drop the hint of a program."""
        hint = self._hints.pop(program, None)
        if hint is not None:
            programs = self._programs[hint.replica]
            programs.discard(program)
            if not programs:
                del self._programs[hint.replica]

    def evict(self, replica: str, programs: tuple[str, ...]) -> None:
        """Take note that a replica has evicted programs."""
        held = self._programs.get(replica, set())
        for program in held.intersection(programs):
            self.forget(program)

    def expire(self, replica: str) -> None:
        """Drop all hints of a replica whose events were missed."""
        for program in tuple(self._programs.get(replica, ())):
            self.forget(program)
