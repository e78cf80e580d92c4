"""Requests on replicas that are lost, reported to the quarantine."""

import asyncio

from attrs import evolve

from fireflyspread.routing import (
    CrashSeriesPolicy,
    PolicyScheduler,
    Quarantine,
    Result,
)
from tests.routing.test_policy import (
    in_virtual_time,
    make_scheduler,
    make_suspect_report,
    make_target,
    make_work,
)
from tests.routing.virtual_time import LoopClock


async def _run_beside_loss(
    result: Result, *, before: float = 1.0, after: float = 0.1
) -> PolicyScheduler:
    """End a request after its replica has registered as another process."""
    scheduler = make_scheduler()
    target = make_target(1)
    scheduler.set_targets([target])
    ticket = await scheduler.acquire(make_work("p"), target)
    await asyncio.sleep(before)
    scheduler.record_loss(target.replicas[0])
    restarted = evolve(target.replicas[0], vm="v0-restarted")
    scheduler.set_targets([evolve(target, replicas=(restarted,))])
    await asyncio.sleep(after)
    scheduler.release(ticket, result)
    return scheduler


class TestLostReplica:
    """PolicyScheduler.record_loss before the end of a request."""

    @in_virtual_time
    async def test_crash_counts_after_the_loss_is_known(self) -> None:
        """Guards against crashes that a lost registration makes look expected."""
        for result in (
            Result.CRASHED,
            Result.BROKEN,
            Result.CANCELLED,
            Result.TIMED_OUT,
        ):
            scheduler = await _run_beside_loss(result)
            assert scheduler.quarantine.get_crashed_replicas("p") == {"r0@v0"}, result

    @in_virtual_time
    async def test_answer_after_the_loss_is_no_crash(self) -> None:
        """Guards against blaming a request that the replica has answered."""
        for result in (Result.ANSWERED, Result.REFUSED, Result.UNREACHABLE):
            scheduler = await _run_beside_loss(result)
            assert not scheduler.quarantine.get_crashed_replicas("p"), result

    @in_virtual_time
    async def test_request_of_the_restarted_replica_is_not_blamed(self) -> None:
        """Guards against blaming what was sent just before the new registration."""
        scheduler = await _run_beside_loss(Result.CANCELLED, before=0.2)
        assert not scheduler.quarantine.get_crashed_replicas("p")

    @in_virtual_time
    async def test_replica_that_drained_may_end(self) -> None:
        """Guards against blaming requests for the planned end of their replica."""
        scheduler = make_scheduler()
        target = make_target(2)
        scheduler.set_targets([target])
        ticket = await scheduler.acquire(make_work("p"), target)
        rest = tuple(r for r in target.replicas if r.name != ticket.replica.name)
        scheduler.set_targets([evolve(target, replicas=rest)])
        scheduler.release(ticket, Result.CRASHED)
        assert not scheduler.quarantine.get_crashed_replicas("p")


class TestAnswers:
    """PolicyScheduler.release after an answer."""

    @in_virtual_time
    async def test_failure_clears_nothing(self) -> None:
        """Guards against errors of a faulty replica that end a series of crashes."""
        for result, count in ((Result.FAILED, 1), (Result.ANSWERED, 0)):
            scheduler = make_scheduler(
                quarantine=Quarantine(
                    LoopClock(asyncio.get_running_loop()), policy=CrashSeriesPolicy()
                )
            )
            target = make_target(1)
            scheduler.quarantine.merge("n2", make_suspect_report("p"))
            ticket = await scheduler.acquire(make_work("p"), target)
            scheduler.release(ticket, result)
            found = scheduler.quarantine.get_crashed_replicas("p")
            assert len(found) == count, result
