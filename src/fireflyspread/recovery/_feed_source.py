"""Gets changes from a feeder, or from the store if that fails."""

import abc
import asyncio
import logging
import random
from collections.abc import Callable, Collection

from attrs import define, field

from fireflyspread.clock import Clock
from fireflyspread.exceptions import HistoryLostError, PeerError, StoreError
from fireflyspread.recovery._change_log import ChangeLog
from fireflyspread.recovery._feed import FeedAnswer, FeedChoice, FeedStatus
from fireflyspread.recovery._roster import NodeAddress
from fireflyspread.recovery._store import Change, ChangeSource, Snapshot

__all__ = ["FeedPeers", "FeedSource"]

_LOG = logging.getLogger(__name__)

# Seconds for which a feeder holds a question about one of the prefixes without changes.
# Its answer shows that it is alive; a node notices a silent feeder after this and the
# timeout of the message, and then leaves it for all prefixes.
_HEARTBEAT_SECONDS = 0.4
# Seconds for which questions about other prefixes are held; each costs processor time.
_HOLD_SECONDS = 1.2
# Seconds for which a watch of a feeder waits at most. A connection to the store without
# answers is noticed after this and 0.45 s, also for prefixes with longer watches.
_FEEDER_WATCH_SECONDS = 1.5
# Age of a feeder's last answer from the store above which the feed lags: the longest
# watch, its timeout, the delay in which changes are collected, and 0.25 s of its own.
_MAX_AGE_SECONDS = 2.5
# Seconds over which nodes that have lost a feeder spread their calls to the store.
_JITTER_SECONDS = 0.1
# Seconds for which a watch waits that only reads what a feed may have missed, or begins
# to feed others.
_SHORT_WATCH_SECONDS = 0.1


class FeedPeers(abc.ABC):
    """Asks feeders for changes."""

    @abc.abstractmethod
    async def fetch(
        self, feeder: NodeAddress, prefix: str, after: int, *, wait: float
    ) -> FeedAnswer:
        """Return the changes after a revision, or nothing after ``wait`` seconds.

        Raises
        ------
        PeerError
            The feeder did not answer in time.
        """


class _FeedLostError(Exception):
    """A feeder does not deliver."""


class _GapError(_FeedLostError):
    """A feeder works, but does not know all changes since the revision asked for."""


@define(eq=False)
class _Watch:
    """A prefix that is watched, and its changes as told to other nodes.

    Attributes
    ----------
    is_live : bool
        Whether this node watches the store and knows all changes up to the revision of
        the log.
    is_failing : bool
        Whether the last call to the store failed.
    answered_at : float
        When the store last answered, here or to the feeder, in monotonic seconds.
    feeder : str
        The feeder that is followed; empty if none is.
    changed : asyncio.Event
        Set, and replaced, when there is something to tell.
    lost : asyncio.Event
        Set when the feeder failed for another prefix.
    """

    log: ChangeLog = field(factory=ChangeLog)
    is_live: bool = False
    is_failing: bool = False
    answered_at: float = float("-inf")
    feeder: str = ""
    changed: asyncio.Event = field(factory=asyncio.Event)
    lost: asyncio.Event = field(factory=asyncio.Event)

    def notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()


