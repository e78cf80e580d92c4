"""Token budgets of programs whose turns run on many nodes."""

from fireflyspread.budgets._account import Account, ProgramRecord
from fireflyspread.budgets._book import BudgetAccounts, Grant
from fireflyspread.budgets._keepers import BudgetOwners, BudgetPeers, Reservation
from fireflyspread.budgets._loan_log import LoanLog, LoanTotals

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
