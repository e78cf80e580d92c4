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
        Tokens that other nodes have lent to the program.
    drawn : int
        Tokens that nodes had drawn from the store, as far as was noted.
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
        """Note a loan; returns None if it is not on enough disks."""

    @abc.abstractmethod
    async def note_draw(self, program: str, drawn: int) -> None:
        """Note the tokens that all nodes have drawn from the store for a program.

        Best effort: it matters only if the node that draws is lost and the store is
        away afterwards. What is not noted is logged.
        """
