"""Tasks for each engine replica of the bundle in force."""

import asyncio
import random

from fireflyspread._pools import ReplicaPool
from fireflyspread.bundle import ActiveBundle, Replica, TargetKind
from fireflyspread.clock import Clock
from fireflyspread.engines import (
    Engine,
    ReplicaPoller,
    ReplicaTasks,
    SessionReleaser,
    SessionSweeper,
)
from fireflyspread.programs import ProgramTable
from fireflyspread.recovery import Ownership, SessionReleased, find_slot
from fireflyspread.routing import LoadReport, PolicyScheduler, SessionRetentionPolicy

__all__ = ["EngineTasks"]


class EngineTasks(SessionReleaser):
    """Polls engines and releases the memory of programs that do not need it.

    Parameters
    ----------
    interval : float
        Mean seconds between two polls of a replica.
    """

    def __init__(
        self,
        *,
        engines: ReplicaPool[Engine],
        programs: ProgramTable,
        ownership: Ownership,
        clock: Clock,
        rng: random.Random,
        interval: float,
    ) -> None:
        self._engines = engines
        self._programs = programs
        self._ownership = ownership
        self._clock = clock
        self._rng = rng
        self._interval = interval
        self._keeper = SessionRetentionPolicy(clock)
        self._scheduler: PolicyScheduler | None = None
        self._tasks = ReplicaTasks(self._run)
        self._sweepers: dict[str, SessionSweeper] = {}
        self._replicas: dict[str, Replica] = {}

    def set_scheduler(self, scheduler: PolicyScheduler) -> None:
        """Pass load reports on to ``scheduler``."""
        self._scheduler = scheduler

    def apply(self, active: ActiveBundle) -> None:
        """Run tasks for the engine replicas of ``active`` and no others."""
        wanted = {
            replica.name: replica
            for target in active.bundle.targets
            if target.kind is TargetKind.ENGINE
            for replica in target.replicas
        }
        for name in self._sweepers.keys() - wanted.keys():
            del self._sweepers[name]
        # Made before the tasks run, because a replica without a sweeper counts as one
        # that has left the bundle.
        for name, replica in wanted.items():
            if self._replicas.get(name) != replica:
                self._sweepers[name] = self._make_sweeper(replica)
        self._replicas = wanted
        self._tasks.set_replicas(wanted.values())

    def begin_turn(self, program: str, replica: str) -> None:
        self._keeper.end_pause(program)
        sweeper = self._sweepers.get(replica)
        if sweeper is not None:
            sweeper.cancel_release(program)

    def end_turn(self, program: str, replica: str, tokens: int) -> None:
        self._keeper.begin_pause(program, replica, "", tokens)

    def release(self, program: str, replicas: frozenset[str]) -> None:
        self._keeper.forget(program)
        for replica in replicas:
            sweeper = self._sweepers.get(replica)
            if sweeper is None:
                # The replica has left the bundle; nobody may be asked any more.
                self._take_released(program, replica)
            else:
                sweeper.release(program)

    def count_pending(self) -> int:
        """Return how many releases no engine has confirmed yet."""
        return sum(len(sweeper.pending) for sweeper in self._sweepers.values())

    async def close(self) -> None:
        """Stop all tasks."""
        await self._tasks.close()

    async def _run(self, replica: Replica) -> None:
        """Sweep and poll one replica until cancelled."""
        sweeper = self._sweepers[replica.name]
        poller = ReplicaPoller(
            replica.name,
            self._engines.get(replica),
            self._clock,
            self._rng,
            on_load=self._take_load,
            on_evicted=self._take_evicted,
            on_gap=self._take_gap,
            interval=self._interval,
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(sweeper.run())
            group.create_task(poller.run())

    def _make_sweeper(self, replica: Replica) -> SessionSweeper:
        return SessionSweeper(
            replica.name,
            self._engines.get(replica),
            self._rng,
            has_ended=self._is_gone,
            on_released=lambda program: self._take_released(program, replica.name),
        )

    def _take_load(self, replica: str, report: LoadReport) -> None:
        if self._scheduler is not None:
            self._scheduler.report_load(replica, report)
        chosen = self._keeper.choose_releases(
            replica, report.cache_used, report.cache_capacity
        )
        for program_id in chosen:
            program = self._programs.get(program_id)
            self._keeper.forget(program_id)
            if program is not None and program.running is None:
                program.holder = None
                self._sweepers[replica].release(program_id)

    def _take_evicted(self, replica: str, sessions: tuple[str, ...]) -> None:
        for session in sessions:
            program = self._programs.get(session)
            if program is not None and program.holder == replica:
                program.holder = None

    def _take_gap(self, replica: str) -> None:
        for program in self._programs:
            if program.holder == replica:
                program.holder = None

    def _take_released(self, program_id: str, replica: str) -> None:
        program = self._programs.get(program_id)
        if program is None or not self._ownership.owns(program.slot):
            return
        if program.running is not None:
            # The turn that runs now may hold new memory on the same replica.
            return
        record = SessionReleased(slot=program.slot, subject=program_id, replica=replica)
        self._ownership.enqueue(record)
        self._programs.apply(record)

    def _is_gone(self, session: str) -> bool:
        if not self._ownership.owns(find_slot(session)):
            return False
        program = self._programs.get(session)
        return program is None or program.ended is not None
