"""Tests of the record of versions that targets recently had."""

import asyncio
import contextlib

from fireflyspread.clock import ManualClock
from fireflyspread.forwarding import VERSION_RETENTION, VersionMemory
from fireflyspread.loans._version_record import VersionRecord
from tests.recovery.snapshot_store import MemoryStore

# Real seconds, more than the record needs to be written.
_SETTLE_SECONDS = 0.1


class _Keeper:
    """One loan server's memory and record."""

    def __init__(
        self, store: MemoryStore, clock: ManualClock, *, is_first: bool = False
    ) -> None:
        self.versions = VersionMemory(clock)
        self.record = VersionRecord(
            store, self.versions, clock, is_first_start=is_first
        )

    async def run(self, **reported: list[str]) -> None:
        """Run for a short time in which nodes report versions of targets."""
        self.versions.add(reported)
        self.record.update()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(_SETTLE_SECONDS):
                await self.record.run()


class TestVersionRecord:
    async def test_versions_are_known_after_a_restart(self):
        """Guards against a version that is forgotten with all processes."""
        clock, store = ManualClock(), MemoryStore()
        await _Keeper(store, clock, is_first=True).run(models=["v1", "v2"])
        restarted = _Keeper(store, clock)
        assert not restarted.record.is_complete
        await restarted.run(models=["v2"])
        assert restarted.record.is_complete
        assert restarted.versions.list_for("models") == ["v1", "v2"]

    async def test_missing_record_is_complete_at_the_first_start_only(self):
        """Guards against a loan server that takes a missing record for an answer."""
        clock, store = ManualClock(), MemoryStore()
        first, later = _Keeper(store, clock, is_first=True), _Keeper(store, clock)
        await later.run()
        await first.run()
        assert first.record.is_complete
        assert not later.record.is_complete
        clock.advance(VERSION_RETENTION)
        assert later.record.is_complete

    async def test_versions_that_left_are_removed(self):
        """Guards against streams that are refused because of a release of long ago."""
        clock, store = ManualClock(), MemoryStore()
        keeper = _Keeper(store, clock, is_first=True)
        await keeper.run(models=["v1", "v2"])
        for _ in range(5):
            clock.advance(VERSION_RETENTION / 5 + 1)
            await keeper.run(models=["v2"])
        restarted = _Keeper(store, clock)
        await restarted.run()
        assert restarted.versions.list_for("models") == ["v2"]

    async def test_versions_stay_while_nobody_reports(self):
        """Guards against a cut-off loan server that removes versions."""
        clock, store = ManualClock(), MemoryStore()
        keeper = _Keeper(store, clock, is_first=True)
        await keeper.run(models=["v1", "v2"])
        clock.advance(VERSION_RETENTION + 1)
        await keeper.run()
        restarted = _Keeper(store, clock)
        await restarted.run()
        assert restarted.versions.list_for("models") == ["v1", "v2"]

    async def test_two_loan_servers_write_one_record(self):
        """Guards against a loan server that overwrites what another one wrote."""
        clock, store = ManualClock(), MemoryStore()
        first = _Keeper(store, clock, is_first=True)
        second = _Keeper(store, clock, is_first=True)
        await asyncio.gather(first.run(models=["v1"]), second.run(orders=["v7"]))
        restarted = _Keeper(store, clock)
        await restarted.run()
        assert restarted.versions.list_for("models") == ["v1"]
        assert restarted.versions.list_for("orders") == ["v7"]

    async def test_cut_off_loan_server_learns_what_others_wrote(self):
        """Guards against a loan server that missed a version and says it knows all."""
        clock, store = ManualClock(), MemoryStore()
        cut, other = (_Keeper(store, clock, is_first=True) for _ in range(2))
        await other.run(models=["v1"])
        await cut.run(models=["v1"])
        clock.advance(60)
        await other.run(models=["v1", "v2"])
        cut.record.check_contact()
        assert not cut.record.is_complete
        await cut.run(models=["v2"])
        assert cut.record.is_complete
        assert cut.versions.list_for("models") == ["v1", "v2"]

    async def test_versions_that_another_one_wrote_stay(self):
        """Guards against a loan server that drops a version it was not told of."""
        clock, store = ManualClock(), MemoryStore()
        first, second = (_Keeper(store, clock, is_first=True) for _ in range(2))
        await first.run(models=["v1"])
        await second.run(models=["v1"])
        await second.run(models=["v1", "v2"])
        await first.run(models=["v1", "v3"])
        restarted = _Keeper(store, clock)
        await restarted.run()
        assert restarted.versions.list_for("models") == ["v1", "v2", "v3"]
