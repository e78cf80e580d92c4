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

__all__ = ["ASK_TIMEOUT", "ShareLimiter"]

_LOG = logging.getLogger(__name__)

# Seconds a grant may take from the question to its use; two members are a few
# milliseconds apart. Later grants are dropped.
ASK_TIMEOUT = 0.1

# Seconds without questions to a home node that did not answer.
_UNREACHABLE_PAUSE = 1.0

# Seconds without questions to a home node that was short; bounds the messages of a
# team that sends several times its rate.
_SHORT_PAUSE = 0.02

# Home nodes that are asked whether a program may begin or a request may wait there.
_MOST_OTHER_HOMES = 2

# Home nodes that are asked for one request, so that its refusal comes soon.
_MOST_ASKS = 8

# Seconds to retry after when no home node can tell.
_UNKNOWN_RETRY = 1.0


@define
class _Stock:
    """Tokens of other home nodes that were not used yet, with their expiry."""

    lots: list[tuple[float, float]] = field(factory=list)

    @property
    def total(self) -> float:
        return sum(amount for _, amount in self.lots)

    def drop_expired(self, now: float) -> None:
        self.lots = [lot for lot in self.lots if lot[0] >= now]

    def take(self, amount: float) -> float:
        """Take up to ``amount`` and return how much was taken."""
        missing = amount
        while self.lots and missing > 0.0:
            expires, held = self.lots.pop(0)
            if held > missing:
                self.lots.insert(0, (expires, held - missing))
            missing -= min(held, missing)
        return amount - missing


