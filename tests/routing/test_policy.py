"""The scheduler as a whole, in virtual time."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

import pytest

from fireflyspread.bundle import Replica, Target, TargetKind
from fireflyspread.exceptions import OverloadedError, QuarantinedError
from fireflyspread.routing import (
    LoadReport,
    PolicyScheduler,
    Result,
    Ticket,
    Work,
)
from tests.routing.virtual_time import LoopClock, run_virtual

Test = Callable[..., Coroutine[Any, Any, None]]


def virtually(test: Test) -> Callable[..., None]:
    """Run an async test in virtual time."""

    @wraps(test)
    def run(self: Any) -> None:
        run_virtual(test(self))

    return run


def make_target(replicas: int = 2, concurrency: int = 1) -> Target:
    """Return an engine target with replicas ``r0``, ``r1`` ... on VMs ``v0`` ..."""
    return Target(
        name="model",
        kind=TargetKind.ENGINE,
        half="a",
        concurrency=concurrency,
        replicas=tuple(
            Replica(name=f"r{i}", url=f"http://127.0.0.1:{i + 1}", zone="z", vm=f"v{i}")
            for i in range(replicas)
        ),
    )


def make_work(request: str, **fields: Any) -> Work:
    """Return work with a deadline far away."""
    values: dict[str, Any] = {
        "request": request,
        "team": "t",
        "weight": 1.0,
        "program": request,
        "fingerprint": request,
        "cost": 100.0,
        "deadline": 1e6,
    }
    return Work(**{**values, **fields})


def make_scheduler(**options: Any) -> PolicyScheduler:
    """Return a scheduler in the running loop's time."""
    clock = LoopClock(asyncio.get_running_loop())
    return PolicyScheduler(clock, random.Random(1), **options)


async def start(
    scheduler: PolicyScheduler, work: Work, target: Target
) -> asyncio.Task[Ticket]:
    """Start waiting for a replica and return the task."""
    task = asyncio.create_task(scheduler.acquire(work, target))
    await asyncio.sleep(0)
    return task


class TestAcquire:
    """PolicyScheduler.acquire."""

    @virtually
    async def test_never_exceeds_the_concurrency(self) -> None:
        """A replica gets more requests at once than it runs."""
        scheduler, target = make_scheduler(), make_target()
        tasks = [await start(scheduler, make_work(f"w{i}"), target) for i in range(3)]
        assert [task.done() for task in tasks] == [True, True, False]
        scheduler.release(tasks[0].result(), Result.ANSWERED, tokens=10)
        ticket = await tasks[2]
        assert ticket.replica == tasks[0].result().replica

    @virtually
    async def test_cancelled_request_leaves_the_queue(self) -> None:
        """A caller that has gone still takes a replica."""
        scheduler, target = make_scheduler(), make_target(1)
        first = await scheduler.acquire(make_work("w0"), target)
        second = await start(scheduler, make_work("w1"), target)
        second.cancel()
        scheduler.release(first, Result.ANSWERED)
        await asyncio.wait([second])
        assert (await scheduler.acquire(make_work("w2"), target)).replica

    @virtually
    async def test_cancel_after_the_grant_gives_the_replica_back(self) -> None:
        """A replica stays taken by a request cancelled in the moment of its grant."""
        scheduler, target = make_scheduler(), make_target(1)
        first = await scheduler.acquire(make_work("w0"), target)
        second = await start(scheduler, make_work("w1"), target)
        scheduler.release(first, Result.ANSWERED)
        second.cancel()
        await asyncio.wait([second])
        assert scheduler.dump()["targets"]["model"]["replicas"]["r0"]["running"] == 0

    @virtually
    async def test_refused_when_the_deadline_passes(self) -> None:
        """A request is held after its deadline."""
        scheduler, target = make_scheduler(), make_target(1)
        await scheduler.acquire(make_work("w0"), target)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 5
        with pytest.raises(OverloadedError):
            await scheduler.acquire(make_work("w1", deadline=deadline), target)
        assert loop.time() == pytest.approx(deadline, abs=0.01)

    @virtually
    async def test_refused_at_once_when_hopeless(self) -> None:
        """A request that cannot start in time is held until its deadline."""
        scheduler, target = make_scheduler(), make_target(1)
        loop = asyncio.get_running_loop()
        for i in range(20):
            ticket = await scheduler.acquire(make_work(f"w{i}"), target)
            await asyncio.sleep(10)
            scheduler.release(ticket, Result.ANSWERED, tokens=100)
        for i in range(3):
            await start(scheduler, make_work(f"q{i}"), target)
        before = loop.time()
        with pytest.raises(OverloadedError) as caught:
            await scheduler.acquire(make_work("x", deadline=before + 15), target)
        assert loop.time() == before
        assert caught.value.retry_after == pytest.approx(20, rel=0.01)

    @virtually
    async def test_full_queue_refuses_the_team_that_fills_it(self) -> None:
        """One team's flood makes the queue refuse the other teams."""
        scheduler, target = make_scheduler(queued_requests=3), make_target(1)
        await scheduler.acquire(make_work("w0"), target)
        flood = [await start(scheduler, make_work(f"f{i}"), target) for i in range(3)]
        other = await start(scheduler, make_work("o", team="other"), target)
        await asyncio.sleep(1)
        assert not other.done()
        assert [task.done() for task in flood] == [False, False, True]
        with pytest.raises(OverloadedError):
            await flood[2]

    @virtually
    async def test_leaving_vm_gets_no_work(self) -> None:
        """A replica on a leaving VM still gets waiting requests."""
        scheduler, target = make_scheduler(), make_target(2)
        first = await scheduler.acquire(make_work("w0"), target)
        second = await scheduler.acquire(make_work("w1"), target)
        third = await start(scheduler, make_work("w2"), target)
        scheduler.set_leaving(frozenset({first.replica.vm}))
        scheduler.release(first, Result.ANSWERED)
        await asyncio.sleep(1)
        assert not third.done()
        scheduler.release(second, Result.ANSWERED)
        assert (await third).replica == second.replica

    @virtually
    async def test_excluded_replica_is_not_used_again(self) -> None:
        """A retry goes to the replica that has failed the request."""
        scheduler, target = make_scheduler(), make_target(2)
        work = make_work("w0", excluded=frozenset({"r0"}))
        assert (await scheduler.acquire(work, target)).replica.name == "r1"
        with pytest.raises(OverloadedError):
            work = make_work("w1", excluded=frozenset({"r0", "r1"}))
            await scheduler.acquire(work, target)

    @virtually
    async def test_other_nodes_do_not_starve_this_one(self) -> None:
        """A node without requests in flight never gets a place on a busy replica."""
        scheduler, target = make_scheduler(), make_target(1, concurrency=4)
        scheduler.set_nodes(4)
        scheduler.set_targets([target])
        now = asyncio.get_running_loop().time()
        first = await scheduler.acquire(make_work("w0"), target)
        report = LoadReport(
            running=9, waiting=9, cache_used=0, cache_capacity=1, received_at=now
        )
        scheduler.report_load("r0", report)
        second = await start(scheduler, make_work("w1"), target)
        assert not second.done()
        scheduler.release(first, Result.ANSWERED)
        assert (await second).replica.name == "r0"

    @virtually
    async def test_removed_target_refuses_what_waits(self) -> None:
        """Requests wait for a target that a new bundle has removed."""
        scheduler, target = make_scheduler(), make_target(1)
        await scheduler.acquire(make_work("w0"), target)
        second = await start(scheduler, make_work("w1"), target)
        scheduler.set_targets([])
        with pytest.raises(OverloadedError):
            await second


