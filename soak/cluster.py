"""Real gateway processes with stand-ins of the platform, on loopback."""

import asyncio
import json
import os
import shutil
import signal
import sys
from base64 import b64decode
from functools import partial
from pathlib import Path
from typing import Any

import aiohttp

from soak.proxy import Proxy
from standins._base import find_free_port
from standins.metadata_store import MetadataStoreStandIn
from standins.platform_replica import TOKENS_PER_EVENT, PlatformReplica
from standins.store_view import StoreView

ROOT = Path(__file__).parents[1]
HOST = "shop.example"
KEY = "lids-key"
MAX_OUTPUT_TOKENS = 288


def make_config(
    version: int, *, timeout: float = 4.0, **changes: Any
) -> dict[str, Any]:
    """Return a configuration with a streaming, a safe and an unsafe route.

    Parameters
    ----------
    timeout : float
        Seconds that each route allows for an answer.
    """

    def make_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": kind,
            "timeoutMs": int(timeout * 1000),
            "targetLatencyMs": 250,
            "priority": 0,
            "service": service,
            "maxAttempts": 1,
            **fields,
        }

    config = {
        "version": version,
        "routes": [
            make_route("turns", "streaming", "models", resumable=True),
            make_route(
                "chains",
                "streaming",
                "models",
                resumable=True,
                retainContext=True,
                retentionS=60,
            ),
            make_route("prices", "safe", "orders", maxAttempts=2),
            make_route("orders", "unsafe", "orders"),
        ],
        "services": [
            {
                "name": "models",
                "engine": {
                    "slots": 8,
                    "kvCapacityTokens": 90000,
                    "stride": TOKENS_PER_EVENT,
                },
            },
            {"name": "orders"},
        ],
        "limits": {"idleTimeoutMs": 15000},
        "tenants": [
            {"name": "lids", "apiKeys": [KEY], "ratePerS": 2000, "burst": 2000},
            {"name": "jars", "apiKeys": ["jars-key"], "ratePerS": 20, "burst": 20},
        ],
    }
    config.update(changes)
    return config


class Gateway:
    """One gateway process.

    Attributes
    ----------
    callers, readiness, peers, relay, metrics : str
        Addresses on which the process listens, as ``host:port``.
    store : str
        Address of the store or of the proxy in front of it.
    settings : dict
        Settings of the next start in addition to the usual ones.
    lock : asyncio.Lock
        Held while a fault restarts the process.
    store_settings : dict
        Further fields of the setting ``store``.
    """

    def __init__(self, folder: Path, name: str, store: str) -> None:
        self.name = name
        self.folder = folder
        self.callers = f"127.0.0.1:{find_free_port()}"
        self.readiness = f"127.0.0.1:{find_free_port()}"
        self.peers = f"127.0.0.1:{find_free_port()}"
        self.relay = f"127.0.0.1:{find_free_port()}"
        self.metrics = f"127.0.0.1:{find_free_port()}"
        self.store = store
        self.settings: dict[str, Any] = {}
        self.process: asyncio.subprocess.Process | None = None
        self.lock = asyncio.Lock()
        self.store_settings: dict[str, Any] = {}
        self._log: Any = None

    @property
    def log_path(self) -> Path:
        """Path of the log of the process."""
        return self.folder / f"{self.name}.log"

    async def start(self, *, is_first: bool = True, wait_ready: bool = True) -> None:
        """Start the process and wait until it is ready.

        Parameters
        ----------
        is_first : bool
            Value of the setting ``is_first_start``.
        wait_ready : bool
            Whether to wait for readiness.

        Raises
        ------
        AssertionError
            The process is not ready in time.
        """
        settings = {
            "node": {"name": self.name, "zone": "z1", "vm": self.name},
            "listen": {
                "callers": self.callers,
                "readiness": self.readiness,
                "peers": self.peers,
                "relay": self.relay,
                "metrics": self.metrics,
            },
            "store": {"address": self.store, **self.store_settings},
            "rates": {"overshoot": 0.1, "slack": 20},
            "is_first_start": is_first,
            **self.settings,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        await self._spawn("fireflyspread.gateway", path)
        if not wait_ready:
            return
        for _ in range(400):
            if await self.is_ready():
                return
            await asyncio.sleep(0.025)
        raise AssertionError(f"{self.name} is not ready: {self.log_path.read_text()}")

    async def _spawn(self, module: str, settings: Path) -> None:
        self._log = self.log_path.open("ab")
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            module,
            str(settings),
            stdout=self._log,
            stderr=self._log,
            env={**os.environ, "PYTHONPATH": str(ROOT / "src")},
        )

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://{self.readiness}/v1/readiness") as response,
            ):
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def knows_loan_servers(self, count: int) -> bool:
        """Return whether the node knows at least ``count`` loan servers."""
        async with (
            aiohttp.ClientSession() as session,
            session.get(f"http://{self.metrics}/state") as response,
        ):
            return len(json.loads(await response.read())["loan_keepers"]) >= count

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> int:
        """Send a signal to the process, wait for its exit and return the exit code."""
        assert self.process is not None
        self.send_signal(number)
        code = await asyncio.wait_for(self.process.wait(), 20.0)
        self._log.close()
        return code


