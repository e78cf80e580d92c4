"""Tests of placement by the prompt parts in the KV caches of replicas."""

import random

from fireflyspread.bundle import Replica
from fireflyspread.routing import PromptCache, PromptPlacement, Work
from fireflyspread.routing._placement import ReplicaState

SHARED = ("s", 500)


def _make_states(count: int, concurrency: int = 16) -> list[ReplicaState]:
    return [
        ReplicaState(
            replica=Replica(name=f"r{n}", url="http://10.0.0.1:80", zone="z", vm="v"),
            concurrency=concurrency,
        )
        for n in range(count)
    ]


def _make_work(program: str, own: int) -> Work:
    return Work(
        request="r",
        team="t",
        weight=1.0,
        program=program,
        fingerprint="f",
        cost=10.0,
        deadline=10.0,
        parts=(SHARED, (program, own)),
    )


class TestPromptCache:
    def test_part_after_a_missing_one_is_computed(self):
        """Guards against counting a cached part that the replica cannot use."""
        cache = PromptCache(1000)
        cache.add([("a", 100), ("b", 100)])
        assert cache.count_uncached([("x", 50), ("b", 100)]) == 150

    def test_growing_part_is_computed_from_its_cached_length(self):
        """Guards against counting a session as new at each turn."""
        cache = PromptCache(1000)
        cache.add([("a", 100), ("b", 100)])
        assert cache.count_uncached([("a", 100), ("b", 160)]) == 60

    def test_oldest_parts_are_evicted(self):
        """Guards against an estimate of the cache that only grows."""
        cache = PromptCache(250)
        for part in "abc":
            cache.add([(part, 100)])
        assert cache.count_uncached([("a", 100)]) == 100
        assert cache.count_uncached([("c", 100)]) == 0


class TestPromptPlacement:
    def test_program_stays_on_its_replica(self):
        """Guards against computing histories again at each turn."""
        placement, states = PromptPlacement(random.Random(1)), _make_states(5)
        chosen = {
            placement.choose(_make_work("p", own), states, None, 0.0).replica.name
            for own in (300, 600, 900)
        }
        assert len(chosen) == 1

    def test_nodes_agree_without_communication(self):
        """Guards against computing a history once per node, on different replicas."""
        states = _make_states(5)
        for program in ("p1", "p2", "p3", "p4"):
            chosen = {
                PromptPlacement(random.Random(n))
                .choose(_make_work(program, 600), states, None, 0.0)
                .replica.name
                for n in range(4)
            }
            assert len(chosen) == 1

    def test_busy_replica_is_avoided(self):
        """Guards against programs that wait for their replica while others are idle."""
        placement, states = PromptPlacement(random.Random(1)), _make_states(3)
        first = placement.choose(_make_work("p", 300), states, None, 0.0)
        first.running = 16
        first.service_seconds = 0.2
        other = placement.choose(_make_work("p", 600), states, None, 0.0)
        assert other is not first

    def test_programs_spread(self):
        """Guards against placing most programs on one replica."""
        placement, states = PromptPlacement(random.Random(1)), _make_states(4)
        counts = {state.replica.name: 0 for state in states}
        for n in range(200):
            state = placement.choose(_make_work(f"p{n}", 300), states, None, 0.0)
            counts[state.replica.name] += 1
        assert max(counts.values()) < 90
