"""Plays requests that crash replicas to gateway processes, and counts what arrives."""

import asyncio
import contextlib
import enum
import itertools
import random
import signal
import time
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import aiohttp
from attrs import frozen

from soak.cluster import Cluster, make_config, make_headers, make_turn_headers
from standins.platform_replica import PlatformReplica

__all__ = [
    "MAX_CRASHES",
    "MAX_LATE_SENDS",
    "Play",
    "Record",
    "Trouble",
    "Variant",
    "check",
    "play_variant",
]

# Crashes after which a request must no longer reach replicas, and the sends that the
# platform tolerates later than _CONTACT_SECONDS after the last of these crashes.
MAX_CRASHES = 3
MAX_LATE_SENDS = 3
_CONTACT_SECONDS = 3.0
# Seconds between requests, until a replica is back, and of sending after
# _CONTACT_SECONDS: enough for more than MAX_LATE_SENDS crashes one by one.
_INTERVAL = 0.3
_CRASH_SECONDS = 1.0
_LATE_SECONDS = 6.0
_MAX_SECONDS = 30.0
# Refusals in a row that span _CONTACT_SECONDS and _LATE_SECONDS.
_MIN_REFUSED = 30
# Seconds between requests that crash nothing.
_OTHERS_INTERVAL = 0.1
_MARKER = "poison"
_PATHS = {"safe": "/prices/", "unsafe": "/orders/", "stream": "/turns/stream/"}


class Trouble(enum.StrEnum):
    """What fails beside the replicas that a request crashes."""

    NONE = "none"
    STORE_REFUSES = "store_refuses"
    STORE_HANGS = "store_hangs"
    NODES_STOP = "nodes_stop"
    NODES_KILLED = "nodes_killed"


@frozen(kw_only=True)
class Variant:
    """How a request crashes replicas.

    Attributes
    ----------
    replicas : int
        Replicas of the service.
    returns_as : str
        Who a replica is after a crash, as for the stand-in.
    kind : str
        Kind of route.
    method : str
        Method of the requests that crash replicas.
    patience : float
        Seconds after which the caller leaves.
    patiences : tuple of float
        Of which one is chosen for each request instead, if there are any.
    delay : float
        Seconds from the arrival of a request to the crash.
    silent : bool
        Whether a replica that crashes closes no connection.
    failing : int
        Replicas beside these that answer every request with a failure.
    count : int
        Requests of different callers' calls that crash replicas, each sent in turn.
    copies : int
        Equal requests that are sent at once.
    is_spread : bool
        Whether requests that are sent at once go to different nodes.
    nodes : int
        Gateway nodes, to which requests are sent in turn.
    interval : float
        Seconds between sends.
    crash_seconds : float
        Seconds until a replica is back after a crash.
    stays_silent : bool
        Whether the connections of a silent crash stay open once the replica is back.
    max_wait : float
        Seconds that the route and the request allow for an answer.
    trouble : Trouble
        What else fails meanwhile.
    """

    replicas: int = 2
    returns_as: str = "new"
    kind: str = "unsafe"
    method: str = "POST"
    patience: float = 4.0
    patiences: tuple[float, ...] = ()
    delay: float = 0.0
    silent: bool = False
    failing: int = 0
    count: int = 1
    copies: int = 1
    is_spread: bool = False
    nodes: int = 3
    interval: float = _INTERVAL
    crash_seconds: float = _CRASH_SECONDS
    stays_silent: bool = False
    max_wait: float = 4.0
    trouble: Trouble = Trouble.NONE

    def list_paths(self) -> list[str]:
        """Return the paths of the requests that crash replicas."""
        return [f"{_PATHS[self.kind]}{_MARKER}{n}" for n in range(self.count)]

    def apply(self, replica: PlatformReplica) -> None:
        """Set the faults of a replica."""
        replica.faults.crash_on = _MARKER
        replica.faults.crash_seconds = self.crash_seconds
        replica.faults.crash_delay = self.delay
        replica.faults.crashes_silently = self.silent
        replica.faults.stays_silent = self.stays_silent
        replica.faults.returns_as = self.returns_as


