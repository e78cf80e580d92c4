"""Answers of a node that is asked for tokens, as another node gets them."""

from fireflyspread.budgets import BudgetAccounts
from fireflyspread.exceptions import OverloadedError, PeerError

__all__ = ["answer_hand_over"]


def answer_hand_over(
    accounts: BudgetAccounts,
    program: str,
    amount: int,
    drawn: dict[str, int],
    request: str,
) -> int:
    """Return the tokens handed over; a refusal is a ``PeerError`` to the other node."""
    try:
        return accounts.hand_over(program, amount, drawn, request)
    except OverloadedError as exc:
        raise PeerError(exc.message) from exc
