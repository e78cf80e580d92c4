"""The rate limiter as its users see it."""

import abc

from fireflyspread.bundle import Team

__all__ = ["RateLimiter"]


class RateLimiter(abc.ABC):
    """Decides whether a team may run one more request now."""

    @abc.abstractmethod
    async def acquire(self, team: Team, amount: float = 1.0) -> None:
        """Take ``amount`` tokens of the team's rate.

        Raises
        ------
        RateLimitedError
            The team has no tokens left; ``retry_after`` tells when it will.
        """