@frozen(kw_only=True)
class Record:
    """What replicas saw of one request.

    Attributes
    ----------
    crashes, sends : tuple of float
        Unix seconds of the crashes that it caused and of its arrivals.
    """

    crashes: tuple[float, ...]
    sends: tuple[float, ...]

    @classmethod
    def from_replicas(cls, replicas: Sequence[PlatformReplica], path: str) -> "Record":
        """Collect what ``replicas`` saw of the request with ``path``."""
        return cls(
            crashes=tuple(
                sorted(
                    at
                    for replica in replicas
                    for at, cause in zip(
                        replica.crash_times, replica.crashed_by, strict=True
                    )
                    if cause == path
                )
            ),
            sends=tuple(
                sorted(
                    at
                    for replica in replicas
                    for at, found in replica.arrived
                    if found == path
                )
            ),
        )

    @property
    def late_after(self) -> float:
        """Unix seconds after which sends are late."""
        if len(self.crashes) < MAX_CRASHES:
            return float("inf")
        return self.crashes[MAX_CRASHES - 1] + _CONTACT_SECONDS

    def count_late_sends(self) -> int:
        """Return the sends that came too late after the third crash."""
        return sum(at > self.late_after for at in self.sends)

    def describe(self) -> str:
        """Return the crashes and sends in seconds after the first send."""
        start = self.sends[0] if self.sends else 0.0
        rows = {"crashes": self.crashes, "sends": self.sends}
        return str({n: [round(at - start, 2) for at in row] for n, row in rows.items()})


class Play:
    """Sends requests that crash replicas to three nodes in turn.

    Attributes
    ----------
    others : list of (float, int)
        Unix seconds of the end and status of each other request.
    statuses : dict of str to list of int
        Statuses of the requests that crash replicas, by path, in the order of their
        ends.
    """

    def __init__(
        self,
        cluster: Cluster,
        variant: Variant,
        *,
        rng: random.Random | None = None,
    ) -> None:
        self._cluster = cluster
        self._rng = rng or random.Random(1)
        self._variant = variant
        self._sent = 0
        # Number of the node that gets the next request.
        self._turn = 0
        self.others: list[tuple[float, int]] = []
        self.statuses: dict[str, list[int]] = {n: [] for n in variant.list_paths()}
        self._replicas = cluster.models if variant.kind == "stream" else cluster.orders
        for replica in (*cluster.models, *cluster.orders):
            variant.apply(replica)
        for replica in self._replicas[variant.replicas :]:
            replica.faults.fails_with = 500

    def list_records(self) -> list[Record]:
        """Return what replicas saw of each request that crashes them."""
        return [
            Record.from_replicas(self._replicas, path)
            for path in self._variant.list_paths()
        ]

    async def run(self) -> list[Record]:
        """Send until each request could have made too many late sends."""
        started_at = time.time()
        async with aiohttp.ClientSession() as session, asyncio.TaskGroup() as group:
            # Each request is one client attempt, whatever its method.
            session._retry_connection = False
            others = group.create_task(self._send_others(session))
            while time.time() < started_at + _MAX_SECONDS:
                for path in self._variant.list_paths() * self._variant.copies:
                    patience = self._variant.patience
                    if self._variant.patiences:
                        patience = self._rng.choice(self._variant.patiences)
                    group.create_task(
                        self._send_crashing(
                            session, path, patience, number=self._sent, turn=self._turn
                        )
                    )
                    self._sent += 1
                    self._turn += self._variant.is_spread
                self._turn += not self._variant.is_spread
                await asyncio.sleep(self._variant.interval)
                last = max(record.late_after for record in self.list_records())
                min_refused = self._variant.copies * _MIN_REFUSED
                is_refused = all(
                    self.count_refused(path) > min_refused for path in self.statuses
                )
                if time.time() > last + _LATE_SECONDS or is_refused:
                    break
            others.cancel()
        return self.list_records()

    async def _send_crashing(
        self,
        session: aiohttp.ClientSession,
        path: str,
        patience: float,
        *,
        number: int,
        turn: int,
    ) -> None:
        status = await self._send(
            session,
            path,
            patience,
            number=number,
            turn=turn,
            method=self._variant.method,
        )
        self.statuses[path].append(status)

    def count_refused(self, path: str) -> int:
        """Return how many of the last requests with a path were refused in a row."""
        statuses = reversed(self.statuses[path])
        return sum(1 for _ in itertools.takewhile(lambda s: s == 503, statuses))

    async def _send_others(self, session: aiohttp.ClientSession) -> None:
        """Send requests to the same service that crash nothing."""
        kind = "stream" if self._variant.kind == "stream" else "safe"
        async with asyncio.TaskGroup() as group:
            for number in itertools.count():
                path = f"{_PATHS[kind]}other{number}"
                group.create_task(self._send_other(session, path, turn=number))
                await asyncio.sleep(_OTHERS_INTERVAL)

    async def _send_other(
        self, session: aiohttp.ClientSession, path: str, *, turn: int
    ) -> None:
        status = await self._send(
            session, path, self._variant.max_wait, number=turn, turn=turn
        )
        self.others.append((time.time(), status))

    async def _send(
        self,
        session: aiohttp.ClientSession,
        path: str,
        patience: float,
        *,
        number: int,
        turn: int,
        method: str = "POST",
    ) -> int:
        """Send one request and return its status, or 0 without an answer."""
        request = f"r{number}-{path.rpartition('/')[2]}"
        headers = make_headers(request)
        if path.startswith(_PATHS["stream"]):
            headers = make_turn_headers(request, f"p-{request}")
        max_wait = str(int(self._variant.max_wait * 1000))
        headers["Fireflyspread-Time-Remaining"] = max_wait
        node = self._cluster.nodes[turn % len(self._cluster.nodes)]
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with (
                asyncio.timeout(patience),
                session.request(
                    method, f"http://{node.callers}{path}", headers=headers, data=b"x"
                ) as response,
            ):
                await response.read()
                return response.status
        return 0


