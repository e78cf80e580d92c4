"""Tests of the limiter that splits rates into shares."""

import asyncio
import json

import pytest

from fireflyspread.bundle import Team
from fireflyspread.exceptions import NoAuthorityError, RateLimitedError
from fireflyspread.limits import GRANT_TIMEOUT, ShareLimiter
from tests.limits.cluster import LARGE, NAMES, SETTLED, SMALL, TEAMS, Cluster


@pytest.fixture
def cluster() -> Cluster:
    return Cluster()


class TestAcquire:
    """ShareLimiter.acquire."""

    async def test_whole_burst_at_one_node(self, cluster: Cluster) -> None:
        """A team must get its whole burst, not only the share of one node."""
        cluster.fill()
        assert await cluster.count_admitted("entry-2", LARGE) == 32

    async def test_skewed_load_within_rate(self, cluster: Cluster) -> None:
        """A load balancer that sends everything to one node must not cause refusals."""
        cluster.fill()
        admitted = 0
        for _ in range(2000):
            cluster.clock.advance(1.0 / LARGE.rate)
            admitted += await cluster.count_admitted("entry-3", LARGE, attempts=1)
        assert admitted == 2000

    async def test_small_team_at_every_node(self, cluster: Cluster) -> None:
        """A team with one home node must be served at the other nodes too."""
        cluster.fill()
        assert len(cluster.find_homes(SMALL)) == 1
        admitted = [
            await cluster.count_admitted(name, SMALL, attempts=1) for name in NAMES
        ]
        assert admitted == [1, 1, 1, 1]
        assert await cluster.count_admitted("entry-1", SMALL) == 0

    async def test_concurrent_requests_are_batched(self, cluster: Cluster) -> None:
        """A burst must not send one message for each request."""
        cluster.fill()
        outside = next(n for n in NAMES if n not in cluster.find_homes(SMALL))
        limiter = cluster.limiters[outside]
        await asyncio.gather(*(limiter.acquire(SMALL) for _ in range(4)))
        assert [amount for _, _, amount in cluster.requests] == [1.0, 3.0] or [
            amount for _, _, amount in cluster.requests
        ] == [4.0]

    async def test_retry_after_is_accurate(self, cluster: Cluster) -> None:
        """A caller that retries after ``retry_after`` must be admitted."""
        cluster.fill()
        for name in NAMES:
            await cluster.count_admitted(name, SMALL)
            with pytest.raises(RateLimitedError) as caught:
                await cluster.limiters[name].acquire(SMALL)
            assert caught.value.retry_after is not None
            assert 0.0 < caught.value.retry_after <= 0.5 + GRANT_TIMEOUT
            cluster.clock.advance(caught.value.retry_after + 1e-6)
            await cluster.limiters[name].acquire(SMALL)

    async def test_more_than_burst_is_refused_for_good(self, cluster: Cluster) -> None:
        """A caller must not repeat a request that can never be admitted."""
        cluster.fill()
        with pytest.raises(RateLimitedError, match="burst") as caught:
            await cluster.limiters["entry-1"].acquire(SMALL, 5.0)
        assert caught.value.retry_after is None

    async def test_no_authority(self, cluster: Cluster) -> None:
        """A node that may have been removed must not spend its old share."""
        cluster.fill()
        cluster.without_authority.add("entry-1")
        with pytest.raises(NoAuthorityError):
            await cluster.limiters["entry-1"].acquire(LARGE)

    async def test_empty_home_is_not_asked_again(self, cluster: Cluster) -> None:
        """A team far over its rate must not cost messages for each refusal."""
        cluster.fill()
        await cluster.count_admitted("entry-1", LARGE)
        cluster.requests.clear()
        assert await cluster.count_admitted("entry-1", LARGE, attempts=50) == 0
        assert cluster.requests == []

    async def test_lost_node_costs_one_request(self, cluster: Cluster) -> None:
        """An unreachable home node must not delay every request."""
        cluster.fill()
        cluster.unreachable.add("entry-4")
        assert await cluster.count_admitted("entry-1", LARGE) == 24
        assert [home for _, home, _ in cluster.requests].count("entry-4") == 1

    async def test_team_that_is_not_in_the_bundle(self, cluster: Cluster) -> None:
        """A removed team must not be admitted under its old limits."""
        cluster.fill()
        other = Team(name="other", rate=1.0, burst=1.0)
        with pytest.raises(RateLimitedError, match="bundle"):
            await cluster.limiters["entry-1"].acquire(other)

    async def test_close_refuses_waiters(self, cluster: Cluster) -> None:
        """A shutdown must answer the requests that wait for tokens."""
        cluster.start()
        limiter = cluster.limiters["entry-1"]
        task = asyncio.create_task(limiter.acquire(LARGE))
        await asyncio.sleep(0)
        await limiter.close()
        with pytest.raises(Exception, match="shutting down"):
            await task


