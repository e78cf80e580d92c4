"""What is noted on disks of programs' budgets, outside the store."""

import abc

from attrs import frozen

__all__ = ["BudgetNotes", "Noted"]


@frozen
class Noted:
    """What the disks tell of one program.

    Attributes
    ----------
    lent : int
        Tokens that other nodes have lent to the program and not drawn since.
    drawn : int
        Tokens that nodes had drawn from the store, as other nodes have noted.
    """

    lent: int
    drawn: int


class BudgetNotes(abc.ABC):
    """Disks that several nodes write to and that outlast them."""

    @abc.abstractmethod
    def find_lost(self, program: str) -> int:
        """Return the tokens that lost nodes have lent to a program."""

    @abc.abstractmethod
    async def note_loan(self, program: str, tokens: int) -> Noted | None:
        """Note a loan, or with negative ``tokens`` that it was drawn from the store.

        Returns None if the note is not on enough disks.
        """

    @abc.abstractmethod
    async def note_draw(self, program: str, drawn: int) -> Noted:
        """Note the tokens that all nodes have drawn from the store for a program.

        Best effort: it matters only around outages of the store. What is not noted is
        logged.
        """
