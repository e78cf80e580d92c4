"""Token budgets of programs whose turns run on many nodes."""

from fireflyspread.budgets._account import Account, ProgramRecord
from fireflyspread.budgets._accounts import BudgetAccounts, Grant
from fireflyspread.budgets._loan_log import LoanLog, LoanTotals
from fireflyspread.budgets._owners import BudgetOwners, BudgetPeers, Reservation

__all__ = [
    "Account",
    "BudgetAccounts",
    "BudgetOwners",
    "BudgetPeers",
    "Grant",
    "LoanLog",
    "LoanTotals",
    "ProgramRecord",
    "Reservation",
]
