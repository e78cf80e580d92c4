"""Model turns of programs, from the reservation to the record."""

import logging
import secrets

import msgspec
from attrs import frozen

from fireflyspread.bundle import ActiveBundle, Replica, Route, Target, TargetKind
from fireflyspread.callers._cancellation import run_to_completion
from fireflyspread.callers._context import Context
from fireflyspread.callers._outcomes import correct_outcome
from fireflyspread.callers._recording import commit_turn
from fireflyspread.callers._responses import EventWriter
from fireflyspread.callers._results import classify_failure
from fireflyspread.engines import (
    EngineRequest,
    Usage,
    extract_answer,
    extract_partial,
)
from fireflyspread.exceptions import (
    CrossedAnswerError,
    DeadlineError,
    FireflyError,
    NotFoundError,
    Outcome,
    ReplicaCrashedError,
    RequestError,
    TargetError,
)
from fireflyspread.programs import Program, RunningTurn, compute_digest
from fireflyspread.recovery import (
    BudgetReserved,
    Durability,
    SessionHeld,
    TurnFailed,
    TurnRecorded,
)
from fireflyspread.routing import Result, Work

__all__ = ["TurnResult", "TurnRunner", "TurnSpec"]

_LOG = logging.getLogger(__name__)

_DONE = b"data: [DONE]\n\n"
# Interactive turns run before others at the engine.
_PRIORITY_INTERACTIVE = 0
_PRIORITY_NORMAL = 10


@frozen(kw_only=True)
class TurnSpec:
    """A turn as a caller requested it.

    Attributes
    ----------
    messages : bytes
        JSON array of the new messages.
    deadline : float
        Monotonic seconds.
    """

    number: int
    model: str
    messages: bytes
    max_tokens: int
    deadline: float
    request_digest: str


@frozen(kw_only=True)
class TurnResult:
    """The record, answer and usage of a completed turn."""

    record: TurnRecorded
    text: str
    usage: Usage
    durability: Durability


class TurnRunner:
    """Runs turns; each ``run`` runs one in the task of the caller's connection."""

    def __init__(self, context: Context) -> None:
        self._context = context

    async def run(
        self,
        program: Program,
        running: RunningTurn,
        spec: TurnSpec,
        writer: EventWriter | None,
    ) -> TurnResult:
        """Run a turn, stream it to ``writer`` if there is one, and record it.

        Raises
        ------
        FireflyError
            The turn did not complete; the outcome says whether it ran.
        """
        execution = _TurnExecution(self._context, program, running, spec, writer)
        try:
            await execution.reserve()
            text, usage = await execution.stream()
            return await run_to_completion(execution.record(text, usage))
        except BaseException as exc:
            execution.abort(exc)
            self._context.metrics.count("turns.failed")
            if execution.is_dispatched and isinstance(exc, FireflyError):
                correct_outcome(exc)
            raise


