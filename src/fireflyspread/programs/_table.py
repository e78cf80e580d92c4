"""Programs of the slots that this node owns."""

import secrets
from collections import defaultdict
from collections.abc import Iterable, Iterator

from fireflyspread.clock import Clock
from fireflyspread.exceptions import NotFoundError, OverloadedError
from fireflyspread.programs._program import Program
from fireflyspread.recovery import (
    BudgetReserved,
    ProgramEnded,
    ProgramOpened,
    ProgramSnapshot,
    Record,
    SlotState,
    find_slot,
)

__all__ = ["ProgramTable"]

# With 256 slots, an id in the slot of the parent takes 256 attempts on average; the
# probability that 100,000 attempts find none is below 1e-160.
_MAX_ID_ATTEMPTS = 100_000


class ProgramTable(SlotState):
    """Programs by slot and id.

    A sub-agent is in the slot of its parent, so that both always have the same owner
    and one journal orders all draws on the parent's budget.

    Parameters
    ----------
    max_programs : int
        Maximum number of programs on this node.
    retention : float
        Seconds for which an ended program stays readable.
    """

    def __init__(
        self, clock: Clock, *, max_programs: int = 20_000, retention: float = 600.0
    ) -> None:
        self._clock = clock
        self._max_programs = max_programs
        self._retention = retention
        self._slots: dict[int, dict[str, Program]] = defaultdict(dict)
        self._children: dict[str, set[str]] = defaultdict(set)
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[Program]:
        for programs in list(self._slots.values()):
            yield from list(programs.values())

    def make_id(self, slots: frozenset[int]) -> str:
        """Return a new random program id that belongs to one of ``slots``."""
        for _ in range(_MAX_ID_ATTEMPTS):
            candidate = "p-" + secrets.token_hex(12)
            if find_slot(candidate) in slots:
                return candidate
        raise OverloadedError("this node owns no slot yet; try another node")

    def find(self, team: str, program_id: str) -> Program:
        """Return a program of ``team``.

        Raises
        ------
        NotFoundError
            No such program. The message is the same for programs of other teams.
        """
        program = self.get(program_id)
        if program is None or program.team != team:
            raise NotFoundError(f"no program {program_id!r}; open one first")
        return program

    def get(self, program_id: str) -> Program | None:
        """Return the program or None."""
        return self._slots.get(find_slot(program_id), {}).get(program_id)

    def get_children(self, program_id: str) -> tuple[Program, ...]:
        """Return the sub-agents of a program."""
        found = (self.get(child) for child in self._children.get(program_id, ()))
        return tuple(child for child in found if child is not None)

    def require_capacity(self) -> None:
        """Raise ``OverloadedError`` when the table is full."""
        if self._count >= self._max_programs:
            raise OverloadedError(
                f"this node has reached its limit of {self._max_programs} programs; "
                "try again later",
                retry_after=5.0,
            )

    def apply(self, record: Record) -> None:
        """Apply a record, live or from a journal."""
        match record:
            case ProgramOpened():
                self._insert(Program.from_record(record))
                self._draw(record.parent, record.budget)
            case ProgramSnapshot():
                self._replace(Program.from_snapshot(record))
            case _:
                program = self.get(record.subject)
                if program is None:
                    return
                if isinstance(record, ProgramEnded) and program.ended is None:
                    unused = program.opened.budget - record.spent
                    self._draw(program.opened.parent, -unused)
                program.apply(record)
                program.last_active = self._clock.read_monotonic()

    def restore(self, slots: frozenset[int], records: Iterable[Record]) -> None:
        kept = [record for record in records if record.slot in slots]
        self.drop(slots)
        for record in kept:
            self.apply(record)
        for program in self._iterate(slots):
            program.budget.charge_reservation()
        self._recompute_draws(slots)

    def snapshot(self, slots: frozenset[int]) -> tuple[Record, ...]:
        return tuple(
            program.snapshot()
            for program in self._iterate(slots)
            if not self._is_expired(program)
        )

    def settle(self, slots: frozenset[int]) -> tuple[Record, ...]:
        records = []
        for program in self._iterate(slots):
            if program.budget.reserved and program.running is None:
                # Reset here too, in case the release fails and this node stays owner.
                program.budget.reserved = 0
                records.append(
                    BudgetReserved(slot=program.slot, subject=program.id, reserved=0)
                )
        return tuple(records)

    def drop(self, slots: frozenset[int]) -> None:
        for slot in slots:
            for program in list(self._slots.pop(slot, {}).values()):
                self._forget(program)

    def is_idle(self, slots: frozenset[int]) -> bool:
        return all(program.running is None for program in self._iterate(slots))

    def expire(self) -> int:
        """Remove ended programs past the retention period; return how many."""
        expired = [program for program in self if self._is_expired(program)]
        for program in expired:
            self._slots[program.slot].pop(program.id, None)
            self._forget(program)
        return len(expired)

    def _iterate(self, slots: Iterable[int]) -> Iterator[Program]:
        for slot in slots:
            yield from list(self._slots.get(slot, {}).values())

    def _is_expired(self, program: Program) -> bool:
        idle = self._clock.read_monotonic() - program.last_active
        return (
            program.ended is not None
            and not program.sessions
            and idle > self._retention
        )

    def _insert(self, program: Program) -> None:
        if program.id not in self._slots[program.slot]:
            self._count += 1
        program.last_active = self._clock.read_monotonic()
        self._slots[program.slot][program.id] = program
        if program.opened.parent is not None:
            self._children[program.opened.parent].add(program.id)

    def _replace(self, program: Program) -> None:
        self._insert(program)

    def _forget(self, program: Program) -> None:
        self._count -= 1
        program.stop_running()
        self._children.pop(program.id, None)
        if program.opened.parent in self._children:
            self._children[program.opened.parent].discard(program.id)

    def _draw(self, parent: str | None, amount: int) -> None:
        program = self.get(parent) if parent is not None else None
        if program is not None:
            program.budget.drawn += amount

    def _recompute_draws(self, slots: frozenset[int]) -> None:
        # Snapshots contain no draws; the records of the sub-agents determine them.
        for program in self._iterate(slots):
            program.budget.drawn = sum(
                child.opened.budget if child.ended is None else child.ended.spent
                for child in self.get_children(program.id)
            )
