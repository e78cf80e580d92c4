"""One task for each replica of the bundle in force."""

import asyncio
import logging

from fireflyspread.bundle import ActiveBundle, Replica, TargetKind
from fireflyspread.callers import Context
from fireflyspread.engines import Engine
from fireflyspread.exceptions import FireflyError
from fireflyspread.recovery import find_slot
from fireflyspread.routing import LoadReport

__all__ = ["ReplicaTasks"]

_LOG = logging.getLogger(__name__)

# Seconds between two comparisons of an engine's sessions with the open programs.
_SWEEP_INTERVAL = 5.0


class ReplicaTasks:
    """Polls the load of engines and releases memory that no program uses."""

    def __init__(self, context: Context) -> None:
        self._context = context
        self._tasks: dict[tuple[str, str], list[asyncio.Task[None]]] = {}

    def apply(self, active: ActiveBundle) -> None:
        """Run tasks for the engine replicas of ``active`` and no others."""
        wanted = {
            (replica.name, replica.url): replica
            for target in active.bundle.targets
            if target.kind is TargetKind.ENGINE
            for replica in target.replicas
        }
        for key in set(self._tasks) - set(wanted):
            for task in self._tasks.pop(key):
                task.cancel()
        for key in set(wanted) - set(self._tasks):
            replica = wanted[key]
            self._tasks[key] = [
                asyncio.create_task(self._poll_load(replica)),
                asyncio.create_task(self._sweep(replica)),
            ]

    async def close(self) -> None:
        """Stop all tasks."""
        tasks = [task for tasks in self._tasks.values() for task in tasks]
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _poll_load(self, replica: Replica) -> None:
        context = self._context
        while True:
            try:
                load = await self._find(replica).read_load()
            except FireflyError as exc:
                _LOG.debug("no load of %s: %s", replica.name, exc.message)
            else:
                report = LoadReport(
                    running=load.running,
                    waiting=load.waiting,
                    cache_used=load.cache_used,
                    cache_capacity=load.cache_capacity,
                    received_at=context.clock.read_monotonic(),
                )
                context.scheduler.report_load(replica.name, report)
            await asyncio.sleep(context.settings.timing.load_poll_interval)

    async def _sweep(self, replica: Replica) -> None:
        """Release sessions of programs that this node owns and that are gone."""
        suspects: set[str] = set()
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL)
            try:
                sessions = await self._find(replica).list_sessions()
            except FireflyError as exc:
                _LOG.debug("no sessions of %s: %s", replica.name, exc.message)
                continue
            gone = {session for session in sessions if self._is_gone(session)}
            # A session counts as left behind only when two comparisons in a row find
            # it so: a program may have been opened since the engine answered.
            for session in gone & suspects:
                self._context.sessions.release(session, frozenset([replica.name]))
            suspects = gone

    def _is_gone(self, session: str) -> bool:
        if not self._context.ownership.owns(find_slot(session)):
            return False
        program = self._context.programs.get(session)
        return program is None or program.ended is not None

    def _find(self, replica: Replica) -> Engine:
        return self._context.engines.get(replica.url)
