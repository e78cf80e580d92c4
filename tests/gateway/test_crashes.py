"""Tests of the exchange of crash reports over messages and the store."""

import asyncio
import random
from collections.abc import AsyncIterator
from typing import Any

import msgspec
import pytest
from attrs import define, field

from fireflyspread.clock import SystemClock
from fireflyspread.exceptions import PeerError
from fireflyspread.gateway._crashes import CRASHES_PREFIX, CrashExchange
from fireflyspread.gateway._listeners import PrefixSplitter
from fireflyspread.nodes import ExchangeCrashes
from fireflyspread.recovery import (
    Change,
    Entry,
    NodeAddress,
    PrefixFollower,
    PrefixListener,
)
from fireflyspread.routing import Crash, CrashReport, CrashSeriesPolicy, Quarantine
from tests.recovery.snapshot_store import MemoryStore


@define
class Network:
    """Delivers messages between nodes of one process.

    Attributes
    ----------
    handlers : dict of str to callable
        Handlers by address, which is the node's name.
    is_cut : bool
        Whether no message arrives.
    """

    handlers: dict[str, Any] = field(factory=dict)
    is_cut: bool = False
    sent: int = 0

    async def ask(self, address: str, message: Any, *, timeout: float) -> Any:
        """Deliver a message, as ``PeerClient`` does."""
        self.sent += 1
        if self.is_cut:
            raise PeerError(f"no connection to {address}; check the node")
        return await self.handlers[address](message)


class RecordingListener(PrefixListener):
    """Records the keys that it gets."""

    def __init__(self) -> None:
        self.keys: list[str] = []

    def replace(self, entries: tuple[Entry, ...]) -> None:
        self.keys += [entry.key for entry in entries]

    def apply(self, change: Change) -> None:
        self.keys.append(change.key)


