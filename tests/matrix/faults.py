"""Faults of the columns, and how each is injected and cleared."""

import asyncio
import time
from abc import ABC, abstractmethod
from typing import Any, ClassVar

import aiohttp
import msgspec

from fireflyspread.bundle import hash_key
from tests.matrix.callers import Caller, CallLog
from tools.client import CallError
from tools.cluster import LocalCluster
from tools.cluster._cluster import OPERATORS

__all__ = [
    "FAULTS",
    "LEASE_TTL_SECONDS",
    "MAX_PROPAGATION_SECONDS",
    "CellContext",
    "Fault",
    "probe_withdrawn",
]

LEASE_TTL_SECONDS = 3
OPERATOR_RETRY_SECONDS = 30.0
# Bound of P7, P12 and P14 in the design.
MAX_PROPAGATION_SECONDS = 3.0
PAUSE_SECONDS = LEASE_TTL_SECONDS + 2.0
FAULT_SECONDS = 3.5
VM_LAG_SECONDS = 0.5


class CellContext:
    """Cluster, program and nodes that the faults of one cell affect.

    Parameters
    ----------
    caller : Caller
        Caller of the program under test.
    number : int
        Number of the cell on its cluster; selects owner, entry and replicas.

    Attributes
    ----------
    owner, entry : str
        Node that owns the program under test, and node that its caller tries first.
    unavailable_nodes : set of str
        Nodes that a fault has stopped, paused or isolated.
    leaving_since, withdrawn_at : dict of str to float
        Seconds since the epoch, by name of the replica or node, and by key.
    """

    def __init__(
        self, cluster: LocalCluster, call_log: CallLog, caller: Caller, number: int
    ) -> None:
        self.cluster = cluster
        self.call_log = call_log
        self.caller = caller
        self.number = number
        names = list(cluster.nodes)
        self.owner = names[number % len(names)]
        self.entry = names[(number + 1) % len(names)]
        self.other_nodes = [n for n in names if n not in (self.owner, self.entry)]
        self.unavailable_nodes: set[str] = set()
        self.leaving_since: dict[str, float] = {}
        self.withdrawn_at: dict[str, float] = {}

    async def send_operator_request(
        self, node: str, method: str, path: str, *, operator: str = "olga", **kw: Any
    ) -> tuple[int, Any]:
        """Send a request of an operator and return status and data; 0 if unanswered."""
        until = time.time() + OPERATOR_RETRY_SECONDS
        while True:
            status, data = await self._send_once(node, method, path, operator, **kw)
            # Operators retry while the store is unavailable; a roll carries a write
            # id, so a retry is safe.
            if status != 503 or time.time() > until:
                return status, data
            await asyncio.sleep(0.2)

    async def _send_once(
        self, node: str, method: str, path: str, operator: str, **kw: Any
    ) -> tuple[int, Any]:
        url = self.cluster.nodes[node].operators_url + "/admin/v1" + path
        headers = {"Authorization": f"Bearer {OPERATORS[operator]}"}
        timeout = aiohttp.ClientTimeout(total=30.0)
        try:
            async with (
                aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
                session.request(method, url, **kw) as response,
            ):
                return response.status, msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, None

    async def read_version(self, node: str) -> int | None:
        """Return the active bundle version of a node, or None."""
        status, data = await self.send_operator_request(node, "GET", "/state")
        return int(data["bundle_version"]) if status == 200 else None

    async def check_version(self, version: int, started_at: float, what: str) -> None:
        """Check that all available nodes activate a version within the bound."""
        nodes = [n for n in self.cluster.nodes if n not in self.unavailable_nodes]
        while True:
            polled_at = time.time()
            found = await asyncio.gather(*map(self.read_version, nodes))
            if all(v is not None and v >= version for v in found):
                return
            if polled_at - started_at > MAX_PROPAGATION_SECONDS:
                rows = dict(zip(nodes, found, strict=True))
                text = f"{what}: version {version} not active: {rows}"
                self.call_log.problems.append(f"P14 {text}")
                return
            await asyncio.sleep(0.1)


class Fault(ABC):
    """One fault.

    Attributes
    ----------
    duration : float
        Seconds between the injection and ``clear``.
    """

    duration: ClassVar[float] = FAULT_SECONDS

    @abstractmethod
    async def inject(self, context: CellContext) -> None:
        """Inject the fault."""

    async def clear(self, context: CellContext) -> None:
        """Clear the fault; stopped nodes are started again after the cell."""
        return


class Kill(Fault):
    """SIGKILL of a node; other nodes take over its programs before it restarts."""

    def __init__(self, role: str) -> None:
        self._role = role

    async def inject(self, context: CellContext) -> None:
        name = getattr(context, self._role)
        context.unavailable_nodes.add(name)
        await context.cluster.kill(name)


