"""Runs cells: workload, faults at the step, recovery and checks."""

import asyncio
import time
from collections.abc import Iterable
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
from attrs import define, field

from fireflyspread.bundle import hash_key
from tests.matrix.callers import Caller, CallLog
from tests.matrix.cells import COLUMNS, Cell
from tests.matrix.checks import check_guarantees
from tests.matrix.faults import (
    FAULTS,
    LEASE_TTL_SECONDS,
    MAX_PROPAGATION_SECONDS,
    CellContext,
    Fault,
    probe_withdrawn,
)
from tests.matrix.steps import ProgramUnderTest
from tools.cluster import Deployment, LocalCluster

__all__ = ["Matrix"]

CALLER_TEAM = "sourcing"
FLOOD_TEAM = "audit"
FLOOD_REQUESTS = 90
BUDGET = 160
TOKEN_SECONDS = 0.02
# A stream must last longer than the bound of a withdrawal to show that it is ended.
SLOW_FACTOR = 10.0
# An isolated node does not learn of a withdrawal; its shortest stream must last longer
# than the bound.
ISOLATED_SLOW_FACTOR = 40.0
LOAD_CALLERS = 4
LOAD_SECONDS = 9.0
FINISH_TIMEOUT_SECONDS = 120.0
CELL_TIMEOUT_SECONDS = 240.0


def make_deployment(spare_keys: int) -> Deployment:
    """Return the ``poklopac`` deployment with spare keys and few engine slots."""
    deployment = Deployment.from_example(
        "poklopac", engine={"token_seconds": TOKEN_SECONDS, "longest": 30}
    )
    for number in range(spare_keys):
        digest = hash_key(make_key(number))
        deployment.bundle["keys"].append({"digest": digest, "team": CALLER_TEAM})
    for target in deployment.bundle["targets"]:
        if target["kind"] == "engine":
            target["concurrency"] = 2
    return deployment


def make_key(number: int) -> str:
    """Return the first key of the caller of the program under test."""
    return f"matrix-key-{number:04d}-of-the-focus"


