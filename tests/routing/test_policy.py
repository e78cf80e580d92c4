"""The whole scheduler, in virtual time."""

import asyncio
import random
from collections.abc import Callable, Coroutine
from functools import wraps
from typing import Any

import pytest
from attrs import evolve

from fireflyspread.bundle import Replica, Target, TargetKind
from fireflyspread.exceptions import OverloadedError, PeerError, QuarantinedError
from fireflyspread.limits import ReplicaLimiter, TokenPeers
from fireflyspread.routing import (
    Crash,
    CrashReport,
    LoadReport,
    PolicyScheduler,
    Result,
    Ticket,
    Work,
)
from fireflyspread.settings import Settings
from tests.routing.virtual_time import LoopClock, run_virtual

Test = Callable[..., Coroutine[Any, Any, None]]


def in_virtual_time(test: Test) -> Callable[..., None]:
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
    """Return work with a distant deadline."""
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
    """Return a scheduler whose clock is that of the running loop."""
    clock = LoopClock(asyncio.get_running_loop())
    return PolicyScheduler(clock, random.Random(1), **options)


def make_settings() -> Settings:
    """Return the settings of a node of the product."""
    names = ("callers", "internal", "peers", "operators")
    return Settings.from_config(
        {
            "node": {"name": "n1", "zone": "z", "vm": "vm-1"},
            "listen": dict.fromkeys(names, "127.0.0.1:0"),
            "platform": {"store": "http://127.0.0.1:1"},
            "node_secret": "0123456789abcdef",
        }
    )


def make_suspect_report(fingerprint: str) -> CrashReport:
    """Return a report about a crash of another replica."""
    now = LoopClock(asyncio.get_running_loop()).read_wall()
    crash = Crash(id="other#0", process="other", at=now, ranks={fingerprint: 1})
    return CrashReport(incarnation="n2", number=1, crashes=(crash,))


async def start(
    scheduler: PolicyScheduler, work: Work, target: Target
) -> asyncio.Task[Ticket]:
    """Start waiting for a replica and return the task."""
    task = asyncio.create_task(scheduler.acquire(work, target))
    await asyncio.sleep(0)
    return task