class TestGrant:
    """ShareLimiter.grant, and the use of granted tokens."""

    async def test_lost_answer_loses_tokens(self, cluster: Cluster) -> None:
        """A home node must not reuse tokens whose grant was lost on the way."""
        cluster.fill()
        cluster.lose_answers = True
        assert await cluster.count_admitted("entry-1", LARGE, attempts=9) == 8
        cluster.lose_answers = False
        admitted = [await cluster.count_admitted(name, LARGE) for name in NAMES]
        assert sum(admitted) < 24

    async def test_late_answer_is_dropped(self, cluster: Cluster) -> None:
        """Tokens that the home node already counts as used must not be used."""
        cluster.fill()
        cluster.answer_delay = GRANT_TIMEOUT + 0.01
        outside = next(n for n in NAMES if n not in cluster.find_homes(SMALL))
        assert await cluster.count_admitted(outside, SMALL, attempts=1) == 0

    async def test_granted_tokens_occupy_capacity(self, cluster: Cluster) -> None:
        """The bucket must not refill while its granted tokens are in flight."""
        cluster.fill()
        home = cluster.limiters[cluster.find_homes(SMALL)[0]]
        assert home.grant("lids", 4.0, 5).amount == 4.0
        cluster.clock.advance(GRANT_TIMEOUT)
        cluster.clock.advance(0.5)
        assert home.grant("lids", 4.0, 5).amount == 1.0

    async def test_no_authority(self, cluster: Cluster) -> None:
        """A removed node must not grant tokens of its old share."""
        cluster.fill()
        cluster.without_authority.add("entry-1")
        with pytest.raises(NoAuthorityError):
            cluster.limiters["entry-1"].grant("scans", 1.0, 5)

    async def test_fraction_stays(self, cluster: Cluster) -> None:
        """A fraction that cannot complete a whole token must not be taken."""
        cluster.fill()
        home = cluster.limiters[cluster.find_homes(SMALL)[0]]
        home.grant("lids", 3.5, 5)
        grant = home.grant("lids", 1.0, 5)
        assert grant.amount == 0.0
        assert grant.retry_after > 0.0


class TestChanges:
    """ShareLimiter.set_members and set_teams."""

    def test_first_member_starts_full(self, cluster: Cluster) -> None:
        """A new system must serve its first requests."""
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams(TEAMS)
        limiter.set_members(1, ["entry-1"])
        assert limiter.grant("scans", 32.0, 1).amount == 32.0

    @pytest.mark.parametrize(("epoch", "names"), [(1, NAMES), (2, NAMES[:1])])
    def test_later_members_start_empty(
        self, cluster: Cluster, epoch: int, names: tuple[str, ...]
    ) -> None:
        """A restarted node must not spend tokens again that it spent before."""
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(epoch, names)
        limiter.set_teams(TEAMS)
        assert limiter.grant("scans", 32.0, 1).amount == 0.0
        cluster.clock.advance(2.0)
        assert limiter.grant("scans", 32.0, 1).amount == 0.0
        cluster.clock.advance(2.0)
        assert limiter.grant("scans", 32.0, 1).amount > 0.0

    def test_shrinks_at_once(self, cluster: Cluster) -> None:
        """Tokens above a reduced share must be dropped before other shares grow."""
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams(TEAMS)
        limiter.set_members(1, ["entry-1"])
        limiter.set_members(2, NAMES)
        assert limiter.grant("scans", 32.0, 2).amount == 8.0

    def test_growth_waits(self, cluster: Cluster) -> None:
        """A share must not grow while a removed node may still spend its own."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(6, NAMES[:2])
        cluster.clock.advance(2.0)
        assert limiter.grant("scans", 32.0, 6).amount == 8.0
        cluster.clock.advance(SETTLED)
        assert limiter.grant("scans", 32.0, 6).amount == 16.0

    def test_untouched_bucket_keeps_its_level(self, cluster: Cluster) -> None:
        """A change of members must not empty the buckets of idle teams."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(6, NAMES[:2])
        assert limiter.grant("scans", 32.0, 6).amount == 8.0

    def test_missed_epoch_counts_with_more_members(self, cluster: Cluster) -> None:
        """A node that missed an epoch must not exceed its share in that epoch."""
        cluster.start()
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(6, NAMES[:2])
        cluster.clock.advance(20.0)
        limiter.confirm_authority()
        limiter.set_members(8, ["entry-1", "entry-3"])
        assert limiter.grant("scans", 32.0, 8).amount == 10.0

    def test_missed_epoch_after_a_lapse(self, cluster: Cluster) -> None:
        """A node whose authority lapsed may have missed members that still spend."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.confirm_authority()
        cluster.clock.advance(2.1)
        limiter.set_members(7, NAMES)
        assert limiter.grant("scans", 32.0, 7).amount == 0.0

    def test_nothing_accrues_without_authority(self, cluster: Cluster) -> None:
        """A node must not accrue its old share after other shares have grown."""
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams(TEAMS)
        limiter.set_members(1, ["entry-1"])
        limiter.grant("scans", 32.0, 1)
        cluster.clock.advance(GRANT_TIMEOUT + 0.1)
        limiter.set_members(2, NAMES)
        assert limiter.grant("scans", 32.0, 2).amount <= 0.1 * LARGE.rate / 4 + 1e-6

    def test_older_epoch_is_ignored(self, cluster: Cluster) -> None:
        """A late message must not bring back a removed member."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(4, ["entry-1"])
        assert limiter.dump()["members"] == sorted(NAMES)

    def test_lower_rate_at_once(self, cluster: Cluster) -> None:
        """A lowered rate and burst must be in force at once."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams({"scans": Team(name="scans", rate=1.0, burst=16.0)})
        assert limiter.grant("scans", 32.0, 5).amount <= 8.0

    def test_removed_team(self, cluster: Cluster) -> None:
        """A removed team has no tokens, and starts empty when it is added again."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams({})
        assert limiter.grant("scans", 1.0, 5).amount == 0.0
        limiter.set_teams(TEAMS)
        assert limiter.grant("scans", 1.0, 5).amount == 0.0


class TestDump:
    """ShareLimiter.dump."""

    async def test_is_json(self, cluster: Cluster) -> None:
        """A state dump must be writable as JSON in every state."""
        limiter: ShareLimiter = cluster.limiters["entry-1"]
        json.dumps(limiter.dump())
        cluster.fill()
        await limiter.acquire(LARGE)
        state = json.loads(json.dumps(limiter.dump()))
        assert state["teams"]["scans"]["level"] == 7.0
