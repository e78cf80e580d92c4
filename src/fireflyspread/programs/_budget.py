"""Token budget of one program."""

from attrs import define, field

from fireflyspread.exceptions import BudgetExceededError

__all__ = ["Budget"]


@define(kw_only=True)
class Budget:
    """Tokens that a program may use, has used, and has set aside.

    Attributes
    ----------
    limit : int
        Total budget.
    spent : int
        Tokens charged for ended turns.
    drawn : int
        Budgets of running sub-agents and tokens used by ended ones.
    reserved : int
        Reservation in the journal; counts as spent if this node fails.
    in_flight : int
        Maximum that the running turn may use.
    """

    limit: int
    spent: int = 0
    drawn: int = 0
    reserved: int = 0
    in_flight: int = field(default=0)

    @property
    def remaining(self) -> int:
        """Tokens that are neither spent, drawn nor in flight."""
        return self.limit - self.spent - self.drawn - self.in_flight

    def fit_answer(self, prompt: int, requested: int) -> int:
        """Return ``requested`` answer tokens, limited to those left by the prompt.

        Parameters
        ----------
        prompt : int
            Upper bound of the prompt's tokens.
        requested : int
            Maximum answer tokens that the caller asks for.

        Raises
        ------
        BudgetExceededError
            Less than one token remains for the answer.
        """
        available = self.remaining - prompt
        if available < 1:
            raise BudgetExceededError(
                f"{self.remaining} of {self.limit} tokens remain and the call needs "
                f"up to {prompt + 1}; end the program or open one with a larger budget"
            )
        return min(requested, available)

    def start(self, max_spent: int) -> bool:
        """Set ``max_spent`` tokens aside for a turn.

        Returns
        -------
        bool
            Whether the reservation in the journal covers them already.

        Raises
        ------
        BudgetExceededError
            Fewer tokens remain.
        """
        self.require(max_spent)
        self.in_flight = max_spent
        return max_spent <= self.reserved

    def require(self, amount: int) -> None:
        """Raise ``BudgetExceededError`` unless ``amount`` tokens remain."""
        if amount > self.remaining:
            raise BudgetExceededError(
                f"{self.remaining} of {self.limit} tokens remain and {amount} are "
                "needed; ask for less or open a program with a larger budget"
            )

    def settle(self, spent: int) -> None:
        """End the running turn and charge the tokens it used."""
        self.in_flight = 0
        self.spent += spent

    def limit_reservation(self, requested: int) -> int:
        """Return ``requested`` tokens, limited to those that remain."""
        return max(0, min(requested, self.remaining))

    def charge_reservation(self) -> None:
        """Charge the open reservation as spent, after a change of owner."""
        self.spent += self.reserved
        self.reserved = 0
