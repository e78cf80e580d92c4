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

    async def test_one_node_gets_the_whole_burst(self, cluster: Cluster) -> None:
        """Guards against a team that gets only one node's share of its burst."""
        cluster.fill()
        assert await cluster.count_admitted("entry-2", LARGE) == 32

    async def test_skewed_load_within_rate_is_admitted(self, cluster: Cluster) -> None:
        """Guards against refusals when a load balancer sends everything to one node."""
        cluster.fill()
        admitted = 0
        for _ in range(2000):
            cluster.clock.advance(1.0 / LARGE.rate)
            admitted += await cluster.count_admitted("entry-3", LARGE, attempts=1)
        assert admitted == 2000

    async def test_small_team_is_served_at_every_node(self, cluster: Cluster) -> None:
        """Guards against a team with one home node that is refused at other nodes."""
        cluster.fill()
        assert len(cluster.find_homes(SMALL)) == 1
        admitted = [
            await cluster.count_admitted(name, SMALL, attempts=1) for name in NAMES
        ]
        assert admitted == [1, 1, 1, 1]
        assert await cluster.count_admitted("entry-1", SMALL) == 0

    async def test_concurrent_requests_are_batched(self, cluster: Cluster) -> None:
        """Guards against a burst that sends one message for each request."""
        cluster.fill()
        outside = next(n for n in NAMES if n not in cluster.find_homes(SMALL))
        limiter = cluster.limiters[outside]
        await asyncio.gather(*(limiter.acquire(SMALL) for _ in range(4)))
        assert [amount for _, _, amount in cluster.requests] == [1.0, 3.0] or [
            amount for _, _, amount in cluster.requests
        ] == [4.0]

    async def test_retry_after_is_accurate(self, cluster: Cluster) -> None:
        """Guards against a caller that is refused again after ``retry_after``."""
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
        """Guards against callers that repeat a request that never fits the burst."""
        cluster.fill()
        with pytest.raises(RateLimitedError, match="burst") as caught:
            await cluster.limiters["entry-1"].acquire(SMALL, 5.0)
        assert caught.value.retry_after is None

    async def test_nothing_is_admitted_without_authority(
        self, cluster: Cluster
    ) -> None:
        """Guards against a removed node that still spends its old share."""
        cluster.fill()
        cluster.without_authority.add("entry-1")
        with pytest.raises(NoAuthorityError):
            await cluster.limiters["entry-1"].acquire(LARGE)

    async def test_empty_home_is_not_asked_again(self, cluster: Cluster) -> None:
        """Guards against messages for each refusal of a team far over its rate."""
        cluster.fill()
        await cluster.count_admitted("entry-1", LARGE)
        cluster.requests.clear()
        assert await cluster.count_admitted("entry-1", LARGE, attempts=50) == 0
        assert cluster.requests == []

    async def test_lost_node_costs_one_request(self, cluster: Cluster) -> None:
        """Guards against an unreachable home node that delays every request."""
        cluster.fill()
        cluster.unreachable.add("entry-4")
        assert await cluster.count_admitted("entry-1", LARGE) == 24
        assert [home for _, home, _ in cluster.requests].count("entry-4") == 1

    async def test_team_that_is_not_in_the_bundle_is_refused(
        self, cluster: Cluster
    ) -> None:
        """Guards against a removed team that is admitted under its old limits."""
        cluster.fill()
        other = Team(name="other", rate=1.0, burst=1.0)
        with pytest.raises(RateLimitedError, match="bundle"):
            await cluster.limiters["entry-1"].acquire(other)

    async def test_close_refuses_waiters(self, cluster: Cluster) -> None:
        """Guards against a shutdown that leaves waiting requests without an answer."""
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
        """Guards against a home node that reuses tokens whose grant was lost."""
        cluster.fill()
        cluster.lose_answers = True
        assert await cluster.count_admitted("entry-1", LARGE, attempts=9) == 8
        cluster.lose_answers = False
        admitted = [await cluster.count_admitted(name, LARGE) for name in NAMES]
        assert sum(admitted) < 24

    async def test_late_answer_is_dropped(self, cluster: Cluster) -> None:
        """Guards against use of tokens that the home node already counts as used."""
        cluster.fill()
        cluster.answer_delay = GRANT_TIMEOUT + 0.01
        outside = next(n for n in NAMES if n not in cluster.find_homes(SMALL))
        assert await cluster.count_admitted(outside, SMALL, attempts=1) == 0

    async def test_granted_tokens_occupy_capacity(self, cluster: Cluster) -> None:
        """Guards against a bucket that refills while its grants are in flight."""
        cluster.fill()
        home = cluster.limiters[cluster.find_homes(SMALL)[0]]
        assert home.grant("lids", 4.0, 5).amount == 4.0
        cluster.clock.advance(GRANT_TIMEOUT)
        cluster.clock.advance(0.5)
        assert home.grant("lids", 4.0, 5).amount == 1.0

    async def test_nothing_is_granted_without_authority(self, cluster: Cluster) -> None:
        """Guards against a removed node that grants tokens of its old share."""
        cluster.fill()
        cluster.without_authority.add("entry-1")
        with pytest.raises(NoAuthorityError):
            cluster.limiters["entry-1"].grant("scans", 1.0, 5)

    async def test_fraction_stays(self, cluster: Cluster) -> None:
        """Guards against the loss of a fraction that cannot complete a whole token."""
        cluster.fill()
        home = cluster.limiters[cluster.find_homes(SMALL)[0]]
        home.grant("lids", 3.5, 5)
        grant = home.grant("lids", 1.0, 5)
        assert grant.amount == 0.0
        assert grant.retry_after > 0.0


