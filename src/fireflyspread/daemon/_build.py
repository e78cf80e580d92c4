"""Builds the objects that handle caller requests."""

import random

import aiohttp
from attrs import frozen

from fireflyspread._http_client import (
    LIMIT_HEADER,
    AnswerCallback,
    ClientConnector,
    open_session,
    read_limit,
)
from fireflyspread._pools import ReplicaPool
from fireflyspread.bundle import BundleHolder, Replica
from fireflyspread.callers import Authenticator, Context, RequestGuard
from fireflyspread.clock import Clock
from fireflyspread.engines import Engine, HttpEngine, SessionReleaser
from fireflyspread.limits import RateLimiter, ReplicaLimiter, ReplicaLimits
from fireflyspread.metrics import Metrics
from fireflyspread.nodes import FenceGuard, Relay, RequestSigner
from fireflyspread.programs import IntentTable, ProgramTable
from fireflyspread.recovery import Ownership
from fireflyspread.routing import PolicyScheduler, identify_process
from fireflyspread.settings import Settings
from fireflyspread.tools import HttpService, Service

__all__ = ["NodeState", "build_context", "build_pools"]

# Seconds. A replica in the same region accepts a connection within milliseconds, but
# a lost SYN is retransmitted after 1 s.
_CONNECT_TIMEOUT = 2.5


@frozen(kw_only=True)
class NodeState:
    """Settings, clock and local state that the components of a node share."""

    settings: Settings
    clock: Clock
    rng: random.Random
    bundles: BundleHolder
    programs: ProgramTable
    intents: IntentTable
    metrics: Metrics

    @classmethod
    def from_config(cls, settings: Settings, clock: Clock) -> "NodeState":
        """Build the state of a node without programs and bundle."""
        return cls(
            settings=settings,
            clock=clock,
            rng=random.Random(),
            bundles=BundleHolder(),
            programs=ProgramTable(clock, max_programs=settings.limits.open_programs),
            intents=IntentTable(clock),
            metrics=Metrics.from_config(settings.statsd, settings.node.name),
        )


def build_context(
    state: NodeState,
    *,
    ownership: Ownership,
    limiter: RateLimiter,
    replica_limiter: ReplicaLimiter,
    fences: FenceGuard,
    engines: ReplicaPool[Engine],
    services: ReplicaPool[Service],
    sessions: SessionReleaser,
) -> Context:
    """Build the context of the caller API; needs a running event loop."""
    settings, clock = state.settings, state.clock
    scheduler = PolicyScheduler.from_config(
        settings, clock, state.rng, replica_limiter=replica_limiter
    )
    guard = RequestGuard()

    return Context(
        settings=settings,
        clock=clock,
        bundles=state.bundles,
        authenticator=Authenticator(state.bundles),
        guard=guard,
        ownership=ownership,
        programs=state.programs,
        intents=state.intents,
        limiter=limiter,
        scheduler=scheduler,
        engines=engines,
        services=services,
        fences=fences,
        relay=Relay.from_config(settings, clock),
        signer=RequestSigner(
            settings.node_secret, node=settings.node.name, clock=clock
        ),
        sessions=sessions,
        metrics=state.metrics,
    )


def build_pools(
    limits: ReplicaLimits, clock: Clock
) -> tuple[ReplicaPool[Engine], ReplicaPool[Service]]:
    """Return the clients of engines and of services; all share one HTTP session.

    Parameters
    ----------
    limits : ReplicaLimits
        Records the limits that answers name.
    """

    def make_callback(replica: Replica) -> AnswerCallback:
        process = identify_process(replica)
        return lambda response, seconds: limits.record(
            process,
            read_limit(response, LIMIT_HEADER),
            sent_at=clock.read_monotonic() - seconds,
        )

    session = open_session(
        connector=ClientConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=_CONNECT_TIMEOUT),
    )
    engines: ReplicaPool[Engine] = ReplicaPool(
        lambda replica: HttpEngine.from_config(
            replica, session, on_answer=make_callback(replica)
        ),
        session=session,
    )
    services: ReplicaPool[Service] = ReplicaPool(
        lambda replica: HttpService.from_config(
            replica, session, on_answer=make_callback(replica)
        )
    )
    return engines, services