class PartitionStore(Fault):
    """Partition of the owner from the store."""

    async def inject(self, context: CellContext) -> None:
        context.cluster.partition(context.owner, "store")

    async def clear(self, context: CellContext) -> None:
        context.cluster.heal(context.owner, "store")


class Isolate(Fault):
    """Partition of the owner from the store and all nodes."""

    duration = LEASE_TTL_SECONDS + 3.0

    async def inject(self, context: CellContext) -> None:
        context.unavailable_nodes.add(context.owner)
        context.cluster.isolate(context.owner)

    async def clear(self, context: CellContext) -> None:
        context.cluster.rejoin(context.owner)


class Pause(Fault):
    """SIGSTOP of the owner for longer than its lease."""

    duration = PAUSE_SECONDS

    async def inject(self, context: CellContext) -> None:
        context.unavailable_nodes.add(context.owner)
        context.cluster.pause(context.owner)

    async def clear(self, context: CellContext) -> None:
        context.cluster.resume(context.owner)


class ExpireLease(Fault):
    """SIGSTOP of the owner while the store revokes its lease."""

    duration = 1.0

    async def inject(self, context: CellContext) -> None:
        context.unavailable_nodes.add(context.owner)
        context.cluster.pause(context.owner)
        space = context.cluster.store.keyspace
        prefix = f"nodes/{context.owner}/".encode()
        for key, row in list(space.rows.items()):
            if key.startswith(prefix) and row.lease:
                space.revoke_lease(row.lease)

    async def clear(self, context: CellContext) -> None:
        context.cluster.resume(context.owner)


class StoreSwitch(Fault):
    """A fault switch of the store."""

    def __init__(self, name: str, value: Any, healthy: Any) -> None:
        self._name = name
        self._value = value
        self._healthy = healthy

    async def inject(self, context: CellContext) -> None:
        setattr(context.cluster.store.faults, self._name, self._value)

    async def clear(self, context: CellContext) -> None:
        setattr(context.cluster.store.faults, self._name, self._healthy)


class Race(Fault):
    """Two operators roll different bundles from the same version."""

    async def inject(self, context: CellContext) -> None:
        first, second = context.other_nodes
        _, current = await context.send_operator_request(
            first, "GET", "/bundles/current"
        )
        version = int(current["version"])
        rolls = await asyncio.gather(
            self._roll(context, first, "olga", current["bundle"], 1),
            self._roll(context, second, "paul", current["bundle"], 2),
        )
        # The bound starts when the winner has the answer.
        started_at = time.time()
        winners = [data for status, data in rolls if status == 200]
        if len(winners) != 1 or sorted(s for s, _ in rolls)[-1] != 409:
            context.call_log.problems.append(f"P14 not exactly one winner: {rolls}")
        await context.check_version(version + 1, started_at, "race")

    async def _roll(
        self,
        context: CellContext,
        node: str,
        operator: str,
        bundle: Any,
        weight_tenths: int,
    ) -> tuple[int, Any]:
        changed = msgspec.json.decode(msgspec.json.encode(bundle))
        changed["teams"][-1]["weight"] = 1.0 + weight_tenths / 10 + context.number
        _, current = await context.send_operator_request(
            node, "GET", "/bundles/current", operator=operator
        )
        version = current["version"]
        _, draft = await context.send_operator_request(
            node, "POST", "/bundles", operator=operator, json=changed
        )
        path = f"/bundles/{draft['digest']}"
        await context.send_operator_request(
            node, "POST", path + "/approvals", operator=operator, json={}
        )
        body = {"expected_version": version, "write_id": f"{operator}-{context.number}"}
        return await context.send_operator_request(
            node, "POST", path + "/roll", operator=operator, json=body
        )


class WithdrawKey(Fault):
    """An operator withdraws the key of the caller of the program under test."""

    duration = MAX_PROPAGATION_SECONDS + 1.0

    async def inject(self, context: CellContext) -> None:
        key = context.caller.keys[0]
        path = f"/keys/{hash_key(key)}/withdraw"
        status, data = await context.send_operator_request(
            context.other_nodes[0], "POST", path, json={}
        )
        if status != 200:
            context.call_log.problems.append(f"withdrawal failed: {status} {data}")
            return
        context.withdrawn_at[key] = time.time()
        version = int(data["version"])
        await context.check_version(version, context.withdrawn_at[key], "withdrawal")

    async def clear(self, context: CellContext) -> None:
        await probe_withdrawn(context)


