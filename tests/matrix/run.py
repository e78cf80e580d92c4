"""Runs cells: workload, fault at the step, heal, judgement."""

import asyncio
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from attrs import define, field

from fireflyspread.bundle import hash_key
from tests.matrix.callers import Ledger, Runner
from tests.matrix.cells import COLUMNS, Cell
from tests.matrix.faults import (
    BOUND_SECONDS,
    FAULTS,
    LEASE_TTL,
    Fault,
    Scene,
    probe_withdrawn,
)
from tests.matrix.judge import judge
from tests.matrix.steps import Focus
from tools.cluster import Deployment, LocalCluster

__all__ = ["Matrix"]

FOCUS_TEAM = "sourcing"
FLOOD_TEAM = "audit"
FLOOD_REQUESTS = 90
BUDGET = 160
TOKEN_SECONDS = 0.02
# A stream must outlast the bound of a withdrawal to show that it is ended.
SLOW_FACTOR = 10.0
# An isolated node hears of no withdrawal; its shortest stream must outlast the bound.
LONG_FACTOR = 40.0
BUSY = 4
BUSY_SECONDS = 9.0
FINISH_SECONDS = 120.0
CELL_SECONDS = 240.0


def make_deployment(spare_keys: int) -> Deployment:
    """Return the lid deployment with spare keys and few slots on its engines."""
    deployment = Deployment.from_example(
        "poklopac", engine={"token_seconds": TOKEN_SECONDS, "longest": 30}
    )
    for number in range(spare_keys):
        digest = hash_key(make_key(number))
        deployment.bundle["keys"].append({"digest": digest, "team": FOCUS_TEAM})
    for target in deployment.bundle["targets"]:
        if target["kind"] == "engine":
            target["concurrency"] = 2
    return deployment


def make_key(number: int) -> str:
    """Return the key that the focus of a cell uses first."""
    return f"matrix-key-{number:04d}-of-the-focus"


class CellRun:
    """One cell on a running cluster."""

    def __init__(
        self, cluster: LocalCluster, cell: Cell, number: int, seed: int
    ) -> None:
        self.cluster = cluster
        self.cell = cell
        self.ledger = Ledger()
        self.seed = seed
        self.name = f"{seed}-{cell.name}"
        self.faults: list[Fault] = [FAULTS[n]() for n in COLUMNS[cell.column]]
        keys = [make_key(number), cluster.deployment.keys[FOCUS_TEAM]]
        nodes = cluster.urls
        names = COLUMNS[cell.column]
        # A caller of an isolated node must not be served by it, so it asks there.
        is_direct = "isolate" in names and "withdraw" in names
        turn = (number + (0 if is_direct else 1)) % len(nodes)
        focus = self._make_runner(FOCUS_TEAM, "focus", nodes[turn:] + nodes[:turn])
        focus.keys = keys
        self.scene = Scene(cluster, self.ledger, focus, number)
        self.focus = Focus(self.scene, cell.step)

    async def run(self) -> list[str]:
        """Return what is wrong."""
        names = COLUMNS[self.cell.column]
        if "withdraw" in names:
            factor = LONG_FACTOR if "isolate" in names else SLOW_FACTOR
            self._set_slow(factor)
        watch = asyncio.create_task(self._watch_versions())
        try:
            await self._run()
        except Exception as exc:
            exc.add_note("\n".join(map(str, self.ledger.attempts[-40:])))
            raise
        finally:
            watch.cancel()
            await self._restore()
        bound = {k: t + BOUND_SECONDS for k, t in self.scene.withdrawn.items()}
        problems = await judge(self.cluster, self.ledger, FLOOD_TEAM, bound)
        problems += self._judge_drain()
        return problems

    async def _run(self) -> None:
        focus = asyncio.create_task(self.focus.run())
        others = [asyncio.create_task(work) for work in self._make_others()]
        reach = asyncio.create_task(self.focus.reach())
        await asyncio.wait({reach, focus}, return_when=asyncio.FIRST_COMPLETED)
        if focus.done():
            reach.cancel()
            await focus
            raise AssertionError("the focus ended before its step was reached")
        await reach
        for fault in self.faults:
            await fault.inject(self.scene)
        is_slow = "store_slow" in COLUMNS[self.cell.column]
        self.focus.release(is_store_slow=is_slow)
        await asyncio.sleep(max(fault.hold for fault in self.faults))
        for fault in reversed(self.faults):
            await fault.heal(self.scene)
        await probe_withdrawn(self.scene)
        self._set_slow(1.0)
        async with asyncio.timeout(FINISH_SECONDS):
            await asyncio.gather(focus, *others)
            await self.focus.finish()

    def _set_slow(self, factor: float) -> None:
        for engine in self.cluster.deployment.engines.values():
            engine.faults.slow = factor

    async def _restore(self) -> None:
        self.cluster.store.faults.update({"delay": 0.0, "down": "", "lose_answers": 0})
        for engine in self.cluster.deployment.engines.values():
            engine.faults.update({"slow": 1.0, "crash_on": "", "refuse_release": 0})
        for name, node in self.cluster.nodes.items():
            if node.pid is None:
                await node.start()
            else:
                self.cluster.resume(name)
                self.cluster.rejoin(name)
        await asyncio.gather(*(n.wait_ready() for n in self.cluster.nodes.values()))

    def _make_runner(self, team: str, name: str, nodes: list[str]) -> Runner:
        return Runner(
            self.ledger,
            team,
            [self.cluster.deployment.keys[team]],
            nodes,
            name=f"{self.name}-{name}",
            seed=self.seed,
        )

    def _make_others(self) -> Iterable[Any]:
        urls = self.cluster.urls
        for index, team in enumerate(("quality", "logistics")):
            nodes = urls[index:] + urls[:index]
            yield self._make_runner(team, team, nodes).run_program(4)
        yield self._make_runner("pricing", "looper", urls).run_to_budget(BUDGET)
        if "leave_vm" in COLUMNS[self.cell.column]:
            # Work must go on past the bound to show that none reaches the VM.
            for index in range(BUSY):
                yield self._keep_busy(index)
        yield self._flood()
        yield self._intrude()

    async def _keep_busy(self, index: int) -> None:
        runner = self._make_runner("catalogue", f"busy-{index}", self.cluster.urls)
        while time.time() < self.ledger.begun + BUSY_SECONDS:
            program = await runner.open(2000)
            await runner.turn(program, 1)
            await runner.order(None, runner.count())
            await runner.end(program)

    async def _flood(self) -> None:
        """Send more requests at once than the team's burst, at all nodes."""
        headers = {
            "Authorization": f"Bearer {self.cluster.deployment.keys[FLOOD_TEAM]}",
            "Content-Type": "application/json",
        }
        limit = aiohttp.ClientTimeout(total=20.0)
        async with aiohttp.ClientSession(headers=headers, timeout=limit) as session:
            await asyncio.gather(
                *(self._send_flood(session, i) for i in range(FLOOD_REQUESTS))
            )

    async def _send_flood(self, session: aiohttp.ClientSession, index: int) -> None:
        url = self.cluster.urls[index % len(self.cluster.urls)] + "/v1/services/quotes"
        body = msgspec.json.encode({"item": f"{FLOOD_TEAM}-flood-{self.name}-{index}"})
        await asyncio.sleep(index / FLOOD_REQUESTS)
        try:
            async with session.post(url, data=body) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def _intrude(self) -> None:
        """P5: ask for the other teams' programs with the key of one team."""
        key = self.cluster.deployment.keys["marketing"]
        limit = aiohttp.ClientTimeout(total=10.0)
        headers = {"Authorization": f"Bearer {key}"}
        async with aiohttp.ClientSession(headers=headers, timeout=limit) as session:
            for _ in range(20):
                for program in self.ledger.programs[:3]:
                    await self._ask_foreign(session, program.id)
                await asyncio.sleep(0.3)

    async def _ask_foreign(self, session: aiohttp.ClientSession, program: str) -> None:
        for url in self.cluster.urls:
            for path in ("", "/history", "/turns/1"):
                try:
                    async with session.get(
                        f"{url}/v1/programs/{program}{path}"
                    ) as response:
                        if response.status < 400:
                            text = f"{program}{path} shown to another team"
                            self.ledger.problems.append(f"P5 {text}")
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue

    async def _watch_versions(self) -> None:
        while True:
            for name, node in self.cluster.nodes.items():
                pid = node.pid
                if pid is None or name in self.scene.cut_off:
                    continue
                version = await self.scene.read_version(name)
                if version is not None and node.pid == pid:
                    self.ledger.versions.append((name, pid, version))
            await asyncio.sleep(0.3)

    def _judge_drain(self) -> list[str]:
        if "drain" not in COLUMNS[self.cell.column] or self.cell.step == "answer":
            return []
        return [
            f"P13 a request was cut off: {a.label[:24]} {a.code} {a.outcome}"
            for a in self.ledger.attempts
            if a.outcome not in ("ran", "not_run") and a.ended
        ]


