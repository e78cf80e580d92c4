"""Group commit of loans."""

import asyncio

from fireflyspread.loans._file import Loan, LoanFile

__all__ = ["LoanWriter"]


class LoanWriter:
    """Appends loans to a file; loans that arrive during a sync share the next one.

    Of two loans to a program, the second is acknowledged after the first is written,
    so its lender learns of the first.
    """

    def __init__(self, file: LoanFile) -> None:
        self._file = file
        self._pending: list[tuple[Loan, asyncio.Future[None]]] = []
        self._task: asyncio.Task[None] | None = None

    async def append(self, loan: Loan) -> None:
        """Return once ``loan`` is on the disk; raises ``OSError``."""
        written = asyncio.get_running_loop().create_future()
        self._pending.append((loan, written))
        if self._task is None:
            self._task = asyncio.create_task(self._write())
        await written

    async def _write(self) -> None:
        while self._pending:
            batch, self._pending = self._pending, []
            try:
                loans = [loan for loan, _ in batch]
                await asyncio.to_thread(self._file.append, loans)
            except OSError as exc:
                _complete(batch, exc)
            else:
                _complete(batch, None)
        self._task = None


def _complete(
    batch: list[tuple[Loan, asyncio.Future[None]]], error: OSError | None
) -> None:
    for _, written in batch:
        if written.done():
            continue
        if error is None:
            written.set_result(None)
        else:
            written.set_exception(error)
