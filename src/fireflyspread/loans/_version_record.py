"""Record in the store of the versions that targets recently had."""

import asyncio
import contextlib
import logging

import msgspec

from fireflyspread.clock import Clock
from fireflyspread.exceptions import StoreError
from fireflyspread.forwarding import VERSION_RETENTION, VersionMemory
from fireflyspread.recovery import SnapshotStore

__all__ = ["VersionRecord"]

_LOG = logging.getLogger(__name__)

# No watch of the nodes covers this key.
_KEY = "targets/versions"
# Seconds between checks for versions that are gone.
_CHECK_INTERVAL = 10.0
# Seconds for which reports are collected before the record is written.
_WRITE_DELAY = 0.02
_RETRY_SECONDS = 0.5
# Seconds without a report after which versions may have been missed; nodes report
# every 10 s.
_MAX_SILENCE = 25.0

_DECODER = msgspec.json.Decoder(dict[str, list[str]])


class VersionRecord:
    """Keeps the versions that targets have, or recently had, in the store.

    The record outlives all nodes and loan servers, which may be lost at the same
    moment while an old version leaves. It is written when versions come and go only.

    Parameters
    ----------
    versions : VersionMemory
        What nodes reported; gets the versions of the record at the start.
    is_first_start : bool
        Whether the system never ran before, so that a missing record is complete.
    """

    def __init__(
        self,
        store: SnapshotStore,
        versions: VersionMemory,
        clock: Clock,
        *,
        is_first_start: bool,
    ) -> None:
        self._store = store
        self._versions = versions
        self._clock = clock
        self._is_first_start = is_first_start
        self._changed = asyncio.Event()
        self._recorded: dict[str, list[str]] = {}
        self._revision = 0
        self._is_read = False
        # When this process knows of all recent versions, in monotonic seconds.
        self._complete_at = clock.read_monotonic() + VERSION_RETENTION
        # When nodes reported, or the record was read, last.
        self._confirmed_at = clock.read_monotonic()

    @property
    def is_complete(self) -> bool:
        """Whether this process knows all versions that targets recently had."""
        return self._clock.read_monotonic() >= self._complete_at

    def update(self) -> None:
        """Check whether reported versions have to be written."""
        self.check_contact()
        self._confirmed_at = self._clock.read_monotonic()
        self._changed.set()

    def check_contact(self) -> None:
        """Read the record again if no node has reported for long.

        Versions may have come and left while this process was cut off.
        """
        now = self._clock.read_monotonic()
        if now > self._confirmed_at + _MAX_SILENCE and self._is_read:
            self._is_read = False
            self._complete_at = now + VERSION_RETENTION
            self._changed.set()

    async def run(self) -> None:
        """Read the record, then write changes to it until cancelled."""
        while True:
            self._is_read = self._is_read or await self._read()
            if not self._is_read or not await self._write_changes():
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_INTERVAL):
                    await self._changed.wait()
            await asyncio.sleep(_WRITE_DELAY)
            self._changed.clear()

    async def _read(self) -> bool:
        """Return whether the record was read."""
        try:
            entry = await self._store.read(_KEY)
        except StoreError as exc:
            _LOG.warning("versions of targets not read from the store: %s", exc)
            return False
        self._recorded, self._revision = {}, 0
        if entry is not None:
            self._revision = entry.revision
            try:
                self._recorded = _DECODER.decode(entry.value)
            except msgspec.DecodeError as exc:
                _LOG.error("versions of targets in the store are malformed: %s", exc)
                return True
        # Versions that left before count as recent from now on.
        self._versions.add(self._recorded)
        self._confirmed_at = self._clock.read_monotonic()
        if self.is_complete:
            return True
        if entry is not None or self._is_first_start:
            self._complete_at = self._clock.read_monotonic()
        _LOG.info(
            "versions of targets read from the store",
            extra={"versions": self._recorded, "revision": self._revision},
        )
        return True

    def _compute_record(self) -> dict[str, list[str]]:
        """Return the record with the reported versions and without those gone."""
        record = {target: set(names) for target, names in self._recorded.items()}
        for target in self._versions.list_targets():
            reported = set(self._versions.list_for(target))
            known = record.get(target, set())
            # Without reports since the start, nothing tells that a version is gone.
            is_current = self._versions.is_reported_within(target, _CHECK_INTERVAL * 2)
            record[target] = reported if is_current else reported | known
        return {target: sorted(names) for target, names in record.items()}

    async def _write_changes(self) -> bool:
        """Return whether the store has the current record."""
        while (record := self._compute_record()) != self._recorded:
            try:
                revision = await self._store.replace(
                    _KEY, msgspec.json.encode(record), revision=self._revision
                )
            except StoreError as exc:
                _LOG.warning("versions of targets not written to the store: %s", exc)
                # Reads the revision again, as the write may have been made.
                await self._read()
                return False
            if revision is not None:
                self._revision, self._recorded = revision, record
                _LOG.info(
                    "versions of targets written to the store",
                    extra={"versions": record, "revision": revision},
                )
            elif not await self._read():
                return False
        return True
