"""Tests of the members and limits that a gateway gives its limiter."""

import random

import pytest

from fireflyspread.bundle import Team
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import PeerError, RateLimitedError
from fireflyspread.gateway._rates import RateMembership, add_tolerance
from fireflyspread.gateway._settings import RateTolerance
from fireflyspread.limits import ShareLimiter, TokenGrant, TokenPeers

TEAM = Team(name="lids", rate=100.0, burst=100.0)


class _NoPeers(TokenPeers):
    async def acquire(
        self, member: str, team: str, amount: float, epoch: int
    ) -> TokenGrant:
        raise PeerError("there are no other nodes")


class Node:
    """The limiter of one node with its membership."""

    def __init__(self, *, is_first_start: bool) -> None:
        self.clock = ManualClock()
        self.limiter = ShareLimiter(
            "a",
            _NoPeers(),
            clock=self.clock,
            rng=random.Random(1),
            check_authority=lambda: None,
            authority_ttl=20.0,
            limits_delay=2.0,
            new_teams_start_full=True,
        )
        self.membership = RateMembership(
            node="a", clock=self.clock, is_first_start=is_first_start
        )
        self.limiter.set_teams({"lids": TEAM})

    def set_members(self, *names: str, joining: str = "") -> None:
        """Give the members to the limiter."""
        members = frozenset(names)
        self.membership.apply(members, [self.limiter], sharing=members - {joining})

    async def count(self) -> int:
        """Return how many requests are admitted without waiting."""
        admitted = 0
        try:
            while admitted < 1000:
                await self.limiter.acquire(TEAM)
                admitted += 1
        except RateLimitedError:
            return admitted
        return admitted


class TestRateMembership:
    async def test_not_a_member_before_it_is_seen(self):
        """Guards against a node that is ready while it has no share."""
        node = Node(is_first_start=True)
        node.set_members("b")
        assert not node.membership.is_member
        node.set_members("a", "b")
        assert node.membership.is_member

    async def test_first_start_is_full(self):
        """Guards against refusals right after the first start of a system."""
        node = Node(is_first_start=True)
        node.set_members("a", "b")
        assert await node.count() == 50

    async def test_restarted_node_starts_empty_and_accrues_at_once(self):
        """Guards against a burst at each restart, and a share that accrues late."""
        node = Node(is_first_start=False)
        node.set_members("a", "b")
        assert await node.count() == 0
        node.clock.advance(0.2)
        assert await node.count() == 10

    async def test_new_node_waits_until_the_others_use_less(self):
        """Guards against shares that add up to more than the rate."""
        node = Node(is_first_start=False)
        node.set_members("a", "b", joining="a")
        assert node.membership.is_member
        node.clock.advance(60.0)
        assert await node.count() == 0
        node.set_members("a", "b")
        assert await node.count() == 0
        node.clock.advance(0.2)
        assert 5 <= await node.count() <= 15

    async def test_wait_of_a_new_node_accrues_nothing(self):
        """Guards against a share of the time in which the others had the whole rate."""
        node = Node(is_first_start=False)
        node.set_members("a", "b", joining="a")
        assert await node.count() == 0
        node.clock.advance(60.0)
        node.set_members("a", "b")
        assert await node.count() == 0

    async def test_share_shrinks_with_more_members(self):
        """Guards against a share that does not shrink when other nodes join."""
        node = Node(is_first_start=True)
        node.set_members("a")
        node.set_members("a", "b", "c", "d")
        assert await node.count() == 25


class TestAddTolerance:
    @pytest.mark.parametrize("rate", [1.0, 20.0, 500.0])
    def test_stays_within_the_tolerance(self, rate):
        """Guards against windows with more requests than operators tolerate."""
        tolerance = RateTolerance(window=5.0, overshoot=0.1, slack=20.0)
        team = Team(name="t", rate=rate, burst=max(1.0, rate))
        widened = add_tolerance(team, tolerance)
        max_requests = widened.burst + widened.rate * tolerance.window
        assert max_requests <= (team.rate * 5.0 + team.burst) * 1.1 + 20.0
        assert widened.burst > team.burst
