"""Watches the keys under a prefix of the store."""

import abc
import asyncio
import logging
import random
from collections.abc import Callable

from fireflyspread.exceptions import HistoryLostError, StoreError
from fireflyspread.recovery._store import Change, ChangeSource, Entry

__all__ = ["PrefixFollower", "PrefixListener"]

_LOG = logging.getLogger(__name__)

# Backoff while the store does not answer. The maximum is small compared to the 2 s
# within which a configuration must apply, also after an outage. Followers of less
# urgent prefixes have a longer maximum.
_MIN_BACKOFF_SECONDS = 0.05
_MAX_BACKOFF_SECONDS = 0.4
# Seconds that a watch waits while the store is unavailable. A store that accepts
# watches and does not answer them is known to be available again only at the end of
# the first watch that it answers.
_OUTAGE_WATCH_SECONDS = 0.2


class PrefixListener(abc.ABC):
    """Receives entries and changes from a follower."""

    @abc.abstractmethod
    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Replace the known entries by ``entries``."""

    @abc.abstractmethod
    def apply(self, change: Change) -> None:
        """Apply one change."""

    def handle_revision(self, revision: int) -> None:
        """Called after entries or changes, with the revision that they reach."""
        return None

    def handle_outage(self) -> None:
        """Called when the store has stopped answering."""
        return None

    def handle_reconnect(self) -> None:
        """Called when the store answers again, before newer entries are passed."""
        return None


class PrefixFollower:
    """Passes the entries under a prefix to a listener, and then their changes.

    Parameters
    ----------
    wait : float
        Seconds that one watch waits for changes; bounds the time until a connection
        without answers is noticed.
    batch_delay : callable or None
        Returns the seconds to wait after changes before the next call, so that a burst
        of changes takes few calls.
    max_backoff : float
        Longest time between calls, in seconds, while the store does not answer. Before
        the entries have been read, it is 0.4 s at most.
    """

    def __init__(
        self,
        store: ChangeSource,
        prefix: str,
        listener: PrefixListener,
        *,
        rng: random.Random,
        wait: float,
        batch_delay: Callable[[], float] | None = None,
        max_backoff: float = _MAX_BACKOFF_SECONDS,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._rng = rng
        self._wait = wait
        self._batch_delay = batch_delay
        self._max_backoff = max_backoff
        self._is_store_unavailable = False
        self._revision: int | None = None

    @property
    def is_store_unavailable(self) -> bool:
        """Whether the last call to the store failed."""
        return self._is_store_unavailable

    async def run(self) -> None:
        """Follow until cancelled."""
        delay = _MIN_BACKOFF_SECONDS
        while True:
            try:
                await self._step()
                delay = _MIN_BACKOFF_SECONDS
            except HistoryLostError:
                _LOG.warning(
                    "the store no longer has the changes of %s; reading all entries",
                    self._prefix,
                )
                self._revision = None
            except StoreError as exc:
                self._handle_outage(exc)
                await asyncio.sleep(self._rng.uniform(0.5, 1.0) * delay)
                delay = min(2 * delay, self._get_max_backoff())
            except Exception:
                # If the follower ended, the node would work with outdated entries.
                _LOG.exception("watch of %s failed; restarting it", self._prefix)
                self._revision = None
                await asyncio.sleep(_MAX_BACKOFF_SECONDS)

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._store.read_snapshot(self._prefix)
            self._handle_reconnect()
            self._listener.replace(snapshot.entries)
            self._revision = snapshot.revision
            self._listener.handle_revision(self._revision)
            return
        wait = (
            min(self._wait, _OUTAGE_WATCH_SECONDS)
            if self._is_store_unavailable
            else self._wait
        )
        changes, self._revision = await self._store.wait_changes(
            self._prefix, self._revision, wait=wait
        )
        self._handle_reconnect()
        for change in changes:
            self._listener.apply(change)
        self._listener.handle_revision(self._revision)
        if changes and self._batch_delay is not None:
            await asyncio.sleep(self._batch_delay())

    def _get_max_backoff(self) -> float:
        if self._revision is None:
            return min(self._max_backoff, _MAX_BACKOFF_SECONDS)
        return self._max_backoff

    def _handle_outage(self, exc: StoreError) -> None:
        if not self._is_store_unavailable:
            self._is_store_unavailable = True
            _LOG.warning(
                "store unavailable, watch of %s interrupted: %s", self._prefix, exc
            )
            self._listener.handle_outage()

    def _handle_reconnect(self) -> None:
        if self._is_store_unavailable:
            self._is_store_unavailable = False
            _LOG.info("store available again, watch of %s resumed", self._prefix)
            self._listener.handle_reconnect()