class LoanServer(Gateway):
    """One loan server process, which stores loans on a disk."""

    @property
    def data(self) -> Path:
        """Folder of the disk."""
        return self.folder / f"{self.name}-data"

    def lose_disk(self) -> None:
        """Empty the disk; the process must have ended."""
        shutil.rmtree(self.data)

    async def start(self, *, is_first: bool = True, wait_ready: bool = True) -> None:
        """Start the process, which registers its address in the store."""
        self.data.mkdir(exist_ok=True)
        settings = {
            "node": {"name": self.name, "zone": "z1", "vm": self.name},
            "peers": self.peers,
            "store": {"address": self.store},
            "data_folder": str(self.data),
            "is_first_start": is_first,
        }
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        await self._spawn("fireflyspread.loans", path)


class Cluster:
    """Gateways, loan servers, the store and replicas of two services.

    Parameters
    ----------
    proxied : bool
        Whether the store and the replicas are reached through fault proxies.
    viewed : bool
        Whether each node reaches the replicas through proxies of its own.
    store_settings : dict or None
        Further fields of the setting ``store`` of the nodes.
    zones : tuple of str
        Zones of the replicas of a service, in turn.
    settings : dict or None
        Settings of the gateways in addition to the usual ones.
    loan_servers : int
        Number of loan servers.
    """

    def __init__(
        self,
        folder: Path,
        *,
        nodes: int = 2,
        replicas: int = 2,
        loan_servers: int = 2,
        proxied: bool = False,
        viewed: bool = False,
        store_settings: dict[str, Any] | None = None,
        zones: tuple[str, ...] = ("z1",),
        settings: dict[str, Any] | None = None,
    ) -> None:
        self._store_settings = store_settings or {}
        self._viewed = viewed
        self._settings = settings or {}
        self.views: list[StoreView] = []
        self.store = MetadataStoreStandIn()
        self.proxies: dict[str, Proxy] = {}
        self._proxied = proxied
        self.models, self.orders = (
            [
                PlatformReplica(instance=f"{prefix}-{n}", zone=zones[n % len(zones)])
                for n in range(replicas)
            ]
            for prefix in ("m", "o")
        )
        self._folder = folder
        self._nodes = nodes
        self._loan_servers = loan_servers
        self.nodes: list[Gateway] = []
        self.loan_servers: list[LoanServer] = []

    async def __aenter__(self) -> "Cluster":
        try:
            await self._start()
        except BaseException:
            # A later store may get the port of this one, and with it these nodes.
            await self.__aexit__()
            raise
        return self

    async def _start(self) -> None:
        await self.store.start()
        for service, replicas in (("models", self.models), ("orders", self.orders)):
            for replica in replicas:
                await replica.start()
                address = await self._get_address(replica.instance, replica.url)
                self._register(service, replica, address)
                replica.on_restart = partial(
                    self._register_again, service, replica, address
                )
        self.put_config(make_config(3))
        url = self.store.url
        self.nodes = [
            Gateway(self._folder, name, await self._get_store_address(name, url))
            for name in (f"front-{n}" for n in range(self._nodes))
        ]
        for node in self.nodes:
            node.store_settings = self._store_settings
            node.settings = self._settings
        self.loan_servers = [
            self.make_loan_server(n) for n in range(self._loan_servers)
        ]
        results = await asyncio.gather(
            *(p.start() for p in (*self.loan_servers, *self.nodes)),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                raise result
        for _ in range(400):
            if all(
                [
                    await node.knows_loan_servers(len(self.loan_servers))
                    for node in self.nodes
                ]
            ):
                return
            await asyncio.sleep(0.025)
        raise AssertionError("not all nodes know all loan servers")

    def make_loan_server(self, number: int) -> LoanServer:
        """Return a loan server that is not started yet."""
        address = self.store.url.removeprefix("http://")
        return LoanServer(self._folder, f"store-{number}", address)

    def _register(self, service: str, replica: PlatformReplica, address: str) -> None:
        self.store.put(
            f"servers/{replica.instance}",
            replica.make_registration(service, address=address),
        )

    def _register_again(
        self, service: str, replica: PlatformReplica, address: str, previous: str
    ) -> None:
        if previous != replica.instance:
            self.store.remove(f"servers/{previous}")
        self._register(service, replica, address)

    async def _get_store_address(self, name: str, url: str) -> str:
        if not self._viewed:
            return await self._get_address(name, url)
        view = StoreView(url)
        self.views.append(view)
        await view.start()
        return view.address

    async def _get_address(self, name: str, url: str) -> str:
        """Return the address of a process, or of a new proxy in front of it."""
        address = url.removeprefix("http://")
        if not self._proxied:
            return address
        self.proxies[name] = Proxy(address)
        return await self.proxies[name].start()

    async def __aexit__(self, *exc: object) -> None:
        for proxy in self.proxies.values():
            await proxy.stop()
        for node in (*self.nodes, *self.loan_servers):
            if node.process is not None and node.process.returncode is None:
                await node.stop(signal.SIGKILL)
        for view in self.views:
            await view.stop()
        for stand_in in (*self.models, *self.orders, self.store):
            await stand_in.stop()

    def get_registered_address(self, instance: str) -> str:
        """Return the address in the registration of a replica."""
        value = b64decode(self.store.items[f"servers/{instance}"]["value"])
        return str(json.loads(value)["address"])

    def put_config(self, config: dict[str, Any]) -> None:
        """Write a configuration, as the operator does."""
        self.store.put("op/config", json.dumps(config).encode())


def make_headers(request: str, *, key: str = KEY, **fields: str) -> dict[str, str]:
    """Return the headers of a request."""
    return {
        "Host": HOST,
        "Authorization": f"Token {key}",
        "Fireflyspread-Request-Id": request,
        "Fireflyspread-Time-Remaining": "4000",
        **fields,
    }


def make_turn_headers(
    request: str, program: str, *, budget: int = 864
) -> dict[str, str]:
    """Return the headers of a turn."""
    return make_headers(
        request,
        **{
            "Fireflyspread-Program-Id": program,
            "Fireflyspread-Session-Id": program,
            "Fireflyspread-Program-Deadline": "5000",
            "Fireflyspread-Token-Budget": str(budget),
            "Fireflyspread-Token-Count": f"1000,{MAX_OUTPUT_TOKENS}",
            "Fireflyspread-Prompt-Prefix": f"aa:500,{program}:500",
            "Fireflyspread-Model": "m",
        },
    )
