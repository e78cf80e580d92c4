"""Keeps the requests of all nodes to a replica within the limit that it names."""

import random
from collections.abc import Iterable
from typing import Any

import xxhash

from fireflyspread.bundle import Team
from fireflyspread.clock import Clock
from fireflyspread.exceptions import RateLimitedError
from fireflyspread.limits._replica_limits import ReplicaLimits
from fireflyspread.limits._shares import GRANT_TIMEOUT, ShareLimiter
from fireflyspread.limits._token_peers import TokenGrant, TokenPeers

__all__ = ["ReplicaLimiter", "make_share_name"]

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


class ReplicaLimiter:
    """Gives permits for requests to replicas that name a limit.

    The limit is split over home nodes by the mechanism that splits the rates of teams.
    Other nodes, and homes whose part is used up, ask them for permits, also while the
    store is unavailable. A node that reaches no home sends nothing to the replica.

    Parameters
    ----------
    node : str
        Name of this node.
    peers : TokenPeers
        Requests permits from the other nodes.
    rng : random.Random
        Spreads the attempts of the nodes over time.

    Attributes
    ----------
    limits : ReplicaLimits
        The limits as far as this node knows them.
    """

    def __init__(
        self, node: str, peers: TokenPeers, *, clock: Clock, rng: random.Random
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._shares = ShareLimiter(
            node,
            peers,
            clock=clock,
            rng=rng,
            # Members that are out of date on some nodes cost accuracy, a node without
            # permits would cost the whole replica.
            check_authority=lambda: None,
            limits_delay=_PROPAGATION_SECONDS,
            new_teams_start_full=True,
            burst_for_each_home=_BURST_FOR_EACH_HOME,
            max_homes=_MAX_HOMES,
        )
        self._node_count = 1
        # Requests per second by share name: of all known limits, and of those that
        # other nodes named before this node learned of them, with their expiry.
        self._rates: dict[str, float] = {}
        self._requested: dict[str, tuple[float, float]] = {}
        self._paused_until: dict[str, float] = {}
        # Replicas for which a request is about to take a permit.
        self._pending: set[str] = set()
        self.limits = ReplicaLimits(clock)
        self.limits.add_listener(self._apply_limits)

    def _apply_limits(self) -> None:
        rates = self.limits.list_rates()
        now = self._clock.read_monotonic()
        self._requested = {
            name: (rate, until)
            for name, (rate, until) in self._requested.items()
            if until > now
        }
        self._rates = {name: rate for name, (rate, _) in self._requested.items()}
        self._rates |= {make_share_name(process): r for process, r in rates.items()}
        self._paused_until = {
            process: until
            for process, until in self._paused_until.items()
            if process in rates
        }
        self._shares.set_teams(
            {name: _make_share(name, rate) for name, rate in self._rates.items()}
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
        if make_share_name(process) in self._rates:
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
        name = make_share_name(process)
        rate = self._rates.get(name)
        if rate is None:
            self._pending.discard(process)
            return
        try:
            await self._shares.acquire(_make_share(name, rate), max_wait=max_wait)
        except RateLimitedError as exc:
            attempts = _ATTEMPTS_FOR_EACH_REQUEST * max(_MIN_RATE, rate)
            pause = min(_MAX_PAUSE, self._node_count / attempts)
            pause = max(exc.retry_after or 0.0, pause * self._rng.uniform(0.5, 1.0))
            self._paused_until[process] = self._clock.read_monotonic() + pause
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


def make_share_name(process: str) -> str:
    """Return the name of a replica process among the shares."""
    return xxhash.xxh3_128_hexdigest(process.encode())


def _make_share(name: str, rate: float) -> Team:
    return Team(
        name=name,
        rate=max(_MIN_RATE, rate),
        burst=_BASE_BURST + rate * _BURST_SECONDS,
    )
