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
from fireflyspread.daemon._build import Base, build_context, build_pools
from fireflyspread.daemon._dump import dump_state, list_member_versions
from fireflyspread.daemon._exchange import Exchange
from fireflyspread.daemon._gauges import report_gauges
from fireflyspread.daemon._programs import NodePrograms, expire_programs
from fireflyspread.daemon._recovery import Recovery
from fireflyspread.daemon._targets import EngineTasks
from fireflyspread.exceptions import FireflyError, SettingsError
from fireflyspread.nodes import FenceGuard, PeerClient, PeerServer, make_ssl_context
from fireflyspread.operators import AdminApi
from fireflyspread.platform import EtcdStore, LeavingVms, VmList
from fireflyspread.recovery import Member
from fireflyspread.settings import Address, Settings

__all__ = ["NodeDaemon"]

_LOG = logging.getLogger(__name__)

# Seconds without authority after which open streams are ended. With 2 s of authority
# a withdrawn key stops within 3 s at a node that hears of nothing any more.
_ISOLATION_GRACE = 0.5
_WATCH_INTERVAL = 0.1

# Seconds; other nodes read the members document every 0.5 s.
_LINGER = 1.5


class NodeDaemon:
    """One node: its listeners, its tasks and its state."""

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._base = Base.from_config(settings, clock)
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
        """Listen, join the other nodes and serve."""
        self._build()
        await self._server.start()
        await self._admin.start()
        for app, address, tls in (
            (self._api.make_internal_app(), self._settings.listen.internal, True),
            (self._api.make_public_app(), self._settings.listen.callers, False),
        ):
            await self._listen(app, address, is_internal=tls)
        self._spawn(self._feed.run())
        self._spawn(self._leaving.run())
        self._spawn(self._recovery.membership.run())
        self._spawn(expire_programs(self._context, self._api))
        self._spawn(self._watch_authority())
        self._spawn(
            report_gauges(self._context, self._recovery, self._api, self._replicas)
        )
        _LOG.info("node started", extra={"node": self._settings.node.name})

    async def wait_stopped(self, stop: asyncio.Event) -> None:
        """Return when ``stop`` is set or a task of the node has failed."""
        waits = [asyncio.create_task(e.wait()) for e in (stop, self._failed)]
        await asyncio.wait(waits, return_when=asyncio.FIRST_COMPLETED)
        for wait in waits:
            wait.cancel()

    async def stop(self) -> None:
        """Finish what is running, hand the slots over and close everything."""
        _LOG.info("node drains", extra={"node": self._settings.node.name})
        self._api.start_draining()
        self._is_draining = True
        try:
            async with asyncio.timeout(self._settings.timing.drain_timeout):
                await self._drain()
        except TimeoutError:
            _LOG.warning("drain timeout passed; requests are cut off")
        await self.close()
        _LOG.info("node stopped", extra={"node": self._settings.node.name})

    async def close(self) -> None:
        """Close everything at once, without draining."""
        for runner in self._runners:
            await runner.cleanup()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._close()

    async def _drain(self) -> None:
        # Listeners stay open: calls of programs that this node still owns arrive
        # through other nodes until the slots have changed hands.
        await self._recovery.membership.leave()
        # Until the others have read that the slots moved, they relay requests here on
        # connections that they keep open; closing these would cut such a request off.
        await asyncio.sleep(_LINGER)
        await self._api.wait_idle()

    async def _close(self) -> None:
        await self._replicas.close()
        await self._exchange.greeter.close()
        await self._admin.stop()
        await self._server.stop()
        await self._recovery.limiter.close()
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
        self._leaving = self._build_leaving()
        self._recovery = Recovery(
            self._base,
            self._store,
            self._client,
            on_lost=self._end_requests,
            on_version=lambda node, version: self._feed.announce(node, version),
        )
        self._feed = BundleFeed(
            self._store,
            self._base.bundles,
            rng=self._base.rng,
            fetch_from_peer=lambda node: self._exchange.fetch_bundle(node),
        )
        fences = self._build_fences()
        self._context = self._build_context(fences)
        self._api = CallerApi(self._context)
        self._exchange = self._build_exchange()
        self._exchange.register(self._server, fences)
        self._recovery.register(self._server)
        self._admin = self._build_admin()
        self._connect_listeners()

    def _build_fences(self) -> FenceGuard:
        return FenceGuard(
            self._client,
            node=self._settings.node.name,
            get_incarnation=lambda: self._recovery.membership.member.incarnation,
            get_version=lambda: self._base.bundles.version,
            clock=self._clock,
        )

    def _build_context(self, fences: FenceGuard) -> Context:
        engines, services = build_pools()
        self._replicas = EngineTasks(
            engines=engines,
            programs=self._base.programs,
            ownership=self._recovery,
            clock=self._clock,
            rng=self._base.rng,
            interval=self._settings.timing.load_poll_interval,
        )
        context = build_context(
            self._base,
            ownership=self._recovery,
            limiter=self._recovery.limiter,
            fences=fences,
            engines=engines,
            services=services,
            sessions=self._replicas,
        )
        self._replicas.set_scheduler(context.scheduler)
        return context

    def _build_exchange(self) -> Exchange:
        return Exchange(
            self._settings,
            client=self._client,
            membership=self._recovery.membership,
            bundles=self._base.bundles,
            feed=self._feed,
            leaving=self._leaving,
            quarantine=self._context.scheduler.quarantine,
            clock=self._clock,
            rng=self._base.rng,
        )

    def _connect_listeners(self) -> None:
        self._recovery.membership.add_listener(self._follow_members)
        bundles = self._base.bundles
        bundles.add_listener(self._context.guard.apply)
        bundles.add_listener(self._replicas.apply)
        bundles.add_listener(
            lambda active: self._context.scheduler.set_targets(active.bundle.targets)
        )

    def _build_leaving(self) -> LeavingVms:
        url = self._settings.platform.vm_list
        return LeavingVms(
            None if url is None else VmList(url),
            clock=self._clock,
            interval=self._settings.timing.vm_poll_interval,
            on_change=self._set_leaving,
            on_list=lambda vms: self._recovery.membership.set_vms(vms),
        )

    def _build_admin(self) -> AdminApi:
        return AdminApi.from_config(
            self._settings,
            rollout=Rollout.from_config(self._settings, self._store),
            programs=NodePrograms(self._context, self._api),
            list_members=lambda: list_member_versions(
                self._recovery, self._exchange.greeter, self._base.bundles
            ),
            dump_state=lambda: dump_state(
                self._context,
                self._recovery,
                self._exchange.greeter,
                self._api,
                self._replicas,
            ),
        )

    def _follow_members(self, epoch: int, members: tuple[Member, ...]) -> None:
        self._exchange.greeter.set_members(members)
        self._context.scheduler.set_nodes(max(1, len(members)))
        present = {member.incarnation for member in members}
        for member in self._members:
            if member.incarnation not in present:
                self._context.relay.abort_requests(member)
        self._members = members

    async def _end_requests(self) -> None:
        """End what runs here, because other nodes own its programs now."""
        self._context.guard.stop_all()
        await self._api.wait_idle()

    def _set_leaving(self, vms: frozenset[str]) -> None:
        self._context.scheduler.set_leaving(vms)

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
        """End open streams once withdrawn keys can no longer be heard of."""
        lost_at: float | None = None
        # A node that drains loses its authority as planned; what it still relays ends
        # at the owner when a key is withdrawn.
        while not self._is_draining:
            await asyncio.sleep(_WATCH_INTERVAL)
            try:
                self._recovery.check_authority()
                self._recovery.limiter.note_renewal()
                lost_at = None
                continue
            except FireflyError:
                now = self._clock.read_monotonic()
            lost_at = now if lost_at is None else lost_at
            if now - lost_at >= _ISOLATION_GRACE:
                self._context.guard.stop_all()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        task.add_done_callback(self._note_end)
        self._tasks.append(task)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if task.cancelled() or task.exception() is None:
            return
        _LOG.error("a task of the node failed", exc_info=task.exception())
        self._failed.set()
