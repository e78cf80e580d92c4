"""Administration of programs, and expiry of idle programs."""

import asyncio
import logging
from collections.abc import Sequence
from contextlib import suppress

from fireflyspread.callers import CallerApi, Context
from fireflyspread.exceptions import FireflyError, NotFoundError, ProgramEndedError
from fireflyspread.operators import ProgramAdmin, ProgramView
from fireflyspread.programs import Program

__all__ = ["NodePrograms", "expire_programs"]

_LOG = logging.getLogger(__name__)

_EXPIRY_INTERVAL = 5.0  # seconds


class NodePrograms(ProgramAdmin):
    """Administration of the programs that this node owns."""

    def __init__(self, context: Context, api: CallerApi) -> None:
        self._context = context
        self._api = api

    async def list_programs(
        self, *, team: str | None = None, limit: int = 100
    ) -> Sequence[ProgramView]:
        found = [
            program
            for program in self._context.programs
            if program.ended is None and team in (None, program.team)
        ]
        found.sort(key=lambda program: program.last_active)
        return [self._view(program) for program in found[:limit]]

    async def read_program(self, program: str) -> ProgramView:
        return self._view(self._find(program))

    async def end_program(self, program: str, *, operator: str) -> ProgramView:
        found = self._find(program)
        if found.ended is not None:
            raise ProgramEndedError(f"program {program!r} has ended already")
        self._context.guard.stop_program(program)
        if found.running is not None:
            with suppress(FireflyError):
                await found.running.answer.wait_closed()
        await self._api.programs.end_program(found, f"ended by operator {operator}")
        return self._view(found)

    def _find(self, program_id: str) -> Program:
        program = self._context.programs.get(program_id)
        if program is None:
            raise NotFoundError(
                f"this node does not own program {program_id!r}; ask the other nodes"
            )
        return program

    def _view(self, program: Program) -> ProgramView:
        state = "running" if program.running is not None else "idle"
        idle = self._context.clock.read_monotonic() - program.last_active
        return ProgramView(
            id=program.id,
            team=program.team,
            state="ended" if program.ended is not None else state,
            turns=len(program.turns),
            budget=program.budget.limit,
            spent=program.budget.spent,
            reserved=program.budget.reserved,
            idle=round(idle, 3),
            node=self._context.settings.node.name,
            parent=program.opened.parent,
        )


async def expire_programs(context: Context, api: CallerApi) -> None:
    """End idle programs, and forget ended programs after their retention time."""
    timeout = context.settings.timing.program_idle_timeout
    while True:
        await asyncio.sleep(_EXPIRY_INTERVAL)
        now = context.clock.read_monotonic()
        for program in context.programs:
            is_idle = program.ended is None and program.running is None
            if not is_idle or now - program.last_active < timeout:
                continue
            try:
                await api.programs.end_program(program, "idle too long")
            except FireflyError as exc:
                _LOG.warning("cannot end idle program: %s", exc.message)
        context.programs.expire()
        context.intents.expire()
