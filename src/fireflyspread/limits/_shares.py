"""Rate limiter whose tokens are split over the home nodes of each team."""

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping
from typing import Any

from attrs import define, field

from fireflyspread.bundle import Team
from fireflyspread.clock import Clock
from fireflyspread.exceptions import DrainingError, FireflyError, RateLimitedError
from fireflyspread.limits._bucket import Bucket, HomeEstimate, Waiter
from fireflyspread.limits._demand import Demand
from fireflyspread.limits._ledger import ShareLedger
from fireflyspread.limits._limiter import RateLimiter
from fireflyspread.limits._token_peers import TokenGrant, TokenPeers
from fireflyspread.settings import Settings

__all__ = ["GRANT_TIMEOUT", "ShareLimiter"]

_LOG = logging.getLogger(__name__)

# Maximum seconds from the request for a grant to the use of its tokens; tokens not used
# by then are dropped. The round trip between two members takes a few milliseconds.
GRANT_TIMEOUT = 0.1

# Seconds during which a home node that did not answer is skipped.
_UNREACHABLE_BACKOFF = 1.0

# Seconds during which a home node that had too few tokens is skipped; bounds the
# messages of a team that sends several times its rate.
_EMPTY_BACKOFF = 0.02

# Home nodes that are asked to admit a program, or to let a request wait for tokens to
# accrue.
_MAX_HOMES_FOR_ADMISSION = 2

# Home nodes that are asked for one request, so that it is refused soon.
_MAX_HOMES_PER_REQUEST = 8

# Seconds; used when no home node can forecast when it has tokens.
_DEFAULT_RETRY_AFTER = 1.0


@define
class _GrantedTokens:
    """Unused tokens granted by other home nodes.

    Attributes
    ----------
    grants : list of (float, float)
        Expiry in monotonic seconds and tokens of each grant, oldest first.
    """

    grants: list[tuple[float, float]] = field(factory=list)

    @property
    def total(self) -> float:
        return sum(amount for _, amount in self.grants)

    def drop_expired(self, now: float) -> None:
        self.grants = [grant for grant in self.grants if grant[0] >= now]

    def take(self, amount: float) -> float:
        """Take up to ``amount`` tokens and return how many were taken."""
        missing = amount
        while self.grants and missing > 0.0:
            expires, held = self.grants.pop(0)
            if held > missing:
                self.grants.insert(0, (expires, held - missing))
            missing -= min(held, missing)
        return amount - missing