class Node:
    """One node with its quarantine, exchange and watch of the store."""

    def __init__(self, name: str, network: Network, store: MemoryStore) -> None:
        self.name = name
        self.quarantine = Quarantine(SystemClock(), policy=CrashSeriesPolicy())
        incarnation = self.quarantine.make_report().incarnation
        self.exchange = CrashExchange(
            network,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            store,
            self.quarantine,
            node=name,
            incarnation=incarnation,
            rng=random.Random(1),
        )
        self._network = network
        self.exchange.register(self)  # type: ignore[arg-type]
        self.roster_keys = RecordingListener()
        follower = PrefixFollower(
            store,
            "cluster/",
            PrefixSplitter(CRASHES_PREFIX, self.exchange, default=self.roster_keys),
            rng=random.Random(1),
            wait=0.2,
        )
        self._tasks = [
            asyncio.create_task(self.exchange.run()),
            asyncio.create_task(follower.run()),
        ]

    def register(self, kind: type, handler: Any) -> None:
        """Receive messages, as ``PeerServer`` does."""
        assert kind is ExchangeCrashes
        self._network.handlers[self.name] = handler

    def list_peers(self) -> list[NodeAddress]:
        """Return the other nodes, as ``Roster`` does."""
        return [
            NodeAddress(name=name, zone="z", peers=name, incarnation="")
            for name in self._network.handlers
            if name != self.name
        ]

    def crash(self, fingerprint: str, process: str) -> None:
        """Record a crash with one request in flight."""
        self.quarantine.start(fingerprint, process)
        now = SystemClock().read_monotonic()
        self.quarantine.record_crash(fingerprint, process, now, alone=False)
        self.quarantine.finish(fingerprint, process)

    async def stop(self) -> None:
        """Stop all tasks, as a kill of the process does."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


class Cluster:
    """Nodes that share a network and a store."""

    def __init__(self) -> None:
        self.network = Network()
        self.store = MemoryStore()
        self.nodes: list[Node] = []

    def start(self, name: str) -> Node:
        """Start a node."""
        node = Node(name, self.network, self.store)
        self.nodes.append(node)
        return node

    def read(self, name: str) -> CrashReport | None:
        """Return the stored report of a node."""
        entry = self.store.entries.get(CRASHES_PREFIX + name)
        return entry and msgspec.json.decode(entry.value, type=CrashReport)


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    found = Cluster()
    yield found
    for node in found.nodes:
        await node.stop()


async def _wait_for(check) -> None:
    for _ in range(200):
        if check():
            return
        await asyncio.sleep(0.02)
    raise AssertionError("the condition was not met within 4 s")


class TestCrashExchange:
    async def test_crashes_reach_other_nodes_without_the_store(self, cluster):
        """Guards against nodes that learn of crashes only from the store."""
        cluster.store.is_down = True
        first, second = cluster.start("a"), cluster.start("b")
        for number, node in enumerate((first, second, first)):
            node.crash("p", f"r{number}")
            await _wait_for(
                lambda count=number + 1: all(
                    len(each.quarantine.get_crashed_replicas("p")) == count
                    for each in cluster.nodes
                )
            )
        assert second.quarantine.is_quarantined("p")

    async def test_crashes_reach_other_nodes_without_messages(self, cluster):
        """Guards against a lost message that is never made up for."""
        cluster.network.is_cut = True
        first, second = cluster.start("a"), cluster.start("b")
        first.crash("p", "r1")
        await _wait_for(lambda: second.quarantine.get_crashed_replicas("p"))
        assert second.roster_keys.keys == []

    async def test_message_is_repeated_while_the_store_is_down(self, cluster):
        """Guards against a crash that other nodes learn of after the outage only."""
        cluster.store.is_down = True
        cluster.network.is_cut = True
        first, second = cluster.start("a"), cluster.start("b")
        first.crash("p", "r1")
        await asyncio.sleep(0.3)
        cluster.network.is_cut = False
        await _wait_for(lambda: second.quarantine.get_crashed_replicas("p"))

    async def test_restarted_node_knows_its_crashes(self, cluster):
        """Guards against a restart of all nodes that forgets the crashes."""
        first = cluster.start("a")
        for number in range(3):
            first.crash("p", f"r{number}")
        await _wait_for(lambda: cluster.read("a"))
        await first.stop()
        second = cluster.start("a")
        await _wait_for(lambda: second.quarantine.is_quarantined("p"))
        second.crash("q", "r9")
        await _wait_for(lambda: len(cluster.read("a").crashes) == 4)

    @pytest.mark.parametrize("fault", ["down", "lost"])
    async def test_report_is_stored_after_a_failed_write(self, cluster, fault):
        """Guards against a report that is given up when a write fails."""
        first = cluster.start("a")
        first.crash("q", "r0")
        await _wait_for(lambda: cluster.read("a"))
        cluster.store.is_down = fault == "down"
        cluster.store.lose_answers = 2 if fault == "lost" else 0
        first.crash("q", "r1")
        await asyncio.sleep(0.3)
        cluster.store.is_down = False
        first.crash("q", "r2")
        await _wait_for(lambda: len(cluster.read("a").crashes) == 3)

    async def test_late_write_of_the_previous_process_is_kept(self, cluster):
        """Guards against evidence that two processes of one name overwrite."""
        first = cluster.start("a")
        first.crash("q", "r0")
        await _wait_for(lambda: cluster.read("a"))
        crashes = _make_crashes("p", "r7")
        report = CrashReport(incarnation="before", number=9, crashes=crashes)
        cluster.store.put(CRASHES_PREFIX + "a", msgspec.json.encode(report))
        first.crash("q", "r1")
        await _wait_for(lambda: len(cluster.read("a").crashes) == 3)
        assert first.quarantine.get_crashed_replicas("p") == {"r7"}

    async def test_crash_whose_requests_are_answered_costs_no_call(self, cluster):
        """Guards against store calls and messages for each ordinary crash."""
        first, _ = cluster.start("a"), cluster.start("b")
        await asyncio.sleep(0.05)
        calls = cluster.store.calls
        for number in range(20):
            first.crash(f"q{number}", "r1")
        for number in range(20):
            first.quarantine.record_answer(f"q{number}", isolated=False)
        await asyncio.sleep(1.0)
        assert cluster.store.calls == calls
        assert cluster.network.sent == 0

    async def test_answered_request_leaves_the_store(self, cluster):
        """Guards against evidence that outlives an answer over a restart."""
        first, second = cluster.start("a"), cluster.start("b")
        first.crash("q", "r1")
        await _wait_for(lambda: cluster.read("a"))
        await _wait_for(lambda: second.quarantine.get_crashed_replicas("q"))
        second.quarantine.record_answer("q", isolated=False)
        await _wait_for(lambda: cluster.read("a") is None and cluster.read("b") is None)
        assert not first.quarantine.get_crashed_replicas("q")

    async def test_unreadable_report_is_ignored(self, cluster):
        """Guards against a node that stops at an entry of another release."""
        cluster.store.put(CRASHES_PREFIX + "b", b"{")
        first = cluster.start("a")
        first.crash("q", "r1")
        await _wait_for(lambda: cluster.read("a"))


def _make_crashes(fingerprint: str, process: str) -> tuple[Crash, ...]:
    quarantine = Quarantine(SystemClock(), policy=CrashSeriesPolicy())
    quarantine.record_crash(fingerprint, process, 0.0, alone=False)
    return quarantine.make_report().crashes
