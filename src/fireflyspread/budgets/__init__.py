"""Token budgets of programs whose turns run on many nodes."""

from fireflyspread.budgets._account import Account, ProgramRecord
from fireflyspread.budgets._accounts import BudgetAccounts, Grant
from fireflyspread.budgets._hand_over import HandOver
from fireflyspread.budgets._loan_log import LoanLog, LoanTotals
from fireflyspread.budgets._owners import (
    MIN_WAIT,
    BudgetOwners,
    BudgetPeers,
    Reservation,
)
from fireflyspread.budgets._records import RECORDS_PREFIX
from fireflyspread.budgets._writer import BudgetWriter, WriteHelpers

__all__ = [
    "MIN_WAIT",
    "RECORDS_PREFIX",
    "Account",
    "BudgetAccounts",
    "BudgetOwners",
    "BudgetPeers",
    "BudgetWriter",
    "Grant",
    "HandOver",
    "LoanLog",
    "LoanTotals",
    "ProgramRecord",
    "Reservation",
    "WriteHelpers",
]
