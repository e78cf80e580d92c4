"""Builds and runs a gateway node."""

import asyncio
import functools
import logging
import random
import secrets
from collections.abc import Coroutine
from typing import Any

import msgspec
from aiohttp import web
from attrs import evolve

from fireflyspread._http_server import CallerServer
from fireflyspread._ranking import rank_nodes
from fireflyspread.budgets import BudgetAccounts, BudgetOwners
from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock, SystemClock
from fireflyspread.exceptions import SettingsError, StoreError
from fireflyspread.forwarding import (
    ConfigHolder,
    Forwarder,
    ForwardingConfig,
    GuardedBackend,
    RelayingBackend,
    RouteTargets,
    StreamVersions,
)
from fireflyspread.gateway._budget_writes import (
    NodeWriteHelpers,
    register_write_handler,
)
from fireflyspread.gateway._callers import make_caller_memory
from fireflyspread.gateway._crashes import CRASHES_PREFIX, CrashExchange
from fireflyspread.gateway._evacuations import EvacuationListener
from fireflyspread.gateway._feed import NodeFeed
from fireflyspread.gateway._join import NodeJoin
from fireflyspread.gateway._limiters import NodeLimiters
from fireflyspread.gateway._listeners import (
    OperatorListener,
    PrefixSplitter,
    RegistrationListener,
)
from fireflyspread.gateway._loans import ReplicatedLoanLog
from fireflyspread.gateway._peers import (
    ConfigExchange,
    NodeBudgetPeers,
    register_budget_handlers,
)
from fireflyspread.gateway._placement import build_load_exchange, build_placement
from fireflyspread.gateway._rates import RateMembership, add_tolerance
from fireflyspread.gateway._relay_client import HttpRelayNodes
from fireflyspread.gateway._relay_server import RelayServer
from fireflyspread.gateway._settings import GatewaySettings
from fireflyspread.gateway._streams import (
    NodeStreamVersionPeers,
    register_stream_handlers,
)
from fireflyspread.gateway._trials import NodeTrialPeers, register_trial_handlers
from fireflyspread.gateway._turn_delegates import NodeTurnDelegates
from fireflyspread.gateway._turns import (
    LoanServerDisks,
    NodeTurnPeers,
    register_turn_handlers,
)
from fireflyspread.metrics import Metrics
from fireflyspread.nodes import (
    EvacuationExchange,
    LeavingExchange,
    PeerClient,
    PeerServer,
)
from fireflyspread.platform import (
    CONFIG_KEY,
    EVACUATION_PREFIX,
    OPERATORS_PREFIX,
    REGISTRATIONS_PREFIX,
    RETIREMENT_PREFIX,
    Frontend,
    KvStore,
    ReplicaClient,
    decode_config,
    decode_registration,
    encode_retired,
    make_connector,
    make_readiness_handler,
    make_status_key,
    read_explained_request,
)
from fireflyspread.recovery import (
    LEASE_SECONDS,
    ROSTER_PREFIX,
    JoinStage,
    NodeAddress,
    PrefixFollower,
    Roster,
)
from fireflyspread.routing import (
    CrashSeriesPolicy,
    Isolation,
    PolicyScheduler,
    Quarantine,
    RegionMap,
    ReplicaDirectory,
    ReplicaHealth,
    RetryBudget,
    Trials,
    TrialTable,
    ZoneEvacuations,
)
from fireflyspread.settings import Address
from fireflyspread.turns import TurnKeeper, TurnMemory, TurnStore, TurnWriter

__all__ = ["GatewayNode"]

_LOG = logging.getLogger(__name__)

