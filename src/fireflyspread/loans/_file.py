"""A file of loans and draws that survives the loss of power."""

import contextlib
import logging
import os
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from fireflyspread.clock import Clock

__all__ = ["Loan", "LoanFile"]

_LOG = logging.getLogger(__name__)

_NAME = "loans.jsonl"
# Seconds for which a loan matters: programs come back within a minute, and loans are
# written to the store within a second of its return.
KEPT_SECONDS = 150.0
# Lines added after which the file is written anew without old ones.
_MOST_LINES = 20_000


class Loan(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens that a node may hand out before the store knows of them, or a draw.

    Attributes
    ----------
    tokens : int
        Tokens lent; negative when they were drawn afterwards, 0 for other draws.
    lender : str
        Incarnation of the node.
    number : int
        Unique among the loans of the lender.
    at : float
        Unix seconds.
    drawn : int
        Tokens that all nodes had drawn from the store, if the writer had drawn.
    """

    program: str
    tokens: int
    lender: str
    number: int
    at: float
    drawn: int = 0


class LoanFile:
    """Appends loans, each durable when ``append`` returns.

    Parameters
    ----------
    folder : str or Path
        Folder on a disk that lasts.
    """

    def __init__(self, folder: str | Path, clock: Clock) -> None:
        self._path = Path(folder) / _NAME
        self._clock = clock
        self._programs: dict[str, list[Loan]] = {}
        self._added = 0
        self._file: int | None = None

    def open(self) -> None:
        """Read what is there and write it anew without old or torn lines.

        Raises
        ------
        OSError
            The disk refuses.
        """
        if self._path.exists():
            self._keep(_parse(self._path.read_bytes()))
        self._rewrite()

    def append(self, loans: Sequence[Loan]) -> None:
        """Write loans through to the disk with one sync; raises ``OSError``."""
        if self._file is None:
            self.open()
        assert self._file is not None
        _write_all(self._file, loans)
        os.fsync(self._file)
        self._keep(loans)
        self._added += len(loans)
        if self._added > _MOST_LINES:
            self._rewrite()

    def list_recent(self) -> list[Loan]:
        """Return the loans that may not have been written to the store."""
        oldest = self._clock.read_wall() - KEPT_SECONDS
        return [
            loan
            for loans in tuple(self._programs.values())
            for loan in loans
            if loan.at >= oldest
        ]

    def count_others(self, loan: Loan) -> int:
        """Return the tokens that other nodes lent to a program and have not drawn."""
        oldest = self._clock.read_wall() - KEPT_SECONDS
        lent = sum(
            each.tokens
            for each in self._programs.get(loan.program, ())
            if each.at >= oldest and each.lender != loan.lender
        )
        return max(0, lent)

    def find_drawn(self, program: str) -> int:
        """Return the most tokens that were said to be drawn for a program."""
        loans = self._programs.get(program, ())
        return max((loan.drawn for loan in loans), default=0)

    def _keep(self, loans: Iterable[Loan]) -> None:
        for loan in loans:
            self._programs.setdefault(loan.program, []).append(loan)

    def _rewrite(self) -> None:
        recent = self.list_recent()
        self._programs, self._added = {}, 0
        self._keep(recent)
        temporary = self._path.with_suffix(".new")
        file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
        try:
            _write_all(file, recent)
            os.fsync(file)
        finally:
            os.close(file)
        temporary.rename(self._path)
        folder = os.open(self._path.parent, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)
        if self._file is not None:
            os.close(self._file)
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None


def _write_all(file: int, loans: Sequence[Loan]) -> None:
    data = b"".join(msgspec.json.encode(loan) + b"\n" for loan in loans)
    while data:
        data = data[os.write(file, data) :]


def _parse(data: bytes) -> list[Loan]:
    loans = []
    for line in data.splitlines():
        # A line may be torn by a loss of power before it was acknowledged.
        with contextlib.suppress(msgspec.DecodeError):
            loans.append(msgspec.json.decode(line, type=Loan))
            continue
        _LOG.warning("torn line of %d bytes in %s ignored", len(line), _NAME)
    return loans
