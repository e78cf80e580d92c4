"""Loans of program budgets, stored on VMs with a disk during outages of the store."""

from fireflyspread.loans._file import Loan, LoanFile
from fireflyspread.loans._writer import LoanWriter

__all__ = ["Loan", "LoanFile", "LoanWriter"]
