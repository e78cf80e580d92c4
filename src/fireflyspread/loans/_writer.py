"""Writes that wait for the same sync of a disk."""

import asyncio

from fireflyspread.loans._file import Loan, LoanFile

__all__ = ["LoanWriter"]


class LoanWriter:
    """Appends loans to a file; those that come during a sync share the next one.

    Of two loans to a program the second is answered after the first was written, so
    that its lender hears of the first.
    """

    def __init__(self, file: LoanFile) -> None:
        self._file = file
        self._waiting: list[tuple[Loan, asyncio.Future[None]]] = []
        self._task: asyncio.Task[None] | None = None

    async def append(self, loan: Loan) -> None:
        """Return when ``loan`` is on the disk; raises ``OSError``."""
        written = asyncio.get_running_loop().create_future()
        self._waiting.append((loan, written))
        if self._task is None:
            self._task = asyncio.create_task(self._write())
        await written

    async def _write(self) -> None:
        while self._waiting:
            batch, self._waiting = self._waiting, []
            try:
                loans = [loan for loan, _ in batch]
                await asyncio.to_thread(self._file.append, loans)
            except OSError as exc:
                _settle(batch, exc)
            else:
                _settle(batch, None)
        self._task = None


def _settle(
    batch: list[tuple[Loan, asyncio.Future[None]]], error: OSError | None
) -> None:
    for _, written in batch:
        if written.done():
            continue
        if error is None:
            written.set_result(None)
        else:
            written.set_exception(error)
