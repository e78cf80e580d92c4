"""Builds and runs one node."""

import asyncio
import logging
import ssl
from collections.abc import Coroutine
from typing import Any

from aiohttp import web

from fireflyspread.bundle import BundleFeed, Rollout
from fireflyspread.callers import CallerApi, Context
from fireflyspread.clock import Clock, SystemClock
from fireflyspread.daemon._build import NodeState, build_context, build_pools
from fireflyspread.daemon._dump import dump_state, list_member_versions
from fireflyspread.daemon._exchange import Exchange
from fireflyspread.daemon._gauges import report_gauges
from fireflyspread.daemon._programs import NodePrograms, expire_programs
from fireflyspread.daemon._recovery import Recovery
from fireflyspread.daemon._targets import EngineTasks
from fireflyspread.exceptions import FireflyError, SettingsError
from fireflyspread.nodes import (
    FenceGuard,
    LimitExchange,
    PeerClient,
    PeerServer,
    make_ssl_context,
)
from fireflyspread.operators import AdminApi
from fireflyspread.platform import EtcdStore, LeavingVms, VmList
from fireflyspread.recovery import Member
from fireflyspread.settings import Address, Settings

__all__ = ["NodeDaemon"]

_LOG = logging.getLogger(__name__)

# Seconds without authority after which open streams are ended. With an authority of 2 s
# the streams of a withdrawn key end within 3 s also on a node that no message reaches.
_ISOLATION_GRACE = 0.5
_AUTHORITY_CHECK_INTERVAL = 0.1  # seconds

# Seconds in which a node that has left still serves relayed requests; other nodes read
# the members document every 0.5 s.
_RELAY_GRACE = 1.5