@define
class Matrix:
    """Runs the selected cells, each column on a cluster of its own.

    Attributes
    ----------
    seed : int
        Seed of the workload.
    parallel : int
        Clusters at a time.
    logs : Path or None
        Where settings and logs of the nodes stay; nowhere by default.
    """

    seed: int
    parallel: int
    logs: Path | None = None
    results: dict[Cell, asyncio.Future[list[str]]] = field(factory=dict)
    tasks: list[asyncio.Task[None]] = field(factory=list)

    def start(self, cells: Iterable[Cell]) -> None:
        """Start to run cells in the background."""
        loop = asyncio.get_running_loop()
        columns: dict[str, list[Cell]] = {}
        for cell in cells:
            self.results[cell] = loop.create_future()
            columns.setdefault(cell.column, []).append(cell)
        gate = asyncio.Semaphore(self.parallel)
        self.tasks = [
            asyncio.create_task(self._run_column(column, gate))
            for column in columns.values()
        ]

    async def stop(self) -> None:
        """End what still runs."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _make_folder(self, cell: Cell) -> Path | None:
        if self.logs is None:
            return None
        folder = self.logs / cell.name
        folder.mkdir(parents=True, exist_ok=True)
        return folder

    async def _run_column(self, cells: list[Cell], gate: asyncio.Semaphore) -> None:
        async with gate:
            rest = list(cells)
            while rest:
                await self._run_on_cluster(rest)

    async def _run_on_cluster(self, rest: list[Cell]) -> None:
        """Run cells until one leaves the cluster in an unknown state."""
        timing = {"lease_ttl": LEASE_TTL}
        deployment = make_deployment(len(rest))
        try:
            folder = self._make_folder(rest[0])
            async with LocalCluster(
                deployment, nodes=4, timing=timing, folder=folder
            ) as cluster:
                for number in range(len(rest)):
                    cell = rest.pop(0)
                    try:
                        async with asyncio.timeout(CELL_SECONDS):
                            run = CellRun(cluster, cell, number, self.seed)
                            problems = await run.run()
                        self.results[cell].set_result(problems)
                    except Exception as exc:
                        self.results[cell].set_exception(exc)
                        return
        except Exception as exc:
            for cell in rest:
                self.results[cell].set_exception(exc)
            rest.clear()
