"""Loans of programs' budgets, noted on VMs with a disk while the store is away."""

from fireflyspread.loans._file import Loan, LoanFile
from fireflyspread.loans._writer import LoanWriter

__all__ = ["Loan", "LoanFile", "LoanWriter"]
