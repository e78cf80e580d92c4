"""Tests of requests on trial, one at a time over all nodes."""

import asyncio
from collections.abc import Callable

import pytest
from attrs import define, field

from fireflyspread.bundle import Target
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import OverloadedError, PeerError, QuarantinedError
from fireflyspread.routing import (
    CrashSeriesPolicy,
    PolicyScheduler,
    Quarantine,
    Result,
    Ticket,
    Trial,
    TrialPeers,
    Trials,
    TrialTable,
)
from tests.routing.test_policy import (
    in_virtual_time,
    make_scheduler,
    make_suspect_report,
    make_target,
    make_work,
    start,
)
from tests.routing.virtual_time import LoopClock


@define
class Network(TrialPeers):
    """Trial tables of nodes that reach each other.

    Attributes
    ----------
    cut, lossy : set of str
        Nodes that get no messages, and nodes whose grants are lost.
    """

    tables: dict[str, TrialTable] = field(factory=dict)
    cut: set[str] = field(factory=set)
    lossy: set[str] = field(factory=set)
    messages: int = 0

    async def begin(self, node, fingerprint, request, *, seconds):
        self.messages += 1
        await asyncio.sleep(0)
        if node in self.cut:
            raise PeerError(f"{node} does not answer")
        is_granted = self.tables[node].begin(fingerprint, request, seconds=seconds)
        if node in self.lossy:
            raise PeerError(f"the answer of {node} is lost")
        return is_granted

    async def end(self, node, fingerprint, request, *, is_answered):
        await asyncio.sleep(0)
        if node in self.cut:
            raise PeerError(f"{node} does not answer")
        self.tables[node].end(fingerprint, request, is_answered=is_answered)

    def make_trials(self, count: int = 3) -> list[Trials]:
        """Return the trials of ``count`` nodes."""
        clock = LoopClock(asyncio.get_running_loop())
        names = [f"n{number}" for number in range(count)]
        self.tables = {name: TrialTable(clock) for name in names}
        return [
            Trials(
                self.tables[name],
                self,
                node=name,
                clock=clock,
                list_members=lambda: names,
            )
            for name in names
        ]


async def _begin(
    trials: Trials, request: str, *, is_needed: Callable[[], bool] = lambda: True
):
    return await trials.begin(
        "f", request, seconds=5.0, max_wait=1.0, is_needed=is_needed
    )


