"""Writes budget records to the store, through another node if the store refuses."""

import abc
import asyncio
import logging
import math
from collections.abc import Sequence

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, StoreError, StoreUncertainError
from fireflyspread.recovery import (
    Entry,
    SnapshotStore,
    Write,
    WriteCombiner,
    WriteConflictError,
)

__all__ = ["BudgetWriter", "WriteHelpers"]

_LOG = logging.getLogger(__name__)

# Seconds that a draw waits for the store. It answers in about 4 ms and can be 60 times
# slower; beyond that it counts as unavailable.
_STORE_TIMEOUT = 0.4
# The same while the last write has failed, so that a node which the store does not
# answer gets to the other nodes soon.
_RETEST_TIMEOUT = 0.1
# Seconds after a failed write during which writes go to other nodes only.
_STORE_BACKOFF = 0.25
# Seconds during which no other node is asked after none could write. They double with
# each failure, so that a store which is too busy gets fewer writes from everywhere.
_MIN_HELP_BACKOFF = 0.25
_MAX_HELP_BACKOFF = 1.0
# Nodes asked in turn to make a write. Each may be refused by the store too.
_MAX_HELPERS = 2


class WriteHelpers(abc.ABC):
    """Other nodes that write budget records on behalf of this one."""

    @abc.abstractmethod
    def choose(self, count: int) -> Sequence[str]:
        """Return up to ``count`` nodes to ask, those that wrote before first."""

    @abc.abstractmethod
    async def write_all(
        self, node: str, writes: Sequence[Write]
    ) -> int | tuple[Entry, ...]:
        """Have ``node`` make a transaction; see ``SnapshotStore.write_all``.

        Raises
        ------
        StoreError
            The node has not made the writes.
        PeerError
            The node did not answer; the writes may have taken effect.
        """


class _HelpedStore:
    """Transactions through other nodes, in the form that ``WriteCombiner`` needs.

    Every write is conditional on the revision of its key, so a transaction whose
    answer was lost can be repeated: one of the two takes effect at most.
    """

    def __init__(self, helpers: WriteHelpers) -> None:
        self._helpers = helpers

    async def write_all(self, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        return await self.write_at_most(writes, _MAX_HELPERS)

    async def write_at_most(
        self, writes: Sequence[Write], attempts: int
    ) -> int | tuple[Entry, ...]:
        is_uncertain = False
        reason = "no other node is known"
        for node in self._helpers.choose(attempts):
            try:
                return await self._helpers.write_all(node, writes)
            except (PeerError, StoreError) as exc:
                is_uncertain |= isinstance(exc, PeerError | StoreUncertainError)
                reason = exc.message
        error = StoreUncertainError if is_uncertain else StoreError
        raise error(f"no other node made the write: {reason}; retry")


class BudgetWriter:
    """Makes conditional writes of budget records.

    Parameters
    ----------
    helpers : WriteHelpers or None
        Nodes that write while the store does not accept this node's writes.

    Attributes
    ----------
    helped : int
        Writes made through other nodes so far.
    failed_at : float
        Monotonic seconds of the last write that the store did not accept.
    """

    def __init__(
        self, store: SnapshotStore, clock: Clock, helpers: WriteHelpers | None = None
    ) -> None:
        self._clock = clock
        self._combiner = WriteCombiner(store)
        self._helped_store: _HelpedStore | None = None
        if helpers is not None:
            self._helped_store = _HelpedStore(helpers)
            self._helped_combiner = WriteCombiner(self._helped_store)
        self._unavailable_until = -math.inf
        self._unhelped_until = -math.inf
        self._help_backoff = _MIN_HELP_BACKOFF
        self._has_failed = False
        self.failed_at = -math.inf
        self.helped = 0

    @property
    def is_store_unavailable(self) -> bool:
        """Whether a write to the store by this node has just failed."""
        return self._clock.read_monotonic() < self._unavailable_until

    @property
    def has_helpers(self) -> bool:
        """Whether writes go through other nodes if the store refuses them."""
        return self._helped_store is not None

    async def write(self, write: Write) -> int:
        """Make a write that may be repeated; return its revision.

        Raises
        ------
        WriteConflictError
            The key is not at the expected revision.
        StoreError
            Neither this node nor another one could make the write;
            ``StoreUncertainError`` if it may have taken effect.
        """
        if not self.is_store_unavailable:
            try:
                return await self._write_to_store(write, self._choose_timeout())
            except StoreError:
                if self._helped_store is None:
                    raise
        elif self._helped_store is None:
            raise StoreError(
                f"a write to the store failed within the last {_STORE_BACKOFF:g} s; "
                "ask another node"
            )
        return await self._write_through_others(write)

    async def write_once(self, write: Write) -> int:
        """Make a write that must not be repeated once its answer was lost."""
        try:
            return await self._write_to_store(write, _STORE_TIMEOUT)
        except StoreUncertainError:
            raise
        except StoreError:
            if self._helped_store is None:
                raise
        result = await self._helped_store.write_at_most([write], 1)
        if not isinstance(result, int):
            raise WriteConflictError(next(iter(result), None))
        self.helped += 1
        return result

    def _choose_timeout(self) -> float:
        if self._has_failed and self._helped_store is not None:
            return _RETEST_TIMEOUT
        return _STORE_TIMEOUT

    async def _write_to_store(self, write: Write, timeout: float) -> int:
        try:
            async with asyncio.timeout(timeout):
                revision = await self._combiner.write(write)
        except TimeoutError as exc:
            self.note_failure("no answer in time")
            raise StoreUncertainError(
                f"the store did not answer within {timeout:g} s; retry"
            ) from exc
        except StoreError as exc:
            self.note_failure(exc.message)
            raise
        if self._has_failed:
            self._has_failed = False
            _LOG.info("store accepts budget writes of this node again")
        return revision

    def note_failure(self, reason: str) -> None:
        """Record that the store did not accept a write of this node."""
        self.failed_at = self._clock.read_monotonic()
        self._unavailable_until = self.failed_at + _STORE_BACKOFF
        if not self._has_failed:
            self._has_failed = True
            _LOG.warning("store does not accept budget writes of this node: %s", reason)

    async def _write_through_others(self, write: Write) -> int:
        if self._clock.read_monotonic() < self._unhelped_until:
            raise StoreError("no node could write a moment ago; retry")
        try:
            revision = await self._helped_combiner.write(write)
        except StoreError:
            self._pause_help()
            raise
        self._help_backoff = _MIN_HELP_BACKOFF
        self.helped += 1
        return revision

    def _pause_help(self) -> None:
        """Ask no other node for a while; once for all writes that failed together."""
        now = self._clock.read_monotonic()
        if now >= self._unhelped_until:
            self._unhelped_until = now + self._help_backoff
            self._help_backoff = min(_MAX_HELP_BACKOFF, 2 * self._help_backoff)
