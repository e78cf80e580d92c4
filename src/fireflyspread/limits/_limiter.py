"""Interface of the rate limiters."""

import abc
from collections.abc import Iterable, Mapping
from typing import Any

from fireflyspread.bundle import Team
from fireflyspread.limits._demand import Demand

__all__ = ["RateLimiter"]


class RateLimiter(abc.ABC):
    """Admits requests within the rate limits of their teams."""

    @abc.abstractmethod
    async def acquire(
        self,
        team: Team,
        amount: float = 1.0,
        *,
        max_wait: float = 0.0,
        demand: Demand | None = None,
    ) -> None:
        """Take ``amount`` tokens of the team.

        Parameters
        ----------
        max_wait : float
            Seconds to wait for tokens; a request that would wait longer is refused
            at once.
        demand : Demand or None
            Demand of the program that begins with this request. The program is
            admitted only if the team's rate also covers its other requests.

        Raises
        ------
        RateLimitedError
            The team has too few tokens; ``retry_after`` is the time until it
            has enough.
        NoAuthorityError
            The node has no authority and must not admit requests.
        """

    @abc.abstractmethod
    def set_members(self, epoch: int, names: Iterable[str]) -> None:
        """Set the members of an epoch; older epochs are ignored."""

    @abc.abstractmethod
    def set_teams(self, teams: Mapping[str, Team]) -> None:
        """Set the teams of the bundle in force, by name."""

    @abc.abstractmethod
    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
