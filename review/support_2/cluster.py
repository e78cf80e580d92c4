"""Gateways and loan servers of the deploy file beside stand-ins, for the cases.

The programs run as processes of their own, with the commands of the deploy file and
settings made like its templates. The store and the replicas are the project's own
stand-ins and run in the process of the case.
"""

import asyncio
import json
import os
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path

import aiohttp

from standins._base import find_free_port
from standins.metadata_store import MetadataStoreStandIn
from standins.platform_replica import TOKENS_PER_EVENT, PlatformReplica

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Exit codes of a case.
BROKEN, HELD, CANNOT_RUN = 1, 0, 2

ZONES = {"zagreb-east": "kontinent", "zagreb-west": "kontinent",
         "zagreb-north": "kontinent"}


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self._file = path.open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def write(self, text: str) -> None:
        """Write one line with the time."""
        self._file.write(f"{self.now():8.3f}  {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.write(text)
        print(f"{self.now():8.3f}  {text}", flush=True)


class Replica(PlatformReplica):
    """Replica that writes each run to the record."""

    def __init__(self, record: Record, **options) -> None:
        super().__init__(**options)
        self.runs = _Runs(record, self)


class _Runs(list):
    """Runs of a replica; ``times`` has the monotonic seconds at which they began."""

    def __init__(self, record: Record, replica: Replica) -> None:
        super().__init__()
        self.times: list[float] = []
        self._record = record
        self._replica = replica

    def append(self, run) -> None:
        self.times.append(time.monotonic())
        self._record.write(
            f"run      {run.request} at {self._replica.instance} for {run.tenant}"
        )
        super().append(run)


class Program:
    """One process of the deploy file.

    Attributes
    ----------
    store : str
        Address at which the process calls the store.
    """

    module = ""

    def __init__(self, cluster: "Cluster", name: str, zone: str) -> None:
        self.cluster = cluster
        self.name = name
        self.zone = zone
        self.store = cluster.store.url.removeprefix("http://")
        self.peers = f"127.0.0.1:{find_free_port()}"
        self.process: asyncio.subprocess.Process | None = None
        self.is_first = True

    def make_settings(self) -> dict:
        raise NotImplementedError

    async def start(self) -> None:
        """Start the process with the command of the deploy file."""
        path = self.cluster.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.make_settings()))
        with (self.cluster.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", self.module, str(path),
                stdout=log, stderr=log, cwd=ROOT,
                env={**os.environ, "PYTHONPATH": f"{ROOT}/target/deps:{ROOT}"},
            )
        self.cluster.record.say(f"start    {self.name}")
        # Only the first start of the whole system has the setting.
        self.is_first = False

    async def end(self, number: signal.Signals) -> None:
        """Send a signal and wait for the end of the process."""
        assert self.process is not None
        if self.process.returncode is None:
            self.cluster.record.say(f"{number.name:8} {self.name}")
            self.process.send_signal(number)
        await asyncio.wait_for(self.process.wait(), 15.0)


class Front(Program):
    """A gateway."""

    module = "fireflyspread.gateway"

    def __init__(self, cluster: "Cluster", name: str, zone: str) -> None:
        super().__init__(cluster, name, zone)
        self.callers = f"127.0.0.1:{find_free_port()}"
        self.readiness = f"127.0.0.1:{find_free_port()}"
        self.relay = f"127.0.0.1:{find_free_port()}"
        self.metrics = f"127.0.0.1:{find_free_port()}"

    def make_settings(self) -> dict:
        return {
            "node": {"name": self.name, "zone": self.zone, "vm": self.name},
            "listen": {
                "callers": self.callers,
                "readiness": self.readiness,
                "peers": self.peers,
                "relay": self.relay,
                "metrics": self.metrics,
            },
            "store": {"address": self.store, "writes_per_second": 400.0},
            "rates": {"window": 5, "overshoot": 0.1, "slack": 20},
            "memory": {"vm_mb": 260},
            "regions": ZONES,
            "is_first_start": self.is_first,
            "max_disk_losses": 1,
            "stop_grace": 8,
        }

    async def is_ready(self) -> bool:
        """Return whether the readiness check of the platform succeeds."""
        try:
            url = f"http://{self.readiness}/v1/readiness"
            async with self.cluster.session.get(url) as response:
                return response.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def wait_ready(self, seconds: float = 20.0) -> None:
        """Wait until the process is ready; raises ``TimeoutError``."""
        async with asyncio.timeout(seconds):
            while not await self.is_ready():
                await asyncio.sleep(0.02)
        self.cluster.record.say(f"ready    {self.name}")

    async def count_loan_servers(self) -> int:
        """Return how many loan servers the process knows."""
        async with self.cluster.session.get(f"http://{self.metrics}/state") as answer:
            return len(json.loads(await answer.read())["loan_keepers"])


