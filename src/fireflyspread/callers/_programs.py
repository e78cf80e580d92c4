"""Handlers that open, describe and end programs."""

import msgspec
from aiohttp import web

from fireflyspread.callers._bodies import (
    ChatBody,
    OpenBody,
    decode_body,
    decode_messages,
)
from fireflyspread.callers._cancellation import run_to_completion
from fireflyspread.callers._context import Context
from fireflyspread.callers._responses import make_json_response
from fireflyspread.callers._turn_handlers import TurnHandlers, find_program
from fireflyspread.exceptions import DrainingError, ProgramEndedError, RequestError
from fireflyspread.nodes import Identity
from fireflyspread.programs import Program
from fireflyspread.recovery import Durability, ProgramEnded, ProgramOpened, find_slot

__all__ = ["ProgramHandlers"]

# Reserved for the first turn when a program is opened. A failure of the node charges
# the reservation, so it is a fraction of the budget: it must not use up a small one.
_MAX_FIRST_RESERVATION_TOKENS = 2048
_FIRST_RESERVATION_DIVISOR = 8


class ProgramHandlers:
    """Handlers that run at the node that owns a program.

    Each takes the request, its body and the caller's identity.
    """

    def __init__(self, context: Context, turns: TurnHandlers) -> None:
        self._context = context
        self._turns = turns
        self.is_draining = False

    async def open(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Open a program; ``POST /v1/programs``."""
        self._require_not_draining()
        opening = decode_body(body, OpenBody)
        slots = self._context.ownership.owned_slots()
        program_id = self._context.programs.make_id(slots)
        return await self._open(program_id, opening.budget, identity, parent=None)

    async def open_child(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Open a sub-agent, whose budget is drawn from its parent's."""
        parent = find_program(self._context, request, identity)
        opening = decode_body(body, OpenBody)
        parent.budget.require(opening.budget)
        if parent.ended is not None:
            raise ProgramEndedError(
                "the parent has ended; open a program without a parent"
            )
        program_id = self._context.programs.make_id(frozenset([parent.slot]))
        return await self._open(program_id, opening.budget, identity, parent=parent.id)

    async def show(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Describe a program."""
        program = find_program(self._context, request, identity)
        return make_json_response(describe_program(program))

    async def read_history(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Return the whole history with its digest."""
        program = find_program(self._context, request, identity)
        # Records that are still queued are committed before they are shown.
        await self._context.ownership.commit(allow_pending=True)
        return make_json_response(
            {
                "id": program.id,
                "turns": len(program.turns),
                "chain": program.history.chain,
                "messages": msgspec.Raw(program.history.render()),
            }
        )

    async def end(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """End a program and its sub-agents."""
        program = find_program(self._context, request, identity)
        await self.end_program(program, "ended by caller")
        return make_json_response({"id": program.id, "ended": True})

    async def end_program(self, program: Program, reason: str) -> None:
        """End a program that is idle, its sub-agents first.

        Raises
        ------
        RequestError
            A turn of the program or of a sub-agent is running.
        """
        for child in self._context.programs.get_children(program.id):
            await self.end_program(child, reason)
        if program.ended is not None:
            return
        if program.running is not None:
            raise RequestError(
                "a turn is running; wait for its answer before ending the program"
            )
        record = ProgramEnded(
            slot=program.slot,
            subject=program.id,
            reason=reason,
            spent=program.budget.spent + program.budget.drawn,
        )
        self._context.programs.apply(record)
        self._context.sessions.release(program.id, frozenset(program.sessions))
        await run_to_completion(
            self._context.ownership.commit(record, allow_pending=True)
        )
        self._context.metrics.count("programs.ended")

    async def run_single_turn(
        self, request: web.Request, chat: ChatBody, identity: Identity
    ) -> web.StreamResponse:
        """Run a chat completion outside a program in a program of a single turn."""
        decode_messages(chat.messages)
        self._require_not_draining()
        program_id = self._context.programs.make_id(
            self._context.ownership.owned_slots()
        )
        budget = len(chat.messages) + chat.max_answer_tokens
        # No turn follows, so the whole budget is reserved for this one.
        await self._create_program(
            program_id, budget, identity, parent=None, reserved=budget
        )
        program = self._context.programs.find(identity.team, program_id)
        try:
            return await self._turns.run_first_turn(request, program, chat)
        finally:
            if program.ended is None and program.running is None:
                await run_to_completion(self.end_program(program, "single turn"))

    async def _open(
        self, program_id: str, budget: int, identity: Identity, *, parent: str | None
    ) -> web.StreamResponse:
        if budget < 1:
            raise RequestError(f"budget is {budget}; give at least 1 token")
        durability = await self._create_program(
            program_id,
            budget,
            identity,
            parent=parent,
            reserved=min(
                budget // _FIRST_RESERVATION_DIVISOR, _MAX_FIRST_RESERVATION_TOKENS
            ),
        )
        return make_json_response(
            {"id": program_id, "budget": budget, "durability": durability.value},
            status=201,
        )

    async def _create_program(
        self,
        program_id: str,
        budget: int,
        identity: Identity,
        *,
        parent: str | None,
        reserved: int,
    ) -> Durability:
        context = self._context
        context.ownership.check_authority()
        context.programs.require_capacity()
        opened = ProgramOpened(
            slot=find_slot(program_id),
            subject=program_id,
            team=identity.team,
            budget=budget,
            reserved=reserved,
            opened_at=context.clock.read_wall(),
            parent=parent,
        )
        context.programs.apply(opened)
        durability = await run_to_completion(
            context.ownership.commit(opened, allow_pending=True)
        )
        context.metrics.count("programs.opened")
        return durability

    def _require_not_draining(self) -> None:
        if self.is_draining:
            raise DrainingError("this node is shutting down; try another node")


def describe_program(program: Program) -> dict[str, object]:
    """Return the state of a program as callers see it."""
    budget = program.budget
    return {
        "id": program.id,
        "team": program.team,
        "parent": program.opened.parent,
        "next_turn": len(program.turns) + 1,
        "running": program.running is not None,
        "budget": budget.limit,
        "spent": budget.spent,
        "drawn": budget.drawn,
        "remaining": budget.remaining,
        "ended": None if program.ended is None else program.ended.reason,
        "chain": program.history.chain,
    }
