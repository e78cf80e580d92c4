"""Keeps the requests of all nodes to a replica within the limit that it names."""

import random
from collections.abc import Callable, Iterable
from typing import Any, Generic, TypeVar

import xxhash

from fireflyspread.bundle import Team
from fireflyspread.clock import Clock
from fireflyspread.exceptions import NoAuthorityError, RateLimitedError
from fireflyspread.limits._permit_rules import KnownRates, PermitRules
from fireflyspread.limits._replica_limits import ReplicaLimits
from fireflyspread.limits._shares import GRANT_TIMEOUT, ShareLimiter
from fireflyspread.limits._token_peers import TokenGrant, TokenPeers

__all__ = ["PermitLimiter", "ReplicaLimiter", "make_share_name"]

K = TypeVar("K", bound=KnownRates)

# Lowest rate (requests per second) at which a replica is used, because only its answers
# tell that a limit has ended.
_MIN_RATE = 0.25
# Requests that may be sent at once, and seconds of the limit that may in addition. With
# less, homes lose permits between two attempts; with more, the nodes may send over one
# and a half times the limit within 4 s.
_BASE_BURST = 3.0
_BURST_SECONDS = 0.75
# Home nodes of a replica: with several, the loss of one leaves most of the limit.
_MAX_HOMES = 4
_BURST_FOR_EACH_HOME = 1.0
# Seconds after which all nodes that can be reached know a limit.
_PROPAGATION_SECONDS = 1.0
# Maximum seconds before a replica whose limit is used up is tried again.
_MAX_PAUSE = 1.0
# Attempts of all nodes together for each request that the limit allows.
_ATTEMPTS_FOR_EACH_REQUEST = 8.0


