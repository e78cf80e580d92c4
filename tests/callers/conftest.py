"""Fixture of one node's caller API with stand-ins, all in the test's process."""

from collections.abc import AsyncIterator, Iterable, Mapping

import aiohttp
import pytest_asyncio
from aiohttp import web
from attrs import define, field

from fireflyspread.bundle import ActiveBundle, Bundle, Team, hash_key
from fireflyspread.callers import CallerApi, Context
from fireflyspread.clock import SystemClock
from fireflyspread.daemon._build import NodeState, build_context, build_pools
from fireflyspread.daemon._targets import EngineTasks
from fireflyspread.limits import RateLimiter, ReplicaLimiter
from fireflyspread.nodes import FenceGuard, NodeTokenPeers, PeerClient
from fireflyspread.recovery import SLOT_COUNT, Durability, Member, Ownership, Record
from fireflyspread.settings import Settings
from standins.engine import EngineStandIn
from standins.service import ServiceStandIn

KEY = "clerk-key"
OTHER_KEY = "lab-key"


class AllSlots(Ownership):
    """Ownership of every slot that keeps the committed records in a list."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def owned_slots(self) -> frozenset[int]:
        return frozenset(range(SLOT_COUNT))

    def owns(self, slot: int) -> bool:
        return True

    async def wait_owned(self, slot: int, *, timeout: float) -> bool:
        return True

    def find_owner(self, slot: int) -> Member | None:
        return None

    def members(self) -> tuple[Member, ...]:
        return ()

    def check_authority(self) -> None:
        return

    def check_ready(self) -> None:
        return

    async def commit(self, *records: Record, allow_pending: bool = False) -> Durability:
        self.records.extend(records)
        return Durability.DURABLE

    def enqueue(self, *records: Record) -> None:
        self.records.extend(records)


class NoLimit(RateLimiter):
    """Rate limiter that admits every request."""

    async def acquire(self, team: Team, amount: float = 1.0) -> None:
        return

    def set_members(self, epoch: int, names: Iterable[str]) -> None:
        return

    def set_teams(self, teams: Mapping[str, Team]) -> None:
        return

    def dump(self) -> dict[str, object]:
        return {}


@define
class Node:
    """A running node with its stand-ins."""

    context: Context
    ownership: AllSlots
    engine: EngineStandIn
    service: ServiceStandIn
    url: str
    session: aiohttp.ClientSession = field(repr=False)

    def request(
        self, method: str, path: str, *, key: str = KEY, **options: object
    ) -> aiohttp.client._RequestContextManager:
        """Send a request with a key."""
        headers = {"Authorization": f"Bearer {key}", **options.pop("headers", {})}  # type: ignore[dict-item]
        return self.session.request(method, self.url + path, headers=headers, **options)  # type: ignore[arg-type]


def make_bundle(engine_url: str, service_url: str, *, version: int = 1) -> ActiveBundle:
    """Return a bundle with one engine, one service and two teams."""
    bundle = Bundle.from_config(
        {
            "teams": [
                {"name": "clerks", "rate": 1000, "burst": 1000},
                {"name": "labs", "rate": 1000, "burst": 1000},
            ],
            "keys": [
                {"digest": hash_key(KEY), "team": "clerks"},
                {"digest": hash_key(OTHER_KEY), "team": "labs"},
            ],
            "targets": [
                {
                    "name": "models",
                    "kind": "engine",
                    "half": "north",
                    "replicas": [
                        {"name": "m1", "url": engine_url, "zone": "a", "vm": "e1"}
                    ],
                },
                {
                    "name": "orders",
                    "kind": "service",
                    "half": "north",
                    "replicas": [
                        {"name": "s1", "url": service_url, "zone": "a", "vm": "e2"}
                    ],
                },
            ],
            "routes": [
                {"name": "drafts", "target": "models"},
                {"name": "charges", "target": "orders", "idempotent": False},
                {"name": "quotes", "target": "orders"},
                {"name": "catalogue", "target": "orders", "open": True},
            ],
        }
    )
    return ActiveBundle(version=version, bundle=bundle)


def make_settings() -> Settings:
    """Return the settings of a node; the fixture opens its listener."""
    address = "127.0.0.1:0"
    return Settings.from_config(
        {
            "node": {"name": "entry-1", "zone": "a", "vm": "vm-1"},
            "listen": {
                "callers": address,
                "internal": address,
                "peers": address,
                "operators": address,
            },
            "platform": {"store": "http://127.0.0.1:1"},
            "node_secret": "0123456789abcdef",
        }
    )


@pytest_asyncio.fixture
async def node() -> AsyncIterator[Node]:
    """Yield a node that owns every slot."""
    engine, service = EngineStandIn(), ServiceStandIn()
    await engine.start()
    await service.start()
    state = NodeState.from_config(make_settings(), SystemClock())
    state.bundles.offer(make_bundle(engine.url, service.url))
    ownership, client = AllSlots(), PeerClient()
    fences = FenceGuard(
        client,
        node="entry-1",
        get_incarnation=lambda: "1",
        get_version=lambda: state.bundles.version,
        clock=state.clock,
    )
    replica_limiter = ReplicaLimiter(
        "entry-1",
        NodeTokenPeers(
            client, node="entry-1", incarnation="1", find_member=lambda name: None
        ),
        clock=state.clock,
        rng=state.rng,
    )
    replica_limiter.set_members(1, ["entry-1"])
    engines, services = build_pools(replica_limiter.limits, state.clock)
    engine_tasks = EngineTasks(
        engines=engines,
        programs=state.programs,
        ownership=ownership,
        clock=state.clock,
        rng=state.rng,
        interval=0.5,
    )
    context = build_context(
        state,
        ownership=ownership,
        limiter=NoLimit(),
        replica_limiter=replica_limiter,
        fences=fences,
        engines=engines,
        services=services,
        sessions=engine_tasks,
    )
    engine_tasks.apply(state.bundles.get_active())
    state.bundles.add_listener(context.guard.apply)
    runner = web.AppRunner(CallerApi(context).make_public_app(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    port = runner.addresses[0][1]
    async with aiohttp.ClientSession() as session:
        yield Node(
            context=context,
            ownership=ownership,
            engine=engine,
            service=service,
            url=f"http://127.0.0.1:{port}",
            session=session,
        )
    await runner.cleanup()
    await engine_tasks.close()
    await context.engines.close()
    await context.relay.close()
    await client.close()
    await engine.stop()
    await service.stop()
