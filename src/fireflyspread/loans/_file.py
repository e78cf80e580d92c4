"""Durable file of loans and draws."""

import contextlib
import logging
import os
from collections.abc import Iterable, Sequence
from pathlib import Path

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.clock import Clock
from fireflyspread.loans._durable import remove_file, replace_file, write_bytes

__all__ = ["RETENTION_SECONDS", "Loan", "LoanFile"]

_LOG = logging.getLogger(__name__)

_FILE_NAME = "loans.jsonl"
# Seconds for which a loan may still be needed: programs resume within a minute, and
# loans are written to the store within a second after it is available again.
RETENTION_SECONDS = 150.0
# Appended lines after which the file is compacted.
_MAX_APPENDED_LINES = 20_000


class Loan(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the loan file: a loan, or a draw on the budget of a program.

    During an outage of the store, a node lends: it grants tokens of the budget that it
    has not drawn from the store yet.

    Attributes
    ----------
    tokens : int
        Tokens lent; negative when lent tokens were drawn later, 0 for other draws.
    lender : str
        Incarnation of the node that lent the tokens.
    number : int
        Unique among the loans of the lender.
    at : float
        Time of the loan in Unix seconds.
    drawn : int
        Tokens that all nodes together had drawn from the store; 0 if not reported.
    budget : int
        Budget of the program; 0 if not reported.
    """

    program: str
    tokens: int
    lender: str
    number: int
    at: float
    drawn: int = 0
    budget: int = 0

    @property
    def id(self) -> tuple[str, int]:
        """Lender and number, by which copies of an entry are recognized."""
        return self.lender, self.number


class LoanFile:
    """File of loans, each of which is durable when ``append`` returns.

    Parameters
    ----------
    folder : str or Path
        Folder on a durable disk.
    is_first_start : bool
        Whether the whole system starts for the first time, so that a missing file has
        not been lost.
    """

    def __init__(
        self, folder: str | Path, clock: Clock, *, is_first_start: bool = True
    ) -> None:
        self._path = Path(folder) / _FILE_NAME
        # Its time of modification is when the disk was found empty.
        self._loss_path = self._path.with_suffix(".lost")
        self._is_first_start = is_first_start
        self._is_intact = False
        self._clock = clock
        self._loans_by_program: dict[str, dict[tuple[str, int], Loan]] = {}
        self._appended_lines = 0
        self._file: int | None = None

    def open(self) -> None:
        """Read the existing file and compact it.

        Raises
        ------
        OSError
            The file cannot be read or written.
        """
        if self._path.exists():
            self._add(_parse(self._path.read_bytes()))
        elif not self._is_first_start:
            # Before the file exists, so that a restart does not take it for whole.
            replace_file(self._loss_path, b"%f" % self._clock.read_wall())
        self._is_intact = not self._loss_path.exists()
        self._compact()

    @property
    def is_open(self) -> bool:
        """Whether the file has been read."""
        return self._file is not None

    @property
    def is_intact(self) -> bool:
        """Whether the file has all recent entries that were ever written to it.

        A disk that was lost lists no loans, which does not mean that there are none.
        """
        if not self._is_intact and self._file is not None:
            self._is_intact = self._has_outlived_loss()
        return self._is_intact

    def _has_outlived_loss(self) -> bool:
        """Return whether all that was lost is too old to be needed."""
        try:
            lost_at = float(self._loss_path.read_bytes())
        except FileNotFoundError:
            return True
        except (OSError, ValueError):
            return False
        return self._clock.read_wall() > lost_at + RETENTION_SECONDS

    def mark_intact(self) -> None:
        """Record that no entry is missing; raises ``OSError``."""
        if not self._is_intact:
            remove_file(self._loss_path)
            self._is_intact = True

    def append(self, loans: Sequence[Loan]) -> None:
        """Write loans to the disk with one sync; raises ``OSError``."""
        if self._file is None:
            self.open()
        assert self._file is not None
        write_bytes(self._file, _encode(loans))
        os.fsync(self._file)
        self._add(loans)
        self._appended_lines += len(loans)
        if self._appended_lines > _MAX_APPENDED_LINES:
            self._compact()

    def list_recent(self) -> list[Loan]:
        """Return the loans that may not have been written to the store."""
        cutoff = self._clock.read_wall() - RETENTION_SECONDS
        return [
            loan
            for loans in tuple(self._loans_by_program.values())
            for loan in tuple(loans.values())
            if loan.at >= cutoff
        ]

    def list_needed(self) -> list[Loan]:
        """Return the entries with which another loan server can replace this one.

        These are the loans, and of each program the draw with the highest total.
        """
        needed: dict[tuple[str, int] | str, Loan] = {}
        for loan in self.list_recent():
            key = loan.id if loan.tokens else loan.program
            known = needed.get(key)
            if known is None or loan.drawn > known.drawn:
                needed[key] = loan
        return list(needed.values())

    def has(self, loan: Loan) -> bool:
        """Return whether the file has the entry."""
        return loan.id in self._loans_by_program.get(loan.program, {})

    def count_lent_by_others(self, loan: Loan) -> int:
        """Return the undrawn tokens that other nodes have lent to the same program."""
        cutoff = self._clock.read_wall() - RETENTION_SECONDS
        lent = sum(
            other.tokens
            for other in self._loans_by_program.get(loan.program, {}).values()
            if other.at >= cutoff and other.lender != loan.lender
        )
        return max(0, lent)

    def get_max_drawn(self, program: str) -> int:
        """Return the highest number of tokens reported as drawn for a program."""
        loans = self._loans_by_program.get(program, {})
        return max((loan.drawn for loan in loans.values()), default=0)

    def _add(self, loans: Iterable[Loan]) -> None:
        for loan in loans:
            self._loans_by_program.setdefault(loan.program, {})[loan.id] = loan

    def _compact(self) -> None:
        """Replace the file by one without old or torn lines."""
        recent = self.list_recent()
        self._loans_by_program, self._appended_lines = {}, 0
        self._add(recent)
        replace_file(self._path, _encode(recent))
        if self._file is not None:
            os.close(self._file)
        self._file = os.open(self._path, os.O_WRONLY | os.O_APPEND)

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            os.close(self._file)
            self._file = None


def _encode(loans: Iterable[Loan]) -> bytes:
    return b"".join(msgspec.json.encode(loan) + b"\n" for loan in loans)


def _parse(data: bytes) -> list[Loan]:
    loans = []
    for line in data.splitlines():
        # A power loss can tear a line that was not acknowledged yet.
        with contextlib.suppress(msgspec.DecodeError):
            loans.append(decode_json(line, Loan))
            continue
        _LOG.warning("ignored torn line of %d bytes in %s", len(line), _FILE_NAME)
    return loans
