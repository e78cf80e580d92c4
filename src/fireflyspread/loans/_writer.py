"""Group commit to a file."""

import asyncio
from collections.abc import Callable, Sequence
from typing import Generic, TypeVar

from fireflyspread.loans._file import Loan, LoanFile

__all__ = ["GroupWriter", "LoanWriter"]

T = TypeVar("T")


class GroupWriter(Generic[T]):
    """Appends records to a file; those that arrive during a sync share the next one.

    Parameters
    ----------
    append : callable
        Writes records and syncs the file; runs in another thread.
    """

    def __init__(self, append: Callable[[Sequence[T]], None]) -> None:
        self._append = append
        self._pending: list[tuple[T, asyncio.Future[None]]] = []
        self._task: asyncio.Task[None] | None = None

    async def append(self, record: T) -> None:
        """Return once ``record`` is on the disk; raises ``OSError``."""
        written = asyncio.get_running_loop().create_future()
        self._pending.append((record, written))
        if self._task is None:
            self._task = asyncio.create_task(self._write())
        await written

    async def _write(self) -> None:
        while self._pending:
            batch, self._pending = self._pending, []
            try:
                records = [record for record, _ in batch]
                await asyncio.to_thread(self._append, records)
            except OSError as exc:
                _complete(batch, exc)
            else:
                _complete(batch, None)
        self._task = None


class LoanWriter(GroupWriter[Loan]):
    """Appends loans to their file.

    Of two loans to a program, the second is acknowledged after the first is written,
    so its lender learns of the first.
    """

    def __init__(self, file: LoanFile) -> None:
        super().__init__(file.append)


def _complete(
    batch: list[tuple[T, asyncio.Future[None]]], error: OSError | None
) -> None:
    for _, written in batch:
        if written.done():
            continue
        if error is None:
            written.set_result(None)
        else:
            written.set_exception(error)
