"""Tests of the limits that replicas name, and of the permits for their requests."""

import asyncio
import random
from collections.abc import Callable

import pytest

from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import PeerError, RateLimitedError
from fireflyspread.limits import (
    Demand,
    ReplicaLimiter,
    ReplicaLimits,
    TokenGrant,
    TokenPeers,
)
from fireflyspread.limits._replica_limiter import make_share_name

PROCESS = "m-1@m-1/1"
NAME = make_share_name(PROCESS)
# Seconds of a window, and the requests that all nodes may send in one.
WINDOW = 4.0


def get_allowed(limit: float) -> float:
    return 1.5 * limit * WINDOW + 5


class TestReplicaLimits:
    def test_answer_names_a_limit(self):
        """Guards against limits that are not stored."""
        limits = ReplicaLimits(ManualClock())
        limits.record(PROCESS, 2.5, sent_at=999.0)
        assert limits.find(PROCESS) == 2.5
        assert limits.list_rates() == {PROCESS: 2.5}

    def test_answer_without_a_limit_ends_it(self):
        """Guards against limits that last forever."""
        clock = ManualClock()
        limits = ReplicaLimits(clock)
        limits.record(PROCESS, 2.5, sent_at=clock.read_monotonic())
        clock.advance(1.0)
        limits.record(PROCESS, None, sent_at=clock.read_monotonic())
        assert limits.find(PROCESS) is None

    def test_answer_to_an_earlier_request_does_not_end_it(self):
        """Guards against a limit that ends because answers overtake each other."""
        clock = ManualClock()
        limits = ReplicaLimits(clock)
        limits.record(PROCESS, 2.5, sent_at=clock.read_monotonic())
        clock.advance(1.0)
        limits.record(PROCESS, None, sent_at=clock.read_monotonic() - 1.5)
        assert limits.find(PROCESS) == 2.5

    def test_newest_report_of_another_node_counts(self):
        """Guards against old reports that replace newer ones."""
        clock = ManualClock()
        limits = ReplicaLimits(clock)
        limits.merge("n-2", {PROCESS: (3.0, 0.5)})
        limits.merge("n-3", {PROCESS: (7.0, 2.0)})
        assert limits.find(PROCESS) == 3.0
        limits.merge("n-3", {PROCESS: (None, 0.1)})
        assert limits.find(PROCESS) is None

    def test_old_report_does_not_restore_an_ended_limit(self):
        """Guards against nodes that tell each other a limit that has ended."""
        clock = ManualClock()
        limits = ReplicaLimits(clock)
        limits.record(PROCESS, 2.5, sent_at=clock.read_monotonic())
        clock.advance(1.0)
        limits.record(PROCESS, None, sent_at=clock.read_monotonic())
        limits.merge("n-2", {PROCESS: (2.5, 0.9)})
        assert limits.find(PROCESS) is None

    def test_listeners_hear_changes_only(self):
        """Guards against messages for each answer of a limited replica."""
        clock = ManualClock()
        limits = ReplicaLimits(clock)
        calls: list[int] = []
        limits.add_listener(lambda: calls.append(1))
        for _ in range(5):
            limits.record(PROCESS, 2.5, sent_at=clock.read_monotonic())
            clock.advance(0.1)
        assert len(calls) == 1

    def test_unconfirmed_limit_is_forgotten(self):
        """Guards against state that grows with each replica that ever existed."""
        clock = ManualClock()
        limits = ReplicaLimits(clock)
        limits.record(PROCESS, 2.5, sent_at=clock.read_monotonic())
        clock.advance(301.0)
        limits.expire()
        assert limits.list_known() == {}


class _Peers(TokenPeers):
    """Requests permits from limiters in the same process."""

    def __init__(self, node: str, cluster: "_Cluster") -> None:
        self._node = node
        self._cluster = cluster
        self.asked = 0

    async def acquire(
        self,
        member: str,
        team: str,
        amount: float,
        epoch: int,
        *,
        max_wait: float = 0.0,
        demand: Demand | None = None,
    ) -> TokenGrant:
        self.asked += 1
        if {member, self._node} & self._cluster.unreachable:
            raise PeerError(f"{member} did not answer")
        limit = self._cluster.nodes[self._node].find_limit(team)
        return self._cluster.nodes[member].grant(
            team, limit, amount, epoch, requester=self._node, max_wait=max_wait
        )


