"""Trials of suspected requests, one at a time over all nodes."""

import abc
import asyncio
import logging
from collections.abc import Callable, Iterable
from weakref import WeakValueDictionary

from attrs import field, frozen

from fireflyspread._ranking import rank_nodes
from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError

__all__ = ["Trial", "TrialPeers", "TrialTable", "Trials"]

_LOG = logging.getLogger(__name__)

# Nodes that are asked for a trial: the first of the ranking, and the second one if the
# first does not answer.
_MAX_ASKED_NODES = 2
# Seconds during which a node that did not answer is skipped.
_UNREACHABLE_BACKOFF = 1.0
# Seconds between checks whether a trial is still needed while another request has one,
# and checks between attempts to get it, which take messages.
_CHECK_INTERVAL = 0.01
_MAX_CHECKS = 15
# Seconds for which an answered fingerprint needs no trial, until the other nodes know.
_CLEARED_SECONDS = 2.0
# Fingerprints after which those that are over are dropped.
_MAX_ENTRIES = 1024


@frozen
class _Holder:
    """The request that is on trial; ``until`` is in monotonic seconds."""

    request: str
    until: float


class TrialTable:
    """The trials that this node grants.

    A fingerprint whose request was answered needs no trial for a while: the evidence
    against it is gone, which the other nodes learn a little later.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._holders: dict[str, _Holder] = {}
        self._cleared_until: dict[str, float] = {}

    def begin(self, fingerprint: str, request: str, *, seconds: float) -> bool:
        """Return whether a request may run now.

        Parameters
        ----------
        request : str
            Unique to the trial.
        seconds : float
            Time after which the trial ends by itself, because its node may have failed.
        """
        now = self._clock.read_monotonic()
        self._drop_expired(now)
        holder = self._holders.get(fingerprint)
        if holder is not None and holder.until > now:
            return False
        if self._cleared_until.get(fingerprint, 0.0) <= now:
            self._holders[fingerprint] = _Holder(request, now + seconds)
        return True

    def end(self, fingerprint: str, request: str, *, is_answered: bool) -> None:
        """End a trial, so that another one may begin."""
        holder = self._holders.get(fingerprint)
        if holder is not None and holder.request == request:
            del self._holders[fingerprint]
        if is_answered:
            now = self._clock.read_monotonic()
            self._cleared_until[fingerprint] = now + _CLEARED_SECONDS

    def _drop_expired(self, now: float) -> None:
        if len(self._holders) + len(self._cleared_until) <= _MAX_ENTRIES:
            return
        self._holders = {f: h for f, h in self._holders.items() if h.until > now}
        self._cleared_until = {f: t for f, t in self._cleared_until.items() if t > now}


class TrialPeers(abc.ABC):
    """Requests to the trial tables of other nodes."""

    @abc.abstractmethod
    async def begin(
        self, node: str, fingerprint: str, request: str, *, seconds: float
    ) -> bool:
        """Ask ``node`` for a trial; raises ``PeerError``."""

    @abc.abstractmethod
    async def end(
        self, node: str, fingerprint: str, request: str, *, is_answered: bool
    ) -> None:
        """Report the end of a trial to ``node``; raises ``PeerError``."""


@frozen(kw_only=True, eq=False)
class Trial:
    """Permission to run one request that may crash its replica.

    Attributes
    ----------
    node : str
        Node that has granted it.
    lock : asyncio.Lock
        Held, so that equal requests of this node wait without messages.
    """

    fingerprint: str
    request: str
    node: str
    lock: asyncio.Lock = field(repr=False)


class Trials:
    """Lets requests that were in flight at a crash run one at a time over all nodes.

    Otherwise each node would send copies of such a request until it knows of the next
    crash, which takes seconds if the replica ends late or silently. The node that
    grants the trials of a fingerprint is chosen by rendezvous hashing. If neither it
    nor the next one answers, this node grants them itself.

    Attributes
    ----------
    running : int
        Requests of this node that are on trial.
    """

    def __init__(
        self,
        table: TrialTable,
        peers: TrialPeers,
        *,
        node: str,
        clock: Clock,
        list_members: Callable[[], Iterable[str]],
    ) -> None:
        self._table = table
        self._peers = peers
        self._node = node
        self._clock = clock
        self._list_members = list_members
        self._locks: WeakValueDictionary[str, asyncio.Lock] = WeakValueDictionary()
        self._unreachable_until: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.running = 0

    async def begin(
        self,
        fingerprint: str,
        request: str,
        *,
        seconds: float,
        max_wait: float,
        is_needed: Callable[[], bool],
    ) -> Trial | None:
        """Wait until a request may run, and return its trial.

        Parameters
        ----------
        seconds : float
            Maximum length of the trial.
        max_wait : float
            Seconds.
        is_needed : callable
            Returns whether the request still needs a trial.

        Returns
        -------
        Trial or None
            None if no trial is needed any more.

        Raises
        ------
        TimeoutError
            Another equal request was on trial all the time.
        """
        lock = self._locks.get(fingerprint)
        if lock is None:
            lock = self._locks[fingerprint] = asyncio.Lock()
        async with asyncio.timeout(max_wait):
            await lock.acquire()
            node = None
            try:
                while node is None and is_needed():
                    node = await self._ask_nodes(fingerprint, request, seconds)
                    if node is None:
                        await self._wait_for_retry(is_needed)
            finally:
                if node is None:
                    lock.release()
        if node is None:
            return None
        self.running += 1
        _LOG.info(
            "request on trial",
            extra={"request": request, "fingerprint": fingerprint, "node": node},
        )
        return Trial(fingerprint=fingerprint, request=request, node=node, lock=lock)

    async def _wait_for_retry(self, is_needed: Callable[[], bool]) -> None:
        """Wait for the next attempt, or until no trial is needed any more.

        The answer to the request on trial is known here before its trial ends.
        """
        for _ in range(_MAX_CHECKS):
            if not is_needed():
                break
            await asyncio.sleep(_CHECK_INTERVAL)

    async def _ask_nodes(
        self, fingerprint: str, request: str, seconds: float
    ) -> str | None:
        """Return the node that grants a trial; None if another request has one."""
        ranking = rank_nodes(self._list_members(), fingerprint)
        for node in ranking[:_MAX_ASKED_NODES]:
            if node == self._node:
                break
            now = self._clock.read_monotonic()
            if self._unreachable_until.get(node, 0.0) > now:
                continue
            try:
                is_granted = await self._peers.begin(
                    node, fingerprint, request, seconds=seconds
                )
            except asyncio.CancelledError:
                # The node may have granted the trial.
                self._start_report(node, fingerprint, request, is_answered=False)
                raise
            except PeerError as exc:
                _LOG.info("trial not granted by another node: %s", exc)
                # Its answer may be lost.
                self._start_report(node, fingerprint, request, is_answered=False)
                self._unreachable_until[node] = now + _UNREACHABLE_BACKOFF
                continue
            return node if is_granted else None
        is_granted = self._table.begin(fingerprint, request, seconds=seconds)
        return self._node if is_granted else None

    def end(self, trial: Trial, *, is_answered: bool) -> None:
        """End a trial, so that another equal request may run."""
        trial.lock.release()
        self.running -= 1
        if trial.node == self._node:
            self._table.end(trial.fingerprint, trial.request, is_answered=is_answered)
            return
        self._start_report(
            trial.node, trial.fingerprint, trial.request, is_answered=is_answered
        )

    def _start_report(
        self, node: str, fingerprint: str, request: str, *, is_answered: bool
    ) -> None:
        task = asyncio.create_task(
            self._report_end(node, fingerprint, request, is_answered)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _report_end(
        self, node: str, fingerprint: str, request: str, is_answered: bool
    ) -> None:
        try:
            await self._peers.end(node, fingerprint, request, is_answered=is_answered)
        except PeerError as exc:
            # The trial ends there after its time.
            _LOG.info("end of a trial not reported: %s", exc)

    async def close(self) -> None:
        """Stop reporting."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
