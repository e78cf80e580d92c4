"""Simulated nodes, network, store and callers that reserve budgets in virtual time."""

import asyncio
import random
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from types import SimpleNamespace
from typing import Any

from attrs import define, field

from fireflyspread.budgets import BudgetAccounts, BudgetOwners
from fireflyspread.exceptions import (
    BudgetExceededError,
    OverloadedError,
    PeerError,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.gateway._budget_writes import (
    NodeWriteHelpers,
    register_write_handler,
)
from fireflyspread.gateway._peers import (
    ConfigExchange,
    NodeBudgetPeers,
    register_budget_handlers,
)
from fireflyspread.nodes import Message, decode_message, encode_message
from fireflyspread.recovery import Entry, Write
from tests.budgets.test_accounts import MemoryLoanLog
from tests.recovery.snapshot_store import MemoryStore
from tests.routing.virtual_time import LoopClock

__all__ = ["MAX_TOKENS", "Cluster", "Program", "StoreMode"]

# Messages that a node handles at once, as in ``PeerServer``.
_MAX_CONCURRENCY = 16
# CPU seconds of a node with 0.361 cores to send or handle a message, and to forward a
# turn.
_MESSAGE_SECONDS = 0.004
_TURN_SECONDS = 0.06
# Seconds between zones and to callers.
_NODE_LATENCY = 0.0005
_CALLER_LATENCY = 0.001
# Response time of the store, and time after which its client gives up.
_STORE_SECONDS = 0.004
_STORE_TIMEOUT = 1.0
_SLOW_FACTOR = 67
_STORE_WRITES_PER_SECOND = 1200
# Deadline and length of turns, in seconds.
_DEADLINE = 3.07
_TURN_LENGTH = (0.05, 0.3)
_PAUSE = (0.02, 0.2)
MAX_TOKENS = 60


class StoreMode:
    """Names of the ways in which the store treats a node."""

    OK = "ok"
    REFUSED = "refused"
    SILENT = "silent"
    SLOW = "slow"


@define(eq=False)
class Program:
    """One program and what became of it."""

    id: str
    budget: int
    turns: int
    begun_at: float
    rng: random.Random
    spent: int = 0
    served: bool = False
    # Nodes that granted its turns, in order, without repetitions.
    owners: list[str] = field(factory=list)
    # Seconds for which each reservation was waited for.
    waits: list[float] = field(factory=list)
    errors: list[str] = field(factory=list)

    @property
    def owner_changes(self) -> int:
        return max(0, len(self.owners) - 1)


class _Server:
    """Stands in for ``PeerServer``."""

    def __init__(self) -> None:
        self.handlers: dict[type, Callable[[Any], Awaitable[Message]]] = {}

    def register(self, kind: type, handler: Callable[[Any], Awaitable[Message]]):
        self.handlers[kind] = handler


class _NodeStore(MemoryStore):
    """The store as one node reaches it."""

    def __init__(self, cluster: "Cluster", node: "Node") -> None:
        super().__init__()
        self._cluster = cluster
        self._node = node

    async def write_all(self, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        cluster, now = self._cluster, asyncio.get_running_loop().time
        cluster.store_calls += 1
        await self._node.work(_MESSAGE_SECONDS)
        mode = cluster.store_modes.get(self._node.name, StoreMode.OK)
        await asyncio.sleep(_NODE_LATENCY)
        if mode == StoreMode.REFUSED or not cluster.take_store_write(now()):
            raise StoreError("the store refused the call; retry")
        if mode == StoreMode.SILENT:
            await asyncio.sleep(_STORE_TIMEOUT)
            raise StoreUncertainError("no answer from the store; retry")
        factor = _SLOW_FACTOR if mode == StoreMode.SLOW else 1
        delay = _STORE_SECONDS * factor
        if delay > _STORE_TIMEOUT:
            raise StoreUncertainError("no answer from the store; retry")
        await asyncio.sleep(delay / 2)
        result = await cluster.store.write_all(writes)
        await asyncio.sleep(delay / 2)
        return result


class Node:
    """One node with a processor, a server and its budget accounts."""

    def __init__(self, cluster: "Cluster", name: str) -> None:
        self._cluster = cluster
        self.name = name
        self.is_dead = False
        self.slowness = 1.0
        self._busy_until = 0.0
        self._slots = asyncio.Semaphore(_MAX_CONCURRENCY)
        self.server = _Server()
        self.tasks: list[asyncio.Task[Any]] = []

    def build(self) -> None:
        """Build what a gateway node builds for budgets."""
        cluster, client = self._cluster, _Client(self._cluster, self)
        loop = asyncio.get_running_loop()
        clock = LoopClock(loop)
        peers = NodeBudgetPeers(client, cluster.roster, node=self.name)
        store = _NodeStore(cluster, self)
        self.accounts = BudgetAccounts(
            store,
            node=self.name,
            clock=clock,
            request_hand_over=peers.request_hand_over,
            loan_log=MemoryLoanLog(cluster, f"{self.name}-1"),
            is_outage=lambda: self.exchange.is_outage(),
            helpers=NodeWriteHelpers(
                client,
                cluster.roster,
                node=self.name,
                clock=clock,
                list_members=cluster.roster.list_names,
            ),
        )
        self._record_grants()
        self.owners = BudgetOwners(
            self.accounts,
            peers,
            node=self.name,
            clock=clock,
            list_members=cluster.roster.list_names,
        )
        register_budget_handlers(self.server, self.accounts, node=self.name)
        register_write_handler(self.server, store, self.accounts.writer, node=self.name)
        self.exchange = ConfigExchange(
            client,
            SimpleNamespace(
                list_peers=lambda: [
                    SimpleNamespace(peers=name)
                    for name in cluster.members
                    if name != self.name
                ]
            ),
            SimpleNamespace(version=1, get=lambda: SimpleNamespace(raw=b"")),
            node=self.name,
            is_store_unavailable=self._is_store_unavailable,
            decode=lambda _: None,
            clock=clock,
            rng=random.Random(f"{cluster.seed}/{self.name}"),
        )
        self.exchange.register(self.server)

    def _record_grants(self) -> None:
        grant = self.accounts.grant

        async def record(program: str, *args: Any, **options: Any) -> Any:
            result = await grant(program, *args, **options)
            owners = self._cluster.find(program).owners
            if not owners or owners[-1] != self.name:
                owners.append(self.name)
            return result

        self.accounts.grant = record  # type: ignore[method-assign]

    def start(self) -> None:
        for work in (self.accounts.run(), self.exchange.run()):
            self.tasks.append(asyncio.create_task(work))

    def _is_store_unavailable(self) -> bool:
        mode = self._cluster.store_modes.get(self.name, StoreMode.OK)
        is_refused = mode in (StoreMode.REFUSED, StoreMode.SILENT)
        return is_refused or self.accounts.is_store_unavailable

    async def work(self, seconds: float) -> None:
        """Use the processor, which does one thing at a time."""
        now = asyncio.get_running_loop().time()
        self._busy_until = max(now, self._busy_until) + seconds * self.slowness
        await asyncio.sleep(self._busy_until - now)

    async def handle(self, message: Message) -> Message:
        """Handle a message of another node, beside at most 15 others."""
        async with self._slots:
            await self.work(_MESSAGE_SECONDS)
            handler = self.server.handlers.get(type(message))
            if handler is None:
                raise PeerError(f"{self.name} has no handler")
            return await handler(message)


class _Client:
    """Stands in for ``PeerClient``."""

    def __init__(self, cluster: "Cluster", node: Node) -> None:
        self._cluster = cluster
        self._node = node

    async def ask(self, address: str, message: Message, *, timeout: float) -> Message:
        self._cluster.messages[type(message).__name__] += 1
        try:
            async with asyncio.timeout(timeout):
                return await self._exchange(address, message)
        except TimeoutError as exc:
            self._cluster.timeouts[type(message).__name__] += 1
            raise PeerError(f"{address} did not answer in time") from exc

    async def _exchange(self, address: str, message: Message) -> Message:
        cluster, data = self._cluster, encode_message(message)
        await self._node.work(_MESSAGE_SECONDS / 2)
        await asyncio.sleep(_NODE_LATENCY)
        receiver = cluster.nodes[address]
        if receiver.is_dead:
            raise PeerError(f"no connection to {address}")
        if cluster.is_cut(self._node.name, address):
            await asyncio.Event().wait()
        # The receiver goes on if the sender no longer waits.
        handling = asyncio.ensure_future(receiver.handle(decode_message(data)))
        handling.add_done_callback(lambda done: done.cancelled() or done.exception())
        answer = await asyncio.shield(handling)
        await asyncio.sleep(_NODE_LATENCY)
        await self._node.work(_MESSAGE_SECONDS / 2)
        if cluster.is_cut(address, self._node.name):
            await asyncio.Event().wait()
        return decode_message(encode_message(answer))


class Cluster:
    """Nodes that share a store; all delays and choices come from one seed."""

    def __init__(self, nodes: int, seed: int) -> None:
        self.seed = seed
        # For arrivals and faults; nodes and programs have generators of their own, so
        # that the load is the same whatever the nodes do.
        self.rng = random.Random(seed)
        self.store = MemoryStore()
        self.store_modes: dict[str, str] = {}
        self.store_calls = 0
        self.store_limit = float(_STORE_WRITES_PER_SECOND)
        self._store_tokens = 0.0
        self._store_filled_at = 0.0
        self.messages: Counter[str] = Counter()
        self.timeouts: Counter[str] = Counter()
        self.cuts: set[tuple[str, str]] = set()
        self.programs: list[Program] = []
        self._tasks: set[asyncio.Task[None]] = set()
        # What ``MemoryLoanLog`` needs.
        self.loans: dict[tuple[str, str], int] = {}
        self.drawn: dict[str, int] = {}
        self.starts: dict[str, int] = {}
        self.has_loan_log = True
        self.is_log_complete = True
        self.are_loans_known = asyncio.Event()
        self.are_loans_known.set()
        self.log_gate = None
        self.members = [f"gw-{number}" for number in range(nodes)]
        self.roster = SimpleNamespace(
            list_names=lambda: self.members,
            get_peer_address=self._get_peer_address,
            is_gone=lambda name: name not in self.members,
            has_lease=lambda name: True,
        )
        self.nodes = {name: Node(self, name) for name in self.members}
        for node in self.nodes.values():
            self.starts[node.name] = 1
            node.build()
            node.start()

    def find(self, program: str) -> Program:
        """Return a program by its id."""
        return self.programs[int(program.removeprefix("p-"))]

    def _get_peer_address(self, name: str) -> str:
        if name not in self.members:
            raise PeerError(f"{name} is not a member")
        return name

    def is_cut(self, sender: str, receiver: str) -> bool:
        return (sender, receiver) in self.cuts

    def kill(self, name: str) -> None:
        """Stop a node for good."""
        node = self.nodes[name]
        node.is_dead = True
        for task in node.tasks:
            task.cancel()

    def take_store_write(self, now: float) -> bool:
        """Count a transaction; False if the store is busy."""
        passed = now - self._store_filled_at
        self._store_filled_at = now
        self._store_tokens = min(
            self.store_limit / 4, self._store_tokens + passed * self.store_limit
        )
        if self._store_tokens < 1:
            return False
        self._store_tokens -= 1
        return True

    async def run_programs(self, seconds: float, per_second: float) -> None:
        """Begin programs at random times, while earlier ones go on."""
        now = asyncio.get_running_loop().time
        end = now() + seconds
        while True:
            pause = self.rng.expovariate(per_second)
            if now() + pause > end:
                await asyncio.sleep(max(0.0, end - now()))
                return
            await asyncio.sleep(pause)
            number = len(self.programs)
            rng = random.Random(f"{self.seed}/p-{number}")
            turns = rng.randint(3, 9)
            program = Program(f"p-{number}", turns * MAX_TOKENS, turns, now(), rng)
            self.programs.append(program)
            task = asyncio.create_task(self._run_program(program))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def recover(self) -> None:
        """End all faults of the store and the network."""
        self.store_modes = {}
        self.store_limit = float(_STORE_WRITES_PER_SECOND)
        self.cuts = set()

    async def close(self) -> None:
        """Stop all nodes."""
        tasks = [task for node in self.nodes.values() for task in node.tasks]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def finish(self) -> None:
        """Wait for the programs that have begun."""
        await asyncio.gather(*self._tasks)

    async def _run_program(self, program: Program) -> None:
        for _ in range(program.turns):
            if not await self._run_turn(program):
                return
            await asyncio.sleep(program.rng.uniform(*_PAUSE))
        program.served = True

    async def _run_turn(self, program: Program) -> bool:
        """Run one turn; its caller waits and tries again at other nodes."""
        now = asyncio.get_running_loop().time
        deadline = now() + _DEADLINE
        while True:
            alive = [node for node in self.nodes.values() if not node.is_dead]
            node = program.rng.choice(alive)
            await asyncio.sleep(_CALLER_LATENCY)
            try:
                async with asyncio.timeout(deadline - now()):
                    await self._try_turn(program, node)
                return True
            except BudgetExceededError:
                program.errors.append("budget_exceeded")
                return False
            except TimeoutError:
                program.errors.append("deadline")
                return False
            except OverloadedError as exc:
                pause = exc.retry_after or 0.0
                program.errors.append("overloaded")
                if pause > (deadline - now()) / 3:
                    return False
                await asyncio.sleep(pause * program.rng.uniform(1.0, 1.2))

    async def _try_turn(self, program: Program, node: Node) -> None:
        now = asyncio.get_running_loop().time
        await node.work(_TURN_SECONDS / 3)
        since = now()
        try:
            reservation = await node.owners.reserve(
                program.id, program.budget, MAX_TOKENS
            )
        finally:
            program.waits.append(now() - since)
        try:
            await node.work(2 * _TURN_SECONDS / 3)
            await asyncio.sleep(program.rng.uniform(*_TURN_LENGTH))
            used = program.rng.randint(MAX_TOKENS // 4, MAX_TOKENS)
            reservation.spend(used)
            program.spent += used
        finally:
            reservation.close()