class CellRun:
    """One cell on a running cluster."""

    def __init__(
        self, cluster: LocalCluster, cell: Cell, number: int, seed: int
    ) -> None:
        self.cluster = cluster
        self.cell = cell
        self.call_log = CallLog()
        self.seed = seed
        self.name = f"{seed}-{cell.name}"
        self.faults: list[Fault] = [FAULTS[n]() for n in COLUMNS[cell.column]]
        keys = [make_key(number), cluster.deployment.keys[CALLER_TEAM]]
        nodes = cluster.urls
        names = COLUMNS[cell.column]
        # An isolated node must not serve a withdrawn key, so the caller tries it first.
        is_direct = "isolate" in names and "withdraw" in names
        first = (number + (0 if is_direct else 1)) % len(nodes)
        caller = self._make_caller(CALLER_TEAM, "focus", nodes[first:] + nodes[:first])
        caller.keys = keys
        self.context = CellContext(cluster, self.call_log, caller, number)
        self.program_under_test = ProgramUnderTest(self.context, cell.step)

    async def run(self) -> list[str]:
        """Run the cell and return the violations."""
        names = COLUMNS[self.cell.column]
        if "withdraw" in names:
            factor = ISOLATED_SLOW_FACTOR if "isolate" in names else SLOW_FACTOR
            self._set_slow_factor(factor)
        watcher = asyncio.create_task(self._watch_versions())
        try:
            await self._run()
        except Exception as exc:
            exc.add_note("\n".join(map(str, self.call_log.attempts[-40:])))
            raise
        finally:
            watcher.cancel()
            await self._restore()
        deadlines = {
            k: t + MAX_PROPAGATION_SECONDS for k, t in self.context.withdrawn_at.items()
        }
        problems = await check_guarantees(
            self.cluster, self.call_log, FLOOD_TEAM, deadlines
        )
        problems += self._check_drain()
        return problems

    async def _run(self) -> None:
        program = asyncio.create_task(self.program_under_test.run())
        others = [asyncio.create_task(work) for work in self._make_other_callers()]
        step_reached = asyncio.create_task(self.program_under_test.wait_at_step())
        await asyncio.wait({step_reached, program}, return_when=asyncio.FIRST_COMPLETED)
        if program.done():
            step_reached.cancel()
            await program
            raise AssertionError("the program under test ended before its step")
        await step_reached
        for fault in self.faults:
            await fault.inject(self.context)
        is_slow = "store_slow" in COLUMNS[self.cell.column]
        self.program_under_test.proceed(is_store_slow=is_slow)
        await asyncio.sleep(max(fault.duration for fault in self.faults))
        for fault in reversed(self.faults):
            await fault.clear(self.context)
        await probe_withdrawn(self.context)
        self._set_slow_factor(1.0)
        async with asyncio.timeout(FINISH_TIMEOUT_SECONDS):
            await asyncio.gather(program, *others)
            await self.program_under_test.wait_fillers()

    def _set_slow_factor(self, factor: float) -> None:
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

    def _make_caller(self, team: str, name: str, nodes: list[str]) -> Caller:
        return Caller(
            self.call_log,
            team,
            [self.cluster.deployment.keys[team]],
            nodes,
            name=f"{self.name}-{name}",
            seed=self.seed,
        )

    def _make_other_callers(self) -> Iterable[Any]:
        urls = self.cluster.urls
        for index, team in enumerate(("quality", "logistics")):
            nodes = urls[index:] + urls[:index]
            yield self._make_caller(team, team, nodes).run_program(4)
        yield self._make_caller("pricing", "looper", urls).run_to_budget(BUDGET)
        if "leave_vm" in COLUMNS[self.cell.column]:
            # The load must last longer than the bound to show that no request reaches
            # the VM after it.
            for index in range(LOAD_CALLERS):
                yield self._run_load(index)
        yield self._flood()
        yield self._request_foreign_programs()

    async def _run_load(self, index: int) -> None:
        caller = self._make_caller("catalogue", f"busy-{index}", self.cluster.urls)
        while time.time() < self.call_log.started_at + LOAD_SECONDS:
            program = await caller.open_program(2000)
            await caller.run_turn(program, 1)
            await caller.place_order(None, caller.next_number())
            await caller.end_program(program)

    async def _flood(self) -> None:
        """Send more requests than the team's burst, to all nodes."""
        headers = {
            "Authorization": f"Bearer {self.cluster.deployment.keys[FLOOD_TEAM]}",
            "Content-Type": "application/json",
        }
        timeout = aiohttp.ClientTimeout(total=20.0)
        async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
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

    async def _request_foreign_programs(self) -> None:
        """P5: request programs of other teams with the key of one team."""
        key = self.cluster.deployment.keys["marketing"]
        timeout = aiohttp.ClientTimeout(total=10.0)
        headers = {"Authorization": f"Bearer {key}"}
        async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
            for _ in range(20):
                for program in self.call_log.programs[:3]:
                    await self._request_foreign_program(session, program.id)
                await asyncio.sleep(0.3)

    async def _request_foreign_program(
        self, session: aiohttp.ClientSession, program: str
    ) -> None:
        for url in self.cluster.urls:
            for path in ("", "/history", "/turns/1"):
                try:
                    async with session.get(
                        f"{url}/v1/programs/{program}{path}"
                    ) as response:
                        if response.status < 400:
                            text = f"{program}{path} served to another team"
                            self.call_log.problems.append(f"P5 {text}")
                except (aiohttp.ClientError, TimeoutError, OSError):
                    continue

    async def _watch_versions(self) -> None:
        while True:
            for name, node in self.cluster.nodes.items():
                pid = node.pid
                if pid is None or name in self.context.unavailable_nodes:
                    continue
                version = await self.context.read_version(name)
                if version is not None and node.pid == pid:
                    self.call_log.versions.append((name, pid, version))
            await asyncio.sleep(0.3)

    def _check_drain(self) -> list[str]:
        if "drain" not in COLUMNS[self.cell.column] or self.cell.step == "answer":
            return []
        return [
            f"P13 a request was cut off: {a.label[:24]} {a.code} {a.outcome}"
            for a in self.call_log.attempts
            if a.outcome not in ("ran", "not_run") and a.ended_at
        ]


@define
class Matrix:
    """Runs the selected cells, each column on its own cluster.

    Attributes
    ----------
    seed : int
        Seed of the workload.
    parallel : int
        Maximum number of clusters at a time.
    logs : Path or None
        Folder for settings and logs of the nodes; None keeps none.
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
        semaphore = asyncio.Semaphore(self.parallel)
        self.tasks = [
            asyncio.create_task(self._run_column(column, semaphore))
            for column in columns.values()
        ]

    async def stop(self) -> None:
        """Cancel the cells that still run."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _make_folder(self, cell: Cell) -> Path | None:
        if self.logs is None:
            return None
        folder = self.logs / cell.name
        folder.mkdir(parents=True, exist_ok=True)
        return folder

    async def _run_column(
        self, cells: list[Cell], semaphore: asyncio.Semaphore
    ) -> None:
        async with semaphore:
            remaining = list(cells)
            while remaining:
                await self._run_on_cluster(remaining)

    async def _run_on_cluster(self, remaining: list[Cell]) -> None:
        """Run cells until one fails, which leaves the cluster in an unknown state."""
        timing = {"lease_ttl": LEASE_TTL_SECONDS}
        deployment = make_deployment(len(remaining))
        try:
            folder = self._make_folder(remaining[0])
            async with LocalCluster(
                deployment, nodes=4, timing=timing, folder=folder
            ) as cluster:
                for number in range(len(remaining)):
                    cell = remaining.pop(0)
                    try:
                        async with asyncio.timeout(CELL_TIMEOUT_SECONDS):
                            run = CellRun(cluster, cell, number, self.seed)
                            problems = await run.run()
                        self.results[cell].set_result(problems)
                    except Exception as exc:
                        self.results[cell].set_exception(exc)
                        return
        except Exception as exc:
            for cell in remaining:
                self.results[cell].set_exception(exc)
            remaining.clear()