# Seconds for which one watch waits for changes; each watch is one request. Probes
# detect a dead connection within 3 s. If the store discards its history, a waiting
# watch may miss the changes before that, and configurations must apply within 2 s.
_OPERATORS_WATCH_TIMEOUT = 1.5
# Fraction of the time until an evacuation must be in force after which a watch without
# an answer ends, so that there is time to learn of it from another node.
_EVACUATION_WATCH_FRACTION = 0.3
# Shorter watches would cost more calls than they save time.
_MIN_WATCH_TIMEOUT = 0.15
_REGISTRATIONS_WATCH_TIMEOUT = 8.0
_ROSTER_WATCH_TIMEOUT = 20.0
# Longest time between watches while the store does not answer. Configurations must
# apply 2 s after an outage. Nodes count on being in the rosters of all others 3 s after
# they have registered.
_MAX_BACKOFF = 0.4
_ROSTER_MAX_BACKOFF = 1.0
# Seconds for which changes are collected before the next watch, at least. Changes of
# the roster are not urgent. Large fleets collect longer, see ``NodeFeed``.
_REGISTRATIONS_BATCH_DELAY = 0.1
_ROSTER_BATCH_DELAY = 0.4
# Seconds for which an idle connection to the store is kept.
_STORE_KEEPALIVE_SECONDS = 10.0
# Seconds for which an idle connection to another node is kept.
_PEER_KEEPALIVE_SECONDS = 15.0
# Seconds after which the platform sends no new connections to a node that is not
# ready: two readiness checks, one a second.
_DEREGISTRATION_SECONDS = 2.5
# Seconds before the end of the stop grace at which running requests are answered.
_STOP_MARGIN = 1.2
# Seconds after that for the answers to leave.
_ANSWER_MARGIN = 0.2
# Seconds to return unspent tokens to the store when the node stops.
_RETURN_TIMEOUT = 0.5
# Bytes of a body that listeners buffer which have no use for bodies.
_NO_BODY_READ_BYTES = 1 << 12
# Minimum number of seconds for which a stopping listener waits for its connections.
_MIN_SHUTDOWN_TIMEOUT = 0.1
# Seconds between checks for replicas that did not register again after an outage.
_EXPIRY_INTERVAL = 0.2
# Factor by which a replica may be slower than the others before it is avoided.
_SLOW_FACTOR = 2.5
# Consecutive broken answers before a replica is ejected; healthy replicas break single
# answers too.
_CONSECUTIVE_BROKEN = 3
# Seconds within which the reports of other nodes on a crash have arrived.
_CRASH_REPORT_SECONDS = 0.2
# Seconds within which a request that crashes replicas comes again and is told apart
# from those beside it.
_SUSPECT_TURN_SECONDS = 2.0
# Seconds for which a suspect waits until its replica is idle. Programs have a second or
# two in all, and other nodes send to the replica meanwhile.
_MAX_ISOLATION_WAIT = 0.5


