"""Brings a request to a step and tells when it is there."""

import asyncio
import base64
import time
from collections.abc import Callable
from typing import Any

import msgspec

from standins._base import ReceivedRequest
from tests.matrix.callers import Program, Runner
from tests.matrix.faults import Scene

__all__ = ["Focus"]

# Generous; a request reaches its step within milliseconds.
REACH_SECONDS = 30.0
IN_FLIGHT_SECONDS = 0.4
FILLERS = 16


class Focus:
    """The program in focus; one of its requests is caught at the step.

    Parameters
    ----------
    step : str
        Row of the matrix.
    """

    def __init__(self, scene: Scene, step: str) -> None:
        self._scene = scene
        self._step = step
        self._runner: Runner = scene.focus
        self._cluster = scene.cluster
        self._program: Program | None = None
        self._armed = asyncio.Event()
        self._go = asyncio.Event()
        self._injected = asyncio.Event()
        self._fillers: list[asyncio.Task[Any]] = []
        self._mark = 0.0

    async def run(self) -> None:
        """Run the program; waits before the request of the step."""
        runner = self._runner
        owner = [self._cluster.nodes[self._scene.owner].url]
        owner += [u for u in self._cluster.urls if u not in owner]
        await self._gate("admit", "reserve")
        program = self._program = await runner.open(4000, owner)
        await runner.turn(program, 1)
        await self._gate("authenticate", "place", "stream", "record", "answer")
        if self._step == "answer":
            await self._read_part(program)
        await runner.turn(program, 2)
        await self._gate("dispatch")
        order = await runner.order(program, 3)
        await runner.turn(program, await runner.read_next(program))
        # A good client may repeat an order whenever it likes.
        await runner.repeat_order(order)
        await runner.check_history(program)
        await self._gate("release")
        await runner.end(program)

    async def reach(self) -> None:
        """Return when the request is at the step."""
        await self._armed.wait()
        self._mark = time.time()
        self._prepare()
        if self._step in ("admit", "authenticate"):
            self._go.set()
            # The request is sent in the next steps of the loop and meets the fault.
            await asyncio.sleep(0)
            return
        if self._step == "place":
            await self._fill_engines()
        self._go.set()
        if self._step == "place":
            await asyncio.sleep(IN_FLIGHT_SECONDS)
            return
        async with asyncio.timeout(REACH_SECONDS):
            while not self._find_event():  # noqa: ASYNC110
                await asyncio.sleep(0.002)

    def release(self, *, is_store_slow: bool) -> None:
        """Undo what held the request at the step; call after the injection."""
        faults = self._cluster.store.faults
        if self._step in ("reserve", "record") and not is_store_slow:
            faults.delay = 0.0
        for service in self._cluster.deployment.services.values():
            service.faults.effect_delay = 0.0
        self._injected.set()

    async def finish(self) -> None:
        """Wait for the requests that filled the engines."""
        await asyncio.gather(*self._fillers)

    async def _gate(self, *steps: str) -> None:
        if self._step in steps:
            self._armed.set()
            await self._go.wait()

    def _prepare(self) -> None:
        if self._step in ("reserve", "record"):
            self._cluster.store.faults.delay = IN_FLIGHT_SECONDS
        if self._step == "dispatch":
            for service in self._cluster.deployment.services.values():
                service.faults.effect_delay = 1.0
        if self._step == "release":
            for engine in self._cluster.deployment.engines.values():
                engine.faults.refuse_release = 2

    async def _fill_engines(self) -> None:
        names = [f"{self._runner.name}-filler-{i}" for i in range(FILLERS)]
        self._fillers = [asyncio.create_task(self._fill(name)) for name in names]
        engines = self._cluster.deployment.engines.values()
        async with asyncio.timeout(REACH_SECONDS):
            while any(not e.slots.running for e in engines):  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def _fill(self, name: str) -> None:
        runner = Runner(
            self._scene.ledger,
            self._runner.team,
            [self._cluster.deployment.keys[self._runner.team]],
            self._cluster.urls,
            name=name,
            seed=self._scene.number,
        )
        program = await runner.open(2000)
        await runner.turn(program, 1)
        await runner.end(program)

    async def _read_part(self, program: Program) -> None:
        """Read a turn until the engine has ended and drop the connection."""
        reader = asyncio.create_task(self._runner.turn(program, 2))
        await self._injected.wait()
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)

    def _find_event(self) -> bool:
        find: dict[str, Callable[[], bool]] = {
            "reserve": lambda: self._is_writing(self._mark),
            "dispatch": self._has_effect,
            "stream": lambda: any(r.completion for r in self._list_runs()),
            "record": self._is_recording,
            "answer": lambda: any(r.completion > 1 for r in self._list_runs()),
            "release": self._is_releasing,
        }
        return find[self._step]()

    def _list_runs(self) -> list[Any]:
        engines = self._cluster.deployment.engines.values()
        assert self._program is not None
        name = self._program.id
        return [
            run
            for engine in engines
            for run in engine.runs
            if run.session == name and run.time >= self._mark
        ]

    def _has_effect(self) -> bool:
        key = f"{self._runner.name}-3"
        services = self._cluster.deployment.services.values()
        return any(e.idempotency_key == key for s in services for e in s.effects[-50:])

    def _is_writing(self, since: float) -> bool:
        prefix = f"journal/{self._scene.owner}/".encode()
        received = self._cluster.store.received
        for index in range(len(received) - 1, -1, -1):
            entry = received[index]
            if entry.time < since:
                return False
            if entry.path == "/v3/kv/txn" and _writes(entry, prefix):
                return True
        return False

    def _is_recording(self) -> bool:
        done = [run for run in self._list_runs() if run.state == "done"]
        if not done:
            return False
        if not hasattr(self, "_done_at"):
            self._done_at = time.time()
        return self._is_writing(self._done_at)

    def _is_releasing(self) -> bool:
        assert self._program is not None
        path = f"/v1/sessions/{self._program.id}"
        engines = self._cluster.deployment.engines.values()
        return any(
            entry.method == "DELETE" and entry.path == path
            for engine in engines
            for entry in list(engine.received)[-50:]
        )


def _writes(entry: ReceivedRequest, prefix: bytes) -> bool:
    body = msgspec.json.decode(entry.body)
    for operation in body.get("success") or []:
        put = operation.get("request_put") or operation.get("requestPut") or {}
        if base64.b64decode(put.get("key", "")).startswith(prefix):
            return True
    return False