class TestAcquire:
    """PolicyScheduler.acquire."""

    @in_virtual_time
    async def test_stream_goes_on_at_its_version_only(self) -> None:
        """Guards against a stream that is continued by another version."""
        target = make_target(3)
        replicas = tuple(
            evolve(replica, version=f"v{number % 2}")
            for number, replica in enumerate(target.replicas)
        )
        target = evolve(target, replicas=replicas)
        scheduler = make_scheduler()
        ticket = await scheduler.acquire(make_work("w0", version="v1"), target)
        assert ticket.replica.name == "r1"
        waiting = await start(scheduler, make_work("w1", version="v1"), target)
        assert not waiting.done()
        scheduler.release(ticket, Result.ANSWERED)
        assert (await waiting).replica.name == "r1"
        with pytest.raises(OverloadedError):
            await scheduler.acquire(make_work("w2", version="v2"), target)

    @in_virtual_time
    async def test_never_exceeds_the_concurrency(self) -> None:
        """Guards against more concurrent requests to a replica than it has slots."""
        scheduler, target = make_scheduler(), make_target()
        tasks = [await start(scheduler, make_work(f"w{i}"), target) for i in range(3)]
        assert [task.done() for task in tasks] == [True, True, False]
        scheduler.release(tasks[0].result(), Result.ANSWERED, tokens=10)
        ticket = await tasks[2]
        assert ticket.replica == tasks[0].result().replica

    @in_virtual_time
    async def test_cancelled_request_leaves_the_queue(self) -> None:
        """Guards against granting a slot to a cancelled request."""
        scheduler, target = make_scheduler(), make_target(1)
        first = await scheduler.acquire(make_work("w0"), target)
        second = await start(scheduler, make_work("w1"), target)
        second.cancel()
        scheduler.release(first, Result.ANSWERED)
        await asyncio.wait([second])
        assert (await scheduler.acquire(make_work("w2"), target)).replica

    @in_virtual_time
    async def test_cancel_after_the_grant_releases_the_replica(self) -> None:
        """Guards against losing the slot of a request cancelled after its grant."""
        scheduler, target = make_scheduler(), make_target(1)
        first = await scheduler.acquire(make_work("w0"), target)
        second = await start(scheduler, make_work("w1"), target)
        scheduler.release(first, Result.ANSWERED)
        second.cancel()
        await asyncio.wait([second])
        assert scheduler.dump()["targets"]["model"]["replicas"]["r0"]["running"] == 0

    @in_virtual_time
    async def test_refused_when_the_deadline_passes(self) -> None:
        """Guards against a request that waits beyond its deadline."""
        scheduler, target = make_scheduler(), make_target(1)
        await scheduler.acquire(make_work("w0"), target)
        loop = asyncio.get_running_loop()
        deadline = loop.time() + 5
        with pytest.raises(OverloadedError):
            await scheduler.acquire(make_work("w1", deadline=deadline), target)
        assert loop.time() == pytest.approx(deadline, abs=0.01)

    @in_virtual_time
    async def test_refused_at_once_when_the_wait_exceeds_the_deadline(self) -> None:
        """Guards against waiting until a deadline that cannot be met."""
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

    @in_virtual_time
    async def test_full_queue_refuses_the_team_that_fills_it(self) -> None:
        """Guards against refusing other teams when one team has filled the queue."""
        scheduler, target = make_scheduler(max_queued_requests=3), make_target(1)
        await scheduler.acquire(make_work("w0"), target)
        filling = [await start(scheduler, make_work(f"f{i}"), target) for i in range(3)]
        other = await start(scheduler, make_work("o", team="other"), target)
        await asyncio.sleep(1)
        assert not other.done()
        assert [task.done() for task in filling] == [False, False, True]
        with pytest.raises(OverloadedError):
            await filling[2]

    @in_virtual_time
    async def test_leaving_vm_gets_no_work(self) -> None:
        """Guards against sending waiting requests to a replica on a leaving VM."""
        scheduler, target = make_scheduler(), make_target(2)
        first = await scheduler.acquire(make_work("w0"), target)
        second = await scheduler.acquire(make_work("w1"), target)
        third = await start(scheduler, make_work("w2"), target)
        scheduler.set_leaving_vms(frozenset({first.replica.vm}))
        scheduler.release(first, Result.ANSWERED)
        await asyncio.sleep(1)
        assert not third.done()
        scheduler.release(second, Result.ANSWERED)
        assert (await third).replica == second.replica

    @in_virtual_time
    async def test_excluded_replica_is_not_used_again(self) -> None:
        """Guards against a retry on a replica that has failed the request."""
        scheduler, target = make_scheduler(), make_target(2)
        work = make_work("w0", excluded=frozenset({"r0"}))
        assert (await scheduler.acquire(work, target)).replica.name == "r1"
        with pytest.raises(OverloadedError):
            work = make_work("w1", excluded=frozenset({"r0", "r1"}))
            await scheduler.acquire(work, target)

    @in_virtual_time
    async def test_other_nodes_do_not_starve_this_one(self) -> None:
        """Guards against other nodes keeping this one off a busy replica."""
        scheduler, target = make_scheduler(), make_target(1, concurrency=4)
        scheduler.set_node_count(4)
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

    @in_virtual_time
    async def test_removed_target_refuses_waiting_requests(self) -> None:
        """Guards against waiting for a target that a new bundle has removed."""
        scheduler, target = make_scheduler(), make_target(1)
        await scheduler.acquire(make_work("w0"), target)
        second = await start(scheduler, make_work("w1"), target)
        scheduler.set_targets([])
        with pytest.raises(OverloadedError):
            await second


