"""Tests of members and figures as the limiter of a gateway gets them."""

import random

import pytest

from fireflyspread.bundle import Team
from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import PeerError, RateLimitedError
from fireflyspread.gateway._rates import RateMembers, widen_rate
from fireflyspread.gateway._settings import RateTolerance
from fireflyspread.limits import ShareLimiter, TokenGrant, TokenPeers

TEAM = Team(name="lids", rate=100.0, burst=100.0)


class _NoPeers(TokenPeers):
    async def acquire(
        self, member: str, team: str, amount: float, epoch: int
    ) -> TokenGrant:
        raise PeerError("there are no others")


class Node:
    """The limiter of one node with its members."""

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
        self.members = RateMembers(
            node="a", clock=self.clock, is_first_start=is_first_start
        )
        self.limiter.set_teams({"lids": TEAM})

    def see(self, *names: str, is_returning: bool = False) -> None:
        """Take note of the members."""
        self.members.apply(frozenset(names), self.limiter, is_returning=is_returning)

    async def count(self) -> int:
        """Return how many requests pass at once."""
        passed = 0
        try:
            while passed < 1000:
                await self.limiter.acquire(TEAM)
                passed += 1
        except RateLimitedError:
            return passed
        return passed


class TestRateMembers:
    async def test_not_a_member_before_it_is_seen(self):
        """Guards against a node that is ready while it has no share."""
        node = Node(is_first_start=True)
        node.see("b")
        assert not node.members.is_member
        node.see("a", "b")
        assert node.members.is_member

    async def test_first_start_is_full(self):
        """Guards against refusals at the first moment of a system."""
        node = Node(is_first_start=True)
        node.see("a", "b")
        assert await node.count() == 50

    async def test_restarted_node_begins_empty_and_accrues_at_once(self):
        """Guards against a burst for each restart, and a share that waits."""
        node = Node(is_first_start=False)
        node.see("a", "b", is_returning=True)
        assert await node.count() == 0
        node.clock.advance(0.2)
        assert await node.count() == 10

    async def test_new_node_waits_until_the_others_use_less(self):
        """Guards against shares that add up to more than the rate."""
        node = Node(is_first_start=False)
        node.see("a", "b")
        node.clock.advance(2.9)
        assert await node.count() == 0
        node.clock.advance(0.3)
        assert 5 <= await node.count() <= 15

    async def test_share_shrinks_with_more_members(self):
        """Guards against a share that stays when others join."""
        node = Node(is_first_start=True)
        node.see("a")
        node.see("a", "b", "c", "d")
        assert await node.count() == 25


class TestWidenRate:
    @pytest.mark.parametrize("rate", [1.0, 20.0, 500.0])
    def test_stays_in_the_tolerance(self, rate):
        """Guards against windows with more requests than operators tolerate."""
        tolerance = RateTolerance(window=5.0, overshoot=0.1, slack=20.0)
        team = Team(name="t", rate=rate, burst=max(1.0, rate))
        wide = widen_rate(team, tolerance)
        most = wide.burst + wide.rate * tolerance.window
        assert most <= (team.rate * 5.0 + team.burst) * 1.1 + 20.0
        assert wide.burst > team.burst