class _TurnExecution:
    """One turn from its reservation to its record."""

    def __init__(
        self,
        context: Context,
        program: Program,
        running: RunningTurn,
        spec: TurnSpec,
        writer: EventWriter | None,
    ) -> None:
        self._context = context
        self._program = program
        self._running = running
        self._spec = spec
        self._writer = writer
        self._active = context.bundles.get_active()
        self._route, self._target = _find_model(self._active, spec.model)
        self._max_tokens = 0
        self._events: list[bytes] = []
        self._text = ""
        self._version: str | None = None
        self._generated_tokens = 0
        self.is_dispatched = False

    async def reserve(self) -> None:
        """Reserve the most tokens the turn can use; take one request from the rate."""
        context, budget = self._context, self._program.budget
        context.ownership.check_authority()
        # A token has at least one byte, so the prompt has at most this many tokens.
        max_prompt_tokens = len(self._spec.messages)
        self._max_tokens = budget.fit_answer(max_prompt_tokens, self._spec.max_tokens)
        max_spent = max_prompt_tokens + self._max_tokens
        is_covered = budget.start(max_spent)
        await context.limiter.acquire(self._active.teams[self._program.team])
        if not is_covered:
            record = BudgetReserved(
                slot=self._program.slot, subject=self._program.id, reserved=max_spent
            )
            await context.ownership.commit(record, allow_pending=True)
            self._program.apply(record)

    async def stream(self) -> tuple[str, Usage]:
        """Run the turn, on further replicas if one fails, until it is complete."""
        excluded: set[str] = set()
        while True:
            work = self._make_work(frozenset(excluded))
            ticket = await self._context.scheduler.acquire(work, self._target)
            result = Result.CANCELLED
            usage = None
            try:
                usage = await self._run_on_replica(ticket.replica)
                result = Result.ANSWERED
                return self._text, usage
            except TargetError as exc:
                result = await classify_failure(exc, ticket.replica.url)
                excluded.add(ticket.replica.name)
                if self._generated_tokens >= self._max_tokens:
                    usage = await self._finish_at_token_limit()
                    return self._text, usage
                if not await self._may_retry(work):
                    raise
                _LOG.info(
                    "turn retried after %s", exc.code, extra=self._make_log_fields()
                )
            finally:
                used = 0 if usage is None else usage.computed_tokens
                self._context.scheduler.release(ticket, result, tokens=used)

    async def _may_retry(self, work: Work) -> bool:
        if not self._context.scheduler.may_retry(work):
            return False
        if not self.is_dispatched:
            return True
        # Each dispatch counts against the team's rate, retries included.
        try:
            team = self._active.teams[self._program.team]
            await self._context.limiter.acquire(team)
        except FireflyError:
            return False
        return True

    async def record(self, text: str, usage: Usage) -> TurnResult:
        """Commit the turn's record and settle its budget."""
        program, context = self._program, self._context
        answer = msgspec.json.encode({"role": "assistant", "content": text})
        added = _append_item(self._spec.messages, answer)
        spent = (
            max(0, usage.prompt_tokens - program.context_tokens)
            + usage.completion_tokens
        )
        next_reservation = len(self._spec.messages) + self._spec.max_tokens
        remaining = program.budget.remaining + program.budget.in_flight - spent
        record = TurnRecorded(
            slot=program.slot,
            subject=program.id,
            turn=self._spec.number,
            request_digest=self._spec.request_digest,
            added=added,
            answer=msgspec.json.encode(_make_usage(usage)),
            spent=spent,
            reserved=max(0, min(next_reservation, remaining)),
            chain=program.history.preview(added),
            context_tokens=usage.prompt_tokens + usage.completion_tokens,
        )
        durability = await commit_turn(context, program, record)
        if durability is Durability.PENDING:
            context.ownership.check_authority()
        if program.holder is not None:
            context.sessions.end_turn(program.id, program.holder, record.context_tokens)
        context.metrics.count("turns.recorded")
        context.metrics.count("tokens.generated", usage.completion_tokens)
        context.metrics.count("tokens.prompt.cached", usage.cached_tokens)
        computed = max(0, usage.prompt_tokens - usage.cached_tokens)
        context.metrics.count("tokens.prompt.computed", computed)
        return TurnResult(record=record, text=text, usage=usage, durability=durability)

    def abort(self, error: BaseException) -> None:
        """Charge the tokens used and let the caller repeat the turn."""
        program = self._program
        if program.running is not self._running:
            return
        if self.is_dispatched:
            max_spent = len(self._spec.messages) + len(self._text.encode())
            record = TurnFailed(
                slot=program.slot,
                subject=program.id,
                turn=self._spec.number,
                spent=min(program.budget.in_flight, max_spent),
            )
            self._context.ownership.enqueue(record)
            program.apply(record)
        else:
            program.budget.settle(0)
        program.stop_running(error if isinstance(error, Exception) else None)

    async def _run_on_replica(self, replica: Replica) -> Usage:
        """Run the rest of the turn on one replica."""
        request = self._make_request()
        events: list[bytes] = []
        self._hold_session(replica.name)
        was_dispatched, self.is_dispatched = self.is_dispatched, True
        try:
            async for chunk in self._context.engines.get(replica).stream(request):
                events.append(chunk)
                await self._forward(chunk)
            text, usage = extract_answer(b"".join(events))
        except BaseException as exc:
            # Tokens that the caller has received are part of the answer and charged.
            text, tokens = extract_partial(b"".join(events))
            self._text += text
            self._generated_tokens += tokens
            if text and self._version is None:
                self._version = replica.version
            if isinstance(exc, TargetError) and exc.outcome is Outcome.NOT_RUN:
                self.is_dispatched = was_dispatched or bool(events)
            if isinstance(exc, CrossedAnswerError | ReplicaCrashedError):
                self._program.holder = None
            raise
        self._text += text
        self._program.holder = replica.name
        return usage

    async def _finish_at_token_limit(self) -> Usage:
        """Complete an answer whose replica failed after the last requested token."""
        # Only engines count prompt tokens exactly, so the reserved maximum is charged.
        usage = Usage(
            prompt_tokens=self._program.context_tokens + len(self._spec.messages),
            cached_tokens=0,
            completion_tokens=self._generated_tokens,
        )
        end = {
            "object": "chat.completion.chunk",
            "choices": [{"index": 0, "delta": {}, "finish_reason": "length"}],
            "usage": _make_usage(usage),
        }
        await self._forward(b"data: " + msgspec.json.encode(end) + b"\n\n")
        return usage

    async def _forward(self, chunk: bytes) -> None:
        framed = []
        for event in chunk.split(b"\n\n")[:-1]:
            if event == b"data: [DONE]":
                continue
            number = len(self._events)
            framed.append(b"id: %d\n%b\n\n" % (number, event))
            self._events.append(event)
            self._running.answer.append(framed[-1])
        if framed and self._writer is not None:
            await self._writer.write(b"".join(framed))

    def _hold_session(self, replica: str) -> None:
        program = self._program
        self._context.sessions.begin_turn(program.id, replica)
        if replica in program.sessions:
            return
        record = SessionHeld(slot=program.slot, subject=program.id, replica=replica)
        # Not awaited: a session whose record is lost is found by the periodic
        # comparison of the engine's sessions with the open programs.
        self._context.ownership.enqueue(record)
        program.apply(record)

    def _make_work(self, excluded: frozenset[str]) -> Work:
        program, spec = self._program, self._spec
        if self._context.clock.read_monotonic() >= spec.deadline:
            raise DeadlineError("the deadline has passed; send the turn again")
        return Work(
            request=f"{program.id}-{spec.number}",
            team=program.team,
            weight=self._active.teams[program.team].weight,
            program=program.id,
            fingerprint=compute_digest(program.team.encode(), spec.messages),
            cost=float(len(spec.messages) // 4 + self._max_tokens),
            deadline=spec.deadline,
            is_interactive=self._route.interactive,
            attained_tokens=float(program.budget.spent),
            holder=program.holder,
            prefix_tokens=program.context_tokens,
            excluded=excluded,
            version=self._version,
        )

    def _make_request(self) -> EngineRequest:
        spec, text = self._spec, self._text
        messages = spec.messages
        if text:
            partial = msgspec.json.encode({"role": "assistant", "content": text})
            messages = _append_item(messages, partial)
        now = self._context.clock.read_monotonic()
        return EngineRequest(
            request_id=f"{self._program.id}-{spec.number}-{secrets.token_hex(4)}",
            model=spec.model,
            session_id=self._program.id,
            messages=msgspec.Raw(self._program.history.render(messages)),
            max_tokens=self._max_tokens - self._generated_tokens,
            priority=(
                _PRIORITY_INTERACTIVE if self._route.interactive else _PRIORITY_NORMAL
            ),
            timeout=max(0.001, spec.deadline - now),
            fence=self._active.fences.get(self._target.name, 0),
            is_continuation=bool(text),
        )

    def _make_log_fields(self) -> dict[str, str]:
        return {"program": self._program.id, "team": self._program.team}


def _find_model(active: ActiveBundle, model: str) -> tuple[Route, Target]:
    route = active.routes.get(model)
    if route is None:
        raise NotFoundError(f"no model {model!r}; use one of the bundle's routes")
    target = active.targets[route.target]
    if target.kind is not TargetKind.ENGINE:
        raise RequestError(f"route {model!r} is a service; call it under /calls")
    return route, target


def _append_item(array: bytes, item: bytes) -> bytes:
    inner = array.strip()[1:-1].strip()
    return b"[" + inner + (b"," if inner else b"") + item + b"]"


def _make_usage(usage: Usage) -> dict[str, object]:
    return {
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "prompt_tokens_details": {"cached_tokens": usage.cached_tokens},
    }
