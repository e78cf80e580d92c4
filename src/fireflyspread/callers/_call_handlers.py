"""Handlers of service calls, inside and outside of programs."""

import msgspec
from aiohttp import web

from fireflyspread.callers._bodies import EMPTY_MESSAGES, read_turn_header
from fireflyspread.callers._calls import Call, ServiceCaller, find_service
from fireflyspread.callers._cancellation import run_to_completion
from fireflyspread.callers._context import Context
from fireflyspread.callers._deadlines import read_deadline
from fireflyspread.callers._outcomes import correct_outcome
from fireflyspread.callers._recording import commit_turn
from fireflyspread.callers._remote import call_through_owner
from fireflyspread.callers._turn_handlers import find_program
from fireflyspread.exceptions import FireflyError
from fireflyspread.nodes import Identity
from fireflyspread.programs import Program, RunningTurn, StepKind, compute_digest
from fireflyspread.recovery import TurnRecorded
from fireflyspread.tools import ServiceAnswer

__all__ = ["CallHandlers"]

_DEFAULT_CONTENT_TYPE = "application/octet-stream"


class _RecordedAnswer(msgspec.Struct):
    status: int
    content_type: str
    body: bytes


class CallHandlers:
    """Handlers that run at the owner of a program or of a call's intent."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._services = ServiceCaller(context)

    async def call(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Call a service outside of a program; ``POST /v1/services/{route}``."""
        call = self._make_call(request, body, identity, program=None)
        return _make_response(await self._services.call(call))

    async def run_call(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Call a service as the next turn of a program."""
        program = find_program(self._context, request, identity)
        call = self._make_call(request, body, identity, program=program)
        number = read_turn_header(request)
        digest = compute_digest(call.route.name.encode(), call.digest.encode())
        step = program.accept_turn(number, digest)
        if step.kind is StepKind.ATTACH and step.running is not None:
            await step.running.answer.wait_closed()
            step = program.accept_turn(number, digest)
        if step.kind is StepKind.REPLAY and step.record is not None:
            # The record may still be queued; it is committed before it is sent again.
            await self._context.ownership.commit(allow_pending=True)
            return _make_recorded_response(step.record)
        assert step.running is not None
        return await self._run_call(program, step.running, call, digest)

    async def _run_call(
        self, program: Program, running: RunningTurn, call: Call, digest: str
    ) -> web.StreamResponse:
        try:
            # A call costs one token, so that the budget ends an endless loop of calls.
            program.budget.start(1)
            answer = await self._call_service(call)
        except BaseException as exc:
            if program.running is running:
                program.budget.settle(0)
                program.stop_running(exc if isinstance(exc, Exception) else None)
            raise
        record = self._make_record(program, running, answer, digest)
        try:
            await run_to_completion(commit_turn(self._context, program, record))
        except FireflyError as exc:
            if program.running is running:
                program.budget.settle(0)
                program.stop_running(exc)
            correct_outcome(exc)
            raise
        return _make_recorded_response(record)

    async def _call_service(self, call: Call) -> ServiceAnswer:
        if call.route.idempotent:
            return await self._services.call(call)
        return await call_through_owner(self._context, self._services, call)

    def _make_record(
        self,
        program: Program,
        running: RunningTurn,
        answer: ServiceAnswer,
        digest: str,
    ) -> TurnRecorded:
        added = bytes(EMPTY_MESSAGES)
        recorded = _RecordedAnswer(
            status=answer.status, content_type=answer.content_type, body=answer.body
        )
        return TurnRecorded(
            slot=program.slot,
            subject=program.id,
            turn=running.number,
            request_digest=digest,
            added=added,
            answer=msgspec.msgpack.encode(recorded),
            spent=1,
            reserved=program.budget.limit_reservation(program.budget.reserved),
            chain=program.history.preview(added),
            context_tokens=program.context_tokens,
        )

    def _make_call(
        self,
        request: web.Request,
        body: bytes,
        identity: Identity,
        *,
        program: Program | None,
    ) -> Call:
        active = self._context.bundles.get_active()
        route, target = find_service(active, request.match_info["route"])
        return Call(
            route=route,
            target=target,
            identity=identity,
            content_type=request.headers.get("Content-Type", _DEFAULT_CONTENT_TYPE),
            body=body,
            deadline=read_deadline(request, self._context.clock, route.timeout),
            idempotency_key=request.headers.get("Idempotency-Key"),
            program="" if program is None else program.id,
            attained_tokens=0.0 if program is None else float(program.budget.spent),
        )


def _make_response(answer: ServiceAnswer) -> web.Response:
    response = web.Response(body=answer.body, status=answer.status)
    response.headers["Content-Type"] = answer.content_type
    return response


def _make_recorded_response(record: TurnRecorded) -> web.Response:
    recorded = msgspec.msgpack.decode(record.answer, type=_RecordedAnswer)
    response = web.Response(body=recorded.body, status=recorded.status)
    response.headers["Content-Type"] = recorded.content_type
    response.headers["X-Turn"] = str(record.turn)
    return response
