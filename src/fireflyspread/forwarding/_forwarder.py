"""Admits requests, forwards them and records how they end."""

import asyncio
import logging

import xxhash
from attrs import evolve

from fireflyspread._stop_deadline import StopDeadline
from fireflyspread.budgets import MIN_WAIT, BudgetOwners, Reservation
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    AuthenticationError,
    DeadlineError,
    FireflyError,
    MayHaveRunError,
    NotFoundError,
    OverloadedError,
    TargetError,
)
from fireflyspread.forwarding._answer_buffers import AnswerBuffers
from fireflyspread.forwarding._attempt import Attempt
from fireflyspread.forwarding._backend import Backend
from fireflyspread.forwarding._config import (
    ForwardingConfig,
    ForwardingRoute,
    RouteKind,
    TeamPolicy,
)
from fireflyspread.forwarding._config_holder import ConfigHolder
from fireflyspread.forwarding._demand import estimate_demand
from fireflyspread.forwarding._event_order import EventSteps
from fireflyspread.forwarding._explanation import RequestExplanation
from fireflyspread.forwarding._replica_watch import ReplicaWatch
from fireflyspread.forwarding._request import ForwardRequest, ResponseSink
from fireflyspread.forwarding._stream_versions import StreamVersions
from fireflyspread.forwarding._work import compute_start_deadline, make_work
from fireflyspread.limits import RateLimiter
from fireflyspread.metrics import Metrics
from fireflyspread.routing import (
    Homes,
    RegionMap,
    ReplicaDirectory,
    Scheduler,
    explain_excluded,
)
from fireflyspread.turns import TurnKeeper, TurnRecorder

__all__ = ["Forwarder"]

_LOG = logging.getLogger(__name__)

# Maximum wait for the team's rate limit of a request whose program has already started:
# seconds, and fraction of the time until the deadline. A refused request would be
# retried no sooner, and a program fails with the first call that is refused twice.
# Callers abort a stream after 2 s without data.
_MAX_RATE_WAIT = 0.8
_MAX_RATE_WAIT_FRACTION = 1 / 3
# Seconds after which to retry a request that no replica has run.
_RETRY_AFTER = 0.2
# Part of the latency target, or of the time left to its program, that a request may
# wait for its budget. One that waits longer holds memory at nodes that are slow.
_RESERVE_FRACTION = 1 / 4
# Seconds that it may wait at most; a slow store takes 0.27 s for a draw. The owner
# handles 16 messages at once, and each that waits takes one of these places.
_MAX_RESERVE_WAIT = 0.5