class ShareLimiter(RateLimiter):
    """Splits the rate and burst of a team over its home nodes.

    A node that is short of tokens asks the other home nodes. A home node takes the
    tokens from its bucket before it answers, so that a lost message loses tokens and
    never creates them.

    Parameters
    ----------
    node : str
        Name of this node.
    peers : TokenPeers
        Way to the other home nodes.
    check_authority : callable
        Raises ``NoAuthorityError`` when the node may not act. What a renewal tells
        of a newer epoch or bundle must be set here before the renewal counts.
    rng : random.Random
        Chooses among home nodes that look alike.
    authority_ttl : float
        Seconds after which no node acts on a replaced epoch or bundle.
    figures_delay : float or None
        Seconds after which no node acts on replaced figures of a team; None takes
        ``authority_ttl``.
    trusts_new_teams, burst_for_each_home
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
        figures_delay: float | None = None,
        trusts_new_teams: bool = False,
        burst_for_each_home: float | None = None,
    ) -> None:
        self._node = node
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._check_authority = check_authority
        # Tokens granted before a share shrank are used up after one more timeout.
        delay = authority_ttl + ASK_TIMEOUT
        self._ledger = ShareLedger(
            node,
            authority_ttl=authority_ttl,
            delay=delay,
            clock=clock,
            figures_delay=figures_delay,
            trusts_new_teams=trusts_new_teams,
            burst_for_each_home=burst_for_each_home,
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
        """Take ``names`` as the members from now on; see ``ShareLedger``."""
        self._ledger.replace_members(names, since=since)

    def set_teams(self, teams: Mapping[str, Team]) -> None:
        """Take note of the teams of the bundle in force, by name.

        The sum of the shares can exceed a team's figures for ``authority_ttl`` when
        the team's burst is changed twice, so that its number of home nodes changes
        and changes back, and this node has missed the version in between.
        """
        self._ledger.set_teams(teams)

    def note_renewal(self) -> None:
        """Take note of an answered renewal of authority, after ``set_members``.

        Requests do the same; without either, an idle node that misses an epoch must
        assume that its authority had lapsed and starts empty.
        """
        self._ledger.confirm()

    async def acquire(
        self,
        team: Team,
        amount: float = 1.0,
        *,
        patience: float = 0.0,
        demand: Demand | None = None,
    ) -> None:
        self._require_authority()
        self._require_possible(team.name, amount)
        bucket = self._ledger.open(team.name)
        if demand is not None:
            await self._begin(bucket, amount, demand)
            return
        if bucket.take(amount):
            return
        try:
            await self._collect_for(bucket, amount)
        except RateLimitedError as exc:
            if patience <= 0.0:
                raise
            await self._wait_ahead(bucket, amount, patience, exc)

    async def _collect_for(self, bucket: Bucket, amount: float) -> None:
        """Take tokens that this and the other home nodes have now."""
        waiter = Waiter(amount, asyncio.get_running_loop().create_future())
        bucket.waiters.append(waiter)
        if bucket.collector is None:
            bucket.collector = asyncio.create_task(self._collect(bucket))
        served_at = await waiter.served
        # The process may have been paused since the tokens were taken.
        self._require_authority()
        if self._clock.read_monotonic() > served_at + ASK_TIMEOUT:
            raise _make_error(bucket.name, ASK_TIMEOUT)

    async def _begin(self, bucket: Bucket, amount: float, demand: Demand) -> None:
        """Take the first tokens of a program; raises ``RateLimitedError``."""
        pause = self._try_begin(bucket, amount, demand)
        if pause <= 0.0:
            return
        homes = self._list_reachable(bucket)
        homes.sort(key=lambda home: -self._estimate(home, bucket))
        for home in homes[:_MOST_OTHER_HOMES]:
            grant = await self._ask_one(home, bucket, amount, demand=demand)
            if grant is None:
                continue
            if grant.amount >= amount:
                return
            pause = min(pause, max(grant.retry_after, _SHORT_PAUSE))
        raise _make_error(bucket.name, pause if pause < math.inf else _UNKNOWN_RETRY)

    def _try_begin(self, bucket: Bucket, amount: float, demand: Demand) -> float:
        """Let a program begin at this node's bucket if it holds its requests.

        Returns
        -------
        float
            0 if it begins; otherwise the seconds until it may, perhaps infinite.
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
        return max(_SHORT_PAUSE, shortfall / share.rate)

    async def _wait_ahead(
        self, bucket: Bucket, amount: float, patience: float, refusal: RateLimitedError
    ) -> None:
        """Wait for tokens at the home node that has them first.

        Raises
        ------
        RateLimitedError
            No home node has them within ``patience`` seconds.
        """
        self._ledger.open(bucket.name)
        now = self._clock.read_monotonic()
        waits = [(bucket.find_wait(amount), self._node)]
        for home in self._list_reachable(bucket):
            estimate = bucket.estimates.get(home)
            until = now if estimate is None else estimate.empty_until
            waits.append((max(0.0, until - now), home))
        for _, home in sorted(waits)[:_MOST_OTHER_HOMES]:
            if home == self._node:
                wait = bucket.take_ahead(amount, patience)
            else:
                grant = await self._ask_one(home, bucket, amount, patience=patience)
                had = grant is not None and grant.amount >= amount
                wait = grant.delay if grant is not None and had else None
            if wait is not None:
                await self._sleep(bucket, wait)
                return
        raise refusal

    async def _sleep(self, bucket: Bucket, wait: float) -> None:
        """Wait until tokens that were taken ahead may be used."""
        usable_at = self._clock.read_monotonic() + wait
        await asyncio.sleep(wait)
        # The process may have been paused meanwhile.
        self._require_authority()
        if self._clock.read_monotonic() > usable_at + ASK_TIMEOUT:
            raise _make_error(bucket.name, ASK_TIMEOUT)

    async def _ask_one(
        self,
        home: str,
        bucket: Bucket,
        amount: float,
        *,
        patience: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant | None:
        """Ask one home node; None if it does not answer."""
        view = self._ledger.view
        epoch = 0 if view is None else view.epoch
        try:
            return await self._peers.acquire(
                home, bucket.name, amount, epoch, patience=patience, demand=demand
            )
        except FireflyError as exc:
            _LOG.info("no tokens from %s: %s", home, exc)
            now = self._clock.read_monotonic()
            self._unreachable[home] = now + _UNREACHABLE_PAUSE
            return None

    def grant(
        self,
        team: str,
        amount: float,
        epoch: int,
        *,
        asker: str = "",
        patience: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant:
        """Take tokens from this node's share for another node.

        Parameters
        ----------
        epoch : int
            Epoch of the asking node. A difference does no harm, because tokens are
            only moved; it is accepted so that nodes need not agree first.
        asker : str
            Name and incarnation of the asking node. It asks for a team once at a
            time, so its earlier grants have been used or dropped.
        patience, demand
            See ``RateLimiter.acquire``; with either, less than ``amount`` is not
            granted.

        Raises
        ------
        NoAuthorityError
            This node may not grant anything now.
        """
        self._require_authority()
        if self._ledger.find_team(team) is None:
            return TokenGrant(0.0, _UNKNOWN_RETRY)
        bucket = self._ledger.open(team)
        if demand is not None:
            pause = self._try_begin(bucket, amount, demand)
            return TokenGrant(0.0, pause) if pause > 0.0 else TokenGrant(amount)
        if patience > 0.0:
            return self._grant_ahead(bucket, amount, patience)
        if asker:
            bucket.release(asker)
        part = bucket.take_part(amount)
        expires = self._clock.read_monotonic() + ASK_TIMEOUT
        bucket.reserve(part, asker=asker, expires=expires)
        if part >= amount:
            return TokenGrant(part)
        retry_after = self._ledger.forecast(bucket, min(1.0, amount - part))
        return TokenGrant(
            part, retry_after if retry_after < math.inf else _UNKNOWN_RETRY
        )

    def _grant_ahead(
        self, bucket: Bucket, amount: float, patience: float
    ) -> TokenGrant:
        wait = bucket.take_ahead(amount, patience)
        if wait is None:
            return TokenGrant(0.0, self._find_retry(bucket, amount))
        expires = self._clock.read_monotonic() + wait + ASK_TIMEOUT
        # Without the asker, whose next question does not mean that these are used.
        bucket.reserve(amount, asker="", expires=expires)
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
        """Stop asking; requests that wait are refused."""
        buckets = tuple(self._ledger.buckets.values())
        tasks = [bucket.collector for bucket in buckets if bucket.collector]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for bucket in buckets:
            _fail(bucket, DrainingError("the node is shutting down; try another node"))

    def _dump_team(self, name: str) -> dict[str, Any]:
        # As of the last use: without authority nothing may accrue.
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
        self._ledger.confirm()

    def _require_possible(self, name: str, amount: float) -> None:
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
        """Ask other home nodes until every waiter is served or refused."""
        stock = _Stock()
        try:
            while bucket.waiters:
                self._require_authority()
                self._ledger.open(bucket.name)
                self._serve(bucket, stock)
                self._refuse(bucket, asked=_MOST_ASKS)
                if not bucket.waiters:
                    break
                home = self._choose_home(bucket)
                if home is None:
                    self._refuse(bucket)
                    break
                await self._ask(home, bucket, stock)
            # Kept by this node as far as its share has room, otherwise lost.
            bucket.put(stock.total)
        except FireflyError as exc:
            _fail(bucket, exc)
        except Exception as exc:
            _LOG.exception("asking for tokens of team %s failed", bucket.name)
            _fail(bucket, exc)
        finally:
            bucket.collector = None

    def _serve(self, bucket: Bucket, stock: _Stock) -> None:
        now = self._clock.read_monotonic()
        stock.drop_expired(now)
        while bucket.waiters:
            waiter = bucket.waiters[0]
            if waiter.served.done():
                bucket.waiters.popleft()
                continue
            missing = max(0.0, waiter.amount - stock.total)
            if not bucket.take(missing):
                return
            stock.take(waiter.amount)
            bucket.waiters.popleft()
            waiter.served.set_result(now)

    async def _ask(self, home: str, bucket: Bucket, stock: _Stock) -> None:
        waiting = [w for w in bucket.waiters if not w.served.done()]
        for waiter in waiting:
            waiter.asks += 1
        held = stock.total + max(0.0, bucket.level)
        missing = sum(w.amount for w in waiting) - held
        view = self._ledger.view
        epoch = 0 if view is None else view.epoch
        sent = self._clock.read_monotonic()
        try:
            grant = await self._peers.acquire(home, bucket.name, missing, epoch)
        except FireflyError:
            now = self._clock.read_monotonic()
            self._unreachable[home] = now + _UNREACHABLE_PAUSE
            return
        now = self._clock.read_monotonic()
        if now <= sent + ASK_TIMEOUT:
            stock.lots.append((sent + ASK_TIMEOUT, min(grant.amount, missing)))
        left = max(0.0, self._estimate(home, bucket) - grant.amount)
        estimate = bucket.estimates[home] = HomeEstimate(left, now)
        if grant.amount < missing:
            estimate.level = 0.0
            estimate.empty_until = now + max(grant.retry_after, _SHORT_PAUSE)

    def _choose_home(self, bucket: Bucket) -> str | None:
        """Return the home node with the greatest surplus that may have a token."""
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

    def _refuse(self, bucket: Bucket, *, asked: int = 0) -> None:
        """Refuse the waiters that have asked ``asked`` home nodes."""
        refused = [w for w in bucket.waiters if w.asks >= asked]
        if not refused:
            return
        bucket.waiters = deque(w for w in bucket.waiters if w.asks < asked)
        retry_after = self._find_retry(bucket, refused[0].amount)
        team = self._ledger.find_team(bucket.name)
        for waiter in refused:
            if not waiter.served.done():
                waiter.served.set_exception(_make_error(bucket.name, retry_after))
            if team is not None:
                # Each of several requests finds a token only after the one before.
                retry_after += waiter.amount / team.rate

    def _find_retry(self, bucket: Bucket, amount: float) -> float:
        now = self._clock.read_monotonic()
        times = [self._ledger.forecast(bucket, amount)]
        for home in self._list_reachable(bucket):
            estimate = bucket.estimates.get(home)
            if estimate is not None:
                times.append(max(estimate.empty_until - now, _SHORT_PAUSE))
        retry_after = min(times)
        return retry_after if retry_after < math.inf else _UNKNOWN_RETRY


def _fail(bucket: Bucket, exc: Exception) -> None:
    while bucket.waiters:
        waiter = bucket.waiters.popleft()
        if not waiter.served.done():
            waiter.served.set_exception(exc)


def _make_error(team: str, retry_after: float) -> RateLimitedError:
    return RateLimitedError(
        f"team {team} has used its rate; retry after {retry_after:.3f} s",
        retry_after=retry_after,
    )
