"""Replicas that fail or are slow are ejected for a limited time."""

import random

from fireflyspread.clock import ManualClock
from fireflyspread.routing import ReplicaHealth, Result


def make_health(replicas: int = 4) -> tuple[ManualClock, ReplicaHealth]:
    """Return the health of replicas ``r0``, ``r1`` ... and its clock."""
    clock = ManualClock()
    health = ReplicaHealth(clock)
    health.set_replicas([f"r{i}" for i in range(replicas)])
    return clock, health


class TestReplicaHealth:
    """ReplicaHealth."""

    def test_probe_readmits_a_replica(self) -> None:
        """Guards against a lasting ejection of a replica that was restarted."""
        clock, health = make_health()
        health.record("r0", Result.UNREACHABLE, 0.0)
        assert not health.may_use("r0")
        clock.advance(1)
        assert health.may_use("r0")
        health.start("r0")
        assert not health.may_use("r0")
        health.record("r0", Result.ANSWERED, 1.0)
        assert health.may_use("r0")

    def test_failed_probe_doubles_the_ejection(self) -> None:
        """Guards against probing a replica that stays down at a constant rate."""
        clock, health = make_health()
        health.record("r0", Result.UNREACHABLE, 0.0)
        clock.advance(1)
        health.start("r0")
        health.record("r0", Result.UNREACHABLE, 0.0)
        clock.advance(1.9)
        assert not health.may_use("r0")
        clock.advance(0.1)
        assert health.may_use("r0")

    def test_accepted_probe_is_enough_after_a_failure(self) -> None:
        """Guards against ejecting a replica until the long answer of its probe ends."""
        clock, health = make_health()
        health.record("r0", Result.CRASHED, 0.0)
        clock.advance(1)
        health.start("r0")
        clock.advance(1)
        assert health.may_use("r0")
        assert health.list_ejected() == ()

    def test_one_crash_counts_once(self) -> None:
        """Guards against a longer ejection when one crash cuts off several requests."""
        clock, health = make_health()
        for _ in range(8):
            health.record("r0", Result.CRASHED, 0.0)
        clock.advance(1)
        assert health.may_use("r0")

    def test_ejects_the_slow_one(self) -> None:
        """Guards against sending requests to a replica that is ten times slower."""
        _, health = make_health()
        for _ in range(9):
            for i in range(4):
                health.record(f"r{i}", Result.ANSWERED, 10.0 if i == 0 else 1.0)
        assert health.list_ejected() == ("r0",)

    def test_noise_is_not_slowness(self) -> None:
        """Guards against ejecting replicas because the times of their requests vary."""
        rng = random.Random(1)
        _, health = make_health()
        for _ in range(500):
            for i in range(4):
                health.record(f"r{i}", Result.ANSWERED, rng.expovariate(1.0))
            assert health.list_ejected() == ()

    def test_ejects_at_most_half_for_slowness(self) -> None:
        """Guards against ejecting all replicas when they are slow together."""
        _, health = make_health()
        for _ in range(9):
            for i in range(4):
                health.record(f"r{i}", Result.ANSWERED, 10.0 * 4**i)
        assert len(health.list_ejected()) <= 2

    def test_ejects_all_but_one_for_failures(self) -> None:
        """Guards against keeping failing replicas in use, or ejecting the last one.

        More may be ejected than for slowness, because a replica that is down looks
        idle and would attract all requests.
        """
        _, health = make_health()
        for i in range(4):
            health.record(f"r{i}", Result.UNREACHABLE, 0.0)
        assert len(health.list_ejected()) == 3
