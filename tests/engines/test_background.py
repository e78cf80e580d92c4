"""Background tasks of a replica, in virtual time."""

import asyncio
import random
from collections.abc import AsyncIterator

from fireflyspread.bundle import Replica
from fireflyspread.engines import (
    Engine,
    EngineLoad,
    EngineRequest,
    Order,
    ReplicaPoller,
    ReplicaTasks,
    SessionSweeper,
)
from fireflyspread.exceptions import TargetError, TargetUnreachableError
from tests.routing.virtual_time import LoopClock, run_virtual


class FakeEngine(Engine):
    """Holds sessions and fails as often as configured."""

    def __init__(self) -> None:
        self.sessions: set[str] = set()
        self.failures = 0
        self.is_down = False
        self.last_event = 0
        self.events: dict[int, str] = {}

    def stream(self, request: EngineRequest) -> AsyncIterator[bytes]:
        raise NotImplementedError

    async def cancel(self, request_id: str) -> None:
        raise NotImplementedError

    async def read_load(self) -> EngineLoad:
        if self.is_down:
            raise TargetUnreachableError("down")
        return EngineLoad(running=1, waiting=2, cache_used=3, cache_capacity=4)

    async def read_cache_events(self, after: int) -> tuple[int, tuple[str, ...]]:
        new = (self.events[n] for n in sorted(self.events) if n > after)
        return self.last_event, tuple(new)

    async def list_sessions(self) -> tuple[str, ...]:
        return tuple(self.sessions)

    async def release_session(self, session_id: str) -> None:
        if self.failures:
            self.failures -= 1
            raise TargetError("failed")
        self.sessions.discard(session_id)

    async def export_session(self, session_id: str) -> bytes:
        raise NotImplementedError

    async def import_session(self, session_id: str, cache: bytes) -> None:
        raise NotImplementedError

    async def order(self, order: Order) -> None:
        raise NotImplementedError

    async def close(self) -> None:
        raise NotImplementedError


class TestSessionSweeper:
    """SessionSweeper.run."""

    def test_retries_until_confirmed(self) -> None:
        """A failed release leaves the KV cache of an ended program on the engine."""

        async def main() -> None:
            engine, released = FakeEngine(), list[str]()
            engine.sessions, engine.failures = {"p", "q"}, 20
            sweeper = SessionSweeper(
                "r",
                engine,
                random.Random(1),
                has_ended=lambda program: False,
                on_released=released.append,
            )
            task = asyncio.create_task(sweeper.run())
            await asyncio.sleep(1)
            sweeper.release("p")
            await asyncio.sleep(1)
            assert sweeper.pending == ("p",)
            await asyncio.sleep(120)
            task.cancel()
            assert engine.sessions == {"q"}
            assert released == ["p"]
            assert sweeper.pending == ()

        run_virtual(main())

    def test_finds_sessions_of_ended_programs(self) -> None:
        """Sessions are never released when the node that owned them fails."""

        async def main() -> None:
            engine = FakeEngine()
            engine.sessions = {"ended", "open"}
            sweeper = SessionSweeper(
                "r",
                engine,
                random.Random(1),
                has_ended=lambda program: program == "ended",
                on_released=lambda program: None,
            )
            task = asyncio.create_task(sweeper.run())
            await asyncio.sleep(1)
            task.cancel()
            assert engine.sessions == {"open"}

        run_virtual(main())

    def test_keeps_a_program_that_continues(self) -> None:
        """A retried release drops the KV cache of a program that runs again."""

        async def main() -> None:
            engine = FakeEngine()
            engine.sessions, engine.failures = {"p"}, 1
            sweeper = SessionSweeper(
                "r",
                engine,
                random.Random(1),
                has_ended=lambda program: False,
                on_released=lambda program: None,
            )
            sweeper.release("p")
            task = asyncio.create_task(sweeper.run())
            await asyncio.sleep(0)
            sweeper.cancel_release("p")
            await asyncio.sleep(60)
            task.cancel()
            assert engine.sessions == {"p"}

        run_virtual(main())


class TestReplicaPoller:
    """ReplicaPoller."""

    def test_distinguishes_events_and_gaps(self) -> None:
        """Hints stay valid after lost events, a restart or a crash."""

        async def main() -> None:
            engine, seen = FakeEngine(), list[object]()
            poller = ReplicaPoller(
                "r",
                engine,
                LoopClock(asyncio.get_running_loop()),
                random.Random(1),
                on_load=lambda replica, report: None,
                on_evicted=lambda replica, programs: seen.append(programs),
                on_gap=lambda replica: seen.append("gap"),
            )
            task = asyncio.create_task(poller.run())
            # The first poll cannot detect a gap; event 8 is lost; the engine restarts
            # at 1.
            engine.last_event = 5
            await asyncio.sleep(2)
            engine.last_event, engine.events = 6, {6: "a"}
            await asyncio.sleep(2)
            engine.last_event, engine.events = 8, {7: "b"}
            await asyncio.sleep(2)
            engine.last_event, engine.events = 1, {1: "c"}
            await asyncio.sleep(2)
            engine.is_down = True
            await asyncio.sleep(0.7)
            task.cancel()
            assert seen == [("a",), "gap", "gap", "gap"]

        run_virtual(main())


class TestReplicaTasks:
    """ReplicaTasks."""

    def test_follows_the_bundle_and_restarts(self) -> None:
        """A task stays down after a fault or keeps running for a removed replica."""

        async def main() -> None:
            runs: list[str] = []

            async def run(replica: Replica) -> None:
                runs.append(replica.name)
                if runs.count("a") < 2:
                    raise RuntimeError("fault")
                await asyncio.sleep(1e6)

            first, second = (
                Replica(name=name, url="http://127.0.0.1:1", zone="z", vm="v")
                for name in "ab"
            )
            tasks = ReplicaTasks(run)
            tasks.set_replicas([first])
            await asyncio.sleep(5)
            tasks.set_replicas([second])
            await asyncio.sleep(5)
            await tasks.close()
            assert runs == ["a", "a", "b"]

        run_virtual(main())