class ShareLimiter(RateLimiter):
    """Splits the rate and burst of a team over its home nodes.

    A node with too few tokens asks the other home nodes. A home node takes the tokens
    from its bucket before it answers, so that a lost message can lose tokens but never
    create them.

    Parameters
    ----------
    node : str
        Name of this node.
    peers : TokenPeers
        Requests tokens from the other home nodes.
    check_authority : callable
        Raises ``NoAuthorityError`` when the node must not act. A newer epoch or bundle
        that comes with a renewal must be set here before the renewal takes effect.
    rng : random.Random
        Breaks ties between home nodes with the same estimated level.
    authority_ttl : float
        Seconds after which no node acts on a replaced epoch or bundle.
    limits_delay : float or None
        Seconds after which no node acts on replaced limits of a team; None takes
        ``authority_ttl`` plus ``GRANT_TIMEOUT``.
    new_teams_start_full, burst_for_each_home, max_homes, new_homes_start_empty
        See ``ShareLedger``.
    """

    def __init__(
        self,
        node: str,
        peers: TokenPeers,
        *,
        clock: Clock,
        rng: random.Random,
        check_authority: Callable[[], None],
        authority_ttl: float = 2.0,
        limits_delay: float | None = None,
        new_teams_start_full: bool = False,
        burst_for_each_home: float | None = None,
        max_homes: int | None = None,
        new_homes_start_empty: bool = False,
    ) -> None:
        self._node = node
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._check_authority = check_authority
        # Tokens granted before a share shrank can be used for one more timeout.
        members_delay = authority_ttl + GRANT_TIMEOUT
        self._ledger = ShareLedger(
            node,
            authority_ttl=authority_ttl,
            members_delay=members_delay,
            clock=clock,
            limits_delay=limits_delay,
            new_teams_start_full=new_teams_start_full,
            burst_for_each_home=burst_for_each_home,
            max_homes=max_homes,
            new_homes_start_empty=new_homes_start_empty,
        )
        self._unreachable: dict[str, float] = {}

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        peers: TokenPeers,
        *,
        clock: Clock,
        rng: random.Random,
        check_authority: Callable[[], None],
    ) -> "ShareLimiter":
        """Build the limiter of the node that ``settings`` describe."""
        return cls(
            settings.node.name,
            peers,
            clock=clock,
            rng=rng,
            check_authority=check_authority,
            authority_ttl=settings.timing.authority_ttl,
        )

    def set_members(self, epoch: int, names: Iterable[str]) -> None:
        self._ledger.set_members(epoch, names)

    def replace_members(self, names: Iterable[str], *, since: float) -> None:
        """Replace the members without a delay; see ``ShareLedger.replace_members``."""
        self._ledger.replace_members(names, since=since)

    def drop_tokens(self, *, since: float) -> None:
        """Drop all tokens; see ``ShareLedger.drop_tokens``."""
        self._ledger.drop_tokens(since=since)

    def set_teams(self, teams: Mapping[str, Team]) -> None:
        """Set the teams of the bundle in force, by name.

        The sum of the shares can exceed a team's limits for ``authority_ttl`` if the
        team's burst changes twice, so that its number of home nodes changes and changes
        back, and this node misses the version in between.
        """
        self._ledger.set_teams(teams)

    def confirm_authority(self) -> None:
        """Record a renewal of authority; call it after ``set_members``.

        Requests record it too. Without either, an idle node that misses an epoch must
        assume that its authority had lapsed, and its buckets start empty.
        """
        self._ledger.confirm_authority()

    async def acquire(
        self,
        team: Team,
        amount: float = 1.0,
        *,
        max_wait: float = 0.0,
        demand: Demand | None = None,
    ) -> None:
        self._require_authority()
        self._check_amount(team.name, amount)
        bucket = self._ledger.refresh_bucket(team.name)
        if demand is not None:
            await self._admit_program(bucket, amount, demand)
            return
        if bucket.take(amount):
            return
        try:
            await self._take_from_homes(bucket, amount)
        except RateLimitedError as exc:
            if max_wait <= 0.0:
                raise
            await self._wait_for_accrual(bucket, amount, max_wait, exc)

    async def _take_from_homes(self, bucket: Bucket, amount: float) -> None:
        """Take tokens that this node or the other home nodes have now."""
        waiter = Waiter(amount, asyncio.get_running_loop().create_future())
        bucket.waiters.append(waiter)
        if bucket.collector is None:
            bucket.collector = asyncio.create_task(self._collect(bucket))
        served_at = await waiter.served
        # The process may have been paused since the tokens were taken.
        self._require_authority()
        if self._clock.read_monotonic() > served_at + GRANT_TIMEOUT:
            raise _make_error(bucket.name, GRANT_TIMEOUT)

    async def _admit_program(
        self, bucket: Bucket, amount: float, demand: Demand
    ) -> None:
        """Admit a program and take its first tokens; raises ``RateLimitedError``."""
        retry_after = self._try_admit_program(bucket, amount, demand)
        if retry_after <= 0.0:
            return
        homes = self._list_reachable(bucket)
        # Nodes that know as little of the homes must not all ask the same ones.
        self._rng.shuffle(homes)
        homes.sort(key=lambda home: -self._estimate(home, bucket))
        for home in homes[:_MAX_HOMES_FOR_ADMISSION]:
            grant = await self._request_grant(home, bucket, amount, demand=demand)
            if grant is None:
                continue
            if grant.amount >= amount:
                return
            retry_after = min(retry_after, max(grant.retry_after, _EMPTY_BACKOFF))
        raise _make_error(
            bucket.name, retry_after if retry_after < math.inf else _DEFAULT_RETRY_AFTER
        )

    def _try_admit_program(
        self, bucket: Bucket, amount: float, demand: Demand
    ) -> float:
        """Admit a program at this node's bucket if the bucket covers its requests.

        Returns
        -------
        float
            0 if the program is admitted; otherwise the seconds after which to retry,
            possibly infinite.
        """
        now = self._clock.read_monotonic()
        share = bucket.share
        if share.rate <= 0.0:
            return math.inf
        shortfall = bucket.commitments.find_shortfall(
            demand, level=bucket.level, rate=share.rate, burst=share.burst, now=now
        )
        if shortfall <= 0.0 and bucket.take(amount):
            bucket.commitments.add(demand, now)
            return 0.0
        return max(_EMPTY_BACKOFF, shortfall / share.rate)

    async def _wait_for_accrual(
        self, bucket: Bucket, amount: float, max_wait: float, refusal: RateLimitedError
    ) -> None:
        """Wait for tokens at the home node where they accrue first.

        Raises
        ------
        RateLimitedError
            No home node has the tokens within ``max_wait`` seconds.
        """
        self._ledger.refresh_bucket(bucket.name)
        now = self._clock.read_monotonic()
        waits = [(bucket.find_wait(amount), self._node)]
        for home in self._list_reachable(bucket):
            estimate = bucket.estimates.get(home)
            until = now if estimate is None else estimate.empty_until
            waits.append((max(0.0, until - now), home))
        for _, home in sorted(waits)[:_MAX_HOMES_FOR_ADMISSION]:
            if home == self._node:
                wait = bucket.take_in_advance(amount, max_wait)
            else:
                grant = await self._request_grant(
                    home, bucket, amount, max_wait=max_wait
                )
                is_full = grant is not None and grant.amount >= amount
                wait = grant.delay if grant is not None and is_full else None
            if wait is not None:
                await self._sleep(bucket, wait)
                return
        raise refusal

    async def _sleep(self, bucket: Bucket, wait: float) -> None:
        """Wait until tokens that were taken in advance may be used."""
        usable_at = self._clock.read_monotonic() + wait
        await asyncio.sleep(wait)
        # The process may have been paused during the wait.
        self._require_authority()
        if self._clock.read_monotonic() > usable_at + GRANT_TIMEOUT:
            raise _make_error(bucket.name, GRANT_TIMEOUT)

    async def _request_grant(
        self,
        home: str,
        bucket: Bucket,
        amount: float,
        *,
        max_wait: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant | None:
        """Request tokens from one home node; None if it does not answer."""
        view = self._ledger.view
        epoch = 0 if view is None else view.epoch
        try:
            return await self._peers.acquire(
                home, bucket.name, amount, epoch, max_wait=max_wait, demand=demand
            )
        except FireflyError as exc:
            _LOG.info("home node %s granted no tokens: %s", home, exc)
            now = self._clock.read_monotonic()
            self._unreachable[home] = now + _UNREACHABLE_BACKOFF
            return None

    def grant(
        self,
        team: str,
        amount: float,
        epoch: int,
        *,
        requester: str = "",
        max_wait: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant:
        """Take tokens from this node's share for another node.

        Parameters
        ----------
        epoch : int
            Epoch of the requesting node. It may differ from this node's epoch: a grant
            only moves tokens, so the nodes need not agree on the members first.
        requester : str
            Name and incarnation of the requesting node. It sends one request at a time
            for a team, so its earlier grants have been used or dropped.
        max_wait, demand
            See ``RateLimiter.acquire``; with either, the full amount or nothing is
            granted.

        Raises
        ------
        NoAuthorityError
            This node has no authority and must not grant tokens.
        """
        self._require_authority()
        if self._ledger.find_team(team) is None:
            return TokenGrant(0.0, _DEFAULT_RETRY_AFTER)
        bucket = self._ledger.refresh_bucket(team)
        if demand is not None:
            retry_after = self._try_admit_program(bucket, amount, demand)
            return (
                TokenGrant(0.0, retry_after)
                if retry_after > 0.0
                else TokenGrant(amount)
            )
        if max_wait > 0.0:
            return self._grant_in_advance(bucket, amount, max_wait)
        if requester:
            bucket.release(requester)
        part = bucket.take_up_to(amount)
        expires = self._clock.read_monotonic() + GRANT_TIMEOUT
        bucket.reserve(part, requester=requester, expires=expires)
        if part >= amount:
            return TokenGrant(part)
        retry_after = self._ledger.forecast(bucket, min(1.0, amount - part))
        return TokenGrant(
            part, retry_after if retry_after < math.inf else _DEFAULT_RETRY_AFTER
        )

    def _grant_in_advance(
        self, bucket: Bucket, amount: float, max_wait: float
    ) -> TokenGrant:
        wait = bucket.take_in_advance(amount, max_wait)
        if wait is None:
            return TokenGrant(0.0, self._find_retry_after(bucket, amount))
        expires = self._clock.read_monotonic() + wait + GRANT_TIMEOUT
        # No requester: its next request does not mean that these tokens were used.
        bucket.reserve(amount, requester="", expires=expires)
        return TokenGrant(amount, delay=wait)

    def dump(self) -> dict[str, Any]:
        view = self._ledger.view
        now = self._clock.read_monotonic()
        return {
            "epoch": 0 if view is None else view.epoch,
            "members": [] if view is None else sorted(view.names),
            "unreachable": sorted(m for m, t in self._unreachable.items() if t > now),
            "teams": {name: self._dump_team(name) for name in self._ledger.buckets},
        }

    async def close(self) -> None:
        """Stop requesting tokens and refuse the waiting requests."""
        buckets = tuple(self._ledger.buckets.values())
        tasks = [bucket.collector for bucket in buckets if bucket.collector]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for bucket in buckets:
            _fail_waiters(
                bucket, DrainingError("the node is shutting down; try another node")
            )

    def _dump_team(self, name: str) -> dict[str, Any]:
        # The level as of the last use: without authority nothing may accrue.
        bucket = self._ledger.buckets[name]
        return {
            "level": round(bucket.level, 3),
            "rate": bucket.share.rate,
            "burst": bucket.share.burst,
            "reserved": round(bucket.reserved, 3),
            "waiting": len(bucket.waiters),
            "programs": len(bucket.commitments),
            "homes": list(self._list_homes(name)),
        }

    def _require_authority(self) -> None:
        self._check_authority()
        self._ledger.confirm_authority()

    def _check_amount(self, name: str, amount: float) -> None:
        team = self._ledger.find_team(name)
        if team is None:
            raise RateLimitedError(
                f"team {name} is not in the bundle in force on this node; add it"
            )
        if amount > team.burst:
            error: FireflyError = RateLimitedError(
                f"{amount:g} tokens exceed the burst of team {name}; raise its burst"
            )
            error.retry_after = None
            raise error

    async def _collect(self, bucket: Bucket) -> None:
        """Request tokens from other home nodes until no request waits."""
        granted = _GrantedTokens()
        try:
            while bucket.waiters:
                self._require_authority()
                self._ledger.refresh_bucket(bucket.name)
                self._serve_waiters(bucket, granted)
                self._refuse_waiters(bucket, min_homes_asked=_MAX_HOMES_PER_REQUEST)
                if not bucket.waiters:
                    break
                home = self._choose_home(bucket)
                if home is None:
                    self._refuse_waiters(bucket)
                    break
                await self._request_missing(home, bucket, granted)
            # Unused tokens go into this node's bucket; those beyond its capacity are
            # lost.
            bucket.put(granted.total)
        except FireflyError as exc:
            _fail_waiters(bucket, exc)
        except Exception as exc:
            _LOG.exception(
                "requesting tokens of team %s from other nodes failed", bucket.name
            )
            _fail_waiters(bucket, exc)
        finally:
            bucket.collector = None

    def _serve_waiters(self, bucket: Bucket, granted: _GrantedTokens) -> None:
        now = self._clock.read_monotonic()
        granted.drop_expired(now)
        while bucket.waiters:
            waiter = bucket.waiters[0]
            if waiter.served.done():
                bucket.waiters.popleft()
                continue
            missing = max(0.0, waiter.amount - granted.total)
            if not bucket.take(missing):
                return
            granted.take(waiter.amount)
            bucket.waiters.popleft()
            waiter.served.set_result(now)

    async def _request_missing(
        self, home: str, bucket: Bucket, granted: _GrantedTokens
    ) -> None:
        waiting = [w for w in bucket.waiters if not w.served.done()]
        for waiter in waiting:
            waiter.homes_asked += 1
        held = granted.total + max(0.0, bucket.level)
        missing = sum(w.amount for w in waiting) - held
        view = self._ledger.view
        epoch = 0 if view is None else view.epoch
        sent = self._clock.read_monotonic()
        try:
            grant = await self._peers.acquire(home, bucket.name, missing, epoch)
        except FireflyError:
            now = self._clock.read_monotonic()
            self._unreachable[home] = now + _UNREACHABLE_BACKOFF
            return
        now = self._clock.read_monotonic()
        if now <= sent + GRANT_TIMEOUT:
            granted.grants.append((sent + GRANT_TIMEOUT, min(grant.amount, missing)))
        left = max(0.0, self._estimate(home, bucket) - grant.amount)
        estimate = bucket.estimates[home] = HomeEstimate(left, now)
        if grant.amount < missing:
            estimate.level = 0.0
            estimate.empty_until = now + max(grant.retry_after, _EMPTY_BACKOFF)

    def _choose_home(self, bucket: Bucket) -> str | None:
        """Return the home node with the highest estimate; None if all are empty."""
        now = self._clock.read_monotonic()
        best, best_rank = None, (0.0, 0.0)
        for home in self._list_reachable(bucket):
            estimate = bucket.estimates.get(home)
            if estimate is not None and estimate.empty_until > now:
                continue
            rank = (self._estimate(home, bucket), self._rng.random())
            if best is None or rank > best_rank:
                best, best_rank = home, rank
        return best

    def _estimate(self, home: str, bucket: Bucket) -> float:
        team = self._ledger.find_team(bucket.name)
        if team is None:
            return 0.0
        homes = len(self._list_homes(bucket.name))
        estimate = bucket.estimates.get(home)
        if estimate is None:
            return team.burst / homes
        gain = team.rate / homes * (self._clock.read_monotonic() - estimate.time)
        return min(team.burst / homes, estimate.level + gain)

    def _list_homes(self, name: str) -> tuple[str, ...]:
        view, team = self._ledger.view, self._ledger.find_team(name)
        return () if view is None or team is None else view.find_homes(team)

    def _list_reachable(self, bucket: Bucket) -> list[str]:
        now = self._clock.read_monotonic()
        return [
            home
            for home in self._list_homes(bucket.name)
            if home != self._node and self._unreachable.get(home, now) <= now
        ]

    def _refuse_waiters(self, bucket: Bucket, *, min_homes_asked: int = 0) -> None:
        """Refuse the requests for which enough home nodes were asked."""
        refused = [w for w in bucket.waiters if w.homes_asked >= min_homes_asked]
        if not refused:
            return
        bucket.waiters = deque(
            w for w in bucket.waiters if w.homes_asked < min_homes_asked
        )
        retry_after = self._find_retry_after(bucket, refused[0].amount)
        team = self._ledger.find_team(bucket.name)
        for waiter in refused:
            if not waiter.served.done():
                waiter.served.set_exception(_make_error(bucket.name, retry_after))
            if team is not None:
                # Each request gets its tokens only after the one before.
                retry_after += waiter.amount / team.rate

    def _find_retry_after(self, bucket: Bucket, amount: float) -> float:
        now = self._clock.read_monotonic()
        times = [self._ledger.forecast(bucket, amount)]
        for home in self._list_reachable(bucket):
            estimate = bucket.estimates.get(home)
            if estimate is not None:
                times.append(max(estimate.empty_until - now, _EMPTY_BACKOFF))
        retry_after = min(times)
        return retry_after if retry_after < math.inf else _DEFAULT_RETRY_AFTER


def _fail_waiters(bucket: Bucket, exc: Exception) -> None:
    while bucket.waiters:
        waiter = bucket.waiters.popleft()
        if not waiter.served.done():
            waiter.served.set_exception(exc)


def _make_error(team: str, retry_after: float) -> RateLimitedError:
    return RateLimitedError(
        f"team {team} has used up its rate; retry after {retry_after:.3f} s",
        retry_after=retry_after,
    )
