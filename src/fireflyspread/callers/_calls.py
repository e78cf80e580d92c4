"""Calls to services and tools; non-idempotent calls run at most once."""

import asyncio
import logging
import secrets

from attrs import frozen

from fireflyspread.bundle import ActiveBundle, Route, Target, TargetKind
from fireflyspread.callers._cancellation import run_to_completion
from fireflyspread.callers._context import Context
from fireflyspread.callers._outcomes import correct_outcome
from fireflyspread.callers._results import classify_failure
from fireflyspread.exceptions import (
    DeadlineError,
    FireflyError,
    MayHaveRunError,
    MissingIdempotencyKeyError,
    NotFoundError,
    Outcome,
    RequestError,
    StaleFenceError,
    TargetError,
)
from fireflyspread.nodes import Identity
from fireflyspread.programs import compute_digest
from fireflyspread.recovery import IntentDeclared, OutcomeRecorded
from fireflyspread.routing import Result, Ticket, Work
from fireflyspread.tools import ServiceAnswer, ServiceRequest

__all__ = ["Call", "ServiceCaller", "find_service"]

_LOG = logging.getLogger(__name__)


@frozen(kw_only=True)
class Call:
    """One call of a service route.

    Attributes
    ----------
    deadline : float
        Monotonic seconds.
    program : str
        Id of the program that makes the call, or empty.
    attained_tokens : float
        Tokens the program has used so far.
    """

    route: Route
    target: Target
    identity: Identity
    content_type: str
    body: bytes
    deadline: float
    idempotency_key: str | None = None
    program: str = ""
    attained_tokens: float = 0.0

    @property
    def digest(self) -> str:
        """SHA-256 of the content type and the body."""
        return compute_digest(self.content_type.encode(), self.body)


def find_service(active: ActiveBundle, name: str) -> tuple[Route, Target]:
    """Return a service route and its target.

    Raises
    ------
    NotFoundError
        The route does not exist.
    RequestError
        The route leads to an engine.
    """
    route = active.routes.get(name)
    if route is None:
        raise NotFoundError(f"no route {name!r}; use one of the bundle's routes")
    target = active.targets[route.target]
    if target.kind is not TargetKind.SERVICE:
        raise RequestError(f"route {name!r} is a model; send a turn to it")
    return route, target


