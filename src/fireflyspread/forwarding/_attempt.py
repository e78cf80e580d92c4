"""One request on its way through placement, dispatch, stream and retry."""

import logging
from typing import Any

import xxhash

from fireflyspread.budgets import Reservation
from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    DeadlineError,
    Outcome,
    ReplicaCrashedError,
    TargetError,
    TargetUnreachableError,
)
from fireflyspread.forwarding._backend import Backend, Dispatch, Reply
from fireflyspread.forwarding._config import (
    ForwardingRoute,
    RouteKind,
    ServiceTraits,
    TeamPolicy,
)
from fireflyspread.forwarding._events import EventSplitter
from fireflyspread.forwarding._request import ForwardRequest, ResponseSink
from fireflyspread.routing import ReplicaDirectory, Result, Scheduler, Work

__all__ = ["Attempt"]

_LOG = logging.getLogger(__name__)

# Sends to one replica: a broken connection to a live replica is worth one more, since
# the replica keeps the prompt and another one might not be allowed.
_SENDS_TO_REPLICA = 2
# Replicas that may refuse a request before it is refused.
_MOST_REFUSALS = 6
# Bytes of an answer that are collected before any is passed on.
_COLLECTED_BYTES = 1 << 20
# Priorities of engines are 0 to 9 with 5 as the default. Programs that are late rank
# behind all others; they earn little any more.
_BASE_PRIORITY = 3
_MOST_RANK = 3
_LATE_PRIORITY = 8


