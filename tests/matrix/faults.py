"""Faults of the columns: how each is injected and ended."""

import asyncio
import time
from abc import ABC, abstractmethod
from typing import Any, ClassVar

import aiohttp
import msgspec

from fireflyspread.bundle import hash_key
from tests.matrix.callers import Ledger, Runner
from tools.client import CallError
from tools.cluster import LocalCluster
from tools.cluster._cluster import OPERATORS

__all__ = ["BOUND_SECONDS", "FAULTS", "LEASE_TTL", "Fault", "Scene", "probe_withdrawn"]

LEASE_TTL = 3
# Bound of P7, P12 and P14 in the design.
OPERATOR_PATIENCE = 30.0
BOUND_SECONDS = 3.0
LONG_PAUSE_SECONDS = LEASE_TTL + 2.0
HOLD_SECONDS = 3.5
VM_LAG_SECONDS = 0.5


class Scene:
    """What a fault acts on.

    Parameters
    ----------
    owner, entry : str
        Node that owns the focus program, and node that its caller asks first.
    focus : Runner
        The caller in focus.
    """

    def __init__(
        self, cluster: LocalCluster, ledger: Ledger, focus: Runner, number: int
    ) -> None:
        self.cluster = cluster
        self.ledger = ledger
        self.focus = focus
        self.number = number
        names = list(cluster.nodes)
        self.owner = names[number % len(names)]
        self.entry = names[(number + 1) % len(names)]
        self.others = [n for n in names if n not in (self.owner, self.entry)]
        self.cut_off: set[str] = set()
        self.left: dict[str, float] = {}
        self.withdrawn: dict[str, float] = {}

    async def ask(
        self, node: str, method: str, path: str, *, operator: str = "olga", **kw: Any
    ) -> tuple[int, Any]:
        """Send a request of an operator and return status and data; 0 if none."""
        until = time.time() + OPERATOR_PATIENCE
        while True:
            status, data = await self._ask_once(node, method, path, operator, **kw)
            # An operator repeats what the store could not answer; a roll carries a
            # write id, so repeating it is safe.
            if status != 503 or time.time() > until:
                return status, data
            await asyncio.sleep(0.2)

    async def _ask_once(
        self, node: str, method: str, path: str, operator: str, **kw: Any
    ) -> tuple[int, Any]:
        url = self.cluster.nodes[node].operators_url + "/admin/v1" + path
        headers = {"Authorization": f"Bearer {OPERATORS[operator]}"}
        limit = aiohttp.ClientTimeout(total=30.0)
        try:
            async with (
                aiohttp.ClientSession(headers=headers, timeout=limit) as session,
                session.request(method, url, **kw) as response,
            ):
                return response.status, msgspec.json.decode(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, None

    async def read_version(self, node: str) -> int | None:
        """Return the bundle version a node has in force."""
        status, data = await self.ask(node, "GET", "/state")
        return int(data["bundle_version"]) if status == 200 else None

    async def wait_version(self, version: int, begun: float, what: str) -> None:
        """Check that nodes in contact have a version within the bound."""
        nodes = [n for n in self.cluster.nodes if n not in self.cut_off]
        while True:
            asked = time.time()
            found = await asyncio.gather(*map(self.read_version, nodes))
            if all(v is not None and v >= version for v in found):
                return
            if asked - begun > BOUND_SECONDS:
                rows = dict(zip(nodes, found, strict=True))
                text = f"{what}: version {version} not in force: {rows}"
                self.ledger.problems.append(f"P14 {text}")
                return
            await asyncio.sleep(0.1)


class Fault(ABC):
    """One fault."""

    hold: ClassVar[float] = HOLD_SECONDS

    @abstractmethod
    async def inject(self, scene: Scene) -> None:
        """Start the fault."""

    async def heal(self, scene: Scene) -> None:
        """End the fault; dead nodes are started again after the cell."""
        return


class Kill(Fault):
    """SIGKILL of a node; its programs go on elsewhere before it is back."""

    def __init__(self, role: str) -> None:
        self._role = role

    async def inject(self, scene: Scene) -> None:
        name = getattr(scene, self._role)
        scene.cut_off.add(name)
        await scene.cluster.kill(name)


class CutStore(Fault):
    """Partition of the owner from the store."""

    async def inject(self, scene: Scene) -> None:
        scene.cluster.partition(scene.owner, "store")

    async def heal(self, scene: Scene) -> None:
        scene.cluster.heal(scene.owner, "store")


class Isolate(Fault):
    """Partition of the owner from the store and all nodes."""

    hold = LEASE_TTL + 3.0

    async def inject(self, scene: Scene) -> None:
        scene.cut_off.add(scene.owner)
        scene.cluster.isolate(scene.owner)

    async def heal(self, scene: Scene) -> None:
        scene.cluster.rejoin(scene.owner)


class Pause(Fault):
    """SIGSTOP of the owner for longer than its lease."""

    hold = LONG_PAUSE_SECONDS

    async def inject(self, scene: Scene) -> None:
        scene.cut_off.add(scene.owner)
        scene.cluster.pause(scene.owner)

    async def heal(self, scene: Scene) -> None:
        scene.cluster.resume(scene.owner)


class ExpireLease(Fault):
    """SIGSTOP of the owner, whose lease the store drops meanwhile."""

    hold = 1.0

    async def inject(self, scene: Scene) -> None:
        scene.cut_off.add(scene.owner)
        scene.cluster.pause(scene.owner)
        space = scene.cluster.store.keyspace
        prefix = f"nodes/{scene.owner}/".encode()
        for key, row in list(space.rows.items()):
            if key.startswith(prefix) and row.lease:
                space.revoke_lease(row.lease)

    async def heal(self, scene: Scene) -> None:
        scene.cluster.resume(scene.owner)


class StoreSwitch(Fault):
    """A switch of the store."""

    def __init__(self, name: str, value: Any, healthy: Any) -> None:
        self._name = name
        self._value = value
        self._healthy = healthy

    async def inject(self, scene: Scene) -> None:
        setattr(scene.cluster.store.faults, self._name, self._value)

    async def heal(self, scene: Scene) -> None:
        setattr(scene.cluster.store.faults, self._name, self._healthy)


class Race(Fault):
    """Two operators roll different bundles from the same version."""

    async def inject(self, scene: Scene) -> None:
        first, second = scene.others
        _, current = await scene.ask(first, "GET", "/bundles/current")
        version = int(current["version"])
        rolls = await asyncio.gather(
            self._roll(scene, first, "olga", current["bundle"], 1),
            self._roll(scene, second, "paul", current["bundle"], 2),
        )
        # The bundle is accepted when the winner is told so.
        begun = time.time()
        wins = [data for status, data in rolls if status == 200]
        if len(wins) != 1 or sorted(s for s, _ in rolls)[-1] != 409:
            scene.ledger.problems.append(f"P14 not exactly one winner: {rolls}")
        await scene.wait_version(version + 1, begun, "race")

    async def _roll(
        self, scene: Scene, node: str, operator: str, bundle: Any, mark: int
    ) -> tuple[int, Any]:
        changed = msgspec.json.decode(msgspec.json.encode(bundle))
        changed["teams"][-1]["weight"] = 1.0 + mark / 10 + scene.number
        _, current = await scene.ask(node, "GET", "/bundles/current", operator=operator)
        version = current["version"]
        _, draft = await scene.ask(
            node, "POST", "/bundles", operator=operator, json=changed
        )
        path = f"/bundles/{draft['digest']}"
        await scene.ask(node, "POST", path + "/approvals", operator=operator, json={})
        body = {"expected_version": version, "write_id": f"{operator}-{scene.number}"}
        return await scene.ask(
            node, "POST", path + "/roll", operator=operator, json=body
        )


class Withdraw(Fault):
    """An operator withdraws the key of the caller in focus."""

    hold = BOUND_SECONDS + 1.0

    async def inject(self, scene: Scene) -> None:
        key = scene.focus.keys[0]
        path = f"/keys/{hash_key(key)}/withdraw"
        status, data = await scene.ask(scene.others[0], "POST", path, json={})
        if status != 200:
            scene.ledger.problems.append(f"withdrawal failed: {status} {data}")
            return
        scene.withdrawn[key] = time.time()
        version = int(data["version"])
        await scene.wait_version(version, scene.withdrawn[key], "withdrawal")

    async def heal(self, scene: Scene) -> None:
        await probe_withdrawn(scene)


async def probe_withdrawn(scene: Scene) -> None:
    """Ask all nodes with the withdrawn keys of the scene; none may serve them."""
    await asyncio.gather(
        *(_probe(scene, n, k) for k in scene.withdrawn for n in scene.cluster.nodes)
    )


async def _probe(scene: Scene, name: str, key: str) -> None:
    url = scene.cluster.nodes[name].url + "/v1/programs/p-000000000000000000000000"
    limit = aiohttp.ClientTimeout(total=2.0)
    headers = {"Authorization": f"Bearer {key}"}
    try:
        async with (
            aiohttp.ClientSession(headers=headers, timeout=limit) as session,
            session.get(url) as response,
        ):
            if response.status not in (401, 503):
                text = f"{name} answers {response.status} to a withdrawn key"
                scene.ledger.problems.append(f"P7 {text}")
    except (aiohttp.ClientError, TimeoutError, OSError):
        return


class Poison(Fault):
    """A request that crashes each engine replica it reaches."""

    def __init__(self) -> None:
        self._task: asyncio.Task[None] | None = None

    async def inject(self, scene: Scene) -> None:
        marker = f"poison-{scene.number}-"
        for engine in scene.cluster.deployment.engines.values():
            engine.faults.update({"crash_on": marker, "crash_seconds": 0.5})
        self._task = asyncio.create_task(self._send(scene, marker))

    async def _send(self, scene: Scene, marker: str) -> None:
        runner = Runner(
            scene.ledger,
            "logistics",
            [scene.cluster.deployment.keys["logistics"]],
            [scene.cluster.nodes[n].url for n in scene.others],
            name=marker,
            seed=scene.number,
        )
        program = await runner.open(2000)
        try:
            await runner.turn(program, 1)
        except CallError as exc:
            if exc.code != "request_quarantined":
                scene.ledger.problems.append(f"poison request ended with {exc}")
        else:
            scene.ledger.problems.append("the poison request was answered")
        await runner.end(program)

    async def heal(self, scene: Scene) -> None:
        assert self._task is not None
        async with asyncio.timeout(60):
            await self._task
        for engine in scene.cluster.deployment.engines.values():
            engine.faults.crash_on = ""


class LeaveVm(Fault):
    """The VMs of one replica of each target are leaving."""

    hold = BOUND_SECONDS + VM_LAG_SECONDS + 2.0

    async def inject(self, scene: Scene) -> None:
        for target in scene.cluster.deployment.bundle["targets"]:
            replicas = target["replicas"]
            replica = replicas[scene.number % len(replicas)]
            scene.cluster.vm_list.set_state(replica["vm"], "leaving")
            scene.left[replica["name"]] = time.time()

    async def heal(self, scene: Scene) -> None:
        until = time.time()
        for target in scene.cluster.deployment.bundle["targets"]:
            for replica in target["replicas"]:
                if replica["name"] not in scene.left:
                    continue
                self._judge(scene, replica["name"], until)
                scene.cluster.vm_list.set_state(replica["vm"], "live")

    def _judge(self, scene: Scene, name: str, until: float) -> None:
        begun = scene.left[name] + VM_LAG_SECONDS + BOUND_SECONDS
        for entry in scene.cluster.deployment.replicas[name].received:
            if entry.method != "POST" or not begun < entry.time < until:
                continue
            late = entry.time - scene.left[name]
            text = f"{name} got {entry.path} {late:.1f} s after its VM began to leave"
            scene.ledger.problems.append(f"P12 {text}")


class Drain(Fault):
    """SIGTERM of the owner; it finishes what is open and ends."""

    def __init__(self) -> None:
        self._task: asyncio.Task[int] | None = None

    async def inject(self, scene: Scene) -> None:
        scene.cut_off.add(scene.owner)
        scene.left[scene.owner] = time.time()
        self._task = asyncio.create_task(scene.cluster.terminate(scene.owner))

    async def heal(self, scene: Scene) -> None:
        assert self._task is not None
        code = await self._task
        if code != 0:
            scene.ledger.problems.append(f"P13 the node ended with {code}")


FAULTS: dict[str, Any] = {
    "kill_owner": lambda: Kill("owner"),
    "kill_entry": lambda: Kill("entry"),
    "cut_store": CutStore,
    "isolate": Isolate,
    "pause": Pause,
    "expire_lease": ExpireLease,
    "store_down": lambda: StoreSwitch("down", "refuse", ""),
    "store_slow": lambda: StoreSwitch("delay", 0.7, 0.0),
    "lose_responses": lambda: StoreSwitch("lose_answers", 3, 0),
    "race": Race,
    "withdraw": Withdraw,
    "poison": Poison,
    "leave_vm": LeaveVm,
    "drain": Drain,
}