class FeedSource(ChangeSource):
    """Source of changes for a node, and feed for the nodes that ask this one.

    Revisions are those of the store, so a node moves between feeders and the store
    without missing or repeating changes. Nodes that follow a feeder do not feed others;
    each change takes one step.

    Parameters
    ----------
    heartbeat_prefix : str
        Prefix whose questions are answered soonest.
    list_members : callable
        Returns the nodes with a lease, this one included.

    Attributes
    ----------
    losses : int
        How often a feeder did not deliver.
    held : int
        Questions of other nodes that wait for changes now.
    """

    def __init__(
        self,
        store: ChangeSource,
        peers: FeedPeers,
        choice: FeedChoice,
        *,
        heartbeat_prefix: str,
        list_members: Callable[[], Collection[NodeAddress]],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._peers = peers
        self._choice = choice
        self._heartbeat_prefix = heartbeat_prefix
        self._list_members = list_members
        self._clock = clock
        self._rng = rng
        self._watches: dict[str, _Watch] = {}
        self.losses = 0
        self.held = 0

    def read_age(self) -> float:
        """Return the seconds since the store has answered, for the oldest prefix."""
        now = self._clock.read_monotonic()
        times = [watch.answered_at for watch in self._watches.values()]
        return now - min(times) if times else 0.0

    def count_followed(self) -> int:
        """Return the number of prefixes whose changes come from a feeder."""
        return sum(bool(watch.feeder) for watch in self._watches.values())

    def _get_watch(self, prefix: str) -> _Watch:
        return self._watches.setdefault(prefix, _Watch())

    async def read_snapshot(self, prefix: str) -> Snapshot:
        watch = self._get_watch(prefix)
        try:
            snapshot = await self._store.read_snapshot(prefix)
        except StoreError:
            self._stop_feeding(watch, is_failing=True)
            raise
        watch.log.reset(snapshot.revision)
        self._record_answer(watch)
        return snapshot

    async def wait_changes(
        self, prefix: str, revision: int, *, wait: float
    ) -> tuple[tuple[Change, ...], int]:
        watch = self._get_watch(prefix)
        members = self._list_members()
        feeder = self._choose(prefix, members)
        if feeder is None:
            if self._choice.is_delegate(members):
                wait = min(wait, _FEEDER_WATCH_SECONDS)
                if not watch.is_live:
                    wait = min(wait, _SHORT_WATCH_SECONDS)
            return await self._watch_store(watch, prefix, revision, wait)
        self._stop_feeding(watch, is_failing=False)
        try:
            return await self._follow(watch, feeder, prefix, revision)
        except _FeedLostError as exc:
            self._record_loss(watch, feeder, prefix, exc)
        await asyncio.sleep(self._rng.uniform(0.0, _JITTER_SECONDS))
        wait = min(wait, _SHORT_WATCH_SECONDS)
        return await self._watch_store(watch, prefix, revision, wait)

    def _choose(
        self, prefix: str, members: Collection[NodeAddress]
    ) -> NodeAddress | None:
        """Return the feeder to ask for a prefix; None to watch the store."""
        feeder = self._choice.choose(members)
        if feeder is None or prefix == self._heartbeat_prefix:
            return feeder
        # A feeder that may have failed is asked with the shortest timeout only.
        followed = self._get_watch(self._heartbeat_prefix).feeder
        return next((each for each in members if each.name == followed), None)

    async def _watch_store(
        self, watch: _Watch, prefix: str, revision: int, wait: float
    ) -> tuple[tuple[Change, ...], int]:
        watch.feeder = ""
        if watch.log.revision != revision:
            watch.log.reset(revision)
        try:
            changes, reached = await self._store.wait_changes(
                prefix, revision, wait=wait
            )
        except HistoryLostError:
            self._stop_feeding(watch, is_failing=False)
            raise
        except StoreError:
            self._stop_feeding(watch, is_failing=True)
            raise
        if self._choice.is_enabled(self._list_members()):
            watch.log.append(changes, reached)
        else:
            watch.log.reset(reached)
        self._record_answer(watch)
        return changes, reached

    def _record_answer(self, watch: _Watch) -> None:
        watch.is_live, watch.is_failing = True, False
        watch.answered_at = self._clock.read_monotonic()
        watch.notify()

    def _stop_feeding(self, watch: _Watch, *, is_failing: bool) -> None:
        was_feeding = watch.is_live or watch.is_failing != is_failing
        watch.is_live, watch.is_failing = False, is_failing
        if was_feeding:
            # A failure of one prefix ends the feed of all.
            for each in self._watches.values():
                each.notify()

    async def _follow(
        self, watch: _Watch, feeder: NodeAddress, prefix: str, revision: int
    ) -> tuple[tuple[Change, ...], int]:
        answer = await self._fetch(watch, feeder, prefix, revision)
        if answer.status is FeedStatus.GAP:
            raise _GapError("it does not know all changes since the last ones")
        if answer.status is not FeedStatus.OK:
            raise _FeedLostError(f"its watch is {answer.status}")
        if answer.age > _MAX_AGE_SECONDS:
            raise _FeedLostError(f"the store answered it {answer.age:.1f} s ago")
        self._choice.record_success(feeder.name)
        watch.answered_at = self._clock.read_monotonic() - answer.age
        if watch.feeder != feeder.name:
            watch.feeder = feeder.name
            _LOG.info(
                "changes come from a feeder",
                extra={"node": feeder.name, "prefix": prefix},
            )
        return answer.changes, max(revision, answer.revision)

    async def _fetch(
        self, watch: _Watch, feeder: NodeAddress, prefix: str, revision: int
    ) -> FeedAnswer:
        """Ask a feeder until it answers or has failed for another prefix."""
        is_heartbeat = prefix == self._heartbeat_prefix
        wait = _HEARTBEAT_SECONDS if is_heartbeat else _HOLD_SECONDS
        watch.lost.clear()
        lost = asyncio.ensure_future(watch.lost.wait())
        fetch = asyncio.ensure_future(
            self._peers.fetch(feeder, prefix, revision, wait=wait)
        )
        try:
            await asyncio.wait({fetch, lost}, return_when=asyncio.FIRST_COMPLETED)
            if not fetch.done():
                raise _FeedLostError("it failed for another prefix")
            return fetch.result()
        except PeerError as exc:
            raise _FeedLostError(exc.message) from exc
        finally:
            lost.cancel()
            fetch.cancel()

    def _record_loss(
        self, watch: _Watch, feeder: NodeAddress, prefix: str, exc: Exception
    ) -> None:
        self.losses += 1
        watch.feeder = ""
        if not isinstance(exc, _GapError):
            self._choice.record_failure(feeder.name)
            for each in self._watches.values():
                if each.feeder == feeder.name:
                    each.lost.set()
        _LOG.info(
            "feeder does not deliver, asking the store: %s",
            exc,
            extra={"node": feeder.name, "prefix": prefix},
        )

    async def serve(self, prefix: str, after: int, *, wait: float) -> FeedAnswer:
        """Answer another node: changes as soon as there are any, or a failure."""
        watch = self._watches.get(prefix)
        if watch is None:
            return FeedAnswer(status=FeedStatus.OFF)
        loop = asyncio.get_running_loop()
        end = loop.time() + min(wait, _HOLD_SECONDS)
        self.held += 1
        try:
            while True:
                changed = watch.changed
                answer = self._answer(watch, after)
                if answer.status is not FeedStatus.OK or answer.changes:
                    return answer
                try:
                    async with asyncio.timeout_at(end):
                        await changed.wait()
                except TimeoutError:
                    return self._answer(watch, after)
        finally:
            self.held -= 1

    def _answer(self, watch: _Watch, after: int) -> FeedAnswer:
        if any(each.is_failing for each in self._watches.values()):
            return FeedAnswer(status=FeedStatus.REFUSED)
        if not watch.is_live:
            return FeedAnswer(status=FeedStatus.OFF)
        try:
            changes, revision = watch.log.read(after)
        except HistoryLostError:
            return FeedAnswer(status=FeedStatus.GAP)
        age = self._clock.read_monotonic() - watch.answered_at
        return FeedAnswer(
            status=FeedStatus.OK, changes=changes, revision=revision, age=age
        )
