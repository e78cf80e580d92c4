"""Tests of gateway processes with requests that crash replicas in different ways."""

import asyncio
import random
import signal

import pytest

from soak.cluster import Cluster
from tests.effort import scale_examples
from tests.gateway.crash_play import (
    MAX_CRASHES,
    MAX_LATE_SENDS,
    Play,
    Variant,
    check,
    play_variant,
)

_SEEDS = range(1, 1 + scale_examples(3))


class TestIdentities:
    @pytest.mark.parametrize("returns_as", ["new", "same", "unregistered"])
    @pytest.mark.parametrize("replicas", [1, 2, 6])
    async def test_crashes_of_one_replica_count_each_time(
        self, tmp_path, replicas, returns_as
    ):
        """Guards against requests that few replicas run without an end."""
        variant = Variant(replicas=replicas, returns_as=returns_as)
        play, records = await play_variant(tmp_path, variant)
        check(play, records)
        end = max(record.late_after for record in records)
        late = [status for at, status in play.others if at > end + 1.0]
        assert len(late) > 10
        assert set(late) == {200}

    @pytest.mark.parametrize("kind", ["safe", "stream"])
    async def test_crashes_count_for_each_kind_of_route(self, tmp_path, kind):
        """Guards against repeatable requests that one replica runs without an end."""
        variant = Variant(replicas=1, returns_as="unregistered", kind=kind)
        play, records = await play_variant(tmp_path, variant)
        check(play, records)

    async def test_silent_crashes_count_each_time(self, tmp_path):
        """Guards against a single replica that falls silent without an end."""
        variant = Variant(replicas=1, returns_as="same", silent=True)
        play, records = await play_variant(tmp_path, variant)
        check(play, records)

    @pytest.mark.parametrize(
        ("kind", "method"),
        [
            ("safe", "GET"),
            ("safe", "PUT"),
            ("unsafe", "DELETE"),
            ("stream", "GET"),
        ],
    )
    async def test_crashes_count_for_each_method(self, tmp_path, kind, method):
        """Guards against crashes that a second send of the HTTP library hides."""
        variant = Variant(replicas=6, kind=kind, method=method)
        play, records = await play_variant(tmp_path, variant)
        check(play, records)


class TestCallersThatLeave:
    @pytest.mark.parametrize("delay", [0.5, 1.5])
    @pytest.mark.parametrize(
        ("replicas", "returns_as"),
        [(6, "new"), (6, "same"), (2, "unregistered"), (1, "same")],
    )
    async def test_crashes_after_the_caller_left_count(
        self, tmp_path, replicas, returns_as, delay
    ):
        """Guards against crashes that nothing in flight explains any more."""
        variant = Variant(
            replicas=replicas, returns_as=returns_as, patience=0.2, delay=delay
        )
        play, records = await play_variant(tmp_path, variant)
        check(play, records)

    @pytest.mark.parametrize("kind", ["safe", "stream"])
    async def test_crashes_count_for_each_kind_of_route(self, tmp_path, kind):
        """Guards against repeatable requests whose callers leave before a crash."""
        variant = Variant(replicas=4, kind=kind, patience=0.2, delay=0.5)
        play, records = await play_variant(tmp_path, variant)
        check(play, records)


class TestFailures:
    async def test_failures_of_another_replica_clear_nothing(self, tmp_path):
        """Guards against a faulty replica that ends each series with its errors."""
        variant = Variant(replicas=2, failing=2)
        play, records = await play_variant(tmp_path, variant)
        check(play, records)


class _RandomFaults:
    """Changes how replicas crash, and kills nodes, while a play runs."""

    def __init__(self, cluster: Cluster, rng: random.Random) -> None:
        self._cluster = cluster
        self._rng = rng

    async def change_replicas(self) -> None:
        """Change how a replica crashes next."""
        rng = self._rng
        replicas = [*self._cluster.models, *self._cluster.orders]
        while True:
            for replica in replicas:
                faults = replica.faults
                if faults.down:
                    continue
                faults.returns_as = rng.choice(["new", "same", "unregistered"])
                # Nothing tells a hung process from one that has ended and is back
                # unless it registers again.
                faults.crashes_silently = (
                    faults.returns_as != "unregistered" and rng.random() < 0.3
                )
                faults.crash_delay = rng.choice([0.0, 0.0, 0.1, 0.5, 1.0])
                faults.crash_seconds = rng.uniform(0.8, 2.0)
            await asyncio.sleep(0.3)

    async def kill_nodes(self) -> None:
        """Kill and restart a node from time to time."""
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 5.0))
            node = self._rng.choice(self._cluster.nodes)
            await node.stop(signal.SIGKILL)
            await node.start(is_first=False, wait_ready=False)

    async def interrupt_store(self) -> None:
        """Let the store refuse all calls from time to time."""
        faults = self._cluster.store.faults
        while True:
            await asyncio.sleep(self._rng.uniform(1.0, 5.0))
            faults.down = "refuse"
            await asyncio.sleep(self._rng.uniform(0.2, 1.5))
            faults.down = ""


class TestRandomVariants:
    @pytest.mark.parametrize("seed", _SEEDS)
    async def test_request_is_refused_however_it_crashes_replicas(self, tmp_path, seed):
        """Guards against a mix of crashes each of which is counted alone."""
        rng = random.Random(seed)
        variant = Variant(
            replicas=rng.choice([1, 2, 3, 6]),
            kind=rng.choice(["safe", "unsafe", "stream"]),
            count=rng.choice([1, 1, 2]),
            patiences=(0.15, 0.3, 1.0, 4.0),
        )
        async with Cluster(tmp_path, nodes=3, replicas=variant.replicas) as cluster:
            play = Play(cluster, variant, rng=rng)
            faults = _RandomFaults(cluster, rng)
            running = [asyncio.create_task(faults.change_replicas())]
            if seed % 2 == 0:
                running.append(asyncio.create_task(faults.kill_nodes()))
                running.append(asyncio.create_task(faults.interrupt_store()))
            records = await play.run()
            for task in running:
                task.cancel()
            await asyncio.gather(*running, return_exceptions=True)
        for record in records:
            assert record.count_late_sends() <= MAX_LATE_SENDS, record.describe()


class TestSeveralRequests:
    @pytest.mark.parametrize("patience", [0.2, 4.0])
    async def test_each_is_refused_after_its_crashes(self, tmp_path, patience):
        """Guards against requests that hide behind the crashes of others."""
        variant = Variant(replicas=6, count=4, patience=patience, delay=0.3)
        play, records = await play_variant(tmp_path, variant)
        # A request is also refused for the crashes that another one caused beside it.
        assert sum(len(record.crashes) for record in records) >= MAX_CRASHES
        for path, record in zip(play.statuses, records, strict=True):
            assert record.count_late_sends() <= MAX_LATE_SENDS, record.describe()
            assert play.count_refused(path) >= 10, record.describe()