class LoanServer(Program):
    """A process with a disk."""

    module = "fireflyspread.loans"

    @property
    def data(self) -> Path:
        """Folder of the disk."""
        return self.cluster.folder / f"{self.name}-data"

    def make_settings(self) -> dict:
        self.data.mkdir(exist_ok=True)
        return {
            "node": {"name": self.name, "zone": self.zone, "vm": self.name},
            "peers": self.peers,
            "store": {"address": self.store},
            "data_folder": str(self.data),
            "is_first_start": self.is_first,
        }

    def wipe(self) -> None:
        """Lose the disk."""
        self.cluster.record.say(f"wipe     {self.name}")
        shutil.rmtree(self.data)


class Cluster:
    """Stand-ins and processes; a context manager that ends them all."""

    def __init__(self, record: Path) -> None:
        self.record = Record(record)
        self.folder = Path(tempfile.mkdtemp())
        self.store = MetadataStoreStandIn()
        self.replicas: list[Replica] = []
        self.fronts: list[Front] = []
        self.loan_servers: list[LoanServer] = []
        self.views = []
        self.session: aiohttp.ClientSession = None  # type: ignore[assignment]

    async def __aenter__(self) -> "Cluster":
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )
        await self.store.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for program in (*self.fronts, *self.loan_servers):
            if program.process is not None and program.process.returncode is None:
                program.process.send_signal(signal.SIGCONT)
                await program.end(signal.SIGKILL)
        for view in self.views:
            await view.stop()
        await self.session.close()
        for stand_in in (*self.replicas, self.store):
            await stand_in.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def add_replicas(self, service: str, count: int, **options) -> None:
        """Start replicas that register themselves."""
        for number in range(count):
            replica = Replica(
                self.record, instance=f"i-{service}-{number}", zone="zagreb-east",
                **options,
            )
            await replica.start()
            self.replicas.append(replica)
            self.store.put(
                f"servers/{replica.instance}", replica.make_registration(service)
            )

    def put_config(
        self, tenants: list[dict], *, version: int = 7, added: tuple[str, ...] = ()
    ) -> None:
        """Write the configuration, as the operator does.

        Parameters
        ----------
        added : tuple of str
            Names of further safe routes.
        """

        def make_route(name: str, kind: str, service: str, **fields) -> dict:
            return {
                "name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind,
                "timeoutMs": 4000, "targetLatencyMs": 200, "priority": 0,
                "service": service, "maxAttempts": 1, **fields,
            }

        config = {
            "version": version,
            "routes": [
                make_route("turns", "streaming", "models", resumable=True,
                           retainContext=False, retentionS=60.0, targetGapMs=200),
                make_route("prices", "safe", "orders"),
                make_route("orders", "unsafe", "orders"),
                *(make_route(name, "safe", "orders") for name in added),
            ],
            "services": [
                {"name": "models", "maxConnections": 180,
                 "engine": {"slots": 16, "kvCapacityTokens": 123411,
                            "stride": TOKENS_PER_EVENT}},
                {"name": "orders", "maxConnections": 110},
            ],
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
            "tenants": tenants,
        }
        self.store.put("op/config", json.dumps(config).encode())

    async def start_all(self) -> None:
        """Start the loan servers and gateways, and wait until they know each other."""
        await asyncio.gather(
            *(each.start() for each in (*self.loan_servers, *self.fronts))
        )
        await asyncio.gather(*(each.wait_ready() for each in self.fronts))
        async with asyncio.timeout(10.0):
            for front in self.fronts:
                while await front.count_loan_servers() < len(self.loan_servers):
                    await asyncio.sleep(0.05)

    async def send(
        self, front: Front, method: str, path: str, headers: dict[str, str]
    ) -> tuple[int, bytes]:
        """Send one client attempt; 0 stands for a connection that broke off."""
        request = headers["Fireflyspread-Request-Id"]
        self.record.write(f"sent     {request} {method} {path} to {front.name}")
        status, body = 0, b""
        try:
            async with self.session.request(
                method, f"http://{front.callers}{path}",
                headers={"Host": HOST, **headers},
                timeout=aiohttp.ClientTimeout(total=6.0),
            ) as response:
                status = response.status
                async for chunk in response.content.iter_any():
                    body += chunk
        except (aiohttp.ClientError, OSError, TimeoutError) as exc:
            self.record.write(f"broken   {request} {type(exc).__name__}")
            status = 0
        self.record.write(f"answered {request} {status}, {len(body)} bytes")
        return status, body


def run_case(main) -> None:
    """Run a case and exit with its code."""
    try:
        code = asyncio.run(main())
    except Exception as exc:  # noqa: BLE001
        print(f"the case could not run: {type(exc).__name__}: {exc}", flush=True)
        code = CANNOT_RUN
    sys.exit(code)