class NodeDaemon:
    """One node: its listeners, its tasks and its state."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._state = NodeState.from_config(settings, clock)
        self._runners: list[web.AppRunner] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._failed = asyncio.Event()
        self._members: tuple[Member, ...] = ()
        self._is_draining = False

    @classmethod
    def from_config(cls, settings: Settings) -> "NodeDaemon":
        """Build a node from its settings; needs a running event loop."""
        return cls(settings, SystemClock())

    async def start(self) -> None:
        """Open the listeners, join the cluster and start the background tasks."""
        self._build()
        await self._server.start()
        await self._admin_api.start()
        for app, address, is_internal in (
            (self._api.make_internal_app(), self._settings.listen.internal, True),
            (self._api.make_public_app(), self._settings.listen.callers, False),
        ):
            await self._listen(app, address, is_internal=is_internal)
        self._spawn(self._feed.run())
        self._spawn(self._leaving_vms.run())
        self._spawn(self._recovery.membership.run())
        self._spawn(self._limit_exchange.run())
        self._spawn(expire_programs(self._context, self._api))
        self._spawn(self._watch_authority())
        self._spawn(
            report_gauges(self._context, self._recovery, self._api, self._engine_tasks)
        )
        _LOG.info("node started", extra={"node": self._settings.node.name})

    async def wait_stopped(self, stop: asyncio.Event) -> None:
        """Return when ``stop`` is set or a task of the node has failed."""
        waiters = [asyncio.create_task(e.wait()) for e in (stop, self._failed)]
        await asyncio.wait(waiters, return_when=asyncio.FIRST_COMPLETED)
        for waiter in waiters:
            waiter.cancel()

    async def stop(self) -> None:
        """Hand over the slots, finish running requests and close everything."""
        _LOG.info("node draining", extra={"node": self._settings.node.name})
        self._api.start_draining()
        self._is_draining = True
        try:
            async with asyncio.timeout(self._settings.timing.drain_timeout):
                await self._drain()
        except TimeoutError:
            _LOG.warning(
                "not drained within %g s; aborting the remaining requests",
                self._settings.timing.drain_timeout,
            )
        await self.close()
        _LOG.info("node stopped", extra={"node": self._settings.node.name})

    async def close(self) -> None:
        """Close everything without draining."""
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._close()

    async def _drain(self) -> None:
        # Listeners stay open: other nodes relay calls of programs that this node owns
        # until the slots have moved.
        await self._recovery.membership.leave()
        # Until other nodes have read that the slots moved, they relay requests here on
        # persistent connections; closing these would abort the requests.
        await asyncio.sleep(_RELAY_GRACE)
        await self._api.wait_idle()

    async def _close(self) -> None:
        await self._engine_tasks.close()
        await self._exchange.gossip.close()
        await self._admin_api.stop()
        await self._server.stop()
        await self._recovery.limiter.close()
        await self._recovery.replica_limiter.close()
        await self._context.engines.close()
        await self._context.relay.close()
        await self._client.close()
        await self._store.close()

    def _build(self) -> None:
        settings = self._settings
        self._store = EtcdStore(
            settings.platform.store, timeout=settings.timing.store_timeout
        )
        self._client = PeerClient(tls=settings.tls)
        self._server = PeerServer(
            settings.listen.peers, node=settings.node.name, tls=settings.tls
        )
        self._leaving_vms = self._build_leaving_vms()
        self._recovery = Recovery(
            self._state,
            self._store,
            self._client,
            on_lost=self._end_requests,
            on_bundle_version=lambda node, version: self._feed.announce(node, version),
        )
        self._limit_exchange = LimitExchange(
            self._client,
            self._recovery.replica_limiter.limits,
            node=settings.node.name,
            list_members=lambda: self._recovery.membership.members(),
            rng=self._state.rng,
        )
        self._feed = BundleFeed(
            self._store,
            self._state.bundles,
            rng=self._state.rng,
            fetch_from_peer=lambda node: self._exchange.fetch_bundle(node),
        )
        fences = self._build_fences()
        self._context = self._build_context(fences)
        self._api = CallerApi(self._context)
        self._exchange = self._build_exchange()
        self._exchange.register(self._server, fences)
        self._recovery.register(self._server)
        self._limit_exchange.register(self._server)
        self._admin_api = self._build_admin_api()
        self._register_listeners()

    def _build_fences(self) -> FenceGuard:
        return FenceGuard(
            self._client,
            node=self._settings.node.name,
            get_incarnation=lambda: self._recovery.membership.member.incarnation,
            get_version=lambda: self._state.bundles.version,
            clock=self._clock,
        )

    def _build_context(self, fences: FenceGuard) -> Context:
        engines, services = build_pools(
            self._recovery.replica_limiter.limits, self._clock
        )
        self._engine_tasks = EngineTasks(
            engines=engines,
            programs=self._state.programs,
            ownership=self._recovery,
            clock=self._clock,
            rng=self._state.rng,
            interval=self._settings.timing.load_poll_interval,
        )
        context = build_context(
            self._state,
            ownership=self._recovery,
            limiter=self._recovery.limiter,
            replica_limiter=self._recovery.replica_limiter,
            fences=fences,
            engines=engines,
            services=services,
            sessions=self._engine_tasks,
        )
        self._engine_tasks.set_scheduler(context.scheduler)
        return context

    def _build_exchange(self) -> Exchange:
        return Exchange(
            self._settings,
            client=self._client,
            membership=self._recovery.membership,
            bundles=self._state.bundles,
            feed=self._feed,
            leaving=self._leaving_vms,
            quarantine=self._context.scheduler.quarantine,
            clock=self._clock,
            rng=self._state.rng,
        )

    def _register_listeners(self) -> None:
        self._recovery.membership.add_listener(self._handle_members)
        bundles = self._state.bundles
        bundles.add_listener(self._context.guard.apply)
        bundles.add_listener(self._engine_tasks.apply)
        bundles.add_listener(
            lambda active: self._context.scheduler.set_targets(active.bundle.targets)
        )

    def _build_leaving_vms(self) -> LeavingVms:
        url = self._settings.platform.vm_list
        return LeavingVms(
            None if url is None else VmList(url),
            clock=self._clock,
            interval=self._settings.timing.vm_poll_interval,
            on_change=self._set_leaving_vms,
            on_list=lambda vms: self._recovery.membership.set_vms(vms),
        )

    def _build_admin_api(self) -> AdminApi:
        return AdminApi.from_config(
            self._settings,
            rollout=Rollout.from_config(self._settings, self._store),
            programs=NodePrograms(self._context, self._api),
            list_members=lambda: list_member_versions(
                self._recovery, self._exchange.gossip, self._state.bundles
            ),
            dump_state=lambda: dump_state(
                self._context,
                self._recovery,
                self._exchange.gossip,
                self._api,
                self._engine_tasks,
            ),
        )

    def _handle_members(self, epoch: int, members: tuple[Member, ...]) -> None:
        self._exchange.gossip.set_members(members)
        self._context.scheduler.set_node_count(max(1, len(members)))
        present = {member.incarnation for member in members}
        for member in self._members:
            if member.incarnation not in present:
                self._context.relay.abort_requests(member)
        self._members = members

    async def _end_requests(self) -> None:
        """End running requests, because other nodes now own their programs."""
        self._context.guard.stop_all()
        await self._api.wait_idle()

    def _set_leaving_vms(self, vms: frozenset[str]) -> None:
        self._context.scheduler.set_leaving_vms(vms)

    async def _listen(
        self, app: web.Application, address: Address, *, is_internal: bool
    ) -> None:
        runner = web.AppRunner(
            app,
            access_log=None,
            shutdown_timeout=self._settings.timing.drain_timeout,
        )
        await runner.setup()
        self._runners.append(runner)
        context: ssl.SSLContext | None = None
        if self._settings.tls is not None:
            context = make_ssl_context(self._settings.tls, server=True)
            if not is_internal:
                context.verify_mode = ssl.CERT_NONE
        site = web.TCPSite(runner, address.host, address.port, ssl_context=context)
        try:
            await site.start()
        except OSError as exc:
            raise SettingsError(
                f"cannot listen on {address}: {exc.strerror}; free the port or change "
                "it under 'listen'"
            ) from exc

    async def _watch_authority(self) -> None:
        """End open streams after a loss of authority.

        Without authority the node may miss that a key was withdrawn.
        """
        lost_at: float | None = None
        # A draining node gives up its authority. It may still relay requests, and their
        # owners end them when their key is withdrawn.
        while not self._is_draining:
            await asyncio.sleep(_AUTHORITY_CHECK_INTERVAL)
            try:
                self._recovery.check_authority()
                self._recovery.limiter.confirm_authority()
                lost_at = None
                continue
            except FireflyError:
                now = self._clock.read_monotonic()
            lost_at = now if lost_at is None else lost_at
            if now - lost_at >= _ISOLATION_GRACE:
                self._context.guard.stop_all()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._handle_task_end)
        self._tasks.append(task)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        _LOG.error("a task of the node failed", exc_info=task.exception())
        self._failed.set()
