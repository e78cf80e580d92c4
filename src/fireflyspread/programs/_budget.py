"""The token budget of one program."""

from attrs import define, field

from fireflyspread.exceptions import BudgetExceededError

__all__ = ["Budget"]


@define(kw_only=True)
class Budget:
    """Tokens a program may use, has used, and has promised.

    Attributes
    ----------
    limit : int
        Tokens in all.
    spent : int
        Tokens settled.
    drawn : int
        Tokens handed to sub-agents that are still running, or used by ended ones.
    reserved : int
        Tokens that the journal already counts as spent should this node fail.
    running : int
        Worst case of the running turn.
    """

    limit: int
    spent: int = 0
    drawn: int = 0
    reserved: int = 0
    running: int = field(default=0)

    @property
    def remaining(self) -> int:
        """Tokens that are neither spent nor promised."""
        return self.limit - self.spent - self.drawn - self.running

    def fit_answer(self, prompt: int, wanted: int) -> int:
        """Return how many answer tokens fit beside a prompt of ``prompt`` tokens.

        Raises
        ------
        BudgetExceededError
            Not even one answer token fits.
        """
        room = self.remaining - prompt
        if room < 1:
            raise BudgetExceededError(
                f"{self.remaining} of {self.limit} tokens remain and the call needs "
                f"up to {prompt + 1}; end the program or open one with a larger budget"
            )
        return min(wanted, room)

    def start(self, worst: int) -> bool:
        """Promise ``worst`` tokens to a turn.

        Returns
        -------
        bool
            Whether the journal's reservation covers it already.
        """
        self.require(worst)
        self.running = worst
        return worst <= self.reserved

    def require(self, amount: int) -> None:
        """Raise ``BudgetExceededError`` unless ``amount`` tokens remain."""
        if amount > self.remaining:
            raise BudgetExceededError(
                f"{self.remaining} of {self.limit} tokens remain and {amount} are "
                "needed; ask for less or open a program with a larger budget"
            )

    def settle(self, spent: int) -> None:
        """Replace the promise of the running turn by what it used."""
        self.running = 0
        self.spent += spent

    def plan_reservation(self, wanted: int) -> int:
        """Return the part of ``wanted`` that the next turn may have reserved."""
        return max(0, min(wanted, self.remaining))

    def charge_reservation(self) -> None:
        """Count the open reservation as spent, after a change of owner."""
        self.spent += self.reserved
        self.reserved = 0
