"""Places one request, sends it, relays the answer and retries."""

import asyncio
import logging
from collections.abc import Sequence
from typing import Any

from fireflyspread.budgets import Reservation
from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    DeadlineError,
    NoConnectionError,
    Outcome,
    OverloadedError,
    RateLimitedError,
    ReplicaCrashedError,
    StreamVersionError,
    TargetError,
    TargetUnreachableError,
    UnexpectedAnswerError,
)
from fireflyspread.forwarding._answer_buffers import AnswerBuffers
from fireflyspread.forwarding._backend import Backend, Dispatch, Framing, Reply
from fireflyspread.forwarding._config import (
    ForwardingRoute,
    RouteKind,
    ServiceTraits,
    TeamPolicy,
)
from fireflyspread.forwarding._event_order import EventOrder, EventSteps
from fireflyspread.forwarding._events import EventSplitter, contains_event
from fireflyspread.forwarding._fingerprint import compute_fingerprint
from fireflyspread.forwarding._priority import compute_priority
from fireflyspread.forwarding._replica_watch import ReplicaWatch
from fireflyspread.forwarding._request import ForwardRequest, ResponseSink
from fireflyspread.forwarding._stream_memory import StreamOrigin
from fireflyspread.forwarding._stream_versions import StreamVersions
from fireflyspread.forwarding._work import compute_start_deadline, make_work
from fireflyspread.routing import (
    NO_HOMES,
    Homes,
    ReplicaDirectory,
    Result,
    Scheduler,
    Ticket,
    Work,
)
from fireflyspread.turns import TurnRecorder

__all__ = ["Attempt"]

_LOG = logging.getLogger(__name__)

# Sends to one replica. After a broken connection the request is sent once more to the
# same replica if it is still up: it has the prompt cached, and the route may not allow
# another replica.
_MAX_SENDS_PER_REPLICA = 2
# Maximum wait for the replica's limit before that, and for a connection to it: seconds,
# and fraction of the time until the deadline. Callers abort a stream after 2 s without
# data.
_MAX_RESEND_WAIT = 0.8
_MAX_RESEND_WAIT_FRACTION = 1 / 3
# Seconds between attempts to get a connection for it; the client waits for one too.
_RESEND_INTERVAL = 0.02
# Replicas that may fail a request before the caller gets the failure.
_MAX_FAILED_REPLICAS = 6
# Bytes of an answer that is no stream; a faulty replica may send them without end.
_MAX_ANSWER_BYTES = 64 << 20

# Statuses below 500 that a replica may answer before it runs a request.
_EARLY_STATUSES = frozenset({408, 413, 421, 425, 429, 431})
_LOST = frozenset({Result.UNREACHABLE, Result.CRASHED, Result.CANCELLED})
# The replica may run the request although nobody waits for it.
_LEFT_RUNNING = frozenset({Result.CANCELLED, Result.ABANDONED})


