"""The rate limiter as its users see it."""

import abc
from collections.abc import Iterable, Mapping
from typing import Any

from fireflyspread.bundle import Team
from fireflyspread.limits._demand import Demand

__all__ = ["RateLimiter"]


class RateLimiter(abc.ABC):
    """Decides whether a team may run one more request now."""

    @abc.abstractmethod
    async def acquire(
        self,
        team: Team,
        amount: float = 1.0,
        *,
        patience: float = 0.0,
        demand: Demand | None = None,
    ) -> None:
        """Take ``amount`` tokens of the team's rate.

        Parameters
        ----------
        patience : float
            Seconds to wait for tokens; a request that would wait longer is refused
            at once.
        demand : Demand or None
            Of a program that begins with this request. It begins only if the rate
            will also hold its other requests.

        Raises
        ------
        RateLimitedError
            The team has no tokens left; ``retry_after`` tells when it will.
        NoAuthorityError
            The node may not admit anything now.
        """

    @abc.abstractmethod
    def set_members(self, epoch: int, names: Iterable[str]) -> None:
        """Take note of the members of an epoch; older epochs are ignored."""

    @abc.abstractmethod
    def set_teams(self, teams: Mapping[str, Team]) -> None:
        """Take note of the teams of the bundle in force, by name."""

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