class TestQuarantine:
    """Requests that crash replicas."""

    @in_virtual_time
    async def test_crashing_request_is_stopped_after_two_replicas(self) -> None:
        """Guards against a request that crashes one replica after another."""
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

    @in_virtual_time
    async def test_verdict_waits_for_the_other_nodes(self) -> None:
        """Guards against a quarantine for the crash of another node's request.

        The other node's report arrives with its next ``Hello``.
        """
        loop = asyncio.get_running_loop()
        scheduler = PolicyScheduler.from_config(
            make_settings(), LoopClock(loop), random.Random(1)
        )
        target = make_target(4, concurrency=4)
        for attempt in range(2):
            work = make_work(f"q{attempt}", fingerprint="q")
            ticket = await scheduler.acquire(work, target)
            await asyncio.sleep(1)
            scheduler.release(ticket, Result.CRASHED)
        waiting = await start(scheduler, make_work("q9", fingerprint="q"), target)
        await asyncio.sleep(0.5)
        assert not waiting.done()
        crashes = tuple(
            Crash(
                id=f"{process}#0",
                process=process,
                at=LoopClock(loop).read_wall(),
                ranks={"poison": 1},
                is_alone=True,
            )
            for process in scheduler.quarantine.get_crashed_replicas("q")
        )
        report = CrashReport(incarnation="n2", number=1, crashes=crashes)
        scheduler.quarantine.merge("n2", report)
        assert (await waiting).replica.name != ticket.replica.name

    @in_virtual_time
    async def test_suspect_waits_until_it_is_alone(self) -> None:
        """Guards against a suspect whose crash cuts off other requests."""
        scheduler, target = make_scheduler(), make_target(1, concurrency=4)
        other = await scheduler.acquire(make_work("o"), target)
        scheduler.quarantine.merge("n2", make_suspect_report("p"))
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

    @in_virtual_time
    async def test_wait_of_a_suspect_for_an_idle_replica_is_bounded(self) -> None:
        """Guards against a suspect that waits for minutes until long requests end.

        Most suspects are not the cause of a crash.
        """
        scheduler, target = make_scheduler(), make_target(1, concurrency=4)
        await scheduler.acquire(make_work("o"), target)
        scheduler.quarantine.merge("n2", make_suspect_report("p"))
        loop = asyncio.get_running_loop()
        before = loop.time()
        ticket = await scheduler.acquire(make_work("p"), target)
        assert 3.0 <= loop.time() - before <= 3.2
        scheduler.release(ticket, Result.ANSWERED)
        assert not scheduler.quarantine.is_suspect("p")


class _NoPeers(TokenPeers):
    async def acquire(self, member: str, team: str, *args: Any, **options: Any) -> Any:
        raise PeerError("there are no other nodes")


class TestLimitedReplicas:
    """Replicas that name the requests a second that they take."""

    def _make_scheduler(self, limit: float) -> PolicyScheduler:
        clock = LoopClock(asyncio.get_running_loop())
        limiter = ReplicaLimiter("n", _NoPeers(), clock=clock, rng=random.Random(1))
        limiter.replace_members(["n"], since=clock.read_monotonic())
        now = clock.read_monotonic()
        limiter.limits.record("r0@v0", limit, sent_at=now)
        return make_scheduler(replica_limiter=limiter)

    @in_virtual_time
    async def test_new_requests_are_refused_at_once(self) -> None:
        """Guards against requests that wait for a limit until they are late."""
        scheduler = self._make_scheduler(2.0)
        target = make_target(replicas=1, concurrency=50)
        tasks = [
            asyncio.create_task(scheduler.acquire(make_work(f"n{i}"), target))
            for i in range(20)
        ]
        await asyncio.sleep(0.01)
        refused = [task for task in tasks if task.done() and task.exception()]
        assert len(refused) >= 15
        assert all(isinstance(task.exception(), OverloadedError) for task in refused)
        await asyncio.wait(tasks)

    @in_virtual_time
    async def test_streams_that_go_on_come_first(self) -> None:
        """Guards against streams that are refused or wait behind new ones."""
        scheduler = self._make_scheduler(2.0)
        target = make_target(replicas=1, concurrency=50)
        tasks = [
            asyncio.create_task(scheduler.acquire(make_work(f"n{i}"), target))
            for i in range(20)
        ]
        await asyncio.sleep(0.01)
        started_at = asyncio.get_running_loop().time()
        await scheduler.acquire(make_work("s", is_continuation=True), target)
        assert asyncio.get_running_loop().time() - started_at <= 1.0
        await asyncio.wait(tasks)
