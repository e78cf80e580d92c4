"""Handlers that run turns, attach to them and replay them."""

import asyncio
from collections.abc import Coroutine
from typing import Any

import msgspec
from aiohttp import web

from fireflyspread.callers._bodies import (
    ChatBody,
    TurnBody,
    decode_body,
    decode_messages,
    read_turn_header,
)
from fireflyspread.callers._chat import (
    extract_new_messages,
    make_completion,
    make_end_events,
    make_replay_events,
)
from fireflyspread.callers._context import Context
from fireflyspread.callers._deadlines import read_deadline
from fireflyspread.callers._responses import EventWriter, make_json_response
from fireflyspread.callers._turns import TurnRunner, TurnSpec
from fireflyspread.exceptions import FireflyError, NotFoundError, RequestError
from fireflyspread.nodes import Identity
from fireflyspread.programs import Program, RunningTurn, StepKind, compute_digest
from fireflyspread.recovery import TurnRecorded

__all__ = ["TurnHandlers", "find_program"]

_DEFAULT_TIMEOUT = 60.0  # seconds


def find_program(context: Context, request: web.Request, identity: Identity) -> Program:
    """Return the program that a request names; raises ``NotFoundError``."""
    program_id = request.match_info.get("id", "")
    program_id = program_id or request.headers.get("X-Program-Id", "")
    return context.programs.find(identity.team, program_id)


class TurnHandlers:
    """Handlers that run at the node that owns a program."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._turns = TurnRunner(context)

    async def run_turn(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Run, attach to or replay a turn; ``POST /v1/programs/{id}/turns``."""
        program = find_program(self._context, request, identity)
        turn = decode_body(body, TurnBody)
        decode_messages(turn.messages)
        spec = self._make_spec(
            request, turn.turn, turn.model, bytes(turn.messages), turn.max_tokens
        )
        return await self._handle_turn(request, program, spec, is_stream=turn.stream)

    async def run_chat(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Run a turn sent as a chat completion."""
        program = find_program(self._context, request, identity)
        chat = decode_body(body, ChatBody)
        number = read_turn_header(request)
        new = extract_new_messages(program, number, chat.messages)
        decode_messages(msgspec.Raw(new))
        spec = self._make_spec(request, number, chat.model, new, chat.max_answer_tokens)
        return await self._handle_turn(request, program, spec, is_stream=chat.stream)

    async def run_first_turn(
        self, request: web.Request, program: Program, chat: ChatBody
    ) -> web.StreamResponse:
        """Run the only turn of a program that was opened for it."""
        messages = bytes(chat.messages)
        spec = self._make_spec(request, 1, chat.model, messages, chat.max_answer_tokens)
        return await self._handle_turn(request, program, spec, is_stream=chat.stream)

    async def read_turn(
        self, request: web.Request, body: bytes, identity: Identity
    ) -> web.StreamResponse:
        """Return the answer of a turn as events.

        A running turn continues after the event in ``Last-Event-ID``. A recorded turn
        is replayed from the start, with the whole text in one event.
        """
        program = find_program(self._context, request, identity)
        number = int(request.match_info["turn"])
        running = program.running
        if running is not None and running.number == number:
            return await self._attach_to_turn(request, program, running)
        if not 1 <= number <= len(program.turns):
            raise NotFoundError(f"turn {number} has not been sent")
        return await self._replay_turn(
            request, program, program.turns[number - 1], is_stream=True
        )

    async def _handle_turn(
        self, request: web.Request, program: Program, spec: TurnSpec, *, is_stream: bool
    ) -> web.StreamResponse:
        step = program.accept_turn(spec.number, spec.request_digest)
        if step.kind is StepKind.REPLAY and step.record is not None:
            return await self._replay_turn(
                request, program, step.record, is_stream=is_stream
            )
        assert step.running is not None
        if step.kind is StepKind.START:
            return await self._start_turn(
                request, program, step.running, spec, is_stream=is_stream
            )
        if is_stream:
            return await self._attach_to_turn(request, program, step.running)
        await step.running.answer.wait_closed()
        record = program.turns[spec.number - 1]
        return await self._replay_turn(request, program, record, is_stream=False)

    async def _start_turn(
        self,
        request: web.Request,
        program: Program,
        running: RunningTurn,
        spec: TurnSpec,
        *,
        is_stream: bool,
    ) -> web.StreamResponse:
        if not is_stream:
            result = await self._turns.run(program, running, spec, None)
            return make_json_response(
                make_completion(
                    program.id, spec.model, result.record, result.durability
                )
            )
        writer = self._make_writer(request)

        async def run() -> None:
            result = await self._turns.run(program, running, spec, writer)
            end = make_end_events(program.id, result.record, result.durability)
            await writer.write(end)

        return await self._run_stream(writer, run())

    async def _attach_to_turn(
        self, request: web.Request, program: Program, running: RunningTurn
    ) -> web.StreamResponse:
        writer = self._make_writer(request)

        async def follow() -> None:
            async for event in running.answer.read(_read_first_event_number(request)):
                await writer.write(event)
            record = program.turns[running.number - 1]
            durability = await self._context.ownership.commit(allow_pending=True)
            await writer.write(make_end_events(program.id, record, durability))

        return await self._run_stream(writer, follow())

    async def _run_stream(
        self, writer: EventWriter, work: Coroutine[Any, Any, None]
    ) -> web.StreamResponse:
        """Await ``work``, which writes events, and end the stream with its error."""
        try:
            await work
        except FireflyError as exc:
            return await writer.fail(exc)
        except asyncio.CancelledError:
            error = self._context.guard.take_error()
            if error is None:
                raise
            return await writer.fail(error)
        return await writer.finish()

    async def _replay_turn(
        self,
        request: web.Request,
        program: Program,
        record: TurnRecorded,
        *,
        is_stream: bool,
    ) -> web.StreamResponse:
        # The record may still be queued; it is committed before it is sent again.
        durability = await self._context.ownership.commit(allow_pending=True)
        if not is_stream:
            return make_json_response(
                make_completion(program.id, "", record, durability)
            )
        writer = self._make_writer(request)
        await writer.write(make_replay_events(program.id, record, durability))
        return await writer.finish()

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
        default = _DEFAULT_TIMEOUT if route is None else route.timeout
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


def _read_first_event_number(request: web.Request) -> int:
    text = request.headers.get("Last-Event-ID", "")
    return int(text) + 1 if text.isdigit() else 0
