"""Handlers for programs: open, turns, calls, history, end."""

import msgspec
from aiohttp import web

from fireflyspread.callers._bodies import (
    EMPTY_MESSAGES,
    ChatBody,
    OpenBody,
    TurnBody,
    decode_body,
    decode_messages,
    read_turn_header,
)
from fireflyspread.callers._calls import Call, ServiceCaller, find_service
from fireflyspread.callers._chat import (
    make_completion,
    make_end_events,
    make_replay_events,
    take_new_messages,
)
from fireflyspread.callers._completion import complete
from fireflyspread.callers._context import Context
from fireflyspread.callers._deadlines import read_deadline
from fireflyspread.callers._identity import Identity
from fireflyspread.callers._remote import call_through_owner
from fireflyspread.callers._responses import EventWriter, make_json_response
from fireflyspread.callers._turns import TurnRunner, TurnSpec
from fireflyspread.exceptions import (
    DrainingError,
    FireflyError,
    NotFoundError,
    RequestError,
)
from fireflyspread.programs import (
    Program,
    RunningTurn,
    Step,
    StepKind,
    compute_digest,
)
from fireflyspread.recovery import (
    Durability,
    ProgramEnded,
    ProgramOpened,
    TurnRecorded,
    find_slot,
)

__all__ = ["ProgramHandlers"]

# Reserved for the first turn when a program is opened, in tokens.
_FIRST_RESERVATION = 2048


