"""Stand-ins of the targets of an example bundle."""

import asyncio
import contextlib
from pathlib import Path
from typing import Any

import msgspec
from attrs import define, field

from standins._base import StandIn, find_free_port
from standins.engine import EngineStandIn
from standins.service import ServiceStandIn
from tools.cluster._processes import ROOT, spawn

__all__ = ["Deployment", "StandInProcess", "load_bundle", "load_keys"]


def load_bundle(name: str) -> dict[str, Any]:
    """Return an example bundle, ``poklopac`` or ``asociacion``."""
    return dict(msgspec.json.decode((ROOT / "examples" / f"{name}.json").read_bytes()))


def load_keys(name: str) -> dict[str, str]:
    """Return the keys of an example bundle by team."""
    data = msgspec.json.decode((ROOT / "examples" / "keys.json").read_bytes())
    return dict(data[name])


class StandInProcess:
    """A stand-in that runs as a separate process.

    Parameters
    ----------
    module : str
        Module under ``standins``.
    folder : Path
        Folder of the log.
    options : dict
        Command-line options by name.
    """

    def __init__(self, module: str, folder: Path, **options: Any) -> None:
        self._module = module
        self._folder = folder
        self._options = options
        self._process: asyncio.subprocess.Process | None = None
        self.url = f"http://127.0.0.1:{find_free_port()}"
        self.control_url = f"http://127.0.0.1:{find_free_port()}"

    async def start(self) -> None:
        """Start the process and wait until it listens."""
        arguments = ["--listen", self.url[7:], "--control", self.control_url[7:]]
        for name, value in self._options.items():
            arguments += ["--" + name.replace("_", "-"), str(value)]
        name = f"{self._module}-{self.url.rpartition(':')[2]}.log"
        self._process = await spawn(
            [f"standins.{self._module}", *arguments], self._folder / name
        )
        for _ in range(600):
            with contextlib.suppress(OSError):
                host, _, port = self.url[7:].rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                return
            await asyncio.sleep(0.05)
        raise TimeoutError(f"{self._module} is not listening after 30 s; see {name}")

    async def stop(self) -> None:
        """Kill the process."""
        if self._process is not None and self._process.returncode is None:
            self._process.kill()
            await self._process.wait()


@define
class Deployment:
    """A bundle with a stand-in for each replica.

    Attributes
    ----------
    bundle : dict
        The bundle with the addresses of the stand-ins.
    keys : dict of str to str
        Key of each team by its name.
    replicas : dict
        Stand-in of each replica by its name.
    """

    bundle: dict[str, Any]
    keys: dict[str, str]
    replicas: dict[str, Any] = field(factory=dict)

    @classmethod
    def from_example(
        cls,
        name: str,
        *,
        folder: Path | None = None,
        engine: dict[str, Any] | None = None,
    ) -> "Deployment":
        """Build an example deployment without starting it.

        Parameters
        ----------
        folder : Path or None
            Log folder; if given, each stand-in runs as a separate process.
        engine : dict or None
            Options of the engine stand-ins.
        """
        bundle = load_bundle(name)
        deployment = cls(bundle=bundle, keys=load_keys(name))
        for target in bundle["targets"]:
            is_engine = target["kind"] == "engine"
            options = (engine or {}) if is_engine else {}
            for replica in target["replicas"]:
                deployment.replicas[replica["name"]] = _make_stand_in(
                    is_engine, folder, options, checks_fence=target["checks_fence"]
                )
        return deployment

    @property
    def engines(self) -> dict[str, EngineStandIn]:
        """Engine stand-ins in this process, by replica name."""
        replicas = self.replicas.items()
        return {k: s for k, s in replicas if isinstance(s, EngineStandIn)}

    @property
    def services(self) -> dict[str, ServiceStandIn]:
        """Service stand-ins in this process, by replica name."""
        replicas = self.replicas.items()
        return {k: s for k, s in replicas if isinstance(s, ServiceStandIn)}

    def list_vms(self) -> list[dict[str, str]]:
        """Return the VMs of the replicas for the VM list."""
        return [
            {"name": replica["vm"], "zone": replica["zone"], "state": "live"}
            for target in self.bundle["targets"]
            for replica in target["replicas"]
        ]

    async def start(self) -> None:
        """Start the stand-ins and write their addresses into the bundle."""
        await asyncio.gather(*(s.start() for s in self.replicas.values()))
        for target in self.bundle["targets"]:
            for replica in target["replicas"]:
                replica["url"] = self.replicas[replica["name"]].url

    async def stop(self) -> None:
        """Stop the stand-ins."""
        await asyncio.gather(*(s.stop() for s in self.replicas.values()))


def _make_stand_in(
    is_engine: bool, folder: Path | None, options: dict[str, Any], *, checks_fence: bool
) -> StandIn | StandInProcess:
    if folder is not None:
        module = "engine" if is_engine else "service"
        return StandInProcess(module, folder, **options)
    stand_in = EngineStandIn(**options) if is_engine else ServiceStandIn(**options)
    stand_in.faults.checks_fence = checks_fence
    return stand_in
