"""Token budgets of programs that many nodes serve."""

from fireflyspread.budgets._account import Account, ProgramRecord
from fireflyspread.budgets._book import AllowanceBook, Grant
from fireflyspread.budgets._keepers import AllowancePeers, BudgetKeepers, Reservation
from fireflyspread.budgets._notes import BudgetNotes, Noted

__all__ = [
    "Account",
    "AllowanceBook",
    "AllowancePeers",
    "BudgetKeepers",
    "BudgetNotes",
    "Grant",
    "Noted",
    "ProgramRecord",
    "Reservation",
]