class ProgramHandlers:
    """Handlers that run at the owner node of a program.

    Each takes the request, its body and the caller's identity.
    """

    def __init__(self, context: Context) -> None:
        self._context = context
        self._turns = TurnRunner(context)
        self._services = ServiceCaller(context)
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
        """Open a sub-agent that draws on its parent's budget."""
        parent = self._find(request, identity)
        opening = decode_body(body, OpenBody)
        parent.budget.require(opening.budget)
        if parent.ended is not None:
            raise RequestError("the parent has ended; open a program of its own")
        program_id = self._context.programs.make_id(frozenset([parent.slot]))
        return await self._open(program_id, opening.budget, identity, parent=parent.id)

    async def show(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Describe a program."""
        program = self._find(request, identity)
        budget = program.budget
        return make_json_response(
            {
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
        )

    async def read_history(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Return the whole history with its digest."""
        program = self._find(request, identity)
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
        program = self._find(request, identity)
        await self.end_program(program, "ended by caller")
        return make_json_response({"id": program.id, "ended": True})

    async def end_program(self, program: Program, reason: str) -> None:
        """End a program that is idle, its sub-agents first."""
        for child in self._context.programs.get_children(program.id):
            await self.end_program(child, reason)
        if program.ended is not None:
            return
        if program.running is not None:
            raise RequestError("a turn is running; wait for its answer, then end")
        record = ProgramEnded(
            slot=program.slot,
            subject=program.id,
            reason=reason,
            spent=program.budget.spent + program.budget.drawn,
        )
        self._context.programs.apply(record)
        await complete(self._context.ownership.commit(record, may_pend=True))

    async def run_turn(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Run, join or replay a turn; ``POST /v1/programs/{id}/turns``."""
        program = self._find(request, identity)
        turn = decode_body(body, TurnBody)
        decode_messages(turn.messages)
        spec = self._make_spec(
            request, turn.turn, turn.model, bytes(turn.messages), turn.max_tokens
        )
        return await self._take_step(request, program, spec, is_stream=turn.stream)

    async def run_chat(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Run a turn sent in the chat completions form."""
        program = self._find(request, identity)
        chat = decode_body(body, ChatBody)
        number = read_turn_header(request)
        new = take_new_messages(program, number, chat.messages)
        decode_messages(msgspec.Raw(new))
        spec = self._make_spec(request, number, chat.model, new, chat.wanted)
        return await self._take_step(request, program, spec, is_stream=chat.stream)

    async def run_single(
        self, request: web.Request, chat: ChatBody, identity: Identity
    ) -> web.StreamResponse:
        """Run a chat completion that belongs to no program, as one of a single turn."""
        decode_messages(chat.messages)
        messages = bytes(chat.messages)
        self._require_not_draining()
        program_id = self._context.programs.make_id(
            self._context.ownership.owned_slots()
        )
        budget = len(messages) + chat.wanted
        await self._insert(program_id, budget, identity, parent=None)
        program = self._context.programs.find(identity.team, program_id)
        spec = self._make_spec(request, 1, chat.model, messages, chat.wanted)
        try:
            return await self._take_step(request, program, spec, is_stream=chat.stream)
        finally:
            await complete(self.end_program(program, "single turn"))

    async def read_turn(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Return the rest of an answer; ``Last-Event-ID`` names the last event seen."""
        program = self._find(request, identity)
        number = int(request.match_info["turn"])
        running = program.running
        if running is not None and running.number == number:
            return await self._attach(request, program, running)
        if not 1 <= number <= len(program.turns):
            raise NotFoundError(f"turn {number} has not been sent")
        return await self._replay(request, program, program.turns[number - 1], True)

    async def run_call(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Call a tool or service as the next turn of a program."""
        program = self._find(request, identity)
        active = self._context.bundles.get_active()
        route, target = find_service(active, request.match_info["route"])
        number = read_turn_header(request)
        content_type = request.headers.get("Content-Type", "application/octet-stream")
        digest = compute_digest(route.name.encode(), content_type.encode(), body)
        step = program.find_step(number, digest)
        if step.kind is StepKind.ATTACH and step.running is not None:
            async for _ in step.running.answer.read():
                pass
            step = program.find_step(number, digest)
        if step.kind is StepKind.REPLAY and step.record is not None:
            return await self._replay_call(step.record)
        call = Call(
            route=route,
            target=target,
            identity=identity,
            content_type=content_type,
            body=body,
            deadline=read_deadline(request, self._context.clock, route.timeout),
            idempotency_key=request.headers.get("Idempotency-Key"),
            program=program.id,
            attained=float(program.budget.spent),
        )
        return await self._run_call(program, call, number, digest)

    async def _run_call(
        self, program: Program, call: Call, number: int, digest: str
    ) -> web.StreamResponse:
        running = program.running
        assert running is not None
        try:
            # A call costs one token, so that a loop of calls ends with the budget.
            program.budget.start(1)
            if call.route.idempotent:
                answer = await self._services.call(call)
            else:
                answer = await call_through_owner(self._context, self._services, call)
        except BaseException as exc:
            program.budget.settle(0)
            if program.running is running:
                program.stop_running(exc if isinstance(exc, Exception) else None)
            raise
        recorded = {
            "status": answer.status,
            "content_type": answer.content_type,
            "body": answer.body,
        }
        record = TurnRecorded(
            slot=program.slot,
            subject=program.id,
            turn=number,
            request_digest=digest,
            added=bytes(EMPTY_MESSAGES),
            answer=msgspec.msgpack.encode(recorded),
            spent=1,
            reserved=program.budget.plan_reservation(program.budget.reserved),
            chain=program.history.preview(bytes(EMPTY_MESSAGES)),
            context_tokens=program.context_tokens,
        )
        await complete(self._record_call(program, running, record))
        return _make_call_response(record)

    async def _record_call(
        self, program: Program, running: RunningTurn, record: TurnRecorded
    ) -> None:
        try:
            await self._context.ownership.commit(record, may_pend=True)
        finally:
            self._context.programs.apply(record)
            running.answer.close()
            program.running = None

    async def _replay_call(self, record: TurnRecorded) -> web.StreamResponse:
        await self._context.ownership.commit(may_pend=True)
        return _make_call_response(record)

    async def _open(
        self, program_id: str, budget: int, identity: Identity, *, parent: str | None
    ) -> web.StreamResponse:
        if budget < 1:
            raise RequestError(f"budget is {budget}; give at least 1 token")
        durability = await self._insert(program_id, budget, identity, parent=parent)
        return make_json_response(
            {"id": program_id, "budget": budget, "durability": durability.value},
            status=201,
        )

    async def _insert(
        self, program_id: str, budget: int, identity: Identity, *, parent: str | None
    ) -> Durability:
        context = self._context
        context.ownership.check_authority()
        context.programs.require_room()
        slot = find_slot(program_id)
        opened = ProgramOpened(
            slot=slot,
            subject=program_id,
            team=identity.team,
            budget=budget,
            reserved=min(budget, _FIRST_RESERVATION),
            opened_at=context.clock.read_wall(),
            parent=parent,
        )
        context.programs.apply(opened)
        durability = await complete(context.ownership.commit(opened, may_pend=True))
        context.metrics.count("programs.opened")
        return durability

    async def _take_step(
        self, request: web.Request, program: Program, spec: TurnSpec, *, is_stream: bool
    ) -> web.StreamResponse:
        step: Step = program.find_step(spec.number, spec.request_digest)
        if step.kind is StepKind.REPLAY and step.record is not None:
            return await self._replay(request, program, step.record, is_stream)
        assert step.running is not None
        if step.kind is StepKind.ATTACH:
            if is_stream:
                return await self._attach(request, program, step.running)
            async for _ in step.running.answer.read():
                pass
            record = program.turns[spec.number - 1]
            return await self._replay(request, program, record, False)
        return await self._start(request, program, step.running, spec, is_stream)

    async def _start(
        self,
        request: web.Request,
        program: Program,
        running: RunningTurn,
        spec: TurnSpec,
        is_stream: bool,
    ) -> web.StreamResponse:
        if not is_stream:
            silent = _SilentWriter()
            result = await self._turns.run(program, running, spec, silent)
            return make_json_response(
                make_completion(
                    program.id, spec.model, result.record, result.durability
                )
            )
        writer = self._make_writer(request)
        try:
            result = await self._turns.run(program, running, spec, writer)
            await writer.write(
                make_end_events(program.id, result.record, result.durability)
            )
        except FireflyError as exc:
            return await writer.fail(exc)
        return await writer.finish()

    async def _attach(
        self, request: web.Request, program: Program, running: RunningTurn
    ) -> web.StreamResponse:
        writer = self._make_writer(request)
        try:
            async for event in running.answer.read(_read_position(request)):
                await writer.write(event)
            record = program.turns[running.number - 1]
            durability = await self._context.ownership.commit(may_pend=True)
            await writer.write(make_end_events(program.id, record, durability))
        except FireflyError as exc:
            return await writer.fail(exc)
        return await writer.finish()

    async def _replay(
        self,
        request: web.Request,
        program: Program,
        record: TurnRecorded,
        is_stream: bool,
    ) -> web.StreamResponse:
        # The record may still wait for the store: it is kept before it is repeated.
        durability = await self._context.ownership.commit(may_pend=True)
        if not is_stream:
            return make_json_response(
                make_completion(program.id, "", record, durability)
            )
        writer = self._make_writer(request)
        await writer.write(make_replay_events(program.id, record, durability))
        return await writer.finish()

    def _find(self, request: web.Request, identity: Identity) -> Program:
        program_id = request.match_info.get("id", "")
        program_id = program_id or request.headers.get("X-Program-Id", "")
        return self._context.programs.find(identity.team, program_id)

    def _make_spec(
        self,
        request: web.Request,
        number: int,
        model: str,
        messages: bytes,
        max_tokens: int,
    ) -> TurnSpec:
        if max_tokens < 1:
            raise RequestError(f"max_tokens is {max_tokens}; give at least 1")
        route = self._context.bundles.get_active().routes.get(model)
        default = 60.0 if route is None else route.timeout
        return TurnSpec(
            number=number,
            model=model,
            messages=messages,
            max_tokens=max_tokens,
            deadline=read_deadline(request, self._context.clock, default),
            request_digest=compute_digest(model.encode(), messages),
        )

    def _make_writer(self, request: web.Request) -> EventWriter:
        timeout = self._context.settings.timing.write_timeout
        return EventWriter(request, timeout=timeout)

    def _require_not_draining(self) -> None:
        if self.is_draining:
            raise DrainingError("this node is shutting down; try another node")


class _SilentWriter(EventWriter):
    """Discards events of a turn whose caller wants the whole answer at once."""

    def __init__(self) -> None:
        pass

    async def write(self, events: bytes) -> None:
        return


def _read_position(request: web.Request) -> int:
    text = request.headers.get("Last-Event-ID", "")
    return int(text) + 1 if text.isdigit() else 0


def _make_call_response(record: TurnRecorded) -> web.Response:
    recorded = msgspec.msgpack.decode(record.answer)
    response = web.Response(body=recorded["body"], status=recorded["status"])
    response.headers["Content-Type"] = recorded["content_type"]
    response.headers["X-Turn"] = str(record.turn)
    return response
