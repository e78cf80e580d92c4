"""What one node holds of a program's budget."""

import asyncio

import msgspec
from attrs import define, field

__all__ = ["LOST", "Account", "ProgramRecord", "find_node", "make_drawer"]

# Drawer of what lost nodes may have lent.
LOST = "lost"
_SEPARATOR = "/"


class ProgramRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What was drawn from a program's budget, as the store keeps it.

    Attributes
    ----------
    drawn : dict of str to int
        Tokens by the process that drew them, as ``make_drawer`` names it. They count
        as spent until that process gives them back.
    """

    budget: int
    drawn: dict[str, int]

    @property
    def left(self) -> int:
        """Tokens that no node has drawn."""
        return max(0, self.budget - sum(self.drawn.values()))


@define(eq=False, kw_only=True)
class Account:
    """Tokens of one program that this node may hand out.

    Attributes
    ----------
    held : int
        Tokens drawn and neither handed out nor set aside for a running turn.
    mine : int
        Tokens that this process has drawn from the store, as far as it knows.
    debt : int
        Tokens held or handed out that the store does not know of yet.
    others : int
        Tokens that other nodes have lent since the store went away.
    record : ProgramRecord or None
        The store's record as last seen at ``revision``.
    used_at : float
        Monotonic seconds.
    """

    program: str
    budget: int
    held: int = 0
    mine: int = 0
    debt: int = 0
    others: int = 0
    record: ProgramRecord | None = None
    revision: int = 0
    used_at: float = 0.0
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    def reserve(self, amount: int) -> bool:
        """Set ``amount`` aside for a turn if that much is held."""
        if self.held < amount:
            return False
        self.held -= amount
        return True

    def credit(self, drawn: int) -> None:
        """Take note that the store has ``drawn`` tokens under this process's name.

        Draws whose answer was lost show up here; they pay what was lent first.
        """
        surplus = max(0, drawn - self.mine)
        paid = min(self.debt, surplus)
        self.mine += surplus
        self.debt -= paid
        self.held += surplus - paid

    def withhold(self, lent: int) -> int:
        """Set aside what other nodes have lent and not yet drawn; return how much."""
        excess = self.drawn + self.debt + lent - self.budget
        withheld = max(0, min(self.held, excess))
        self.held -= withheld
        return withheld

    @property
    def drawn(self) -> int:
        """Tokens that nodes have drawn from the store, as far as this one knows."""
        return 0 if self.record is None else self.record.budget - self.record.left

    @property
    def left(self) -> int:
        """Tokens that the store would still give, as far as this node knows."""
        undrawn = self.budget if self.record is None else self.record.left
        return max(0, undrawn - self.debt - self.others)


def make_drawer(node: str, incarnation: str) -> str:
    """Return the name under which one process draws."""
    return f"{node}{_SEPARATOR}{incarnation}"


def find_node(drawer: str) -> str | None:
    """Return the node of a drawer; None if no process can be asked for its tokens."""
    node, separator, _ = drawer.rpartition(_SEPARATOR)
    return node if separator else None
