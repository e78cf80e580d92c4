"""Log of loans and draws of programs' budgets, outside the store."""

import abc

from attrs import frozen

__all__ = ["LoanLog", "LoanTotals"]


@frozen
class LoanTotals:
    """Totals of one program in the loan log.

    Attributes
    ----------
    lent : int
        Tokens that other nodes have lent to the program and not drawn since.
    drawn : int
        Tokens that all nodes had drawn from the store, as logged by other nodes.
    is_complete : bool
        Whether a majority of the loan servers has the entry, so that it and the entries
        of other nodes have one server in common.
    """

    lent: int
    drawn: int
    is_complete: bool = True


class LoanLog(abc.ABC):
    """Log on several loan servers that survives the loss of the nodes that append."""

    @property
    def is_complete(self) -> bool:
        """Whether all loans of lost nodes are known."""
        return True

    async def wait_complete(self) -> None:
        """Wait until all loans of lost nodes are known."""
        return

    @abc.abstractmethod
    def get_lost_loans(self, program: str) -> dict[str, int]:
        """Return the tokens that lost nodes have lent to a program, by lender."""

    def list_lost_programs(self) -> dict[str, int]:
        """Return the budgets of the programs to which lost nodes have lent."""
        return {}

    @abc.abstractmethod
    async def append_loan(
        self, program: str, tokens: int, *, budget: int = 0
    ) -> LoanTotals | None:
        """Append a loan; negative ``tokens`` mean that it was drawn from the store.

        Returns None if the entry is not on enough disks.

        Parameters
        ----------
        budget : int
            Budget of the program, for a loan.
        """

    @abc.abstractmethod
    async def append_draw(
        self, program: str, drawn: int, *, must_confirm: bool = False
    ) -> LoanTotals:
        """Append the tokens that all nodes have drawn from the store for a program.

        Best effort, because the entry matters only around outages of the store;
        ``is_complete`` tells whether it is on enough disks. With ``must_confirm``, slow
        loan servers are asked as well and waited for.
        """
