"""Way to the other home nodes of a team."""

import abc

from attrs import frozen

from fireflyspread.limits._demand import Demand

__all__ = ["TokenGrant", "TokenPeers"]


@frozen
class TokenGrant:
    """Answer of a home node.

    Attributes
    ----------
    amount : float
        Tokens taken from the share of the home node.
    retry_after : float
        Seconds after which it has a whole token again; 0 when it granted everything.
    delay : float
        Seconds after which the tokens may be used.
    """

    amount: float
    retry_after: float = 0.0
    delay: float = 0.0


class TokenPeers(abc.ABC):
    """Way to the home nodes of a team."""

    @abc.abstractmethod
    async def acquire(
        self,
        member: str,
        team: str,
        amount: float,
        epoch: int,
        *,
        patience: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant:
        """Ask ``member`` for tokens of ``team``.

        Parameters
        ----------
        patience, demand
            See ``RateLimiter.acquire``.

        Raises
        ------
        PeerError
            The member did not answer in time or may not grant anything.
        """
