"""Placement weighs the cached prefix against the delay."""

import random

from fireflyspread.bundle import Replica
from fireflyspread.routing import LoadReport, PrefixAwarePlacement, Work
from fireflyspread.routing._placement import ReplicaState


def make_state(name: str, *, running: int = 0, zone: str = "z") -> ReplicaState:
    """Return a replica with four slots that takes 8 s for each request."""
    return ReplicaState(
        replica=Replica(name=name, url="http://127.0.0.1:1", zone=zone, vm=name),
        concurrency=4,
        running=running,
        service_seconds=8.0,
    )


def make_work(prefix_tokens: int = 0) -> Work:
    """Return a request whose holder has ``prefix_tokens`` in its cache."""
    return Work(
        request="w",
        team="t",
        weight=1.0,
        program="p",
        fingerprint="w",
        cost=1.0,
        deadline=1e9,
        prefix_tokens=prefix_tokens,
    )


def make_report(running: int) -> LoadReport:
    """Return a load report."""
    return LoadReport(
        running=running, waiting=0, cache_used=0, cache_capacity=1, received_at=0.0
    )


class TestPrefixAwarePlacement:
    """PrefixAwarePlacement.choose."""

    def test_prefers_the_holder(self) -> None:
        """Guards against computing a prefix again to use a less loaded replica."""
        placement = PrefixAwarePlacement(random.Random(1))
        holder, other = make_state("h", running=3), make_state("o")
        chosen = placement.choose(make_work(8_000), [holder, other], holder, 0.0)
        assert chosen is holder

    def test_waits_for_a_full_holder(self) -> None:
        """Guards against computing a long prefix again to save a short wait."""
        placement = PrefixAwarePlacement(random.Random(1), prefill_rate=8_000)
        holder, other = make_state("h", running=4), make_state("o")
        assert placement.choose(make_work(24_000), [other], holder, 0.0) is None

    def test_gives_up_a_full_holder(self) -> None:
        """Guards against a wait that is longer than computing the prefix takes."""
        placement = PrefixAwarePlacement(random.Random(1), prefill_rate=8_000)
        holder, other = make_state("h", running=4), make_state("o")
        assert placement.choose(make_work(8_000), [other], holder, 0.0) is other
        assert placement.choose(make_work(24_000), [other], holder, 2.0) is other

    def test_zone_breaks_ties_only(self) -> None:
        """Guards against leaving the zone without need, or a busy replica in it."""
        placement = PrefixAwarePlacement(random.Random(1), zone="z")
        near, far = make_state("n"), make_state("f", zone="y")
        assert placement.choose(make_work(), [far, near], None, 0.0) is near
        near.running = 1
        assert placement.choose(make_work(), [far, near], None, 0.0) is far


class TestReplicaState:
    """ReplicaState.estimate_load."""

    def test_adds_own_requests_since_the_report(self) -> None:
        """Guards against an estimate without the requests sent since the last report.

        All nodes would send to the replica that was idle at that report.
        """
        state = make_state("a", running=2)
        state.report, state.running_at_report = make_report(3), 1
        assert state.estimate_load() == 4

    def test_guaranteed_slots(self) -> None:
        """Guards against other nodes keeping this one off a busy replica."""
        state = make_state("a")
        state.report = make_report(9)
        assert not state.is_full(guaranteed_slots=1)
        state.running = 1
        assert state.is_full(guaranteed_slots=1)
