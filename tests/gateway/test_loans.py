"""Tests of the loan log that is replicated over the loan servers."""

import asyncio
import time

import pytest

from fireflyspread.exceptions import PeerError
from fireflyspread.gateway import _loans
from fireflyspread.gateway._loans import ReplicatedLoanLog
from fireflyspread.loans import Loan
from fireflyspread.nodes import (
    CopyLoans,
    ListLoans,
    LoanNoted,
    LoansCopied,
    LoansListed,
)
from tests.routing.virtual_time import run_virtual

LOAN = Loan(program="p", tokens=9, lender="x-1", number=3, at=time.time(), budget=90)


class _LoanServers:
    """Client of loan servers that answer after a delay, or never if it is None."""

    def __init__(self, **delays: float | None) -> None:
        self.delays = delays
        # Servers that have lost their disks, and the copies that each one got.
        self.lost: set[str] = set()
        self.copies: dict[str, list[int]] = {}
        self.asked: list[str] = []

    async def ask(self, address, message, *, timeout):
        self.asked.append(address)
        delay = self.delays[address]
        if delay is None or delay > timeout:
            await asyncio.sleep(timeout)
            raise PeerError(f"{address} did not answer")
        await asyncio.sleep(delay)
        if isinstance(message, ListLoans):
            return LoansListed(
                node=address,
                loans=() if address in self.lost else (LOAN,),
                is_intact=address not in self.lost,
            )
        if isinstance(message, CopyLoans):
            self.copies[address] = [loan.number for loan in message.loans]
            if message.is_complete:
                self.lost.discard(address)
            return LoansCopied(node=address)
        return LoanNoted(
            node=address, others=5, drawn=7, is_intact=address not in self.lost
        )


class _Roster:
    has_read_members = True

    def __init__(self, names) -> None:
        self._names = names

    def list_names(self):
        return ["n"]

    def list_loan_servers(self):
        return {name: name for name in self._names}

    def list_incarnations(self):
        return set()


def _make(
    servers: _LoanServers, *, max_losses: int = 1, is_first_start: bool = False
) -> ReplicatedLoanLog:
    return ReplicatedLoanLog(
        servers,
        _Roster(servers.delays),
        node="n",
        incarnation="n-1",
        max_losses=max_losses,
        is_first_start=is_first_start,
    )


async def _measure(work) -> tuple[float, object]:
    loop = asyncio.get_running_loop()
    start = loop.time()
    return await work, loop.time() - start


class TestReplicatedLoanLog:
    def test_draw_waits_for_a_majority_only(self):
        """Guards against turns that wait for a frozen VM."""

        async def scenario():
            return await _measure(
                _make(_LoanServers(a=0.002, b=0.003, c=None)).append_draw("p", 9)
            )

        totals, seconds = run_virtual(scenario())
        assert (totals.lent, totals.drawn) == (5, 7)
        assert seconds < 0.01

    def test_draws_skip_a_loan_server_that_did_not_answer(self):
        """Guards against a wait for lost VMs at each draw after a full restart."""

        async def scenario():
            servers = _LoanServers(a=0.002, b=None, c=None)
            loan_log = _make(servers)
            _, first = await _measure(loan_log.append_draw("p", 9))
            _, second = await _measure(loan_log.append_draw("q", 9))
            return first, second

        first, second = run_virtual(scenario())
        assert first <= 0.11
        assert second < 0.01

    def test_loan_needs_two_loan_servers(self):
        """Guards against a loan that is lost with one disk."""

        async def scenario():
            one = await _make(_LoanServers(a=0.002, b=None, c=None)).append_loan("p", 9)
            two = await _make(_LoanServers(a=0.002, b=0.05, c=None)).append_loan("p", 9)
            return one, two

        one, two = run_virtual(scenario())
        assert one is None
        assert (two.lent, two.drawn) == (5, 7)

    def test_writes_of_a_program_go_to_few_disks(self):
        """Guards against a disk write on every loan server for each draw and loan."""

        async def scenario():
            servers = _LoanServers(**{f"s{number}": 0.002 for number in range(9)})
            asked = []
            for program in ("p", "p", "q"):
                loan_log = _make(servers, max_losses=2)
                servers.asked = []
                assert await loan_log.append_loan(program, 9) is not None
                await loan_log.append_draw(program, 9)
                asked.append(set(servers.asked))
            return asked

        first, again, other = run_virtual(scenario())
        assert len(first) == len(other) == 5
        # All nodes choose the same disks, so that two lenders see each other.
        assert first == again

    def test_loan_is_on_more_disks_than_can_be_lost(self):
        """Guards against a loan that is lost with two disks."""

        async def scenario(**delays):
            servers = _LoanServers(**delays)
            return await _make(servers, max_losses=2).append_loan("p", 9)

        ok, away = 0.002, None
        assert run_virtual(scenario(a=ok, b=ok, c=ok, d=away, e=away)) is not None
        # Another node could lend to the same program on the other three.
        assert run_virtual(scenario(a=ok, b=ok, c=away, d=away, e=away)) is None
        assert run_virtual(scenario(a=ok, b=away, c=away, d=away, e=away)) is None

    def test_draw_is_complete_with_a_majority_of_all_loan_servers(self):
        """Guards against a draw that misses a loan on servers that are not asked."""

        async def scenario(**delays):
            loan_log = _make(_LoanServers(**delays), max_losses=2)
            first = await loan_log.append_draw("p", 9)
            again = await loan_log.append_draw("p", 9)
            return first.is_complete, again.is_complete

        ok, away = 0.002, None
        assert run_virtual(scenario(a=ok, b=ok, c=ok, d=away, e=away)) == (True, True)
        assert run_virtual(scenario(a=ok, b=ok, c=away, d=away, e=away)) == (
            False,
            False,
        )
        assert run_virtual(scenario()) == (True, True)