class TestChanges:
    """ShareLimiter.set_members and set_teams."""

    def test_first_member_starts_full(self, cluster: Cluster) -> None:
        """Guards against a new system that refuses its first requests."""
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams(TEAMS)
        limiter.set_members(1, ["entry-1"])
        assert limiter.grant("scans", 32.0, 1).amount == 32.0

    @pytest.mark.parametrize(("epoch", "names"), [(1, NAMES), (2, NAMES[:1])])
    def test_later_members_start_empty(
        self, cluster: Cluster, epoch: int, names: tuple[str, ...]
    ) -> None:
        """Guards against a restarted node that spends the same tokens again."""
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(epoch, names)
        limiter.set_teams(TEAMS)
        assert limiter.grant("scans", 32.0, 1).amount == 0.0
        cluster.clock.advance(2.0)
        assert limiter.grant("scans", 32.0, 1).amount == 0.0
        cluster.clock.advance(2.0)
        assert limiter.grant("scans", 32.0, 1).amount > 0.0

    def test_shrinks_at_once(self, cluster: Cluster) -> None:
        """Guards against tokens above a reduced share while other shares grow."""
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams(TEAMS)
        limiter.set_members(1, ["entry-1"])
        limiter.set_members(2, NAMES)
        assert limiter.grant("scans", 32.0, 2).amount == 8.0

    def test_growth_waits(self, cluster: Cluster) -> None:
        """Guards against a share that grows while a removed node may still spend."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(6, NAMES[:2])
        cluster.clock.advance(2.0)
        assert limiter.grant("scans", 32.0, 6).amount == 8.0
        cluster.clock.advance(SETTLED)
        assert limiter.grant("scans", 32.0, 6).amount == 16.0

    def test_untouched_bucket_keeps_its_level(self, cluster: Cluster) -> None:
        """Guards against a change of members that empties idle teams' buckets."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(6, NAMES[:2])
        assert limiter.grant("scans", 32.0, 6).amount == 8.0

    def test_missed_epoch_counts_with_more_members(self, cluster: Cluster) -> None:
        """Guards against a node that exceeds its share in an epoch it missed."""
        cluster.start()
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(6, NAMES[:2])
        cluster.clock.advance(20.0)
        limiter.confirm_authority()
        limiter.set_members(8, ["entry-1", "entry-3"])
        assert limiter.grant("scans", 32.0, 8).amount == 10.0

    def test_missed_epoch_after_a_lapse_counts_as_unknown(
        self, cluster: Cluster
    ) -> None:
        """Guards against members that a node without authority missed.

        They joined while the node's authority had lapsed, and may still spend.
        """
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.confirm_authority()
        cluster.clock.advance(2.1)
        limiter.set_members(7, NAMES)
        assert limiter.grant("scans", 32.0, 7).amount == 0.0

    def test_nothing_accrues_without_authority(self, cluster: Cluster) -> None:
        """Guards against an old share that accrues after other shares have grown."""
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams(TEAMS)
        limiter.set_members(1, ["entry-1"])
        limiter.grant("scans", 32.0, 1)
        cluster.clock.advance(GRANT_TIMEOUT + 0.1)
        limiter.set_members(2, NAMES)
        assert limiter.grant("scans", 32.0, 2).amount <= 0.1 * LARGE.rate / 4 + 1e-6

    def test_older_epoch_is_ignored(self, cluster: Cluster) -> None:
        """Guards against a late message that brings back a removed member."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_members(4, ["entry-1"])
        assert limiter.dump()["members"] == sorted(NAMES)

    def test_lower_rate_applies_at_once(self, cluster: Cluster) -> None:
        """Guards against a lowered rate and burst that apply late."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams({"scans": Team(name="scans", rate=1.0, burst=16.0)})
        assert limiter.grant("scans", 32.0, 5).amount <= 8.0

    def test_removed_team_has_no_tokens(self, cluster: Cluster) -> None:
        """Guards against a team that still has tokens after its removal."""
        cluster.fill()
        limiter = cluster.limiters["entry-1"]
        limiter.set_teams({})
        assert limiter.grant("scans", 1.0, 5).amount == 0.0
        limiter.set_teams(TEAMS)
        assert limiter.grant("scans", 1.0, 5).amount == 0.0


class TestDump:
    """ShareLimiter.dump."""

    async def test_is_json(self, cluster: Cluster) -> None:
        """Guards against a state dump that cannot be written as JSON."""
        limiter: ShareLimiter = cluster.limiters["entry-1"]
        json.dumps(limiter.dump())
        cluster.fill()
        await limiter.acquire(LARGE)
        state = json.loads(json.dumps(limiter.dump()))
        assert state["teams"]["scans"]["level"] == 7.0