class ServiceCaller:
    """Calls services; each call runs in the task of the caller's connection."""

    def __init__(self, context: Context) -> None:
        self._context = context

    async def call(self, call: Call) -> ServiceAnswer:
        """Make a call and return the target's answer.

        Raises
        ------
        MissingIdempotencyKeyError
            The route is not idempotent and the call has no key.
        FireflyError
            The call was not answered; the outcome says whether it ran.
        """
        if call.route.idempotent:
            await self._admit(call)
            return await self._call_with_retries(call)
        if not call.idempotency_key:
            raise MissingIdempotencyKeyError(
                f"route {call.route.name!r} is not idempotent; send the header "
                "Idempotency-Key"
            )
        return await self._call_once(call)

    async def _admit(self, call: Call) -> None:
        context = self._context
        context.ownership.check_authority()
        team = context.bundles.get_active().teams.get(call.identity.team)
        if team is not None:
            await context.limiter.acquire(team)

    async def _call_with_retries(self, call: Call) -> ServiceAnswer:
        excluded: set[str] = set()
        is_dispatched = False
        try:
            while True:
                work = self._make_work(call, frozenset(excluded))
                ticket = await self._context.scheduler.acquire(work, call.target)
                try:
                    return await self._dispatch(call, ticket)
                except TargetError as exc:
                    is_dispatched |= exc.outcome is not Outcome.NOT_RUN
                    excluded.add(ticket.replica.name)
                    if not self._context.scheduler.may_retry(work):
                        raise
                    _LOG.info(
                        "call retried after %s", exc.code, extra=_make_log_fields(call)
                    )
                if is_dispatched:
                    # Each dispatch counts against the team's rate, retries included.
                    await self._admit(call)
        except FireflyError as exc:
            if is_dispatched:
                correct_outcome(exc)
            raise

    async def _call_once(self, call: Call) -> ServiceAnswer:
        intents = self._context.intents
        subject = intents.make_subject(call.identity.team, call.idempotency_key or "")
        record = intents.begin(subject, call.digest, call.route.name)
        if isinstance(record, OutcomeRecorded):
            return ServiceAnswer(
                status=record.status, content_type=record.content_type, body=record.body
            )
        progress = _Progress()
        try:
            answer = await self._run_intent(call, record, progress)
        except BaseException as exc:
            await run_to_completion(self._settle_failure(record, progress, exc))
            raise
        return await run_to_completion(self._record_outcome(record, answer))

    async def _run_intent(
        self, call: Call, declared: IntentDeclared, progress: "_Progress"
    ) -> ServiceAnswer:
        """Acquire a replica, declare the intent and dispatch the call, at most once."""
        context = self._context
        await self._admit(call)
        # The replica is acquired before the intent is committed, so that a call that
        # is queued or refused leaves no intent in the journal.
        work = self._make_work(call, frozenset())
        ticket = await context.scheduler.acquire(work, call.target)
        result = Result.CANCELLED
        try:
            progress.is_declared = True
            await context.ownership.commit(declared)
            context.ownership.check_authority()
            fence = self._find_fence(call.target)
            if not call.target.checks_fence:
                await context.fences.wait_until_drained(
                    call.target.name,
                    fence,
                    context.ownership.members,
                    timeout=self._compute_remaining_seconds(call),
                )
            with context.fences.act(call.target.name, fence):
                # A newer bundle may have become active while this call waited.
                if self._find_fence(call.target) != fence:
                    raise StaleFenceError(
                        f"target {call.target.name} changed its owner while the call "
                        "waited"
                    )
                progress.is_dispatched = True
                answer = await self._send(call, ticket)
            result = Result.ANSWERED
            return answer
        except StaleFenceError:
            result = Result.REFUSED
            progress.is_dispatched = False
            raise
        except TargetError as exc:
            result = await classify_failure(exc, ticket.replica.url)
            if exc.outcome is Outcome.NOT_RUN:
                progress.is_dispatched = False
                raise
            raise MayHaveRunError(
                f"target {call.target.name} received the request and sent no complete "
                f"answer ({exc.code}); the request may have run and will not be run "
                "again; ask the target's operator before you submit it again"
            ) from exc
        finally:
            context.scheduler.release(ticket, result)

    async def _settle_failure(
        self, declared: IntentDeclared, progress: "_Progress", error: BaseException
    ) -> None:
        intents, ownership = self._context.intents, self._context.ownership
        if progress.is_dispatched:
            intents.mark_unknown(declared)
            return
        abandoned = intents.abandon(declared)
        if progress.is_declared:
            ownership.enqueue(abandoned)
        if not isinstance(error, FireflyError | asyncio.CancelledError):
            _LOG.error("non-idempotent call failed before dispatch: %r", error)

    async def _record_outcome(
        self, declared: IntentDeclared, answer: ServiceAnswer
    ) -> ServiceAnswer:
        context = self._context
        record = OutcomeRecorded(
            slot=declared.slot,
            subject=declared.subject,
            status=answer.status,
            content_type=answer.content_type,
            body=answer.body,
            recorded_at=context.clock.read_wall(),
        )
        context.intents.apply(record)
        try:
            await context.ownership.commit(record, allow_pending=True)
        except FireflyError as exc:
            # The target has run the call, so its answer is returned. If this node fails
            # now, a repeated request is answered with ``may_have_run``.
            _LOG.warning("outcome of a call is not durable: %s", exc.message)
        return answer

    async def _dispatch(self, call: Call, ticket: Ticket) -> ServiceAnswer:
        result = Result.CANCELLED
        try:
            answer = await self._send(call, ticket)
            result = Result.ANSWERED
            return answer
        except TargetError as exc:
            result = await classify_failure(exc, ticket.replica.url)
            raise
        finally:
            self._context.scheduler.release(ticket, result)

    async def _send(self, call: Call, ticket: Ticket) -> ServiceAnswer:
        request = ServiceRequest(
            request_id=ticket.work.request,
            path=call.route.path,
            content_type=call.content_type,
            body=call.body,
            timeout=self._compute_remaining_seconds(call),
            idempotency_key=call.idempotency_key,
            fence=self._find_fence(call.target),
        )
        return await self._context.services.get(ticket.replica).call(request)

    def _find_fence(self, target: Target) -> int:
        return self._context.bundles.get_active().fences.get(target.name, 0)

    def _compute_remaining_seconds(self, call: Call) -> float:
        remaining_seconds = call.deadline - self._context.clock.read_monotonic()
        if remaining_seconds <= 0:
            raise DeadlineError("the deadline has passed; send the request again")
        return remaining_seconds

    def _make_work(self, call: Call, excluded: frozenset[str]) -> Work:
        self._compute_remaining_seconds(call)
        active = self._context.bundles.get_active()
        team = active.teams.get(call.identity.team)
        return Work(
            request=f"r-{secrets.token_hex(8)}",
            team=call.identity.team,
            weight=1.0 if team is None else team.weight,
            program=call.program,
            fingerprint=compute_digest(
                call.identity.team.encode(), call.route.name.encode(), call.body
            ),
            cost=1.0,
            deadline=call.deadline,
            is_interactive=call.route.interactive,
            attained_tokens=call.attained_tokens,
            excluded=excluded,
        )


class _Progress:
    """Steps that a non-idempotent call has reached."""

    def __init__(self) -> None:
        self.is_declared = False
        self.is_dispatched = False


def _make_log_fields(call: Call) -> dict[str, str]:
    return {"team": call.identity.team, "target": call.target.name}
