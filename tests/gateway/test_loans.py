"""Tests of the way to the VMs that keep loans."""

import asyncio

from fireflyspread.exceptions import PeerError
from fireflyspread.gateway._loans import LoanKeepers
from fireflyspread.nodes import ListLoans, LoanNoted, LoansListed
from tests.routing.virtual_time import run_virtual


class _Disks:
    """Disks that answer, answer late or do not answer."""

    def __init__(self, **delays: float | None) -> None:
        self.delays = delays
        self.asked: list[str] = []

    async def ask(self, address, question, *, timeout):
        self.asked.append(address)
        delay = self.delays[address]
        if delay is None or delay > timeout:
            await asyncio.sleep(timeout)
            raise PeerError(f"{address} did not answer")
        await asyncio.sleep(delay)
        if isinstance(question, ListLoans):
            return LoansListed(node=address, loans=())
        return LoanNoted(node=address, others=5, drawn=7)


class _Roster:
    has_contact = True

    def __init__(self, names) -> None:
        self._names = names

    def list_journals(self):
        return {name: name for name in self._names}


def _make(disks: _Disks) -> LoanKeepers:
    return LoanKeepers(disks, _Roster(disks.delays), node="n", incarnation="n-1")


async def _measure(work) -> tuple[float, object]:
    loop = asyncio.get_running_loop()
    start = loop.time()
    return await work, loop.time() - start


class TestLoanKeepers:
    def test_draw_waits_for_a_majority_only(self):
        """Guards against turns that wait for a VM that is frozen."""

        async def play():
            return await _measure(
                _make(_Disks(a=0.002, b=0.003, c=None)).append_draw("p", 9)
            )

        noted, seconds = run_virtual(play())
        assert (noted.lent, noted.drawn) == (5, 7)
        assert seconds < 0.01

    def test_draws_pass_over_a_disk_that_did_not_answer(self):
        """Guards against a wait for lost VMs at each draw after a restart of all."""

        async def play():
            disks = _Disks(a=0.002, b=None, c=None)
            keepers = _make(disks)
            _, first = await _measure(keepers.append_draw("p", 9))
            _, second = await _measure(keepers.append_draw("q", 9))
            return first, second

        first, second = run_virtual(play())
        assert first <= 0.11
        assert second < 0.01

    def test_loan_needs_two_disks(self):
        """Guards against a loan that the loss of one disk forgets."""

        async def play():
            one = await _make(_Disks(a=0.002, b=None, c=None)).append_loan("p", 9)
            two = await _make(_Disks(a=0.002, b=0.05, c=None)).append_loan("p", 9)
            return one, two

        one, two = run_virtual(play())
        assert one is None
        assert (two.lent, two.drawn) == (5, 7)
