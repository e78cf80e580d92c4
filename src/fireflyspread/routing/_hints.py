"""Hints about which replica has which program's prefix in its KV cache."""

from attrs import define

__all__ = ["CacheHint", "CacheHints"]


@define(frozen=True)
class CacheHint:
    """A replica that may have a prefix of ``tokens`` tokens in its KV cache."""

    replica: str
    tokens: int


class CacheHints:
    """This node's view of the KV caches; a wrong hint costs only time.

    Parameters
    ----------
    max_programs : int
        When there are more, the hint recorded longest ago is dropped.
    """

    def __init__(self, *, max_programs: int = 100_000) -> None:
        self._max_programs = max_programs
        self._hints: dict[str, CacheHint] = {}
        self._programs_by_replica: dict[str, set[str]] = {}

    def get(self, program: str) -> CacheHint | None:
        """Return the hint of a program."""
        return self._hints.get(program)

    def record(self, program: str, replica: str, tokens: int) -> None:
        """Record that a replica has answered a turn of ``tokens`` tokens."""
        self.forget(program)
        if len(self._hints) >= self._max_programs:
            self.forget(next(iter(self._hints)))
        self._hints[program] = CacheHint(replica, tokens)
        self._programs_by_replica.setdefault(replica, set()).add(program)

    def forget(self, program: str) -> None:
        """Drop the hint of a program."""
        hint = self._hints.pop(program, None)
        if hint is not None:
            programs = self._programs_by_replica[hint.replica]
            programs.discard(program)
            if not programs:
                del self._programs_by_replica[hint.replica]

    def evict(self, replica: str, programs: tuple[str, ...]) -> None:
        """Drop the hints of programs that a replica has evicted."""
        held = self._programs_by_replica.get(replica, set())
        for program in held.intersection(programs):
            self.forget(program)

    def expire(self, replica: str) -> None:
        """Drop all hints of a replica whose events were missed."""
        for program in tuple(self._programs_by_replica.get(replica, ())):
            self.forget(program)