class Forwarder:
    """Forwards requests, each with one call of ``forward`` in its connection's task.

    Attributes
    ----------
    running : int
        Requests in flight.
    stop_deadline : StopDeadline
        When all requests must be answered, because the process stops.
    """

    def __init__(
        self,
        *,
        configs: ConfigHolder,
        limiter: RateLimiter,
        budgets: BudgetOwners,
        scheduler: Scheduler,
        directory: ReplicaDirectory,
        stream_versions: StreamVersions,
        turns: TurnKeeper,
        backend: Backend,
        clock: Clock,
        metrics: Metrics,
        buffers: AnswerBuffers | None = None,
        regions: RegionMap | None = None,
    ) -> None:
        self._configs = configs
        self._limiter = limiter
        self._budgets = budgets
        self._scheduler = scheduler
        self._directory = directory
        self._stream_versions = stream_versions
        self._turns = turns
        self._backend = backend
        self._clock = clock
        self._metrics = metrics
        self._regions = RegionMap() if regions is None else regions
        self._watch = ReplicaWatch(backend, scheduler.record_loss, clock)
        self._buffers = buffers or AnswerBuffers()
        self._event_steps = EventSteps()
        self.running = 0
        # Callers get an answer that tells whether their request may have run instead of
        # a connection that breaks off.
        self.stop_deadline = StopDeadline(clock)

    @property
    def held_bytes(self) -> int:
        """Bytes of answers that are held back."""
        return self._buffers.held_bytes

    def check(self, *, host: str, path: str, key: str | None) -> None:
        """Check what is known of a request before its body has arrived.

        Raises
        ------
        NotFoundError, AuthenticationError
            No route matches, or the route needs another key.
        """
        config = self._configs.get()
        _authenticate(config, _find_route(config, host, path), key)

    def explain(self, request: ForwardRequest) -> RequestExplanation:
        """Return what would happen to a request now, without changing anything.

        The request has no body.
        """
        known = RequestExplanation(version=self._configs.version)
        try:
            config = self._configs.get()
            route = _find_route(config, request.host, request.path)
            known = evolve(known, route=route.name, services=route.services)
            team = _authenticate(config, route, request.key)
            known = evolve(known, team=None if team is None else team.name)
            service = _choose_service(route, request)
        except FireflyError as exc:
            return evolve(known, status=exc.status, reason=exc.message)
        now = self._clock.read_monotonic()
        homes = self._find_homes(route, team)
        work = make_work(
            request,
            route=route,
            team=team,
            homes=homes,
            deadline=compute_start_deadline(
                route, deadline=now + route.timeout, last_data_at=now
            ),
        )
        placement = self._scheduler.explain(work, self._directory.get_target(service))
        status = OverloadedError.status if placement.refusal else None
        excluded = self._directory.list_excluded(service)
        return evolve(
            known,
            status=status,
            reason=placement.refusal or placement.rule,
            service=service,
            is_service_random=len(route.services) > 1 and request.program is None,
            placement=evolve(placement, replicas=()),
            replicas=(
                *placement.replicas,
                *(explain_excluded(replica, state) for replica, state in excluded),
            ),
        )

    def _find_homes(self, route: ForwardingRoute, team: TeamPolicy | None) -> Homes:
        return self._regions.find_homes(
            route.allowed_regions, None if team is None else team.allowed_regions
        )

    async def forward(self, request: ForwardRequest, sink: ResponseSink) -> None:
        """Forward ``request`` and write the answer to ``sink``.

        Raises
        ------
        FireflyError
            The request was not answered; status and outcome of the error state whether
            it ran. If ``sink`` is started, the response must be aborted.
        """
        self.running += 1
        attempt: Attempt | None = None
        try:
            config = self._configs.get()
            route = _find_route(config, request.host, request.path)
            team = _authenticate(config, route, request.key)
            homes = self._find_homes(route, team)
            request, recorder = await self._begin_turn(route, team, request, homes)
            attempt = self._make_attempt(
                config, route, team, request, sink, homes=homes, recorder=recorder
            )
            await self._admit_and_run(attempt, team)
            self._record_answer(request, attempt)
        except FireflyError as exc:
            error = _with_outcome(exc, attempt)
            self._record_failure(request, attempt, error)
            raise error from exc
        except asyncio.CancelledError:
            _LOG.info(
                "caller disconnected before the answer was complete",
                extra={
                    "request": request.id,
                    "seconds": self._read_elapsed(request),
                    "replica": None if attempt is None else attempt.replica,
                    "fingerprint": None if attempt is None else attempt.fingerprint,
                    "may_have_run": attempt is not None and attempt.may_have_run,
                },
            )
            self._metrics.count("requests.abandoned")
            raise
        finally:
            if attempt is not None:
                attempt.save_partial()
            self.running -= 1

    def list_watched_replicas(self) -> list[str]:
        """Return the replicas on which requests without a caller may still run."""
        return self._watch.list_watched()

    async def close(self) -> None:
        """Stop watching replicas."""
        await self._watch.close()

    async def _begin_turn(
        self,
        route: ForwardingRoute,
        team: TeamPolicy | None,
        request: ForwardRequest,
        homes: Homes,
    ) -> tuple[ForwardRequest, TurnRecorder | None]:
        """Return the request with the turns that it continues from, and a recorder."""
        if route.kind is not RouteKind.STREAM or not route.turn_retention:
            return request, None
        recorder = await self._turns.begin(
            request.id,
            team="" if team is None else team.name,
            previous=request.previous_turn,
            new_input=request.body,
            retention=route.turn_retention,
            resumes=request.resumes,
            last_event=request.last_event_id,
            zones=homes.turn_zones,
        )
        return evolve(request, body=recorder.body), recorder

    def _make_attempt(
        self,
        config: ForwardingConfig,
        route: ForwardingRoute,
        team: TeamPolicy | None,
        request: ForwardRequest,
        sink: ResponseSink,
        *,
        homes: Homes,
        recorder: TurnRecorder | None,
    ) -> Attempt:
        max_wait = route.timeout
        if request.max_wait is not None:
            max_wait = min(max_wait, request.max_wait)
        service = _choose_service(route, request)
        return Attempt(
            request,
            sink,
            route=route,
            team=team,
            traits=config.services.get(service),
            service=service,
            deadline=min(request.received_at + max_wait, self.stop_deadline.at),
            version=config.version,
            scheduler=self._scheduler,
            directory=self._directory,
            stream_versions=self._stream_versions,
            backend=self._backend,
            clock=self._clock,
            watch=self._watch,
            buffers=self._buffers,
            event_steps=self._event_steps,
            homes=homes,
            recorder=recorder,
        )

    async def _admit_and_run(self, attempt: Attempt, team: TeamPolicy | None) -> None:
        # Before the rate and the budget, which such a request would use up.
        self._scheduler.check_quarantine(attempt.fingerprint)
        remaining = attempt.deadline - self._clock.read_monotonic()
        reservation: Reservation | None = None
        try:
            async with self.stop_deadline.limit(attempt.deadline):
                await attempt.prepare()
                reservation = await self._reserve(attempt)
                await self._acquire_rate(attempt, team, reservation, remaining)
                await attempt.run(reservation)
        except TimeoutError as exc:
            if attempt.may_have_run:
                raise DeadlineError(
                    "the deadline of the request passed; allow more time",
                    outcome=MayHaveRunError.outcome,
                ) from exc
            raise OverloadedError(
                "no replica could run the request before its deadline",
                retry_after=_RETRY_AFTER,
            ) from exc
        finally:
            if reservation is not None:
                reservation.close()

    async def _acquire_rate(
        self,
        attempt: Attempt,
        team: TeamPolicy | None,
        reservation: Reservation | None,
        remaining: float,
    ) -> None:
        if team is None or team.limits is None:
            return
        demand = None
        if reservation is not None and reservation.is_new:
            demand = estimate_demand(attempt.request)
        await self._limiter.acquire(
            team.limits,
            max_wait=min(_MAX_RATE_WAIT, _MAX_RATE_WAIT_FRACTION * remaining),
            demand=demand,
        )

    async def _reserve(self, attempt: Attempt) -> Reservation | None:
        request = attempt.request
        program, prompt = request.program, request.prompt
        if program is None or program.budget is None or prompt is None:
            return None
        objective = max(attempt.route.latency_target, program.remaining or 0.0)
        max_wait = min(_MAX_RESERVE_WAIT, max(MIN_WAIT, _RESERVE_FRACTION * objective))
        return await self._budgets.reserve(
            program.id, program.budget, prompt.max_output_tokens, max_wait=max_wait
        )

    def _record_answer(self, request: ForwardRequest, attempt: Attempt) -> None:
        seconds = self._read_elapsed(request)
        self._metrics.count("requests.answered")
        self._metrics.record_seconds("requests.seconds", seconds)
        _LOG.info("request answered", extra=attempt.describe(seconds))

    def _record_failure(
        self, request: ForwardRequest, attempt: Attempt | None, error: FireflyError
    ) -> None:
        seconds = self._read_elapsed(request)
        self._metrics.count(f"requests.failed.{error.code}")
        fields = {"request": request.id, "seconds": seconds}
        if attempt is not None:
            fields = attempt.describe(seconds)
        _LOG.info(
            "request failed: %s",
            error.message,
            extra={
                **fields,
                "code": error.code,
                "status": error.status,
                "outcome": error.outcome,
                "retry_after": error.retry_after,
            },
        )

    def _read_elapsed(self, request: ForwardRequest) -> float:
        return round(self._clock.read_monotonic() - request.received_at, 4)