class TestQuarantine:
    """Requests that crash replicas."""

    @virtually
    async def test_poison_is_stopped_after_two_replicas(self) -> None:
        """A request that crashes replicas goes on to crash all of them."""
        scheduler, target = make_scheduler(), make_target(4, concurrency=4)
        crashed = set()
        for attempt in range(2):
            work = make_work(f"p{attempt}", fingerprint="p")
            ticket = await scheduler.acquire(work, target)
            crashed.add(ticket.replica.name)
            await asyncio.sleep(1)
            scheduler.release(ticket, Result.CRASHED)
            await asyncio.sleep(5)
        assert len(crashed) == 2
        with pytest.raises(QuarantinedError):
            await scheduler.acquire(make_work("p9", fingerprint="p"), target)

    @virtually
    async def test_suspect_waits_until_it_is_alone(self) -> None:
        """A suspect takes other requests down with it."""
        scheduler, target = make_scheduler(), make_target(1, concurrency=4)
        other = await scheduler.acquire(make_work("o"), target)
        scheduler.quarantine.merge("n2", ("p",), ())
        suspect = await start(scheduler, make_work("p"), target)
        late = await start(scheduler, make_work("late"), target)
        await asyncio.sleep(1)
        assert not suspect.done() and not late.done()
        scheduler.release(other, Result.ANSWERED)
        ticket = await suspect
        await asyncio.sleep(1)
        assert not late.done()
        scheduler.release(ticket, Result.ANSWERED)
        await late
        assert not scheduler.quarantine.is_suspect("p")

    @virtually
    async def test_suspect_waits_for_long_requests_only_so_long(self) -> None:
        """An innocent request waits for minutes until a replica is empty."""
        scheduler, target = make_scheduler(), make_target(1, concurrency=4)
        await scheduler.acquire(make_work("o"), target)
        scheduler.quarantine.merge("n2", ("p",), ())
        loop = asyncio.get_running_loop()
        before = loop.time()
        ticket = await scheduler.acquire(make_work("p"), target)
        assert 3.0 <= loop.time() - before <= 3.2
        scheduler.release(ticket, Result.ANSWERED)
        assert not scheduler.quarantine.is_suspect("p")