class Attempt:
    """One attempt of a caller, until it is answered or given up."""

    def __init__(
        self,
        request: ForwardRequest,
        sink: ResponseSink,
        *,
        route: ForwardingRoute,
        team: TeamPolicy | None,
        traits: ServiceTraits | None,
        service: str,
        deadline: float,
        version: int,
        scheduler: Scheduler,
        directory: ReplicaDirectory,
        backend: Backend,
        clock: Clock,
    ) -> None:
        self.request = request
        self.route = route
        self.team = team
        self.service = service
        self.deadline = deadline
        self.may_have_run = False
        self.replica: str | None = None
        self._sink = sink
        self._traits = traits
        self._version = version
        self._scheduler = scheduler
        self._directory = directory
        self._backend = backend
        self._clock = clock
        self._splitter = EventSplitter()
        self._reservation: Reservation | None = None
        self._excluded: set[str] = set()
        self._ran: set[str] = set()
        self._sends = 0
        self._status = 0
        self._first_at = 0.0

    async def run(self, reservation: Reservation | None) -> None:
        """Run the request on replicas until one answers it.

        Raises
        ------
        FireflyError
            No replica answered it.
        """
        self._reservation = reservation
        while True:
            work = self._make_work()
            target = self._directory.get_target(self.service)
            ticket = await self._scheduler.acquire(work, target)
            self.replica = ticket.replica.name
            result = Result.CANCELLED
            try:
                await self._run_on(ticket.replica)
                result = Result.ANSWERED
                return
            except TargetError as exc:
                result = _classify(exc)
                self._excluded.add(ticket.replica.name)
                self._log_failure(exc, result)
                if not self._may_go_on(exc):
                    raise
            finally:
                self._scheduler.release(ticket, result)

    def _may_go_on(self, exc: TargetError) -> bool:
        if len(self._excluded) > _MOST_REFUSALS:
            return False
        if exc.outcome is Outcome.NOT_RUN and not self.may_have_run:
            return True
        if not self.route.is_repeatable:
            return False
        # A replica that accepts no connection has ended, so its run does not count.
        if isinstance(exc, TargetUnreachableError) and self.replica:
            self._ran.discard(self.replica)
        return len(self._ran) < self.route.max_replicas

    async def _run_on(self, replica: Replica) -> None:
        """Send to one replica, once more when its connection breaks."""
        for last in (False, True):
            try:
                await self._send(replica)
                return
            except TargetUnreachableError:
                raise
            except ReplicaCrashedError as exc:
                self._ran.add(replica.name)
                self._splitter.drop_rest()
                if last or not self.route.is_repeatable:
                    raise
                self._log_failure(exc, Result.BROKEN)

    async def _send(self, replica: Replica) -> None:
        remaining = self.deadline - self._clock.read_monotonic()
        if remaining <= 0:
            raise DeadlineError("the time of the request was up; allow more")
        self._sends += 1
        had_run, self.may_have_run = self.may_have_run, True
        dispatch = Dispatch(
            remaining=remaining,
            priority=self._rank(),
            team=None if self.team is None else self.team.name,
            last_event=self._splitter.last_id or self.request.last_event,
            is_repeatable=self.route.is_repeatable,
        )
        try:
            reply = await self._backend.send(self.request, replica, dispatch)
            try:
                await self._relay(reply, replica)
            finally:
                await reply.close()
        except TargetError as exc:
            if exc.outcome is Outcome.NOT_RUN:
                self.may_have_run = had_run
            raise

    async def _relay(self, reply: Reply, replica: Replica) -> None:
        if reply.load is not None:
            self._scheduler.report_load(replica.name, reply.load)
        if reply.is_refusal or reply.is_wrong_instance:
            raise TargetError(
                f"replica {replica.name} refused with {reply.status}; try another",
                outcome=Outcome.NOT_RUN,
            )
        self._check_status(reply, replica)
        if self.route.kind is RouteKind.STREAM and reply.status == 200:
            await self._relay_stream(reply, replica)
        else:
            await self._relay_whole(reply, replica)

    def _check_status(self, reply: Reply, replica: Replica) -> None:
        """Raise if another run may give a better answer."""
        if reply.status < 500 and not (self._sink.is_started and reply.status != 200):
            return
        self._ran.add(replica.name)
        may_repeat = self.route.is_repeatable and (
            len(self._ran) < self.route.max_replicas
        )
        if may_repeat or self._sink.is_started:
            raise TargetError(f"replica {replica.name} answered {reply.status}; retry")

    async def _relay_stream(self, reply: Reply, replica: Replica) -> None:
        if not self._sink.is_started:
            self._status = reply.status
            self._first_at = self._clock.read_monotonic()
            await self._sink.start(reply.status, reply.headers)
        async for chunk in reply.iterate():
            whole, events = self._splitter.feed(chunk)
            if whole:
                self._charge(events)
                await self._sink.write(whole)
        if self._splitter.has_rest:
            raise ReplicaCrashedError(
                f"replica {replica.name} ended its stream inside an event; resume it"
            )
        await self._sink.finish()

    def _charge(self, events: int) -> None:
        engine = None if self._traits is None else self._traits.engine
        if self._reservation is not None and engine is not None:
            self._reservation.spend(events * engine.stride)

    async def _relay_whole(self, reply: Reply, replica: Replica) -> None:
        """Pass an answer on once it is complete, or as it comes when it is large."""
        body = bytearray()
        async for chunk in reply.iterate():
            body += chunk
            if len(body) >= _COLLECTED_BYTES:
                await self._start_whole(reply, None)
                await self._sink.write(bytes(body))
                body.clear()
        await self._start_whole(reply, len(body))
        if body:
            await self._sink.write(bytes(body))
        await self._sink.finish()

    async def _start_whole(self, reply: Reply, length: int | None) -> None:
        if self._sink.is_started:
            return
        self._status = reply.status
        headers = list(reply.headers)
        if length is not None:
            headers.append(("Content-Length", str(length)))
        await self._sink.start(reply.status, headers)

    def _rank(self) -> int | None:
        if self._traits is None or self._traits.engine is None:
            return None
        program = self.request.program
        if program is not None and program.remaining is not None:
            waited = self._clock.read_monotonic() - self.request.received_at
            if program.remaining - waited < 0:
                return _LATE_PRIORITY
        rank = self.route.priority
        if self.team is not None and self.team.priority is not None:
            rank = self.team.priority
        return _BASE_PRIORITY + min(_MOST_RANK, max(0, rank))

    def _make_work(self) -> Work:
        request = self.request
        prompt = request.prompt
        program = request.program
        return Work(
            request=f"{request.id}#{self._sends}",
            team="" if self.team is None else self.team.name,
            weight=1.0,
            program=program.program if program else request.id,
            fingerprint=xxhash.xxh3_128_hexdigest(
                b"\0".join((request.target.encode(), request.body))
            ),
            cost=float(prompt.expected_tokens) if prompt else 1.0,
            deadline=self.deadline,
            excluded=frozenset(self._excluded),
            parts=prompt.parts if prompt else (),
        )

    def _log_failure(self, exc: TargetError, result: Result) -> None:
        _LOG.info(
            "replica failed a request: %s",
            exc.message,
            extra={
                "request": self.request.id,
                "replica": self.replica,
                "result": result,
                "may_have_run": self.may_have_run,
                "event": self._splitter.last_id,
                "attempt": self._sends,
            },
        )

    def describe(self, seconds: float) -> dict[str, Any]:
        """Return the fields of the line that tells how the request ended."""
        program, prompt = self.request.program, self.request.prompt
        return {
            "request": self.request.id,
            "program": None if program is None else program.program,
            "team": None if self.team is None else self.team.name,
            "route": self.route.name,
            "target": self.service,
            "replica": self.replica,
            "attempt": self._sends,
            "version": self._version,
            "status": self._status,
            "seconds": seconds,
            "first": round(max(0.0, self._first_at - self.request.received_at), 4),
            "event": self._splitter.last_id,
            "parts": None if prompt is None else len(prompt.parts),
            "prompt": None if prompt is None else prompt.input_tokens,
            "budget": None if program is None else program.budget,
            "program_left": None if program is None else program.remaining,
        }


def _classify(exc: TargetError) -> Result:
    match exc:
        case TargetUnreachableError():
            return Result.UNREACHABLE
        case _ if exc.outcome is Outcome.NOT_RUN:
            return Result.REFUSED
        case _:
            return Result.BROKEN
