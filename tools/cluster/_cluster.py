"""Local cluster of stand-ins and daemon processes."""

import asyncio
import hashlib
import tempfile
import uuid
from pathlib import Path
from typing import Any, Self

import msgspec

from fireflyspread.bundle import Bundle, hash_key
from fireflyspread.platform import EtcdStore
from standins._base import find_free_port
from standins.store import StoreStandIn
from standins.vm_list import VmListStandIn
from tools.client import CallerClient
from tools.cluster._forwarder import Forwarder
from tools.cluster._nodes import NodeProcess
from tools.cluster._targets import Deployment, StandInProcess

__all__ = ["LocalCluster"]

ZONES = ("a", "b", "c")
SECRET = "harness-secret-0123456789"
OPERATORS = {"olga": "operator-key-olga", "paul": "operator-key-paul"}


class LocalCluster:
    """A deployment whose nodes and targets all run on this machine.

    Parameters
    ----------
    deployment : str or Deployment
        Name of an example bundle, or a deployment built by a test.
    nodes : int
        Number of daemon processes, spread over the zones.
    timing, limits : dict or None
        Overrides of these parts of the settings.
    processes : bool
        Whether the stand-ins run as separate processes instead of tasks of this one.
    forwarders : bool
        Whether the nodes reach each other and the store through forwarders;
        ``partition`` and ``isolate`` need them.
    folder : Path or None
        Folder of the settings files and logs; a temporary one by default.
    engine : dict or None
        Options of the engine stand-ins.
    settings : dict or None
        Additional top-level settings of every node.
    """

    def __init__(
        self,
        deployment: "str | Deployment" = "poklopac",
        *,
        nodes: int = 4,
        timing: dict[str, Any] | None = None,
        limits: dict[str, Any] | None = None,
        processes: bool = False,
        forwarders: bool = True,
        folder: Path | None = None,
        engine: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:
        self._temporary = tempfile.TemporaryDirectory(prefix="fireflyspread-")
        self.folder = folder or Path(self._temporary.name)
        logs = self.folder if processes else None
        if isinstance(deployment, str):
            deployment = Deployment.from_example(deployment, folder=logs, engine=engine)
        self.deployment = deployment
        names = [f"node-{index + 1}" for index in range(nodes)]
        self._node_vms = [
            {"name": f"vm-{name}", "zone": ZONES[i % 3], "state": "live"}
            for i, name in enumerate(names)
        ]
        vms = [*deployment.list_vms(), *self._node_vms]
        self.store: Any
        self.vm_list: Any
        if logs is None:
            self.store, self.vm_list = StoreStandIn(), VmListStandIn(vms=vms)
        else:
            path = self.folder / "vms.json"
            path.write_bytes(msgspec.json.encode(vms))
            self.store = StandInProcess("store", logs)
            self.vm_list = StandInProcess("vm_list", logs, vms=path)
        self.nodes: dict[str, NodeProcess] = {}
        self._names = names
        self._settings = {**(settings or {})}
        self._settings |= {"timing": timing or {}, "limits": limits or {}}
        self._uses_forwarders = forwarders
        self._store_forwarders: dict[str, Forwarder] = {}
        self._node_forwarders: dict[str, tuple[Forwarder, Forwarder]] = {}

    async def __aenter__(self) -> Self:
        try:
            await self.start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self.stop()

    @property
    def urls(self) -> list[str]:
        """Base URLs for callers of all nodes."""
        return [node.url for node in self.nodes.values()]

    async def start(self) -> None:
        """Start everything, activate the bundle and wait until the nodes are ready."""
        await asyncio.gather(
            self.store.start(), self.vm_list.start(), self.deployment.start()
        )
        await self.put_bundle(self.deployment.bundle)
        for index, name in enumerate(self._names):
            await self.add_node(name, ZONES[index % 3])
        await asyncio.gather(*(node.wait_ready() for node in self.nodes.values()))

    async def stop(self) -> None:
        """Kill the nodes and stop the stand-ins."""
        await asyncio.gather(*(node.kill() for node in self.nodes.values()))
        forwarders = [*self._store_forwarders.values()]
        for pair in self._node_forwarders.values():
            forwarders += pair
        await asyncio.gather(*(forwarder.stop() for forwarder in forwarders))
        await self.deployment.stop()
        await self.store.stop()
        await self.vm_list.stop()
        self._temporary.cleanup()

    async def add_node(self, name: str, zone: str) -> NodeProcess:
        """Start an additional node without waiting until it is ready."""
        ports = {listener: f"127.0.0.1:{find_free_port()}" for listener in _LISTENERS}
        settings = {
            "node": {"name": name, "zone": zone, "vm": f"vm-{name}"},
            "listen": ports,
            "platform": {"store": self.store.url, "vm_list": self.vm_list.url},
            "node_secret": SECRET,
            "operator_keys": {name: hash_key(k) for name, k in OPERATORS.items()},
            **self._settings,
        }
        if self._uses_forwarders:
            await self._add_forwarders(name, settings)
        node = self.nodes[name] = NodeProcess(settings, self.folder)
        await node.start()
        return node

    async def put_bundle(self, bundle: dict[str, Any]) -> int:
        """Activate a bundle without approval and return its version."""
        contents = Bundle.from_config(bundle).to_json()
        digest = hashlib.sha256(contents).hexdigest()
        store = EtcdStore(self.store.url, timeout=5.0)
        try:
            await store.replace(f"bundle/contents/{digest}", contents, revision=0)
            current = await store.read("bundle/current")
            document: dict[str, Any] = {"version": 0, "fences": {}}
            revision = 0
            if current is not None:
                document = msgspec.json.decode(current.value)
                revision = current.revision
            version = int(document["version"]) + 1
            fences = await self._compute_fences(store, document, bundle, version)
            value = {
                "version": version,
                "digest": digest,
                "fences": fences,
                "rolled_by": "harness",
                "write_id": uuid.uuid4().hex,
            }
            written = await store.replace(
                "bundle/current", msgspec.json.encode(value), revision=revision
            )
            assert written is not None, "bundle/current changed during the write"
            return version
        finally:
            await store.close()

    def open_client(self, team: str, **options: Any) -> CallerClient:
        """Return a client of a team with the URLs of all nodes."""
        return CallerClient(self.urls, self.deployment.keys[team], **options)

    async def kill(self, name: str) -> None:
        """Kill a node with SIGKILL."""
        await self.nodes[name].kill()

    def pause(self, name: str) -> None:
        """Stop a node with SIGSTOP."""
        self.nodes[name].pause()

    def resume(self, name: str) -> None:
        """Resume a paused node with SIGCONT."""
        self.nodes[name].resume()

    async def terminate(self, name: str, timeout: float = 90.0) -> int:
        """Stop a node with SIGTERM and return its exit code.

        Parameters
        ----------
        timeout : float
            Seconds until ``TimeoutError``.
        """
        return await self.nodes[name].terminate(timeout)

    async def restart(self, name: str) -> None:
        """Kill a node, start it again and wait until it is ready."""
        await self.nodes[name].kill()
        await self.nodes[name].start()
        await self.nodes[name].wait_ready()

    def partition(self, name: str, peer: str, *, kind: str = "drop") -> None:
        """Block traffic between a node and ``"store"`` or another node, both ways.

        Parameters
        ----------
        kind : str
            ``"drop"`` or ``"reset"``, see ``Forwarder.block``.
        """
        for forwarder, source in self._find_forwarders(name, peer):
            forwarder.block(source, kind=kind)

    def heal(self, name: str, peer: str) -> None:
        """End a partition."""
        for forwarder, source in self._find_forwarders(name, peer):
            forwarder.unblock(source)

    def isolate(self, name: str, *, kind: str = "drop") -> None:
        """Partition a node from the store and all other nodes."""
        for peer in ("store", *(n for n in self.nodes if n != name)):
            self.partition(name, peer, kind=kind)

    def rejoin(self, name: str) -> None:
        """End ``isolate``."""
        for peer in ("store", *(n for n in self.nodes if n != name)):
            self.heal(name, peer)

    def find_pid(self, name: str) -> int | None:
        """Return the process id of a node, or None."""
        node = self.nodes.get(name)
        return None if node is None else node.pid

    def _find_forwarders(self, name: str, peer: str) -> list[tuple[Forwarder, str]]:
        if not self._uses_forwarders:
            raise RuntimeError("the cluster has no forwarders; set forwarders=True")
        if peer == "store":
            return [(self._store_forwarders[name], "*")]
        forwarders = [(forwarder, name) for forwarder in self._node_forwarders[peer]]
        return forwarders + [(f, peer) for f in self._node_forwarders[name]]

    async def _add_forwarders(self, name: str, settings: dict[str, Any]) -> None:
        store = Forwarder(self.store.url.removeprefix("http://"))
        internal = Forwarder(settings["listen"]["internal"], self.find_pid)
        peers = Forwarder(settings["listen"]["peers"], self.find_pid)
        for forwarder in (store, internal, peers):
            await forwarder.start()
        self._store_forwarders[name] = store
        self._node_forwarders[name] = (internal, peers)
        settings["platform"]["store"] = f"http://{store.address}"
        settings["advertise"] = {"internal": internal.address, "peers": peers.address}

    async def _compute_fences(
        self,
        store: EtcdStore,
        document: dict[str, Any],
        bundle: dict[str, Any],
        version: int,
    ) -> dict[str, int]:
        halves: dict[str, str] = {}
        if document["version"]:
            old = await store.read(f"bundle/contents/{document['digest']}")
            assert old is not None
            old_bundle = msgspec.json.decode(old.value)
            halves = {t["name"]: t["half"] for t in old_bundle["targets"]}
        return {
            target["name"]: document["fences"][target["name"]]
            if halves.get(target["name"]) == target["half"]
            else version
            for target in bundle["targets"]
        }


_LISTENERS = ("callers", "internal", "peers", "operators")
