"""Requests for tokens between the home nodes of a team."""

import abc

from attrs import frozen

from fireflyspread.limits._demand import Demand

__all__ = ["TokenGrant", "TokenPeers"]


@frozen
class TokenGrant:
    """Tokens granted by a home node.

    Attributes
    ----------
    amount : float
        Tokens taken from the share of the home node.
    retry_after : float
        Seconds after which the home node has a whole token again; 0 if it granted the
        full amount.
    delay : float
        Seconds after which the tokens may be used.
    """

    amount: float
    retry_after: float = 0.0
    delay: float = 0.0


class TokenPeers(abc.ABC):
    """Requests tokens from other home nodes of a team."""

    @abc.abstractmethod
    async def acquire(
        self,
        member: str,
        team: str,
        amount: float,
        epoch: int,
        *,
        max_wait: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant:
        """Request tokens of ``team`` from the home node ``member``.

        Parameters
        ----------
        max_wait, demand
            See ``RateLimiter.acquire``.

        Raises
        ------
        PeerError
            The member did not answer in time or has no authority to grant tokens.
        """