async def play_variant(folder: Path, variant: Variant) -> tuple[Play, list[Record]]:
    """Play a variant against a cluster of its own."""
    replicas = variant.replicas + variant.failing
    async with Cluster(folder, nodes=variant.nodes, replicas=replicas) as cluster:
        cluster.put_config(make_config(4, timeout=variant.max_wait))
        play = Play(cluster, variant)
        async with _make_trouble(cluster, variant.trouble):
            return play, await play.run()


@contextlib.asynccontextmanager
async def _make_trouble(cluster: Cluster, trouble: Trouble) -> AsyncIterator[None]:
    works = {
        Trouble.STORE_REFUSES: _interrupt_store(cluster, "refuse"),
        Trouble.STORE_HANGS: _interrupt_store(cluster, "hang"),
        Trouble.NODES_STOP: _stop_nodes(cluster),
        Trouble.NODES_KILLED: _kill_nodes(cluster),
    }
    work = works.pop(trouble, None)
    for other in works.values():
        other.close()
    task = None if work is None else asyncio.create_task(work)
    try:
        yield
    finally:
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)


async def _interrupt_store(cluster: Cluster, down: str) -> None:
    """Let the store refuse or not answer all calls for 2 s in every 3.5 s."""
    while True:
        cluster.store.faults.down = down
        await asyncio.sleep(2.0)
        cluster.store.faults.down = ""
        await asyncio.sleep(1.5)


async def _stop_nodes(cluster: Cluster) -> None:
    """Let one node after the other stand still for 2 s."""
    for node in itertools.cycle(cluster.nodes):
        node.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(2.0)
        finally:
            node.send_signal(signal.SIGCONT)


async def _kill_nodes(cluster: Cluster) -> None:
    """Kill one node after the other and start it again."""
    for node in itertools.cycle(cluster.nodes):
        await asyncio.sleep(2.0)
        await node.stop(signal.SIGKILL)
        await node.start(is_first=False, wait_ready=False)


def check(play: Play, records: list[Record]) -> None:
    """Check that requests crash replicas, and that few of them are sent too late.

    A request that crashes fewer replicas than are allowed must have been refused.
    """
    for path, record in zip(play.statuses, records, strict=True):
        assert record.crashes, record.describe()
        assert record.count_late_sends() <= MAX_LATE_SENDS, record.describe()
        if len(record.crashes) < MAX_CRASHES:
            assert play.count_refused(path) > _MIN_REFUSED, record.describe()
