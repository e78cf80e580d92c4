"""Brings a request to a step and detects when it has reached it."""

import asyncio
import base64
import time
from collections.abc import Callable
from typing import Any

import msgspec

from standins._base import ReceivedRequest
from tests.matrix.callers import Caller, Program
from tests.matrix.faults import CellContext

__all__ = ["ProgramUnderTest"]

# A request normally reaches its step within milliseconds.
STEP_TIMEOUT_SECONDS = 30.0
IN_FLIGHT_SECONDS = 0.4
FILLERS = 16


class ProgramUnderTest:
    """Program of which one request is at the step when the faults are injected.

    Parameters
    ----------
    step : str
        Row of the matrix.
    """

    def __init__(self, context: CellContext, step: str) -> None:
        self._context = context
        self._step = step
        self._caller: Caller = context.caller
        self._cluster = context.cluster
        self._program: Program | None = None
        self._paused = asyncio.Event()
        self._may_send = asyncio.Event()
        self._injected = asyncio.Event()
        self._fillers: list[asyncio.Task[Any]] = []
        self._started_at = 0.0

    async def run(self) -> None:
        """Run the program; the request of the step waits until it may be sent."""
        caller = self._caller
        urls = [self._cluster.nodes[self._context.owner].url]
        urls += [u for u in self._cluster.urls if u not in urls]
        await self._pause_before("admit", "reserve")
        program = self._program = await caller.open_program(4000, urls)
        await caller.run_turn(program, 1)
        await self._pause_before("authenticate", "place", "stream", "record", "answer")
        if self._step == "answer":
            await self._abandon_turn(program)
        await caller.run_turn(program, 2)
        await self._pause_before("dispatch")
        order = await caller.place_order(program, 3)
        await caller.run_turn(program, await caller.read_next_turn(program))
        # A client may repeat an order with the same key at any time.
        await caller.send_order(order)
        await caller.check_history(program)
        await self._pause_before("release")
        await caller.end_program(program)

    async def wait_at_step(self) -> None:
        """Let the request be sent and return when it is at the step."""
        await self._paused.wait()
        self._started_at = time.time()
        self._prepare()
        if self._step in ("admit", "authenticate"):
            self._may_send.set()
            # The request is sent in the next iterations of the event loop, during the
            # fault.
            await asyncio.sleep(0)
            return
        if self._step == "place":
            await self._fill_engines()
        self._may_send.set()
        if self._step == "place":
            await asyncio.sleep(IN_FLIGHT_SECONDS)
            return
        async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
            while not self._is_at_step():  # noqa: ASYNC110
                await asyncio.sleep(0.002)

    def proceed(self, *, is_store_slow: bool) -> None:
        """Remove the delays that keep the request at the step, after the injection."""
        faults = self._cluster.store.faults
        if self._step in ("reserve", "record") and not is_store_slow:
            faults.delay = 0.0
        for service in self._cluster.deployment.services.values():
            service.faults.effect_delay = 0.0
        self._injected.set()

    async def wait_fillers(self) -> None:
        """Wait for the programs that filled the engines."""
        await asyncio.gather(*self._fillers)

    async def _pause_before(self, *steps: str) -> None:
        if self._step in steps:
            self._paused.set()
            await self._may_send.wait()

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
        names = [f"{self._caller.name}-filler-{i}" for i in range(FILLERS)]
        self._fillers = [asyncio.create_task(self._run_filler(name)) for name in names]
        engines = self._cluster.deployment.engines.values()
        async with asyncio.timeout(STEP_TIMEOUT_SECONDS):
            while any(not e.slots.running for e in engines):  # noqa: ASYNC110
                await asyncio.sleep(0.01)

    async def _run_filler(self, name: str) -> None:
        caller = Caller(
            self._context.call_log,
            self._caller.team,
            [self._cluster.deployment.keys[self._caller.team]],
            self._cluster.urls,
            name=name,
            seed=self._context.number,
        )
        program = await caller.open_program(2000)
        await caller.run_turn(program, 1)
        await caller.end_program(program)

    async def _abandon_turn(self, program: Program) -> None:
        """Read a turn until the faults are injected, then drop the connection."""
        reader = asyncio.create_task(self._caller.run_turn(program, 2))
        await self._injected.wait()
        reader.cancel()
        await asyncio.gather(reader, return_exceptions=True)

    def _is_at_step(self) -> bool:
        checks: dict[str, Callable[[], bool]] = {
            "reserve": lambda: self._is_writing(self._started_at),
            "dispatch": self._has_effect,
            "stream": lambda: any(r.completion for r in self._list_runs()),
            "record": self._is_recording,
            "answer": lambda: any(r.completion > 1 for r in self._list_runs()),
            "release": self._is_releasing,
        }
        return checks[self._step]()

    def _list_runs(self) -> list[Any]:
        engines = self._cluster.deployment.engines.values()
        assert self._program is not None
        name = self._program.id
        return [
            run
            for engine in engines
            for run in engine.runs
            if run.session == name and run.time >= self._started_at
        ]

    def _has_effect(self) -> bool:
        key = f"{self._caller.name}-3"
        services = self._cluster.deployment.services.values()
        return any(e.idempotency_key == key for s in services for e in s.effects[-50:])

    def _is_writing(self, since: float) -> bool:
        prefix = f"journal/{self._context.owner}/".encode()
        received = self._cluster.store.received
        for index in range(len(received) - 1, -1, -1):
            entry = received[index]
            if entry.time < since:
                return False
            if entry.path == "/v3/kv/txn" and _puts_under(entry, prefix):
                return True
        return False

    def _is_recording(self) -> bool:
        done = [run for run in self._list_runs() if run.state == "done"]
        if not done:
            return False
        if not hasattr(self, "_completed_at"):
            self._completed_at = time.time()
        return self._is_writing(self._completed_at)

    def _is_releasing(self) -> bool:
        assert self._program is not None
        path = f"/v1/sessions/{self._program.id}"
        engines = self._cluster.deployment.engines.values()
        return any(
            entry.method == "DELETE" and entry.path == path
            for engine in engines
            for entry in list(engine.received)[-50:]
        )


def _puts_under(entry: ReceivedRequest, prefix: bytes) -> bool:
    body = msgspec.json.decode(entry.body)
    for operation in body.get("success") or []:
        put = operation.get("request_put") or operation.get("requestPut") or {}
        if base64.b64decode(put.get("key", "")).startswith(prefix):
            return True
    return False