class PermitLimiter(Generic[K]):
    """Gives permits for requests to replicas that take only some per second.

    The limit is split over home nodes by the mechanism that splits the rates of teams.
    Other nodes, and homes whose part is used up, ask them for permits, also while the
    store is unavailable. A node that reaches no home sends nothing to the replica.

    Parameters
    ----------
    node : str
        Name of this node.
    peers : TokenPeers
        Requests permits from the other nodes.
    limits : KnownRates
        The limits as far as this node knows them.
    rules : PermitRules
        How permits follow from a limit.
    check_authority : callable
        Raises ``NoAuthorityError`` when this node must not use its part any more.
    authority_ttl : float
        Seconds for which a node may use its part after its authority was renewed.
    rng : random.Random
        Spreads the attempts of the nodes over time.

    Attributes
    ----------
    limits : KnownRates
        The limits as far as this node knows them.
    """

    def __init__(
        self,
        node: str,
        peers: TokenPeers,
        *,
        limits: K,
        rules: PermitRules,
        clock: Clock,
        rng: random.Random,
        check_authority: Callable[[], None],
        authority_ttl: float = 2.0,
    ) -> None:
        self._rules = rules
        self._clock = clock
        self._rng = rng
        self._shares = ShareLimiter(
            node,
            peers,
            clock=clock,
            rng=rng,
            check_authority=check_authority,
            authority_ttl=authority_ttl,
            limits_delay=rules.limits_delay,
            new_teams_start_full=rules.starts_full,
            burst_for_each_home=rules.burst_for_each_home,
            max_homes=rules.max_homes,
            new_homes_start_empty=not rules.starts_full,
        )
        self._node_count = 1
        # Requests per second by share name: of all known limits, and of those that
        # other nodes named before this node learned of them, with their expiry.
        self._rates: dict[str, float] = {}
        self._requested: dict[str, tuple[float, float]] = {}
        self._paused_until: dict[str, float] = {}
        # Replicas for which a request is about to take a permit.
        self._pending: set[str] = set()
        self.limits = limits
        self.limits.add_listener(self._apply_limits)

    def _make_name(self, process: str) -> str:
        return self._rules.prefix + make_share_name(process)

    def _make_share(self, name: str, rate: float) -> Team:
        return self._rules.make_share(name, rate)

    def _apply_limits(self) -> None:
        rates = self.limits.list_rates()
        now = self._clock.read_monotonic()
        self._requested = {
            name: (rate, until)
            for name, (rate, until) in self._requested.items()
            if until > now
        }
        self._rates = {name: rate for name, (rate, _) in self._requested.items()}
        self._rates |= {self._make_name(process): r for process, r in rates.items()}
        self._paused_until = {
            process: until
            for process, until in self._paused_until.items()
            if process in rates
        }
        self._shares.set_teams(
            {n: self._make_share(n, rate) for n, rate in self._rates.items()}
        )

    def set_members(self, epoch: int, names: Iterable[str]) -> None:
        """Set the members of an epoch; see ``RateLimiter.set_members``."""
        members = list(names)
        self._node_count = max(1, len(members))
        self._shares.set_members(epoch, members)

    def replace_members(self, names: Iterable[str], *, since: float) -> None:
        """Replace the members; see ``ShareLimiter.replace_members``."""
        members = list(names)
        self._node_count = max(1, len(members))
        self._shares.replace_members(members, since=since)

    def drop_tokens(self, *, since: float) -> None:
        """Drop all permits; see ``ShareLedger.drop_tokens``."""
        self._shares.drop_tokens(since=since)

    def read_pause(self, process: str) -> float:
        """Return the seconds for which a replica gets nothing; 0 if it may be tried.

        One request at a time asks for a permit, so that a queue does not ask for more
        permits than the replica has.
        """
        if process in self._pending:
            return GRANT_TIMEOUT
        until = self._paused_until.get(process)
        return 0.0 if until is None else max(0.0, until - self._clock.read_monotonic())

    def begin(self, process: str) -> None:
        """Pause a limited replica until ``acquire`` or ``cancel`` is called."""
        if self._make_name(process) in self._rates:
            self._pending.add(process)

    def cancel(self, process: str) -> None:
        """End the pause of a request that takes no permit."""
        self._pending.discard(process)

    def get_fair_rate(self, process: str) -> float:
        """Return this node's part of the requests per second; infinite if unlimited."""
        rate = self.limits.find(process)
        if rate is None:
            return float("inf")
        return max(_MIN_RATE, rate) / self._node_count

    async def acquire(self, process: str, *, max_wait: float = 0.0) -> None:
        """Take a permit for one request.

        Raises
        ------
        RateLimitedError
            The limit is used up. The replica is paused on this node.
        """
        name = self._make_name(process)
        rate = self._rates.get(name)
        if rate is None:
            self._pending.discard(process)
            return
        try:
            share = self._make_share(name, rate)
            await self._shares.acquire(share, max_wait=max_wait)
        except (NoAuthorityError, RateLimitedError) as exc:
            attempts = self._rules.attempts * max(_MIN_RATE, rate)
            pause = min(_MAX_PAUSE, self._node_count / attempts)
            pause = max(exc.retry_after or 0.0, pause * self._rng.uniform(0.5, 1.0))
            self._paused_until[process] = self._clock.read_monotonic() + pause
            if isinstance(exc, NoAuthorityError):
                raise RateLimitedError(
                    f"{exc.message}; no permits for replica {process}",
                    retry_after=pause,
                ) from exc
            raise
        finally:
            self._pending.discard(process)

    def grant(
        self,
        name: str,
        limit: float,
        amount: float,
        epoch: int,
        *,
        requester: str = "",
        max_wait: float = 0.0,
    ) -> TokenGrant:
        """Take permits from this node's part for another node.

        Parameters
        ----------
        name : str
            Share name of the replica.
        limit : float
            Requests per second that the replica takes, as the other node knows it. It
            counts until this node learns of the limit itself.
        epoch, requester, max_wait
            See ``ShareLimiter.grant``.
        """
        if name not in self._rates:
            until = self._clock.read_monotonic() + _PROPAGATION_SECONDS
            self._requested[name] = limit, until
            self._apply_limits()
        return self._shares.grant(
            name, amount, epoch, requester=requester, max_wait=max_wait
        )

    def find_limit(self, name: str) -> float:
        """Return the requests per second of a replica by its share name."""
        return max(_MIN_RATE, self._rates.get(name, 0.0))

    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
        return {"limits": self.limits.list_rates(), "shares": self._shares.dump()}

    async def close(self) -> None:
        """Refuse the requests that wait for permits."""
        await self._shares.close()


class ReplicaLimiter(PermitLimiter[ReplicaLimits]):
    """Gives permits for requests to replicas that name a limit."""

    def __init__(
        self, node: str, peers: TokenPeers, *, clock: Clock, rng: random.Random
    ) -> None:
        super().__init__(
            node,
            peers,
            limits=ReplicaLimits(clock),
            rules=PermitRules(
                make_share=_make_share,
                limits_delay=_PROPAGATION_SECONDS,
                starts_full=True,
                attempts=_ATTEMPTS_FOR_EACH_REQUEST,
                burst_for_each_home=_BURST_FOR_EACH_HOME,
                max_homes=_MAX_HOMES,
            ),
            clock=clock,
            rng=rng,
            # Members that are out of date on some nodes cost accuracy, a node without
            # permits would cost the whole replica.
            check_authority=lambda: None,
        )


def make_share_name(process: str) -> str:
    """Return the name of a replica process among the shares."""
    return xxhash.xxh3_128_hexdigest(process.encode())


def _make_share(name: str, rate: float) -> Team:
    return Team(
        name=name,
        rate=max(_MIN_RATE, rate),
        burst=_BASE_BURST + rate * _BURST_SECONDS,
    )
