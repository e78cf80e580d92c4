"""Tests of writes that share a sync."""

import asyncio

from fireflyspread.clock import ManualClock
from fireflyspread.loans import Loan, LoanFile, LoanWriter


class _CountingFile(LoanFile):
    """Counts syncs and refuses writes on request."""

    syncs = 0
    is_broken = False

    def append(self, loans):
        self.syncs += 1
        if self.is_broken:
            raise OSError(5, "Input/output error")
        super().append(loans)


def _make_loan(number: int) -> Loan:
    return Loan(program="p", tokens=10, lender=f"n{number}", number=number, at=0.0)


class TestLoanWriter:
    async def test_waiting_loans_share_a_sync(self, tmp_path):
        """Guards against one sync for each of many loans in an outage."""
        file = _CountingFile(tmp_path, ManualClock())
        writer = LoanWriter(file)
        await asyncio.gather(*(writer.append(_make_loan(n)) for n in range(50)))
        assert file.syncs <= 2

    async def test_refusing_disk_fails_every_waiting_loan(self, tmp_path):
        """Guards against a loan that counts as written on a broken disk."""
        file = _CountingFile(tmp_path, ManualClock())
        file.is_broken = True
        writer = LoanWriter(file)
        results = await asyncio.gather(
            *(writer.append(_make_loan(n)) for n in range(3)), return_exceptions=True
        )
        assert all(isinstance(result, OSError) for result in results)
        file.is_broken = False
        await writer.append(_make_loan(9))

    async def test_draw_is_found_after_a_restart(self, tmp_path):
        """Guards against draws that the next keeper lends again."""
        clock = ManualClock()
        loan = Loan(
            program="p", tokens=0, lender="a", number=1, at=clock.read_wall(), drawn=432
        )
        await LoanWriter(LoanFile(tmp_path, clock)).append(loan)
        again = LoanFile(tmp_path, clock)
        again.open()
        assert (again.find_drawn("p"), again.find_drawn("q")) == (432, 0)
