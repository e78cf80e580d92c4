"""Rate limiters of a gateway node: of teams, and of replicas that name a limit."""

import random
from collections.abc import Callable
from typing import Any

from fireflyspread.clock import Clock
from fireflyspread.gateway._rates import RateMembership
from fireflyspread.limits import ReplicaLimiter, ShareLimiter
from fireflyspread.nodes import (
    LimitExchange,
    NodeTokenPeers,
    PeerClient,
    PeerServer,
    register_token_handler,
)
from fireflyspread.recovery import LEASE_SECONDS, Roster

__all__ = ["NodeLimiters"]

# Seconds after which changed limits of a team are active on all nodes.
_LIMITS_DELAY = 2.0
# Tokens of a team's burst per home node. With fewer homes, each knows more precisely
# how much of the rate is left; with only two, the loss of one takes half of the rate.
_BURST_FOR_EACH_HOME = 20.0


class NodeLimiters:
    """The limiters of a node and the messages between nodes about them.

    Attributes
    ----------
    teams : ShareLimiter
        Splits the rates of teams over the nodes.
    replicas : ReplicaLimiter
        Gives permits for requests to replicas.
    """

    def __init__(
        self,
        client: PeerClient,
        server: PeerServer,
        roster: Roster,
        *,
        node: str,
        incarnation: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        def make_peers(
            find_limit: Callable[[str], float] | None = None,
        ) -> NodeTokenPeers:
            return NodeTokenPeers(
                client,
                node=node,
                incarnation=incarnation,
                find_member=roster.find,
                find_limit=find_limit,
            )

        self.teams = ShareLimiter(
            node,
            make_peers(),
            clock=clock,
            rng=rng,
            check_authority=roster.check_authority,
            authority_ttl=LEASE_SECONDS,
            limits_delay=_LIMITS_DELAY,
            new_teams_start_full=True,
            burst_for_each_home=_BURST_FOR_EACH_HOME,
        )
        self.replicas = ReplicaLimiter(
            node,
            make_peers(lambda name: self.replicas.find_limit(name)),
            clock=clock,
            rng=rng,
        )
        register_token_handler(
            server, self.teams, self.replicas, node=node, incarnation=incarnation
        )
        self._exchange = LimitExchange(
            client,
            self.replicas.limits,
            node=node,
            list_members=roster.list_peers,
            rng=rng,
        )
        self._exchange.register(server)

    def apply(
        self,
        names: frozenset[str],
        membership: RateMembership,
        *,
        is_returning: bool,
    ) -> None:
        """Apply the names of all members; see ``RateMembership.apply``."""
        membership.apply(names, (self.teams, self.replicas), is_returning=is_returning)

    async def run(self) -> None:
        """Exchange limits of replicas with other nodes until cancelled."""
        await self._exchange.run()

    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
        return {"rates": self.teams.dump(), "replica_limits": self.replicas.dump()}

    async def close(self) -> None:
        """Refuse the requests that wait for tokens or permits."""
        await self.teams.close()
        await self.replicas.close()
