"""Requests for rate tokens between nodes, and their grants."""

from collections.abc import Callable

from fireflyspread.exceptions import PeerError
from fireflyspread.limits import (
    ASK_TIMEOUT,
    Demand,
    ShareLimiter,
    TokenGrant,
    TokenPeers,
)
from fireflyspread.nodes._messages import AcquireTokens, Message, TokensGranted
from fireflyspread.nodes._peers import PeerClient, PeerServer
from fireflyspread.recovery import Member, NodeAddress

__all__ = ["NodeTokenPeers", "register_token_handler"]


class NodeTokenPeers(TokenPeers):
    """Requests tokens from the home nodes of a team by messages.

    Parameters
    ----------
    node, incarnation : str
        Name and incarnation of this node.
    find_member : callable
        Returns the member with a name, or None if it has left.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        node: str,
        incarnation: str,
        find_member: Callable[[str], Member | NodeAddress | None],
    ) -> None:
        self._client = client
        self._node = node
        self._incarnation = incarnation
        self._find_member = find_member

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
        found = self._find_member(member)
        if found is None:
            raise PeerError(f"{member} is no longer a member; ask another home node")
        request = AcquireTokens(
            node=self._node,
            incarnation=self._incarnation,
            team=team,
            amount=amount,
            epoch=epoch,
            patience=patience,
            requests=0.0 if demand is None else demand.requests,
            seconds=0.0 if demand is None else demand.seconds,
        )
        answer = await self._client.ask(found.peers, request, timeout=ASK_TIMEOUT)
        if not isinstance(answer, TokensGranted):
            raise PeerError(
                f"{member} answered AcquireTokens with {type(answer).__name__}"
            )
        return TokenGrant(answer.amount, answer.retry_after, answer.delay)


def register_token_handler(
    server: PeerServer, limiter: ShareLimiter, *, node: str, incarnation: str
) -> None:
    """Answer token requests of other nodes from the share of this node."""

    async def answer(message: AcquireTokens) -> Message:
        demand = None
        if message.requests > 0.0:
            demand = Demand(requests=message.requests, seconds=message.seconds)
        grant = limiter.grant(
            message.team,
            message.amount,
            message.epoch,
            asker=message.incarnation,
            patience=message.patience,
            demand=demand,
        )
        return TokensGranted(
            node=node,
            incarnation=incarnation,
            amount=grant.amount,
            retry_after=grant.retry_after,
            delay=grant.delay,
        )

    server.register(AcquireTokens, answer)
