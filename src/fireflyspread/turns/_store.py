"""Turns in the platform's store."""

import itertools
from collections.abc import Iterable, Sequence

import xxhash

from fireflyspread.clock import Clock
from fireflyspread.exceptions import StoreError
from fireflyspread.recovery import SnapshotStore
from fireflyspread.turns._turn import CLOCK_MARGIN, Turn, decode_turn, encode_turn

__all__ = ["TurnStore", "count_batch"]

# Entries of one transaction of the store, and bytes of their values.
_MAX_BATCH_TURNS = 32
_MAX_BATCH_BYTES = 512 * 1024
_PREFIX = "turns/"
# Seconds that a lease lasts beyond the retention of a turn written at its start, so
# that one lease serves many writes.
_LEASE_MARGIN_SECONDS = 30


def count_batch(turns: Iterable[Turn]) -> int:
    """Return how many of the first turns one write may hold; one at least."""
    count = size = 0
    for turn in itertools.islice(turns, _MAX_BATCH_TURNS):
        size += turn.size
        if count and size > _MAX_BATCH_BYTES:
            break
        count += 1
    return count


class TurnStore:
    """Writes turns under leases that remove them after their retention."""

    def __init__(self, store: SnapshotStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._lease = 0
        self._lease_until = 0.0

    async def write(self, turns: Sequence[Turn]) -> None:
        """Write a batch of turns, see ``count_batch``, with one call.

        A turn never changes, so a repeated or late write does no harm.

        Raises
        ------
        StoreError
            The turns may not have been written.
        """
        retention = max(turn.retention for turn in turns) + CLOCK_MARGIN
        now = self._clock.read_monotonic()
        if self._lease_until < now + retention:
            ttl = int(retention) + _LEASE_MARGIN_SECONDS
            self._lease = await self._store.grant_lease(ttl)
            self._lease_until = now + ttl
        items = {_make_key(turn.id): encode_turn(turn) for turn in turns}
        try:
            await self._store.put_all(items, lease=self._lease)
        except StoreError:
            # The store may have lost the lease.
            self._lease_until = 0.0
            raise

    async def find(self, turn_id: str) -> Turn | None:
        """Return a turn; None if the store does not have it.

        Raises
        ------
        StoreError
            The store did not answer, or its value cannot be read.
        """
        entry = await self._store.read(_make_key(turn_id))
        if entry is None:
            return None
        try:
            turn = decode_turn(entry.value)
        except ValueError as exc:
            raise StoreError(f"{entry.key} is not a turn: {exc}") from exc
        return turn if turn.id == turn_id else None


def _make_key(turn_id: str) -> str:
    # Ids come from callers; a key of the store has at most 200 bytes.
    return _PREFIX + xxhash.xxh3_128_hexdigest(turn_id.encode())