def _find_route(config: ForwardingConfig, host: str, path: str) -> ForwardingRoute:
    route = config.find_route(host, path)
    if route is None:
        raise NotFoundError(
            f"no route for {host}{path} in configuration version "
            f"{config.version}; use a configured route"
        )
    return route


def _authenticate(
    config: ForwardingConfig, route: ForwardingRoute, key: str | None
) -> TeamPolicy | None:
    """Return the team of a key; None on open routes without a known key."""
    if config.keys is None:
        return None
    name = config.keys.get(key or "")
    if name is not None:
        return config.teams[name]
    if route.open:
        return None
    raise AuthenticationError("the key is unknown; send a key of your team")


def _choose_service(route: ForwardingRoute, request: ForwardRequest) -> str:
    """Return a service chosen by weight, the same one for all requests of a program.

    A stream that its caller takes up has the service of the request that began it.
    """
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    subject = request.program.id if request.program else request.resumes or request.id
    position = xxhash.xxh3_64_intdigest(subject.encode()) / 2**64 * total
    for service, weight in route.services:
        position -= weight
        if position < 0:
            return service
    if not route.services:
        raise NotFoundError(f"route {route.name} has no services; add one")
    return route.services[-1][0]


def _with_outcome(exc: FireflyError, attempt: Attempt | None) -> FireflyError:
    """Return the error that tells the caller whether the request may have run.

    The statuses of a failed replica and of a deadline promise nothing, so a caller
    could not repeat a request that has not run.
    """
    if attempt is None or not attempt.may_have_run:
        if isinstance(exc, (TargetError, DeadlineError)):
            return OverloadedError(
                f"the request has not run: {exc.message}", retry_after=_RETRY_AFTER
            )
        return exc
    if exc.outcome is MayHaveRunError.outcome and exc.status in (500, 502, 504):
        return exc
    return MayHaveRunError(f"the request may have run: {exc.message}")