class TestBegin:
    @in_virtual_time
    async def test_one_request_is_on_trial_over_all_nodes(self) -> None:
        """Guards against nodes each of which sends a copy at the same time."""
        nodes = Network().make_trials()
        results = await asyncio.gather(
            *(_begin(each, f"r{i}") for i, each in enumerate(nodes)),
            return_exceptions=True,
        )
        granted = [r for r in results if not isinstance(r, TimeoutError)]
        assert len(granted) == 1

    @in_virtual_time
    async def test_next_one_begins_at_the_end_of_the_trial(self) -> None:
        """Guards against requests that wait although no other one runs."""
        nodes = Network().make_trials()
        trial = await _begin(nodes[0], "r0")
        waiting = asyncio.create_task(_begin(nodes[1], "r1"))
        await asyncio.sleep(0.3)
        assert not waiting.done()
        nodes[0].end(trial, is_answered=False)
        assert await waiting is not None

    @in_virtual_time
    async def test_requests_of_one_node_wait_without_messages(self) -> None:
        """Guards against a message for each copy of a popular request."""
        network = Network()
        nodes = network.make_trials()
        trial = await _begin(nodes[0], "r0")
        before = network.messages
        copies = (_begin(nodes[0], f"c{number}") for number in range(50))
        results = await asyncio.gather(*copies, return_exceptions=True)
        assert all(isinstance(result, TimeoutError) for result in results)
        assert network.messages == before
        nodes[0].end(trial, is_answered=False)

    @in_virtual_time
    async def test_answer_lets_requests_of_all_nodes_run(self) -> None:
        """Guards against popular requests that run one by one after a crash."""
        nodes = Network().make_trials()
        nodes[0].end(await _begin(nodes[0], "r0"), is_answered=True)
        await asyncio.sleep(0.01)
        results = [await _begin(each, f"c{i}") for i, each in enumerate(nodes)]
        assert None not in results

    @in_virtual_time
    async def test_trial_of_a_lost_node_ends_by_itself(self) -> None:
        """Guards against a request that is refused because a node was killed."""
        nodes = Network().make_trials()
        await _begin(nodes[0], "r0")
        await asyncio.sleep(5.0)
        assert await _begin(nodes[1], "r1") is not None

    @in_virtual_time
    async def test_nodes_that_do_not_answer_are_passed_over(self) -> None:
        """Guards against refusals while the node that grants trials stands still."""
        network = Network(cut={"n0", "n1", "n2"})
        nodes = network.make_trials()
        for number, each in enumerate(nodes):
            assert await _begin(each, f"r{number}") is not None

    @in_virtual_time
    async def test_lost_answer_of_a_node_leaves_no_trial(self) -> None:
        """Guards against a trial that its request does not know of."""
        network = Network(lossy={"n0", "n1", "n2"})
        nodes = network.make_trials()
        trials = [await _begin(each, f"r{i}") for i, each in enumerate(nodes)]
        network.lossy.clear()
        for each, trial in zip(nodes, trials, strict=True):
            assert trial is not None
            each.end(trial, is_answered=False)
        await asyncio.sleep(1.1)
        for number, each in enumerate(nodes):
            trial = await _begin(each, f"s{number}")
            assert trial is not None
            each.end(trial, is_answered=False)
            await asyncio.sleep(0.01)

    @in_virtual_time
    async def test_waiting_ends_without_a_trial_when_the_evidence_is_gone(self) -> None:
        """Guards against a wait for a trial that another answer has made needless."""
        nodes = Network().make_trials()
        await _begin(nodes[0], "r0")
        needed = [True]
        waiting = asyncio.create_task(
            _begin(nodes[1], "r1", is_needed=lambda: needed[0])
        )
        await asyncio.sleep(0.2)
        needed[0] = False
        assert await waiting is None

    @in_virtual_time
    async def test_waiting_ends_soon_after_the_evidence_is_gone(self) -> None:
        """Guards against requests that wait for the next attempt without a reason."""
        nodes = Network().make_trials()
        trial = await _begin(nodes[0], "r0")
        needed = [True]
        waiting = asyncio.create_task(
            _begin(nodes[1], "r1", is_needed=lambda: needed[0])
        )
        await asyncio.sleep(0.01)
        needed[0] = False
        await asyncio.sleep(0.03)
        assert waiting.done() and waiting.result() is None
        nodes[0].end(trial, is_answered=True)

    @in_virtual_time
    async def test_cancelled_request_leaves_no_trial(self) -> None:
        """Guards against a trial whose caller left while its node was asked."""
        nodes = Network().make_trials()
        for each in nodes:
            task = asyncio.create_task(_begin(each, "gone"))
            await asyncio.sleep(0)
            task.cancel()
            (result,) = await asyncio.gather(task, return_exceptions=True)
            if isinstance(result, Trial):
                # This node grants the trials, without a message.
                each.end(result, is_answered=False)
            await asyncio.sleep(0.01)
            trial = await _begin(each, "next")
            assert trial is not None
            each.end(trial, is_answered=False)
            await asyncio.sleep(0.01)


class TestTable:
    def test_end_of_an_earlier_trial_does_not_end_the_next_one(self) -> None:
        """Guards against a late report that lets two requests run."""
        clock = ManualClock()
        table = TrialTable(clock)
        assert table.begin("f", "first", seconds=1.0)
        clock.advance(1.0)
        assert table.begin("f", "second", seconds=1.0)
        table.end("f", "first", is_answered=False)
        assert not table.begin("f", "third", seconds=1.0)


def _make_scheduler() -> PolicyScheduler:
    clock = LoopClock(asyncio.get_running_loop())
    return make_scheduler(
        quarantine=Quarantine(clock, policy=CrashSeriesPolicy()),
        trials=Network().make_trials(1)[0],
    )


async def _start_third_run(scheduler: PolicyScheduler, target: Target) -> Ticket:
    """Start a run of ``p`` after a crash and a run without an answer."""
    scheduler.quarantine.merge("n2", make_suspect_report("p"))
    work = make_work("p0", fingerprint="p")
    scheduler.release(await scheduler.acquire(work, target), Result.CANCELLED)
    return await scheduler.acquire(make_work("p1", fingerprint="p"), target)


