"""Tests of the group commit of loans."""

import asyncio

from fireflyspread.clock import ManualClock
from fireflyspread.loans import Loan, LoanFile, LoanWriter


class _CountingFile(LoanFile):
    """File that counts syncs and fails writes on request."""

    sync_count = 0
    is_broken = False

    def append(self, loans):
        self.sync_count += 1
        if self.is_broken:
            raise OSError(5, "Input/output error")
        super().append(loans)


def _make_loan(number: int) -> Loan:
    return Loan(program="p", tokens=10, lender=f"n{number}", number=number, at=0.0)


class TestLoanWriter:
    async def test_concurrent_loans_share_a_sync(self, tmp_path):
        """Guards against a sync for each loan, which is slow in an outage."""
        file = _CountingFile(tmp_path, ManualClock())
        writer = LoanWriter(file)
        await asyncio.gather(*(writer.append(_make_loan(n)) for n in range(50)))
        assert file.sync_count <= 2

    async def test_write_error_fails_every_pending_loan(self, tmp_path):
        """Guards against a loan that is acknowledged although the write failed."""
        file = _CountingFile(tmp_path, ManualClock())
        file.is_broken = True
        writer = LoanWriter(file)
        results = await asyncio.gather(
            *(writer.append(_make_loan(n)) for n in range(3)), return_exceptions=True
        )
        assert all(isinstance(result, OSError) for result in results)
        file.is_broken = False
        await writer.append(_make_loan(9))

    async def test_draw_survives_a_restart(self, tmp_path):
        """Guards against drawn tokens that the next owner lends again."""
        clock = ManualClock()
        loan = Loan(
            program="p", tokens=0, lender="a", number=1, at=clock.read_wall(), drawn=432
        )
        await LoanWriter(LoanFile(tmp_path, clock)).append(loan)
        reopened = LoanFile(tmp_path, clock)
        reopened.open()
        assert (reopened.get_max_drawn("p"), reopened.get_max_drawn("q")) == (432, 0)
