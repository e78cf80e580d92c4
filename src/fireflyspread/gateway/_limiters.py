"""Rate limiters of a gateway node: of teams, and of replicas that name a limit."""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.exceptions import NoAuthorityError
from fireflyspread.gateway._rates import RateMembership
from fireflyspread.limits import (
    ColdReplicas,
    PermitLimiter,
    ReplicaLimiter,
    ShareLimiter,
    make_cold_rules,
)
from fireflyspread.nodes import (
    ColdExchange,
    LimitExchange,
    NodeTokenPeers,
    PeerClient,
    PeerServer,
    register_token_handler,
)
from fireflyspread.recovery import LEASE_SECONDS, Roster
from fireflyspread.routing import ReplicaRecord, identify_process, make_replica

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
        Gives permits for requests to replicas that name a limit.
    cold : PermitLimiter
        Gives permits for requests to cold replicas.

    Parameters
    ----------
    is_outage : callable
        Returns whether the store is unavailable to most nodes, so that no member can
        have been removed.
    cold_overshoot, cold_slack : float
        See ``make_cold_rules``.
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
        is_outage: Callable[[], bool],
        cold_overshoot: float,
        cold_slack: float,
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
        self._clock = clock
        self._roster = roster
        self._is_outage = is_outage
        self.cold: PermitLimiter[ColdReplicas] = PermitLimiter(
            node,
            make_peers(lambda name: self.cold.find_limit(name)),
            limits=ColdReplicas(clock),
            rules=make_cold_rules(overshoot=cold_overshoot, slack=cold_slack),
            clock=clock,
            rng=rng,
            # Another node may use this node's part once it is removed as a member.
            check_authority=self._check_authority,
            authority_ttl=LEASE_SECONDS,
        )
        register_token_handler(
            server,
            self.teams,
            self.replicas,
            node=node,
            incarnation=incarnation,
            cold_limiter=self.cold,
        )
        self._cold_exchange = ColdExchange(
            client,
            self.cold.limits,
            node=node,
            list_members=roster.list_peers,
            rng=rng,
        )
        self._cold_exchange.register(server)
        self._exchange = LimitExchange(
            client,
            self.replicas.limits,
            node=node,
            list_members=roster.list_peers,
            rng=rng,
        )
        self._exchange.register(server)

    def record_registration(self, record: ReplicaRecord, is_change: bool) -> None:
        """Record how long a registered replica stays cold.

        Parameters
        ----------
        is_change : bool
            Whether the registration is new; a complete list may be old.
        """
        age: float | None = None
        if is_change:
            age = 0.0
        elif record.born:
            age = self._clock.read_wall() - record.born / 1000
        self.cold.limits.record_registration(
            identify_process(make_replica(record)),
            record.service,
            remaining=record.cold_remaining,
            age=age,
            revision=record.revision,
        )

    def record_cold_response(self, replica: Replica, remaining: float) -> None:
        """Record for how many seconds a replica says that it stays cold."""
        self.cold.limits.record_response(identify_process(replica), remaining)

    def _check_authority(self) -> None:
        try:
            self._roster.check_authority()
        except NoAuthorityError:
            if not self._is_outage():
                raise

    def apply(
        self,
        names: frozenset[str],
        membership: RateMembership,
        *,
        sharing: frozenset[str],
    ) -> None:
        """Apply the names of all members; see ``RateMembership.apply``."""
        membership.apply(names, (self.teams, self.replicas, self.cold), sharing=sharing)

    async def run(self) -> None:
        """Exchange limits and cold replicas with other nodes until cancelled."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._exchange.run())
            tasks.create_task(self._cold_exchange.run())

    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
        return {
            "rates": self.teams.dump(),
            "replica_limits": self.replicas.dump(),
            "cold": self.cold.dump(),
        }

    async def close(self) -> None:
        """Refuse the requests that wait for tokens or permits."""
        await self.teams.close()
        await self.replicas.close()
        await self.cold.close()
