"""Tests of how long a gateway waits on a watch that reports no changes."""

import asyncio
import random

import pytest

from fireflyspread.exceptions import HistoryLostError
from fireflyspread.gateway import _node
from fireflyspread.recovery import Change, Entry, PrefixFollower, PrefixListener
from tests.recovery.snapshot_store import MemoryStore
from tests.routing.virtual_time import run_virtual

# Seconds within which operators expect a configuration to apply.
APPLY_SECONDS = 2.0


class _DiscardingStore(MemoryStore):
    """Discards its history; waiting watches get none of the discarded changes."""

    discards_from = float("inf")
    latency = 0.004

    async def read_snapshot(self, prefix):
        await asyncio.sleep(self.latency)
        return await super().read_snapshot(prefix)

    async def wait_changes(self, prefix, revision, *, wait):
        loop = asyncio.get_running_loop()
        is_behind = loop.time() >= self.discards_from and revision < self.revision
        if is_behind:
            await asyncio.sleep(self.latency)
            raise HistoryLostError("the history was discarded; read all again")
        await asyncio.sleep(wait)
        return (), revision


class _Listener(PrefixListener):
    def __init__(self) -> None:
        self.applied_at: float | None = None

    def replace(self, entries: tuple[Entry, ...]) -> None:
        if entries:
            self.applied_at = asyncio.get_running_loop().time()

    def apply(self, change: Change) -> None:
        raise AssertionError("the watch reported a change of the discarded history")


class TestOperatorsWatchTimeout:
    @pytest.mark.parametrize("phase", [0.0, 0.3, 0.75, 1.2])
    def test_configuration_missed_by_a_watch_applies_in_time(self, phase):
        """Guards against a waiting watch that misses changes of a discarded history.

        Seen on laminas-gt-grown scale-1 --seed 422639771068: the withdrawal of a key
        0.6 s after the store began to discard its history was unknown for 5 s.
        """

        async def scenario() -> float:
            loop = asyncio.get_running_loop()
            store, listener = _DiscardingStore(), _Listener()
            follower = PrefixFollower(
                store,
                "op/",
                listener,
                rng=random.Random(1),
                wait=_node._OPERATORS_WATCH_TIMEOUT,
            )
            task = asyncio.create_task(follower.run())
            # The third watch started shortly before.
            await asyncio.sleep(2 * _node._OPERATORS_WATCH_TIMEOUT + 0.1 + phase)
            store.discards_from = written_at = loop.time()
            store.put("op/config", b"{}")
            await asyncio.sleep(10.0)
            task.cancel()
            assert listener.applied_at is not None
            return listener.applied_at - written_at

        assert run_virtual(scenario()) <= APPLY_SECONDS