async def probe_withdrawn(context: CellContext) -> None:
    """Send requests with the withdrawn keys to all nodes; none may serve them."""
    await asyncio.gather(
        *(
            _probe(context, n, k)
            for k in context.withdrawn_at
            for n in context.cluster.nodes
        )
    )


async def _probe(context: CellContext, name: str, key: str) -> None:
    url = context.cluster.nodes[name].url + "/v1/programs/p-000000000000000000000000"
    timeout = aiohttp.ClientTimeout(total=2.0)
    headers = {"Authorization": f"Bearer {key}"}
    try:
        async with (
            aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
            session.get(url) as response,
        ):
            if response.status not in (401, 503):
                text = f"{name} answers {response.status} to a withdrawn key"
                context.call_log.problems.append(f"P7 {text}")
    except (aiohttp.ClientError, TimeoutError, OSError):
        return


class Poison(Fault):
    """A request that crashes each engine replica that runs it."""

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None

    async def inject(self, context: CellContext) -> None:
        marker = f"poison-{context.number}-"
        for engine in context.cluster.deployment.engines.values():
            engine.faults.update({"crash_on": marker, "crash_seconds": 0.5})
        self._task = asyncio.create_task(self._send(context, marker))

    async def _send(self, context: CellContext, marker: str) -> None:
        caller = Caller(
            context.call_log,
            "logistics",
            [context.cluster.deployment.keys["logistics"]],
            [context.cluster.nodes[n].url for n in context.other_nodes],
            name=marker,
            seed=context.number,
        )
        program = await caller.open_program(2000)
        try:
            await caller.run_turn(program, 1)
        except CallError as exc:
            if exc.code != "request_quarantined":
                context.call_log.problems.append(f"poison request ended with {exc}")
        else:
            context.call_log.problems.append("the poison request was answered")
        await caller.end_program(program)

    async def clear(self, context: CellContext) -> None:
        assert self._task is not None
        async with asyncio.timeout(60):
            await self._task
        for engine in context.cluster.deployment.engines.values():
            engine.faults.crash_on = ""


class LeaveVm(Fault):
    """The VMs of one replica of each target are leaving."""

    duration = MAX_PROPAGATION_SECONDS + VM_LAG_SECONDS + 2.0

    async def inject(self, context: CellContext) -> None:
        for target in context.cluster.deployment.bundle["targets"]:
            replicas = target["replicas"]
            replica = replicas[context.number % len(replicas)]
            context.cluster.vm_list.set_state(replica["vm"], "leaving")
            context.leaving_since[replica["name"]] = time.time()

    async def clear(self, context: CellContext) -> None:
        until = time.time()
        for target in context.cluster.deployment.bundle["targets"]:
            for replica in target["replicas"]:
                if replica["name"] not in context.leaving_since:
                    continue
                self._check_requests(context, replica["name"], until)
                context.cluster.vm_list.set_state(replica["vm"], "live")

    def _check_requests(self, context: CellContext, name: str, until: float) -> None:
        started_at = (
            context.leaving_since[name] + VM_LAG_SECONDS + MAX_PROPAGATION_SECONDS
        )
        for entry in context.cluster.deployment.replicas[name].received:
            if entry.method != "POST" or not started_at < entry.time < until:
                continue
            late = entry.time - context.leaving_since[name]
            text = f"{name} got {entry.path} {late:.1f} s after its VM started to leave"
            context.call_log.problems.append(f"P12 {text}")


class Drain(Fault):
    """SIGTERM of the owner, which finishes open requests and exits."""

    def __init__(self) -> None:
        self._task: asyncio.Task[int] | None = None

    async def inject(self, context: CellContext) -> None:
        context.unavailable_nodes.add(context.owner)
        context.leaving_since[context.owner] = time.time()
        self._task = asyncio.create_task(context.cluster.terminate(context.owner))

    async def clear(self, context: CellContext) -> None:
        assert self._task is not None
        code = await self._task
        if code != 0:
            context.call_log.problems.append(f"P13 the node exited with {code}")


FAULTS: dict[str, Any] = {
    "kill_owner": lambda: Kill("owner"),
    "kill_entry": lambda: Kill("entry"),
    "partition_store": PartitionStore,
    "isolate": Isolate,
    "pause": Pause,
    "expire_lease": ExpireLease,
    "store_down": lambda: StoreSwitch("down", "refuse", ""),
    "store_slow": lambda: StoreSwitch("delay", 0.7, 0.0),
    "lose_responses": lambda: StoreSwitch("lose_answers", 3, 0),
    "race": Race,
    "withdraw": WithdrawKey,
    "poison": Poison,
    "leave_vm": LeaveVm,
    "drain": Drain,
}