class TestScheduler:
    """Requests with evidence against them in the scheduler."""

    @in_virtual_time
    async def test_equal_requests_run_one_by_one_after_a_crash(self) -> None:
        """Guards against copies that are sent on while others still run."""
        scheduler, target = _make_scheduler(), make_target(4, concurrency=4)
        scheduler.quarantine.merge("n2", make_suspect_report("p"))
        tasks = [
            await start(scheduler, make_work(f"p{i}", fingerprint="p"), target)
            for i in range(4)
        ]
        await asyncio.sleep(0.5)
        running = [task for task in tasks if task.done()]
        assert len(running) == 1
        scheduler.release(running[0].result(), Result.ANSWERED)
        await asyncio.sleep(0.3)
        assert all(task.done() for task in tasks)

    @in_virtual_time
    async def test_queued_requests_run_one_by_one_after_a_crash(self) -> None:
        """Guards against copies that were in the queue when a replica crashed."""
        scheduler, target = _make_scheduler(), make_target(1, concurrency=1)
        first = await scheduler.acquire(make_work("p0", fingerprint="p"), target)
        tasks = [
            await start(scheduler, make_work(f"p{i}", fingerprint="p"), target)
            for i in range(1, 4)
        ]
        await asyncio.sleep(1.0)
        scheduler.release(first, Result.CRASHED)
        await asyncio.sleep(0.5)
        running = [task for task in tasks if task.done()]
        assert len(running) == 1
        assert running[0].result().trial is not None

    @in_virtual_time
    async def test_next_request_runs_once_an_answer_has_begun(self) -> None:
        """Guards against long streams that equal requests wait for."""
        scheduler, target = _make_scheduler(), make_target(4, concurrency=4)
        scheduler.quarantine.merge("n2", make_suspect_report("p"))
        first = await scheduler.acquire(make_work("p0", fingerprint="p"), target)
        waiting = await start(scheduler, make_work("p1", fingerprint="p"), target)
        scheduler.record_begin(first)
        await asyncio.sleep(0.3)
        assert waiting.done()

    @in_virtual_time
    async def test_runs_without_an_answer_hold_the_request_back(self) -> None:
        """Guards against callers that leave before each crash can be seen."""
        scheduler, target = _make_scheduler(), make_target(4, concurrency=4)
        scheduler.quarantine.merge("n2", make_suspect_report("p"))
        for number in range(2):
            work = make_work(f"p{number}", fingerprint="p")
            ticket = await scheduler.acquire(work, target)
            scheduler.release(ticket, Result.CANCELLED)
        assert scheduler.quarantine.is_quarantined("p")

    @in_virtual_time
    async def test_equal_request_waits_for_the_third_run_instead_of_being_refused(
        self,
    ) -> None:
        """Guards against refusals for 20 s while an answer may come at once."""
        scheduler, target = _make_scheduler(), make_target(4, concurrency=4)
        third = await _start_third_run(scheduler, target)
        scheduler.check_quarantine("p")
        waiting = await start(scheduler, make_work("p2", fingerprint="p"), target)
        await asyncio.sleep(0.3)
        assert not waiting.done()
        scheduler.release(third, Result.ANSWERED)
        await asyncio.sleep(0.3)
        assert waiting.done() and waiting.result().trial is None

    @in_virtual_time
    async def test_equal_request_is_refused_if_the_third_run_has_no_answer(
        self,
    ) -> None:
        """Guards against a fourth run of requests that wait for the third one."""
        scheduler, target = _make_scheduler(), make_target(4, concurrency=4)
        third = await _start_third_run(scheduler, target)
        waiting = await start(scheduler, make_work("p2", fingerprint="p"), target)
        await asyncio.sleep(0.3)
        scheduler.release(third, Result.CANCELLED)
        await asyncio.sleep(0.3)
        with pytest.raises(QuarantinedError):
            waiting.result()
        with pytest.raises(QuarantinedError):
            scheduler.check_quarantine("p")

    @pytest.mark.parametrize("result", [Result.ABANDONED, Result.UNSENT, Result.FAILED])
    def test_other_ends_do_not_hold_the_request_back(self, result) -> None:
        """Guards against holding back requests for callers that leave in a stream."""

        @in_virtual_time
        async def run(self) -> None:
            scheduler, target = _make_scheduler(), make_target(4, concurrency=4)
            scheduler.quarantine.merge("n2", make_suspect_report("p"))
            for number in range(5):
                work = make_work(f"p{number}", fingerprint="p")
                scheduler.release(await scheduler.acquire(work, target), result)
            assert not scheduler.quarantine.is_quarantined("p")

        run(self)

    @in_virtual_time
    async def test_request_is_not_sent_again_to_a_replica_that_it_crashed(self) -> None:
        """Guards against a second crash by the repetition of a broken request."""
        scheduler, target = _make_scheduler(), make_target(1, concurrency=4)
        ticket = await scheduler.acquire(make_work("p", fingerprint="p"), target)
        await scheduler.acquire_resend(ticket, max_wait=1.0)
        await asyncio.sleep(1.0)
        scheduler.record_loss(ticket.replica)
        with pytest.raises(OverloadedError):
            await scheduler.acquire_resend(ticket, max_wait=1.0)
