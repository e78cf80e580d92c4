"""Watching replicas whose callers have left, in virtual time."""

import asyncio
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

from fireflyspread.bundle import Replica
from fireflyspread.forwarding import ReplicaWatch
from tests.forwarding.fakes import Answer, FakeBackend
from tests.routing.virtual_time import LoopClock, run_virtual

REPLICA = Replica(name="m-1", url="http://10.0.0.1:80", zone="z1", vm="m-1/1")


class _Backend(FakeBackend):
    """A backend whose connections end when the test says so.

    Attributes
    ----------
    waits, probes : int
        Calls so far.
    """

    def __init__(self) -> None:
        super().__init__(lambda replica, number: Answer())
        self.ended = asyncio.Event()
        self.waits = 0
        self.probes = 0

    async def wait_disconnected(self, replica: Replica, *, timeout: float) -> bool:
        self.waits += 1
        try:
            async with asyncio.timeout(timeout):
                await self.ended.wait()
        except TimeoutError:
            return False
        return True

    async def accepts_connection(self, replica: Replica) -> bool:
        self.probes += 1
        return await super().accepts_connection(replica)


class _Harness:
    def __init__(self) -> None:
        self.clock = LoopClock(asyncio.get_running_loop())
        self.backend = _Backend()
        self.lost: list[tuple[Replica, float]] = []
        self.started_at = self.clock.read_monotonic()
        self.watch = ReplicaWatch(self.backend, self._record, self.clock)

    def _record(self, replica: Replica) -> None:
        self.lost.append((replica, self.clock.read_monotonic() - self.started_at))

    def start(self, seconds: float) -> None:
        """Watch until a deadline after ``seconds``."""
        deadline = self.clock.read_monotonic() + seconds
        self.watch.watch(REPLICA, deadline=deadline)


def _in_virtual_time(
    test: Callable[[Any, _Harness], Coroutine[Any, Any, None]],
) -> Callable[[Any], None]:
    @wraps(test)
    def run(self: Any) -> None:
        async def play() -> None:
            harness = _Harness()
            await test(self, harness)
            await harness.watch.close()

        run_virtual(play())

    # Otherwise pytest takes the parameter for a fixture.
    del run.__wrapped__
    return run


class TestReplicaWatch:
    @_in_virtual_time
    async def test_end_of_a_replica_is_reported_at_once(self, harness):
        """Guards against crashes that are known only by the registration."""
        harness.start(4.0)
        await asyncio.sleep(1.0)
        harness.backend.crashed.add(REPLICA.name)
        harness.backend.ended.set()
        await asyncio.sleep(0.1)
        assert [replica for replica, _ in harness.lost] == [REPLICA]
        assert harness.lost[0][1] < 1.1
        assert harness.watch.list_watched() == []

    @_in_virtual_time
    async def test_closed_connection_of_a_live_replica_is_no_end(self, harness):
        """Guards against blaming requests for an idle connection that was closed."""
        harness.backend.ended.set()
        harness.start(2.0)
        await asyncio.sleep(3.0)
        assert harness.lost == []
        assert harness.watch.list_watched() == []
        assert harness.backend.probes <= 12

    @_in_virtual_time
    async def test_replica_is_watched_once_until_the_last_deadline(self, harness):
        """Guards against a connection for each request of an overloaded replica."""
        for seconds in (1.0, 2.0, 3.0):
            harness.start(seconds)
        await asyncio.sleep(3.2)
        assert harness.watch.list_watched() == ["m-1"]
        assert harness.backend.waits <= 3
        await asyncio.sleep(0.5)
        assert harness.watch.list_watched() == []

    @_in_virtual_time
    async def test_end_after_the_deadline_is_not_reported(self, harness):
        """Guards against blaming requests that no longer run."""
        harness.start(1.0)
        await asyncio.sleep(2.0)
        harness.backend.crashed.add(REPLICA.name)
        harness.backend.ended.set()
        await asyncio.sleep(1.0)
        assert harness.lost == []
