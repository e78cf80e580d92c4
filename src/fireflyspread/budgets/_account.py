"""What one node holds of a program's budget."""

import asyncio

import msgspec
from attrs import define, field

__all__ = ["Account", "ProgramRecord"]


class ProgramRecord(msgspec.Struct, frozen=True, kw_only=True):
    """What was drawn from a program's budget, as the store keeps it.

    Attributes
    ----------
    drawn : dict of str to int
        Tokens by the name of the node that drew them. They count as spent until
        that node gives them back.
    write : str
        Unique to one write, so that a lost answer can be resolved.
    """

    budget: int
    drawn: dict[str, int]
    write: str

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

    @property
    def drawn(self) -> int:
        """Tokens that nodes have drawn from the store, as far as this one knows."""
        return 0 if self.record is None else self.record.budget - self.record.left

    @property
    def left(self) -> int:
        """Tokens that the store would still give, as far as this node knows."""
        undrawn = self.budget if self.record is None else self.record.left
        return max(0, undrawn - self.debt - self.others)
