"""Requests for rate tokens between nodes, and their grants."""

from collections.abc import Callable
from typing import Any

from fireflyspread.exceptions import PeerError
from fireflyspread.limits import (
    COLD_PREFIX,
    GRANT_TIMEOUT,
    Demand,
    PermitLimiter,
    ReplicaLimiter,
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
    find_limit : callable or None
        Returns the limit of a replica by its share name, if permits of replicas are
        requested.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        node: str,
        incarnation: str,
        find_member: Callable[[str], Member | NodeAddress | None],
        find_limit: Callable[[str], float] | None = None,
    ) -> None:
        self._client = client
        self._node = node
        self._incarnation = incarnation
        self._find_member = find_member
        self._find_limit = find_limit

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
        found = self._find_member(member)
        if found is None:
            raise PeerError(f"{member} is no longer a member; ask another home node")
        request = AcquireTokens(
            node=self._node,
            incarnation=self._incarnation,
            team=team,
            amount=amount,
            epoch=epoch,
            patience=max_wait,
            requests=0.0 if demand is None else demand.requests,
            seconds=0.0 if demand is None else demand.seconds,
            limit=0.0 if self._find_limit is None else self._find_limit(team),
        )
        answer = await self._client.ask(found.peers, request, timeout=GRANT_TIMEOUT)
        if not isinstance(answer, TokensGranted):
            raise PeerError(
                f"{member} answered AcquireTokens with {type(answer).__name__}"
            )
        return TokenGrant(answer.amount, answer.retry_after, answer.delay)


def register_token_handler(
    server: PeerServer,
    limiter: ShareLimiter,
    replica_limiter: ReplicaLimiter,
    *,
    node: str,
    incarnation: str,
    cold_limiter: PermitLimiter[Any] | None = None,
) -> None:
    """Answer token requests of other nodes from the shares of this node."""

    def find_limiter(name: str) -> PermitLimiter[Any]:
        if cold_limiter is not None and name.startswith(COLD_PREFIX):
            return cold_limiter
        return replica_limiter

    async def answer(message: AcquireTokens) -> Message:
        if message.limit > 0.0:
            grant = find_limiter(message.team).grant(
                message.team,
                message.limit,
                message.amount,
                message.epoch,
                requester=message.incarnation,
                max_wait=message.patience,
            )
        else:
            grant = _grant_to_team(limiter, message)
        return TokensGranted(
            node=node,
            incarnation=incarnation,
            amount=grant.amount,
            retry_after=grant.retry_after,
            delay=grant.delay,
        )

    server.register(AcquireTokens, answer)


def _grant_to_team(limiter: ShareLimiter, message: AcquireTokens) -> TokenGrant:
    demand = None
    if message.requests > 0.0:
        demand = Demand(requests=message.requests, seconds=message.seconds)
    return limiter.grant(
        message.team,
        message.amount,
        message.epoch,
        requester=message.incarnation,
        max_wait=message.patience,
        demand=demand,
    )