class GatewayNode:
    """One gateway node with its listeners, tasks and state."""

    def __init__(self, settings: GatewaySettings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._rng = random.Random()
        self._name = settings.node.name
        self._incarnation = secrets.token_hex(6)
        self._tasks: list[asyncio.Task[None]] = []
        self._runners: list[web.ServerRunner] = []
        self._failed = asyncio.Event()
        self._is_draining = False
        self._build_state()
        self._build_membership()
        self._build_limiters()
        self._build_scheduler()
        self._build_peers()
        self._build_turns()
        self._build_forwarder()
        self._build_followers()

    @classmethod
    def from_config(cls, settings: GatewaySettings) -> "GatewayNode":
        """Build a node from its settings; needs a running event loop."""
        return cls(settings, SystemClock())

    def _build_state(self) -> None:
        settings = self._settings
        self._metrics = Metrics.with_registry()
        self._store = KvStore(
            str(settings.store.address),
            connector=make_connector(keepalive=_STORE_KEEPALIVE_SECONDS),
            timeout=settings.store.timeout,
        )
        self._callers, self._answers = make_caller_memory(settings.memory, self._clock)
        self._configs = ConfigHolder()
        self._directory = ReplicaDirectory(
            self._clock,
            self._set_targets,
            on_loss=lambda replica: self._scheduler.record_loss(replica),
            on_replaced=lambda replica: self._replica_client.close_connections(replica),
        )
        self._evacuations = ZoneEvacuations(self._directory.set_evacuated_zones)

    def _build_membership(self) -> None:
        settings = self._settings
        own = NodeAddress(
            name=self._name,
            zone=settings.node.zone,
            peers=str(settings.listen.peers),
            incarnation=self._incarnation,
            relay="" if settings.listen.relay is None else str(settings.listen.relay),
            stage=JoinStage.MEMBER if settings.is_first_start else JoinStage.JOINING,
        )
        self._rate_membership = RateMembership(
            node=self._name,
            clock=self._clock,
            is_first_start=settings.is_first_start,
        )
        self._roster = Roster(
            self._store,
            own=own,
            clock=self._clock,
            rng=self._rng,
            on_members=self._set_members,
            on_loss=lambda: self._loan_log.refresh(),
        )
        self._client = PeerClient(fail_fast=True)
        self._server = PeerServer(settings.listen.peers, node=self._name)
        self._join = NodeJoin(self._client, self._roster, self._clock)
        self._join.register(self._server)
        self._feed = NodeFeed(
            self._store,
            self._client,
            self._server,
            self._roster,
            node=self._name,
            zone=settings.node.zone,
            threshold=settings.store.feed_threshold,
            heartbeat_prefix=OPERATORS_PREFIX,
            clock=self._clock,
            rng=self._rng,
        )
        self._leaving_exchange = LeavingExchange(
            self._client,
            self._directory,
            node=self._name,
            list_members=self._roster.list_peers,
            rng=self._rng,
        )
        self._leaving_exchange.register(self._server)
        self._evacuation_exchange = EvacuationExchange(
            self._client,
            self._evacuations,
            node=self._name,
            list_members=self._roster.list_peers,
            is_store_unavailable=lambda: self._followers[0].is_store_unavailable,
            rng=self._rng,
        )
        self._evacuation_exchange.register(self._server)

    def _build_limiters(self) -> None:
        self._limiters = NodeLimiters(
            self._client,
            self._server,
            self._roster,
            node=self._name,
            incarnation=self._incarnation,
            clock=self._clock,
            rng=self._rng,
            is_outage=lambda: self._exchange.is_outage(),
            cold_overshoot=self._settings.cold_overshoot,
            cold_slack=self._settings.cold_slack,
        )

    def _build_scheduler(self) -> None:
        self._placement = build_placement(self._settings, self._clock, self._rng)
        self._scheduler = PolicyScheduler(
            self._clock,
            self._rng,
            placement=self._placement,
            quarantine=Quarantine(
                self._clock,
                policy=CrashSeriesPolicy(),
                incarnation=self._incarnation,
                settle_seconds=_CRASH_REPORT_SECONDS,
                turn_seconds=_SUSPECT_TURN_SECONDS,
            ),
            isolation_factory=functools.partial(
                Isolation, max_wait=_MAX_ISOLATION_WAIT, waits_for_repeated=False
            ),
            retries=RetryBudget(fraction=0.3, burst=50.0),
            health_factory=lambda clock: ReplicaHealth(
                clock, slow_factor=_SLOW_FACTOR, consecutive_broken=_CONSECUTIVE_BROKEN
            ),
            replica_limiter=self._limiters.replicas,
            cold_limiter=self._limiters.cold,
            trials=self._build_trials(),
        )
        self._load_exchange = build_load_exchange(
            self._settings,
            self._client,
            self._scheduler,
            self._clock,
            list_members=self._roster.list_peers,
            rng=self._rng,
        )
        self._load_exchange.register(self._server)

    def _build_trials(self) -> Trials:
        table = TrialTable(self._clock)
        register_trial_handlers(self._server, table, node=self._name)
        self._trials = Trials(
            table,
            NodeTrialPeers(self._client, self._roster, node=self._name),
            node=self._name,
            clock=self._clock,
            list_members=self._roster.list_names,
        )
        return self._trials

    def _build_peers(self) -> None:
        self._loan_log = ReplicatedLoanLog(
            self._client,
            self._roster,
            node=self._name,
            incarnation=self._incarnation,
            max_losses=self._settings.max_disk_losses,
            is_first_start=self._settings.is_first_start,
        )
        peers = NodeBudgetPeers(self._client, self._roster, node=self._name)
        self._accounts = BudgetAccounts(
            self._store,
            node=self._name,
            clock=self._clock,
            request_hand_over=peers.request_hand_over,
            loan_log=self._loan_log,
            is_outage=lambda: self._exchange.is_outage(),
            helpers=NodeWriteHelpers(
                self._client,
                self._roster,
                node=self._name,
                clock=self._clock,
                list_members=self._roster.list_names,
            ),
            owns=self._owns_program,
        )
        register_write_handler(
            self._server, self._store, self._accounts.writer, node=self._name
        )
        self._budget_owners = BudgetOwners(
            self._accounts,
            peers,
            node=self._name,
            clock=self._clock,
            list_members=self._roster.list_names,
            is_ready=self._may_own_budgets,
        )
        register_budget_handlers(
            self._server,
            self._accounts,
            node=self._name,
            is_ready=self._may_own_budgets,
        )
        self._crash_exchange = CrashExchange(
            self._client,
            self._roster,
            self._store,
            self._scheduler.quarantine,
            node=self._name,
            incarnation=self._incarnation,
            rng=self._rng,
        )
        self._crash_exchange.register(self._server)
        self._route_targets = RouteTargets(self._clock)
        self._streams = StreamVersions(
            NodeStreamVersionPeers(self._client, self._roster, node=self._name),
            node=self._name,
            clock=self._clock,
            list_members=self._roster.list_names,
            list_versions=self._list_recent_versions,
            list_keepers=self._roster.list_loan_servers,
            list_targets=self._directory.list_services,
        )
        register_stream_handlers(self._server, self._streams, node=self._name)

    def _owns_program(self, program: str) -> bool:
        """Return whether this node or the next one owns a program's account."""
        return self._name in rank_nodes(self._roster.list_names(), program)[:2]

    def _may_own_budgets(self) -> bool:
        """Return whether this node knows what was drawn and lent to programs."""
        return self._roster.has_read_members and self._loan_log.is_usable

    def _build_turns(self) -> None:
        settings = self._settings
        self._turn_disks = LoanServerDisks(
            self._client,
            self._roster.list_loan_servers,
            self._clock,
            node=self._name,
            max_losses=settings.max_disk_losses,
        )
        self._turn_peers = NodeTurnPeers(self._client, self._roster, node=self._name)
        self._turn_delegates = NodeTurnDelegates(
            self._client,
            self._server,
            self._roster,
            node=self._name,
            zone=settings.node.zone,
            threshold=settings.store.feed_threshold,
            clock=self._clock,
        )
        memory = TurnMemory(self._clock, max_bytes=settings.turns.max_memory_bytes)
        store = TurnStore(self._store, self._clock)
        self._turn_writer = TurnWriter(
            store,
            self._turn_disks,
            self._turn_peers,
            self._clock,
            count_nodes=self._turn_delegates.count_writers,
            writes_per_second=settings.store.writes_per_second,
            rng=self._rng,
            delegates=self._turn_delegates,
        )
        self._turns = TurnKeeper(
            memory=memory,
            store=store,
            writer=self._turn_writer,
            disks=self._turn_disks,
            peers=self._turn_peers,
            limits=settings.turns,
            clock=self._clock,
            metrics=self._metrics,
        )
        register_turn_handlers(
            self._server,
            memory,
            self._turn_writer,
            self._turns,
            self._turn_delegates,
            node=self._name,
        )

    def _build_forwarder(self) -> None:
        self._replica_client = ReplicaClient(
            self._clock,
            find_max_connections=self._find_max_connections,
            count_interval=LEASE_SECONDS,
        )
        self._relay_nodes = HttpRelayNodes(
            self._roster, make_connector(keepalive=_PEER_KEEPALIVE_SECONDS), self._clock
        )
        direct = GuardedBackend(
            self._replica_client,
            find_exclusion=self._directory.find_exclusion,
            is_evacuated=self._directory.is_evacuated,
            on_cold=self._limiters.record_cold_response,
        )
        self._backend = RelayingBackend(
            direct,
            self._relay_nodes,
            zone=self._settings.node.zone,
            clock=self._clock,
            rng=self._rng,
        )
        self._relay_server = RelayServer(
            direct,
            directory=self._directory,
            scheduler=self._scheduler,
            clock=self._clock,
            is_path_broken=self._backend.is_path_broken,
            memory=self._callers,
        )
        self._forwarder = Forwarder(
            configs=self._configs,
            limiter=self._limiters.teams,
            budgets=self._budget_owners,
            scheduler=self._scheduler,
            directory=self._directory,
            stream_versions=self._streams,
            turns=self._turns,
            backend=self._backend,
            clock=self._clock,
            metrics=self._metrics,
            buffers=self._answers,
            regions=RegionMap(
                regions=self._settings.regions, zone=self._settings.node.zone
            ),
        )
        self._frontend = Frontend(self._forwarder, self._clock, self._callers)
        self._configs.add_listener(self._apply_config)

    def _build_followers(self) -> None:
        operators = OperatorListener(
            self._configs,
            self._store,
            config_key=CONFIG_KEY,
            retirement_prefix=RETIREMENT_PREFIX,
            decode=decode_config,
            make_status=lambda order: (make_status_key(order), encode_retired()),
            empty_server=self._empty_loan_server,
        )
        orders = PrefixSplitter(
            EVACUATION_PREFIX,
            EvacuationListener(self._evacuations, prefix=EVACUATION_PREFIX),
            default=operators,
        )
        registrations = RegistrationListener(
            self._directory,
            prefix=REGISTRATIONS_PREFIX,
            decode=decode_registration,
            on_record=self._limiters.record_registration,
        )
        roster = PrefixSplitter(
            CRASHES_PREFIX, self._crash_exchange, default=self._roster
        )
        evacuation_wait = max(
            _MIN_WATCH_TIMEOUT,
            _EVACUATION_WATCH_FRACTION * self._settings.evacuate_ms / 1000,
        )
        watches = [
            (
                OPERATORS_PREFIX,
                orders,
                min(_OPERATORS_WATCH_TIMEOUT, evacuation_wait),
                0.0,
            ),
            (
                REGISTRATIONS_PREFIX,
                registrations,
                _REGISTRATIONS_WATCH_TIMEOUT,
                _REGISTRATIONS_BATCH_DELAY,
            ),
            (ROSTER_PREFIX, roster, _ROSTER_WATCH_TIMEOUT, _ROSTER_BATCH_DELAY),
        ]
        self._followers = [
            PrefixFollower(
                # Feeders are chosen among the nodes of the roster, which is not fed.
                self._store if prefix == ROSTER_PREFIX else self._feed.source,
                prefix,
                listener,
                rng=self._rng,
                wait=wait,
                batch_delay=functools.partial(
                    self._feed.get_batch_delay,
                    batch_delay,
                    is_fed=prefix != ROSTER_PREFIX,
                ),
                max_backoff=(
                    _ROSTER_MAX_BACKOFF if prefix == ROSTER_PREFIX else _MAX_BACKOFF
                ),
            )
            for prefix, listener, wait, batch_delay in watches
        ]
        self._exchange = ConfigExchange(
            self._client,
            self._roster,
            self._configs,
            node=self._name,
            is_store_unavailable=lambda: (
                self._followers[0].is_store_unavailable
                or self._accounts.is_store_unavailable
            ),
            decode=decode_config,
            clock=self._clock,
        )
        self._exchange.register(self._server)

    async def start(self) -> None:
        """Open the listeners and start to watch the store."""
        await self._server.start()
        grace = (
            self._settings.stop_grace
            - _DEREGISTRATION_SECONDS
            - _STOP_MARGIN
            + _ANSWER_MARGIN
        )
        self._caller_runner = await self._listen(
            self._frontend.server,
            self._settings.listen.callers,
            shutdown_timeout=max(_MIN_SHUTDOWN_TIMEOUT, grace),
        )
        self._relay_runner: web.ServerRunner | None = None
        if self._settings.listen.relay is not None:
            self._relay_runner = await self._listen(
                self._relay_server.server,
                self._settings.listen.relay,
                shutdown_timeout=max(_MIN_SHUTDOWN_TIMEOUT, grace),
            )
        readiness = CallerServer(
            make_readiness_handler(self.is_ready),
            memory=self._callers,
            read_bytes=_NO_BODY_READ_BYTES,
        )
        await self._listen(readiness, self._settings.listen.readiness)
        if self._settings.listen.metrics is not None:
            metrics = CallerServer(
                self._handle_metrics,
                memory=self._callers,
                read_bytes=_NO_BODY_READ_BYTES,
            )
            await self._listen(metrics, self._settings.listen.metrics)
        for follower in self._followers:
            self._spawn(follower.run())
        self._spawn(self._roster.run())
        copies = 2 * self._settings.max_disk_losses + 1
        self._spawn(self._roster.remove_lost_loan_servers(min_left=copies))
        self._spawn(self._join.run())
        self._spawn(self._accounts.run())
        self._spawn(self._exchange.run())
        self._spawn(self._crash_exchange.run())
        self._spawn(self._loan_log.run())
        self._spawn(self._loan_log.watch_disks())
        self._spawn(self._limiters.run())
        self._spawn(self._leaving_exchange.run())
        self._spawn(self._evacuation_exchange.run())
        self._spawn(self._load_exchange.run())
        self._spawn(self._streams.run())
        self._spawn(self._turn_writer.run())
        self._spawn(self._expire_directory())
        _LOG.info(
            "node started",
            extra={"node": self._name, "zone": self._settings.node.zone},
        )

    async def _empty_loan_server(self, name: str, address: str) -> None:
        await self._loan_log.move_loans(name, address)
        await self._turn_disks.flush(address)

    def is_ready(self) -> bool:
        """Return whether the node can serve callers."""
        return (
            not self._is_draining
            and self._configs.version >= 0
            and self._rate_membership.is_member
            and self._loan_log.is_start_over
            and bool(self._directory.list_services())
        )

    async def _handle_metrics(self, request: web.BaseRequest) -> web.Response:
        """Respond with the metrics as text, or with JSON.

        ``/state`` gives the state, ``/where`` explains where a request would go.
        """
        if request.path == "/where":
            asked = read_explained_request(request, self._clock.read_monotonic())
            explanation = evolve(self._forwarder.explain(asked), node=self._name)
            return web.Response(
                body=msgspec.json.encode(explanation), content_type="application/json"
            )
        if request.path == "/state":
            body = msgspec.json.encode(self.dump(), enc_hook=str)
            return web.Response(body=body, content_type="application/json")
        for name, value in self._list_gauges():
            self._metrics.record_gauge(name, value)
        return web.Response(body=self._metrics.render(), content_type="text/plain")

    def _list_gauges(self) -> list[tuple[str, float]]:
        quarantine = self._scheduler.quarantine
        return [
            ("requests.running", self._forwarder.running),
            ("answers.held_bytes", self._forwarder.held_bytes),
            ("config.version", self._configs.version),
            ("store.away", float(self._followers[0].is_store_unavailable)),
            ("members.known", len(self._roster.list_peers()) + 1),
            ("members.replaced_connections", self._client.count_replaced()),
            ("replicas.unreached", len(self._backend.list_broken_paths())),
            ("replicas.leaving", len(self._directory.list_leaving())),
            ("zones.evacuated", len(self._evacuations.zones)),
            ("replicas.evacuated", len(self._directory.list_evacuated())),
            ("replicas.watched", len(self._forwarder.list_watched_replicas())),
            ("requests.relayed", self._relay_server.running),
            *self._feed.list_gauges(),
            *self._turn_delegates.list_gauges(),
            *self._turns.list_gauges(),
            *self._accounts.list_gauges(),
            *self._budget_owners.list_gauges(),
            *self._callers.list_gauges(),
            *self._replica_client.list_gauges(),
            ("replicas.limited", len(self._limiters.replicas.limits.list_rates())),
            ("replicas.cold", len(self._limiters.cold.limits.list_rates())),
            ("placement.by_completion", self._placement.placed),
            ("placement.by_old_figures", self._placement.unknown),
            ("placement.load_nodes", self._load_exchange.told_nodes),
            ("requests.on_trial", self._trials.running),
            ("fingerprints.suspect", len(quarantine.list_suspects())),
            ("fingerprints.quarantined", len(quarantine.list_quarantined())),
        ]

    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
        return {
            "node": self._name,
            "version": self._configs.version,
            "ready": self.is_ready(),
            "members": self._roster.list_names(),
            "loan_keepers": self._roster.list_loan_servers(),
            "replicas": self._directory.dump(),
            "scheduler": self._scheduler.dump(),
            **self._limiters.dump(),
            "budgets": self._accounts.dump(),
        }

    async def _listen(
        self,
        server: web.Server,
        address: Address,
        *,
        shutdown_timeout: float = _MIN_SHUTDOWN_TIMEOUT,
    ) -> web.ServerRunner:
        runner = web.ServerRunner(server, shutdown_timeout=shutdown_timeout)
        await runner.setup()
        self._runners.append(runner)
        site = web.TCPSite(runner, address.host, address.port, backlog=1024)
        try:
            await site.start()
        except OSError as exc:
            raise SettingsError(
                f"cannot listen on {address}: {exc.strerror}; free the port"
            ) from exc
        return runner

    async def wait_stopped(self, stop: asyncio.Event) -> None:
        """Return when ``stop`` is set or a task of the node has failed."""
        waiters = [asyncio.create_task(e.wait()) for e in (stop, self._failed)]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()

    async def stop(self) -> None:
        """Finish running requests, return unspent tokens and close."""
        loop = asyncio.get_running_loop()
        deregistered_at = loop.time() + _DEREGISTRATION_SECONDS
        _LOG.info("node draining", extra={"node": self._name})
        stop_at = (
            self._clock.read_monotonic() + self._settings.stop_grace - _STOP_MARGIN
        )
        self._forwarder.stop_deadline.set(stop_at)
        self._relay_server.stop_deadline.set(stop_at)
        self._is_draining = True
        self._frontend.is_draining = True
        leaving = asyncio.create_task(self._leave())
        await asyncio.sleep(max(0.0, deregistered_at - loop.time()))
        # Closes idle connections at once and the others after their response.
        runners = (self._caller_runner, self._relay_runner)
        await asyncio.gather(*(r.cleanup() for r in runners if r is not None))
        try:
            async with asyncio.timeout(_RETURN_TIMEOUT):
                await self._accounts.close()
        except TimeoutError:
            _LOG.warning(
                "unspent tokens not returned to the store within %g s", _RETURN_TIMEOUT
            )
        leaving.cancel()
        await self.close()
        _LOG.info(
            "node stopped",
            extra={"node": self._name, "cut": self._forwarder.running},
        )

    async def _leave(self) -> None:
        try:
            await self._roster.leave()
        except StoreError as exc:
            _LOG.warning("could not end the lease: %s", exc)

    async def close(self) -> None:
        """Cancel all tasks and close everything without waiting for requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for runner in self._runners:
            await runner.cleanup()
        await self._limiters.close()
        await self._streams.close()
        await self._trials.close()
        await self._turn_peers.close()
        await self._turn_disks.close()
        await self._forwarder.close()
        await self._backend.close()
        await self._relay_nodes.close()
        await self._replica_client.close()
        await self._server.stop()
        await self._client.close()
        await self._store.close()

    def _apply_config(self, config: ForwardingConfig) -> None:
        self._frontend.set_limits(config.limits)
        self._limiters.teams.set_teams(
            {
                name: add_tolerance(team, self._settings.rates)
                for name, team in config.team_limits.items()
            }
        )
        engines = {
            name: traits.engine
            for name, traits in config.services.items()
            if traits.engine is not None
        }
        self._directory.set_slots({n: e.slots for n, e in engines.items()})
        if engines:
            self._placement.set_cache_tokens(
                min(e.cache_tokens for e in engines.values())
            )
        self._limiters.cold.limits.set_rules(
            {n: traits.cold for n, traits in config.services.items() if traits.cold}
        )
        self._route_targets.update(config)
        self._set_targets(set())

    def _find_max_connections(self, replica: Replica) -> int | None:
        service = self._directory.find_service(replica.name)
        if service is None or self._configs.version < 0:
            return None
        traits = self._configs.get().services.get(service)
        return None if traits is None else traits.max_connections

    def _list_recent_versions(self, target: str) -> set[str]:
        """Return the versions at which a stream on the routes of a target may be."""
        return set().union(
            *(
                self._directory.list_versions(name)
                for name in self._route_targets.list_related(target)
            )
        )

    def _set_targets(self, changed: set[str]) -> None:
        services = self._directory.list_services() | changed
        if self._configs.version >= 0:
            services |= set(self._configs.get().services)
        self._scheduler.set_targets(
            [self._directory.get_target(service) for service in sorted(services)]
        )
        self._streams.update(services)

    def _set_members(self, names: frozenset[str]) -> None:
        _LOG.info(
            "members updated", extra={"node": self._name, "members": sorted(names)}
        )
        self._limiters.apply(
            names, self._rate_membership, sharing=self._roster.list_sharing()
        )
        self._scheduler.set_node_count(len(names))
        self._replica_client.set_node_count(len(names))

    async def _expire_directory(self) -> None:
        while True:
            await asyncio.sleep(_EXPIRY_INTERVAL)
            self._directory.expire()
            self._limiters.cold.limits.expire()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._handle_task_end)
        self._tasks.append(task)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        _LOG.error("a task of the node failed", exc_info=task.exception())
        self._failed.set()
