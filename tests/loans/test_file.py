"""Tests of the loan file."""

import os

import pytest

from fireflyspread.clock import ManualClock
from fireflyspread.loans import Loan, LoanFile


def _make_loan(number: int, at: float, program: str = "p") -> Loan:
    return Loan(program=program, tokens=100, lender="a", number=number, at=at)


class TestLoanFile:
    def test_loans_survive_a_restart(self, tmp_path):
        """Guards against loans that are lost when the process restarts."""
        clock = ManualClock()
        file = LoanFile(tmp_path, clock)
        file.open()
        file.append([_make_loan(1, clock.read_wall())])
        reopened = LoanFile(tmp_path, clock)
        reopened.open()
        assert [loan.number for loan in reopened.list_recent()] == [1]

    @pytest.mark.parametrize("tail", [b'{"program": "x"', b"\x00\x00\x00", b"{}\n"])
    def test_torn_line_is_ignored(self, tmp_path, tail):
        """Guards against a torn line, after a power loss, that hides all loans."""
        clock = ManualClock()
        file = LoanFile(tmp_path, clock)
        file.open()
        file.append([_make_loan(1, clock.read_wall())])
        with open(tmp_path / "loans.jsonl", "ab") as handle:
            handle.write(tail)
        reopened = LoanFile(tmp_path, clock)
        reopened.open()
        reopened.append([_make_loan(2, clock.read_wall())])
        reopened_twice = LoanFile(tmp_path, clock)
        reopened_twice.open()
        assert [loan.number for loan in reopened_twice.list_recent()] == [1, 2]

    def test_old_loans_are_dropped(self, tmp_path):
        """Guards against a file that grows without bound."""
        clock = ManualClock()
        file = LoanFile(tmp_path, clock)
        file.open()
        file.append([_make_loan(1, clock.read_wall())])
        clock.advance(200.0)
        reopened = LoanFile(tmp_path, clock)
        reopened.open()
        assert reopened.list_recent() == []
        assert (tmp_path / "loans.jsonl").read_bytes() == b""

    def test_counts_tokens_lent_by_others(self, tmp_path):
        """Guards against a second lender that does not learn of the first loan."""
        clock = ManualClock()
        file = LoanFile(tmp_path, clock)
        file.open()
        file.append([_make_loan(1, clock.read_wall())])
        other = Loan(program="p", tokens=50, lender="b", number=1, at=clock.read_wall())
        file.append([other])
        assert file.count_lent_by_others(other) == 100

    def test_copies_of_an_entry_count_once(self, tmp_path):
        """Guards against a loan that is copied from another server and counts twice."""
        clock = ManualClock()
        file = LoanFile(tmp_path, clock)
        file.open()
        loan = _make_loan(1, clock.read_wall())
        file.append([loan, loan])
        own = Loan(program="p", tokens=0, lender="b", number=1, at=clock.read_wall())
        assert file.has(loan)
        assert file.count_lent_by_others(own) == 100

    def test_lists_what_another_server_needs(self, tmp_path):
        """Guards against totals of draws that are lost with a retired server."""
        clock = ManualClock()
        file = LoanFile(tmp_path, clock)
        file.open()
        draws = [
            Loan(
                program="p",
                tokens=0,
                lender="a",
                number=number,
                at=clock.read_wall(),
                drawn=100 * number,
            )
            for number in (2, 3)
        ]
        loan = _make_loan(1, clock.read_wall())
        file.append([*draws, loan])
        assert set(file.list_needed()) == {draws[1], loan}


class TestLostDisk:
    def _open(self, folder, clock, *, is_first_start=False) -> LoanFile:
        file = LoanFile(folder, clock, is_first_start=is_first_start)
        file.open()
        return file

    def test_is_known_until_it_is_restored(self, tmp_path):
        """Guards against an empty disk that is taken for one without loans."""
        clock = ManualClock()
        assert not self._open(tmp_path, clock).is_intact
        file = self._open(tmp_path, clock)
        assert not file.is_intact
        file.append([_make_loan(1, clock.read_wall())])
        assert not file.is_intact
        file.mark_intact()
        assert file.is_intact
        assert self._open(tmp_path, clock).is_intact

    def test_stays_restored_after_a_power_loss(self, tmp_path, monkeypatch):
        """Guards against a removed mark that comes back on all disks at once.

        A removal lasts only once the folder has been synced after it.
        """
        file = self._open(tmp_path, ManualClock())
        synced = []

        def sync(descriptor: int) -> None:
            path = os.readlink(f"/proc/self/fd/{descriptor}")
            synced.append((path, sorted(p.name for p in tmp_path.iterdir())))

        monkeypatch.setattr(os, "fsync", sync)
        file.mark_intact()
        assert synced == [(str(tmp_path), ["loans.jsonl"])]

    def test_does_not_matter_when_all_loans_are_old(self, tmp_path):
        """Guards against a loan server that never counts again."""
        clock = ManualClock()
        file = self._open(tmp_path, clock)
        clock.advance(149.0)
        assert not file.is_intact
        clock.advance(2.0)
        assert file.is_intact

    def test_is_none_at_the_first_start(self, tmp_path):
        """Guards against a system that waits for loans at its first start."""
        clock = ManualClock()
        assert self._open(tmp_path, clock, is_first_start=True).is_intact
        assert self._open(tmp_path, clock).is_intact

    def test_file_that_is_not_open_is_not_intact(self, tmp_path):
        """Guards against a file that cannot be read and lists no loans."""
        assert not LoanFile(tmp_path, ManualClock()).is_intact
