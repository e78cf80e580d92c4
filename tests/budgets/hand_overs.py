"""Answers of a node that is asked for tokens, as another node gets them."""

from fireflyspread.budgets import BudgetAccounts, HandOver
from fireflyspread.exceptions import OverloadedError, PeerError

__all__ = ["answer_hand_over"]


def answer_hand_over(
    accounts: BudgetAccounts,
    program: str,
    amount: int,
    drawn: dict[str, int],
    request: str,
) -> HandOver:
    """Return the answer; a refusal is a ``PeerError`` to the other node."""
    try:
        tokens = accounts.hand_over(program, amount, drawn, request)
        return HandOver(tokens, accounts.list_recipients(program))
    except OverloadedError as exc:
        raise PeerError(exc.message) from exc