class Attempt:
    """One request of a caller, until it is answered or has failed.

    The request may be sent several times; the log field ``attempt`` counts the sends.

    Parameters
    ----------
    traits : ServiceTraits or None
        Properties of ``service``; None if the configuration has no such service.
    deadline : float
        Monotonic seconds.
    version : int
        Version of the configuration that admitted the request.
    homes : Homes
        Zones to which the request and its body may go.
    recorder : TurnRecorder or None
        Keeps the answer as a turn; None if the route does not keep turns.

    Attributes
    ----------
    may_have_run : bool
        Whether a replica may have run the request.
    replica : str or None
        Replica on which the request was placed last.
    fingerprint : str
        Equal for all attempts of a team with the same request.
    stream_version : str or None
        Software version of the replica that brought the first event of the stream.
        Only replicas of this version may go on with it.
    """

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
        stream_versions: StreamVersions,
        backend: Backend,
        clock: Clock,
        watch: ReplicaWatch,
        buffers: AnswerBuffers,
        event_steps: EventSteps,
        homes: Homes = NO_HOMES,
        recorder: TurnRecorder | None = None,
    ) -> None:
        self.request = request
        self.route = route
        self.team = team
        self.service = service
        self.deadline = deadline
        self.may_have_run = False
        self.replica: str | None = None
        self.stream_version: str | None = None
        self._replica_version = ""
        self._sink = sink
        self._traits = traits
        self._version = version
        self._homes = homes
        self._scheduler = scheduler
        self._directory = directory
        self._stream_versions = stream_versions
        self._backend = backend
        self._watch = watch
        self._buffers = buffers
        self._recorder = recorder
        self._clock = clock
        self._event_steps = event_steps
        self._splitter = EventSplitter(
            # Replicas get the position also where the route no longer allows resuming.
            EventOrder(
                after=request.last_event_id or None, step=event_steps.get(service)
            )
        )
        self._runs = 0
        self._events = 0
        # Id of the event after which the current run is to go on.
        self._position: str | None = None
        self._reservation: Reservation | None = None
        self._ticket: Ticket | None = None
        self._failed_replicas: set[str] = set()
        self._ran_on: set[str] = set()
        self._broken_on: set[str] = set()
        self._sends = 0
        self._has_started_body = False
        self._status = 0
        self._media_type = ""
        self._framing: Framing | None = None
        self._received_bytes = 0
        self._rate_limit: float | None = None
        self._slowdown: float | None = None
        self._sent_at = 0.0
        self._first_byte_at = 0.0
        # When the caller last received data, or sent the request.
        self._last_data_at = request.received_at
        self.fingerprint = compute_fingerprint(request, team)

    async def prepare(self) -> None:
        """Find the version at which a stream that the caller takes up may go on.

        Raises
        ------
        StreamVersionError
            The version is not known, or no replica of it is left.
        """
        if self.route.kind is not RouteKind.STREAM or not self.request.last_event_id:
            return
        self.stream_version = await self._stream_versions.find(
            self.request.resumes, self.service
        )
        replicas = self._directory.get_target(self.service).replicas
        if not any(replica.version == self.stream_version for replica in replicas):
            raise StreamVersionError(
                f"{self.service} has no replica of version {self.stream_version}, "
                "which began the stream; send the request again from its start"
            )

    async def run(self, reservation: Reservation | None) -> None:
        """Send the request to replicas until one of them answers it.

        Raises
        ------
        FireflyError
            No replica answered the request.
        """
        self._reservation = reservation
        while True:
            work = self._make_work()
            target = self._directory.get_target(self.service)
            ticket = await self._scheduler.acquire(work, target)
            self._ticket = ticket
            self.replica = ticket.replica.name
            self._replica_version = ticket.replica.version
            result = Result.CANCELLED
            sends = self._sends
            try:
                await self._run_on_replica(ticket)
                result = self._classify_answer()
                return
            except TargetError as exc:
                result = self._classify(exc, ticket.replica)
                # Remains a crash if the deadline passes during the probe, because a VM
                # that is down does not answer.
                if result is Result.CRASHED:
                    result = await self._verify_crash(exc, ticket.replica)
                if not self._directory.has_restarted(ticket.replica):
                    self._failed_replicas.add(ticket.replica.name)
                self._log_failure(exc, result)
                if not self._may_retry(exc, result):
                    raise
            finally:
                if result is Result.CANCELLED:
                    result = self._classify_cancellation(ticket.replica, sends)
                self._scheduler.release(ticket, result)
                if result in _LEFT_RUNNING:
                    self._watch.watch(ticket.replica, deadline=self.deadline)

    def _classify_cancellation(self, replica: Replica, sends_before: int) -> Result:
        if self._sends == sends_before:
            return Result.UNSENT
        if self._received_bytes or self._backend.is_path_broken(replica):
            return Result.ABANDONED
        return Result.CANCELLED

    def _classify_answer(self) -> Result:
        may_be_unrun = self._status >= 500 or self._status in _EARLY_STATUSES
        return Result.FAILED if may_be_unrun else Result.ANSWERED

    def _classify(self, exc: TargetError, replica: Replica) -> Result:
        match exc:
            case TargetUnreachableError() if replica.name in self._broken_on:
                return Result.CRASHED
            case TargetUnreachableError():
                return Result.UNREACHABLE
            case _ if exc.outcome is Outcome.NOT_RUN:
                return Result.REFUSED
            case UnexpectedAnswerError():
                return Result.BROKEN
            case ReplicaCrashedError():
                return Result.CRASHED
            case _:
                return Result.BROKEN

    async def _verify_crash(self, exc: TargetError, replica: Replica) -> Result:
        """Return whether a replica crashed, or only the connection or path broke."""
        if self._directory.is_replaced(replica):
            return Result.CRASHED
        is_path_broken = self._backend.is_path_broken(replica)
        if not is_path_broken and not isinstance(exc, ReplicaCrashedError):
            return Result.CRASHED
        if not await self._backend.accepts_connection(replica):
            return Result.CRASHED
        if self._backend.is_path_broken(replica):
            # No fault of the replica.
            return Result.CANCELLED
        return Result.BROKEN

    def _may_retry(self, exc: TargetError, result: Result) -> bool:
        if len(self._failed_replicas) > _MAX_FAILED_REPLICAS:
            return False
        if exc.outcome is Outcome.NOT_RUN and not self.may_have_run:
            return True
        if not self._may_repeat():
            return False
        # The run on a replica that has stopped or is cut off does not count. The
        # quarantine bounds the number of replicas that a request crashes.
        if result in _LOST and self.replica:
            self._ran_on.discard(self.replica)
        return len(self._ran_on) < self.route.max_replicas

    def _may_repeat(self) -> bool:
        """Return whether the request may run again.

        Unlike a stream, a body cannot be continued by another run. Neither can a stream
        behind an event without an id.
        """
        return (
            self.route.is_repeatable
            and not self._has_started_body
            and self._splitter.order.can_go_on
        )

    async def _run_on_replica(self, ticket: Ticket) -> None:
        """Send to one replica, and once more if the connection breaks."""
        replica = ticket.replica
        for last in (False, True):
            try:
                await (self._resend(replica) if last else self._send(replica))
                return
            except TargetUnreachableError:
                raise
            except ReplicaCrashedError as exc:
                self._ran_on.add(replica.name)
                self._broken_on.add(replica.name)
                if last or not self._may_repeat():
                    raise
                if isinstance(exc, UnexpectedAnswerError):
                    raise
                if not self._directory.has_version(replica) or (
                    self._directory.is_replaced(replica)
                ):
                    raise
                self._log_failure(exc, Result.BROKEN)
                if not await self._may_resend(ticket):
                    raise

    async def _resend(self, replica: Replica) -> None:
        """Send once more, when this node has a free connection to the replica.

        The route may allow no other replica after the first send, so the request would
        fail as one that may have run.
        """
        until = self._clock.read_monotonic() + self._compute_resend_wait()
        while True:
            try:
                await self._send(replica)
                return
            except NoConnectionError:
                if self._clock.read_monotonic() >= until:
                    raise
            await asyncio.sleep(_RESEND_INTERVAL)

    def _compute_resend_wait(self) -> float:
        remaining = self.deadline - self._clock.read_monotonic()
        return min(_MAX_RESEND_WAIT, _MAX_RESEND_WAIT_FRACTION * remaining)

    async def _may_resend(self, ticket: Ticket) -> bool:
        """Return whether the scheduler admits another send, after a wait."""
        max_wait = self._compute_resend_wait()
        try:
            await self._scheduler.acquire_resend(ticket, max_wait=max_wait)
        except (OverloadedError, RateLimitedError):
            return False
        return True

    async def _send(self, replica: Replica) -> None:
        remaining = self.deadline - self._clock.read_monotonic()
        if remaining <= 0:
            raise DeadlineError("the deadline of the request passed; allow more time")
        if reason := self._directory.find_exclusion(replica):
            raise TargetError(
                f"replica {replica.name} {reason}; try another",
                outcome=Outcome.NOT_RUN,
            )
        self._sends += 1
        self._framing, self._received_bytes, self._rate_limit = None, 0, None
        self._sent_at = self._clock.read_monotonic()
        may_have_run_before, self.may_have_run = self.may_have_run, True
        dispatch = Dispatch(
            remaining=remaining,
            priority=self._compute_priority(),
            team=None if self.team is None else self.team.name,
            last_event_id=self._splitter.last_id or self.request.last_event_id,
            is_repeatable=self.route.is_repeatable,
            relay_zones=self._homes.node_zones,
        )
        try:
            reply = await self._backend.send(self.request, replica, dispatch)
            try:
                await self._relay(reply, replica)
            finally:
                await reply.close()
        except TargetError as exc:
            if exc.outcome is Outcome.NOT_RUN:
                self.may_have_run = may_have_run_before
            raise

    async def _relay(self, reply: Reply, replica: Replica) -> None:
        self._framing = reply.framing
        if reply.load is not None:
            self._scheduler.report_load(replica.name, reply.load)
            if reply.load.has_slowdown:
                self._slowdown = reply.load.slowdown
        if reply.is_wrong_instance:
            self._directory.record_other_instance(replica)
        else:
            if reply.is_leaving:
                self._directory.mark_leaving(replica)
            self._rate_limit = reply.rate_limit
            self._scheduler.report_limit(
                replica, reply.rate_limit, sent_at=self._sent_at
            )
        if reply.is_refusal or reply.is_wrong_instance:
            raise TargetError(
                f"replica {replica.name} refused with {reply.status}; try another",
                outcome=Outcome.NOT_RUN,
            )
        self._check_status(reply, replica)
        if self.route.kind is RouteKind.STREAM and reply.status == 200:
            await self._relay_stream(reply, replica)
        else:
            await self._relay_body(reply, replica)

    def _check_status(self, reply: Reply, replica: Replica) -> None:
        """Raise ``TargetError`` if a retry may give a better answer."""
        if reply.status < 500 and not (self._sink.is_started and reply.status != 200):
            return
        self._ran_on.add(replica.name)
        may_repeat = self.route.is_repeatable and (
            len(self._ran_on) < self.route.max_replicas
        )
        if may_repeat or self._sink.is_started:
            raise TargetError(f"replica {replica.name} answered {reply.status}; retry")

    async def _relay_stream(self, reply: Reply, replica: Replica) -> None:
        if not self._sink.is_started:
            self._status = reply.status
            self._first_byte_at = self._clock.read_monotonic()
            self._media_type = _get_media_type(reply)
            await self._sink.start(reply.status, self._select_stream_headers(reply))
        elif _get_media_type(reply) != self._media_type:
            self._ran_on.add(replica.name)
            raise TargetError(
                f"replica {replica.name} went on with a stream of {self._media_type} "
                f"by {_get_media_type(reply)}; resume it elsewhere"
            )
        has_event = False
        self._runs += 1
        self._position = self._splitter.last_id or self.request.last_event_id
        self._splitter.begin_run()
        async for chunk in reply.iterate():
            self._received_bytes += len(chunk)
            complete, events = self._splitter.feed(chunk)
            if complete:
                if not has_event and contains_event(complete):
                    has_event = True
                    self._record_begin(replica)
                self._events += events
                self._charge_budget(events)
                if self._recorder is not None:
                    self._recorder.add(complete)
                await self._sink.write(complete)
                self._last_data_at = self._clock.read_monotonic()
            self._check_order(replica)
        if self._splitter.has_partial_event:
            raise ReplicaCrashedError(
                f"replica {replica.name} ended the stream inside an event; resume it"
            )
        self._splitter.end_run()
        self._check_order(replica)
        if reply.framing is Framing.CONNECTION and not has_event:
            raise ReplicaCrashedError(
                f"replica {replica.name} closed the connection before the first event "
                "of the stream; resume it"
            )
        if self._recorder is not None:
            # Before the caller sees the end, after which it may continue from the turn.
            await self._recorder.finish()
        self._record_step(self._splitter.order.observed_step_of_runs)
        await self._sink.finish()

    def _check_order(self, replica: Replica) -> None:
        """Raise ``TargetError`` if the run does not go on where the stream was."""
        if self._splitter.fault is not None:
            self._ran_on.add(replica.name)
            self._record_step(self._splitter.order.observed_step)
            raise TargetError(
                f"replica {replica.name} sent events out of order: "
                f"{self._splitter.fault}; resume the stream elsewhere"
            )

    def _record_step(self, step: int | None) -> None:
        if step is not None:
            self._event_steps.record(self.service, step)

    def _select_stream_headers(self, reply: Reply) -> Sequence[tuple[str, str]]:
        if self._recorder is None:
            return reply.headers
        # The last byte of a body with a length would tell its end too early.
        return [each for each in reply.headers if each[0].lower() != "content-length"]

    def save_partial(self) -> None:
        """Remember the events of a kept turn whose answer broke off."""
        if self._recorder is not None:
            self._recorder.save_partial()

    def _record_begin(self, replica: Replica) -> None:
        if self._runs > 1 or self.request.last_event_id:
            _LOG.info(
                "stream goes on at a replica",
                extra={
                    "request": self.request.id,
                    "resumes": self.request.resumes,
                    "replica": replica.name,
                    "replica_version": replica.version,
                    "after": self._position,
                    "event": self._splitter.last_id,
                    "runs": self._runs,
                },
            )
        if self._ticket is not None:
            self._scheduler.record_begin(self._ticket)
        if self.stream_version is None or self.request.last_event_id:
            # A caller that takes the stream up again may name either request.
            self._record_stream(replica.version)

    def _record_stream(self, version: str) -> None:
        self.stream_version = version
        self._stream_versions.record(
            self.request.id, StreamOrigin(self.service, version)
        )

    def _charge_budget(self, events: int) -> None:
        engine = None if self._traits is None else self._traits.engine
        if self._reservation is not None and engine is not None:
            self._reservation.spend(events * engine.tokens_per_event)

    async def _relay_body(self, reply: Reply, replica: Replica) -> None:
        """Relay an answer once it is complete, or in chunks if it is large."""
        with self._buffers.open() as buffer:
            async for chunk in reply.iterate():
                buffer.add(chunk)
                self._received_bytes += len(chunk)
                if self._received_bytes > _MAX_ANSWER_BYTES:
                    raise ReplicaCrashedError(
                        f"the answer of replica {replica.name} has more than "
                        f"{_MAX_ANSWER_BYTES} bytes; check the replica"
                    )
                while buffer.is_due:
                    await self._start_body(reply, None)
                    await self._sink.write(buffer.take_part())
            await self._start_body(reply, len(buffer))
            while part := buffer.take_part():
                await self._sink.write(part)
        await self._sink.finish()

    async def _start_body(self, reply: Reply, length: int | None) -> None:
        if self._sink.is_started:
            return
        self._has_started_body = True
        self._status = reply.status
        headers = list(reply.headers)
        if length is not None:
            headers.append(("Content-Length", str(length)))
        await self._sink.start(reply.status, headers)

    def _compute_priority(self) -> int | None:
        if self._traits is None or self._traits.engine is None:
            return None
        waited = self._clock.read_monotonic() - self.request.received_at
        return compute_priority(self.request, self.route, self.team, waited=waited)

    def _make_work(self) -> Work:
        return make_work(
            self.request,
            route=self.route,
            team=self.team,
            homes=self._homes,
            deadline=compute_start_deadline(
                self.route, deadline=self.deadline, last_data_at=self._last_data_at
            ),
            sends=self._sends,
            fingerprint=self.fingerprint,
            failed_replicas=self._failed_replicas,
            is_continuation=bool(self._splitter.last_id or self.request.last_event_id),
            version=self.stream_version,
        )

    def _log_failure(self, exc: TargetError, result: Result) -> None:
        _LOG.info(
            "request failed on a replica: %s",
            exc.message,
            extra={
                "request": self.request.id,
                "fingerprint": self.fingerprint,
                "replica": self.replica,
                "replica_version": self._replica_version,
                "resumes": self.request.resumes,
                "result": result,
                "may_have_run": self.may_have_run,
                "after": self.request.last_event_id,
                "event": self._splitter.last_id,
                "events": self._events,
                "runs": self._runs,
                "limit": self._rate_limit,
                "framing": self._framing,
                "received": self._received_bytes,
                "attempt": self._sends,
            },
        )

    def describe(self, seconds: float) -> dict[str, Any]:
        """Return the fields of the log line written when the request ends."""
        program, prompt = self.request.program, self.request.prompt
        return {
            "request": self.request.id,
            "fingerprint": self.fingerprint,
            "program": None if program is None else program.id,
            "team": None if self.team is None else self.team.name,
            "route": self.route.name,
            "target": self.service,
            "replica": self.replica,
            "replica_version": self._replica_version,
            "resumes": self.request.resumes,
            "attempt": self._sends,
            "version": self._version,
            "status": self._status,
            "seconds": seconds,
            "first": round(max(0.0, self._first_byte_at - self.request.received_at), 4),
            "after": self.request.last_event_id,
            "event": self._splitter.last_id,
            "events": self._events,
            "runs": self._runs,
            "limit": self._rate_limit,
            "framing": self._framing,
            "received": self._received_bytes,
            "slowdown": self._slowdown,
            "parts": None if prompt is None else len(prompt.parts),
            "prompt": None if prompt is None else prompt.input_tokens,
            "budget": None if program is None else program.budget,
            "program_left": None if program is None else program.remaining,
        }


def _get_media_type(reply: Reply) -> str:
    for name, value in reply.headers:
        if name.lower() == "content-type":
            return value.partition(";")[0].strip().lower()
    return ""