class _Cluster:
    def __init__(self, count: int) -> None:
        self.clock = ManualClock()
        self.unreachable: set[str] = set()
        names = [f"n-{number}" for number in range(count)]
        self.peers = {name: _Peers(name, self) for name in names}
        self.nodes = {
            name: ReplicaLimiter(
                name, self.peers[name], clock=self.clock, rng=random.Random(name)
            )
            for name in names
        }
        for node in self.nodes.values():
            node.replace_members(names, since=-float("inf"))
        self.sends: list[float] = []

    def set_limit(self, limit: float, *names: str) -> None:
        for name in names or self.nodes:
            self.nodes[name].limits.record(
                PROCESS, limit, sent_at=self.clock.read_monotonic()
            )

    async def run(
        self, seconds: float, may_try: Callable[[str, float], bool] = lambda *_: True
    ) -> None:
        """Let all nodes send as often as they get permits."""
        end = self.clock.read_monotonic() + seconds
        while self.clock.read_monotonic() < end:
            for name, node in self.nodes.items():
                now = self.clock.read_monotonic()
                if not may_try(name, now) or node.read_pause(PROCESS):
                    continue
                try:
                    await node.acquire(PROCESS)
                except RateLimitedError:
                    continue
                self.sends.append(now)
            self.clock.advance(0.01)

    def find_busiest(self) -> int:
        return max(
            (sum(at <= o < at + WINDOW for o in self.sends) for at in self.sends),
            default=0,
        )


class TestReplicaLimiter:
    @pytest.mark.parametrize("count", [1, 3, 12])
    @pytest.mark.parametrize("limit", [0.0, 0.3, 1.0, 5.5, 60.0])
    async def test_all_nodes_together_keep_the_limit(self, count, limit):
        """Guards against a limit below the number of nodes that each node rounds up."""
        cluster = _Cluster(count)
        cluster.set_limit(limit)
        await cluster.run(12.0)
        assert cluster.find_busiest() <= get_allowed(limit)
        assert len(cluster.sends) >= 0.8 * limit * 12.0

    async def test_one_busy_node_uses_the_whole_limit(self):
        """Guards against parts of the limit that idle nodes keep."""
        cluster = _Cluster(4)
        cluster.set_limit(8.0)
        await cluster.run(10.0, lambda name, now: name == "n-2")
        assert len(cluster.sends) >= 0.8 * 8.0 * 10.0
        assert cluster.find_busiest() <= get_allowed(8.0)

    async def test_changed_limits_are_kept(self):
        """Guards against permits that outlive a higher limit."""
        cluster = _Cluster(4)
        cluster.set_limit(20.0)
        await cluster.run(3.0)
        cluster.set_limit(2.0)
        cluster.sends.clear()
        await cluster.run(8.0)
        assert cluster.find_busiest() <= get_allowed(2.0)

    async def test_lost_home_leaves_the_rest(self):
        """Guards against a replica that is unused while one of its homes is gone."""
        cluster = _Cluster(4)
        cluster.set_limit(8.0)
        cluster.unreachable.add("n-1")
        await cluster.run(10.0, lambda name, now: name != "n-1")
        assert len(cluster.sends) >= 0.6 * 8.0 * 10.0
        assert cluster.find_busiest() <= get_allowed(8.0)

    async def test_isolated_nodes_do_not_use_the_limit_each(self):
        """Guards against nodes that take the whole limit when they reach no other."""
        cluster = _Cluster(4)
        cluster.set_limit(4.0)
        cluster.unreachable.update(cluster.nodes)
        await cluster.run(10.0)
        assert cluster.find_busiest() <= get_allowed(4.0)

    async def test_home_grants_a_limit_that_it_does_not_know(self):
        """Guards against permits that wait until all nodes know a limit."""
        cluster = _Cluster(4)
        cluster.set_limit(4.0, "n-0")
        await cluster.run(2.0, lambda name, now: name == "n-0")
        assert len(cluster.sends) >= 4

    async def test_unlimited_replicas_need_no_permit(self):
        """Guards against messages for replicas that name no limit."""
        cluster = _Cluster(3)
        for _ in range(100):
            await cluster.nodes["n-0"].acquire(PROCESS)
        assert cluster.peers["n-0"].asked == 0

    async def test_one_request_at_a_time_asks(self):
        """Guards against a queue that asks for more permits than there are."""
        cluster = _Cluster(3)
        cluster.set_limit(1.0)
        node = cluster.nodes["n-0"]
        node.begin(PROCESS)
        assert node.read_pause(PROCESS) > 0
        node.cancel(PROCESS)
        assert node.read_pause(PROCESS) == 0

    async def test_messages_for_each_request_are_bounded(self):
        """Guards against nodes that ask on and on for a limit that is used up."""
        cluster = _Cluster(40)
        cluster.set_limit(5.0)
        await cluster.run(10.0)
        asked = sum(peers.asked for peers in cluster.peers.values())
        assert asked / len(cluster.sends) <= 40

    async def test_resend_waits_for_its_permit(self):
        """Guards against a broken stream that fails for a short wait."""
        cluster = _Cluster(1)
        cluster.set_limit(4.0)
        with pytest.raises(RateLimitedError):
            while True:
                await cluster.nodes["n-0"].acquire(PROCESS)
        started = asyncio.get_running_loop().time()
        await cluster.nodes["n-0"].acquire(PROCESS, max_wait=0.5)
        assert asyncio.get_running_loop().time() - started >= 0.02
