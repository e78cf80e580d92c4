"""Follows the keys under a prefix of the store."""

import abc
import asyncio
import logging
import random

from fireflyspread.exceptions import HistoryLostError, StoreError
from fireflyspread.recovery._store import Change, Entry, SnapshotStore

__all__ = ["PrefixFollower", "PrefixListener"]

_LOG = logging.getLogger(__name__)

# Seconds between attempts while the store does not answer. The longest keeps the
# delay after an outage small beside the 2 s in which a configuration must apply.
_FIRST_DELAY = 0.05
_MAX_DELAY = 0.4
# Seconds that a watch waits while the store is away. A silent store answers nothing,
# so its return shows at the end of the first watch that it does answer.
_AWAY_WAIT = 0.2


class PrefixListener(abc.ABC):
    """Takes what a follower learns."""

    @abc.abstractmethod
    def replace(self, entries: tuple[Entry, ...]) -> None:
        """Take over all entries."""

    @abc.abstractmethod
    def apply(self, change: Change) -> None:
        """Take over one change."""

    def note_outage(self) -> None:
        """Take note that the store does not answer."""
        return None

    def note_return(self) -> None:
        """Take note, before anything newer is told, that it answers again."""
        return None


class PrefixFollower:
    """Tells a listener the entries of a prefix and then their changes.

    Parameters
    ----------
    wait : float
        Seconds that one watch waits; bounds how long a silent connection is
        believed.
    pause : float
        Seconds after changes in which further ones gather, so that a burst of changes
        costs few calls.
    """

    def __init__(
        self,
        store: SnapshotStore,
        prefix: str,
        listener: PrefixListener,
        *,
        rng: random.Random,
        wait: float,
        pause: float = 0.0,
    ) -> None:
        self._store = store
        self._prefix = prefix
        self._listener = listener
        self._rng = rng
        self._wait = wait
        self._pause = pause
        self._is_away = False
        self._revision: int | None = None

    @property
    def is_away(self) -> bool:
        """Whether the store did not answer last time."""
        return self._is_away

    async def run(self) -> None:
        """Follow until cancelled."""
        delay = _FIRST_DELAY
        while True:
            try:
                await self._step()
                delay = _FIRST_DELAY
            except HistoryLostError:
                _LOG.warning("history of %s lost; reading all again", self._prefix)
                self._revision = None
            except StoreError as exc:
                self._note_outage(exc)
                await asyncio.sleep(self._rng.uniform(0.5, 1.0) * delay)
                delay = min(2 * delay, _MAX_DELAY)
            except Exception:
                # A follower that ends would leave the node on old knowledge.
                _LOG.exception("following %s failed; it starts again", self._prefix)
                self._revision = None
                await asyncio.sleep(_MAX_DELAY)

    async def _step(self) -> None:
        if self._revision is None:
            snapshot = await self._store.read_snapshot(self._prefix)
            self._note_return()
            self._listener.replace(snapshot.entries)
            self._revision = snapshot.revision
            return
        wait = min(self._wait, _AWAY_WAIT) if self._is_away else self._wait
        changes, self._revision = await self._store.wait_changes(
            self._prefix, self._revision, wait=wait
        )
        self._note_return()
        for change in changes:
            self._listener.apply(change)
        if changes and self._pause:
            await asyncio.sleep(self._pause)

    def _note_outage(self, exc: StoreError) -> None:
        if not self._is_away:
            self._is_away = True
            _LOG.warning("store lost while following %s: %s", self._prefix, exc)
            self._listener.note_outage()

    def _note_return(self) -> None:
        if self._is_away:
            self._is_away = False
            _LOG.info("store regained while following %s", self._prefix)
            self._listener.note_return()
