"""Loans of program budgets, stored on VMs with a disk during outages of the store."""

from fireflyspread.loans._file import RETENTION_SECONDS, Loan, LoanFile
from fireflyspread.loans._writer import LoanWriter

__all__ = ["RETENTION_SECONDS", "Loan", "LoanFile", "LoanWriter"]