class TestKnownLoans:
    """Loans of lost nodes are known or not, whatever time has passed."""

    def _run(self, loan_log, *steps) -> list[bool]:
        """Return whether the loans are known 10 s after each step."""

        async def scenario():
            task = asyncio.create_task(loan_log.run())
            states = []
            for step in steps:
                step()
                await asyncio.sleep(10.0)
                states.append(loan_log.is_complete)
            task.cancel()
            return states

        return run_virtual(scenario())

    def test_are_unknown_until_enough_servers_answer(self):
        """Guards against a read that failed and counts as done after a time."""
        servers = _LoanServers(a=0.002, b=None, c=None)
        loan_log = _make(servers)
        states = self._run(
            loan_log,
            lambda: None,
            lambda: None,
            lambda: servers.delays.update(b=0.002),
        )
        assert states == [False, False, True]

    def test_node_is_ready_without_them(self, monkeypatch):
        """Guards against a node that serves nobody because loan servers are away."""
        monkeypatch.setattr(_loans, "_START_TIMEOUT", 0.0)
        loan_log = _make(_LoanServers(a=0.002, b=None, c=None))
        assert self._run(loan_log, lambda: None) == [False]
        assert loan_log.is_start_over

    def test_are_known_without_a_lost_server(self):
        """Guards against draws that wait for a server that is lost with its disk."""

        async def scenario():
            loan_log = _make(_LoanServers(a=0.002, b=0.002, c=None))
            task = asyncio.create_task(loan_log.run())
            _, seconds = await _measure(loan_log.wait_complete())
            task.cancel()
            return seconds

        assert run_virtual(scenario()) < 0.01

    def test_are_read_again_after_the_loss_of_a_node(self):
        """Guards against a read that fails after a loss and is not repeated."""
        servers = _LoanServers(a=0.002, b=0.002, c=0.002)
        loan_log = _make(servers)

        def lose_node():
            servers.delays.update(b=None, c=None)
            loan_log.refresh()

        states = self._run(
            loan_log, lambda: None, lose_node, lambda: servers.delays.update(c=0.002)
        )
        assert states == [True, False, True]

    def test_are_unknown_until_the_members_are_read(self):
        """Guards against a list of loan servers that is not read and counts as none."""
        loan_log = _make(_LoanServers())
        loan_log._roster.has_read_members = False

        def read():
            loan_log._roster.has_read_members = True

        assert self._run(loan_log, lambda: None, read) == [False, True]

    def test_are_none_at_the_first_start(self):
        """Guards against a system that waits at its first start."""
        loan_log = _make(_LoanServers(a=None, b=None, c=None), is_first_start=True)
        assert loan_log.is_complete
        assert loan_log.is_start_over

    @pytest.mark.parametrize(("lost", "is_known"), [(2, True), (3, False)])
    def test_as_many_servers_may_be_lost_as_disks(self, lost, is_known):
        """Guards against a bound for three loan servers that is used for all."""
        delays = {
            f"s{number}": 0.002 if number >= lost else None for number in range(9)
        }
        loan_log = _make(_LoanServers(**delays), max_losses=2)
        assert self._run(loan_log, lambda: None) == [is_known]


class TestLostDisks:
    """An empty disk is not the answer that there are no loans."""

    def test_count_as_no_answer(self):
        """Guards against loans that are missed on disks that were lost."""
        servers = _LoanServers(a=0.002, b=0.002, c=None)
        servers.lost = {"a"}

        async def scenario():
            loan_log = _make(servers)
            totals = await loan_log.append_draw("p", 9, must_confirm=True)
            return await loan_log._read_loans(), totals.is_complete

        assert run_virtual(scenario()) == (False, False)

    def test_are_restored(self):
        """Guards against disks that are lost one after the other."""
        servers = _LoanServers(a=0.002, b=0.002, c=0.002)
        servers.lost = {"a"}

        async def scenario():
            loan_log = _make(servers)
            tasks = [
                asyncio.create_task(work())
                for work in (loan_log.run, loan_log.watch_disks)
            ]
            await asyncio.sleep(2.0)
            for task in tasks:
                task.cancel()
            return loan_log.get_lost_loans("p")

        assert run_virtual(scenario()) == {"x-1": 9}
        assert servers.copies == {"a": [3]}
        assert servers.lost == set()

    def test_are_not_restored_from_too_few(self):
        """Guards against a restored disk that lacks loans and counts as whole."""
        servers = _LoanServers(a=0.002, b=0.002, c=None)
        servers.lost = {"a"}

        async def scenario():
            loan_log = _make(servers, is_first_start=True)
            tasks = [
                asyncio.create_task(work())
                for work in (loan_log.run, loan_log.watch_disks)
            ]
            await asyncio.sleep(5.0)
            before = dict(servers.copies)
            servers.delays["c"] = 0.002
            await asyncio.sleep(3.0)
            for task in tasks:
                task.cancel()
            return before

        assert run_virtual(scenario()) == {}
        assert servers.copies == {"a": [3]}
