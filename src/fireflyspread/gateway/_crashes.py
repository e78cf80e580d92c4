"""Crash reports: sent to the other nodes, and kept in the store over restarts."""

import asyncio
import contextlib
import logging
import random

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.exceptions import PeerError, StoreError
from fireflyspread.nodes import ExchangeCrashes, Message, PeerClient, PeerServer
from fireflyspread.recovery import (
    ROSTER_PREFIX,
    Change,
    Entry,
    PrefixListener,
    Roster,
    SnapshotStore,
    Write,
)
from fireflyspread.routing import CrashReport, Quarantine

__all__ = ["CRASHES_PREFIX", "CrashExchange"]

_LOG = logging.getLogger(__name__)

# Under the prefix of the roster, so that one watch covers both.
CRASHES_PREFIX = ROSTER_PREFIX + "crashes/"
# Seconds for one message; the latency between nodes is a few milliseconds.
_MESSAGE_TIMEOUT = 0.3
# Seconds for which changes are collected before a message or a write, unless they
# concern a suspect. Most requests in flight at a crash are answered elsewhere at once;
# if all are, there is nothing left to report.
_MESSAGE_DELAY = 0.1
_WRITE_DELAY = 0.5
# Seconds between messages, and between writes, that do not concern a suspect.
_INTERVAL = 1.0
# Seconds before the next attempt after the store or a node did not answer.
_RETRY_INTERVAL = 0.5
# Seconds between checks for the reports of nodes that are gone.
_CLEANUP_INTERVAL = 600.0
# Keys deleted in one transaction of the store.
_MAX_DELETED_KEYS = 32


class _Trigger:
    """Wakes a task after changes, at once if they are urgent.

    Parameters
    ----------
    delay : float
        Seconds for which further changes are collected.
    """

    def __init__(self, delay: float) -> None:
        self._delay = delay
        self._changed = asyncio.Event()
        self._urgent = asyncio.Event()
        self._woken_at = -float("inf")

    def set(self, *, urgent: bool) -> None:
        """Record a change."""
        self._changed.set()
        if urgent:
            self._urgent.set()

    async def wait(self) -> None:
        """Wait until the next changes are due."""
        await self._changed.wait()
        now = asyncio.get_running_loop().time()
        due = max(now + self._delay, self._woken_at + _INTERVAL)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(due):
                await self._urgent.wait()
        self._changed.clear()
        self._urgent.clear()
        self._woken_at = asyncio.get_running_loop().time()


class CrashExchange(PrefixListener):
    """Shares the crash reports of all nodes.

    Messages reach the other nodes at once, also while the store is unavailable. The
    store keeps the reports for nodes that start, and brings those that a message has
    not reached.
    """

    def __init__(
        self,
        client: PeerClient,
        roster: Roster,
        store: SnapshotStore,
        quarantine: Quarantine,
        *,
        node: str,
        incarnation: str,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._roster = roster
        self._store = store
        self._quarantine = quarantine
        self._node = node
        self._incarnation = incarnation
        self._rng = rng
        self._key = CRASHES_PREFIX + node
        self._revision = 0
        # Whether the last report of this node's previous process has been read.
        self._is_loaded = asyncio.Event()
        self._send_trigger = _Trigger(_MESSAGE_DELAY)
        self._write_trigger = _Trigger(_WRITE_DELAY)
        self._sent = CrashReport()
        self._stored = CrashReport()
        self._stored_keys: set[str] = set()
        quarantine.on_change = self._schedule

    def _schedule(self, is_urgent: bool) -> None:
        self._send_trigger.set(urgent=is_urgent)
        self._write_trigger.set(urgent=is_urgent)

    def register(self, server: PeerServer) -> None:
        """Handle the reports of other nodes."""

        async def exchange(message: ExchangeCrashes) -> Message:
            self._quarantine.merge(message.node, message.report)
            return self._make_message()

        server.register(ExchangeCrashes, exchange)

    def _make_message(self) -> ExchangeCrashes:
        return ExchangeCrashes(
            node=self._node,
            incarnation=self._incarnation,
            report=self._quarantine.make_report(),
        )

    def replace(self, entries: tuple[Entry, ...]) -> None:
        self._stored_keys = {entry.key for entry in entries}
        self._revision = 0
        for entry in entries:
            self._read(entry)
        self._is_loaded.set()

    def apply(self, change: Change) -> None:
        if change.entry is None:
            self._stored_keys.discard(change.key)
        else:
            self._stored_keys.add(change.key)
            self._read(change.entry)

    def _read(self, entry: Entry) -> None:
        try:
            report = decode_json(entry.value, CrashReport)
        except msgspec.DecodeError as exc:
            _LOG.warning("crash report %s cannot be decoded: %s", entry.key, exc)
            return
        if entry.key != self._key:
            self._quarantine.merge(entry.key.removeprefix(CRASHES_PREFIX), report)
            return
        self._revision = max(self._revision, entry.revision)
        if report.incarnation != self._incarnation:
            _LOG.info(
                "crash report of the previous process restored",
                extra={"node": self._node, "count": len(report.crashes)},
            )
            self._stored = report
            self._quarantine.restore(report)

    async def run(self) -> None:
        """Send and store the reports until cancelled."""
        await asyncio.gather(self._send_all(), self._write_all(), self._clean_up())

    async def _send_all(self) -> None:
        while True:
            await self._send_trigger.wait()
            message = self._make_message()
            if _is_same(message.report, self._sent):
                continue
            results = await asyncio.gather(
                *(self._send(peer.peers, message) for peer in self._roster.list_peers())
            )
            self._sent = message.report
            if not all(results) and not _is_same(message.report, self._stored):
                # Neither the message nor the store has reached all nodes.
                self._sent = CrashReport()
                self._send_trigger.set(urgent=False)

    async def _send(self, address: str, message: ExchangeCrashes) -> bool:
        try:
            answer = await self._client.ask(address, message, timeout=_MESSAGE_TIMEOUT)
            if not isinstance(answer, ExchangeCrashes):
                raise PeerError(f"{address} answered {type(answer).__name__}")
        except PeerError as exc:
            _LOG.info("crash report not sent to another node: %s", exc)
            return False
        self._quarantine.merge(answer.node, answer.report)
        return True

    async def _write_all(self) -> None:
        await self._is_loaded.wait()
        while True:
            await self._write_trigger.wait()
            report = self._quarantine.make_report()
            while not _is_same(report, self._stored):
                try:
                    await self._write(report)
                except StoreError as exc:
                    _LOG.warning("crash report not stored: %s", exc)
                    await asyncio.sleep(self._rng.uniform(0.5, 1.0) * _RETRY_INTERVAL)
                report = self._quarantine.make_report()

    async def _write(self, report: CrashReport) -> None:
        is_empty = _is_same(report, CrashReport())
        value = None if is_empty else msgspec.json.encode(report)
        result = await self._store.write_all([Write(self._key, value, self._revision)])
        if isinstance(result, int):
            self._revision = 0 if is_empty else result
            self._stored = report
            return
        # The previous process, or a write of this one without an answer, has changed
        # the entry.
        self._revision = 0
        for entry in result:
            self._read(entry)

    async def _clean_up(self) -> None:
        """Delete the reports of nodes that are gone, once all evidence has expired."""
        while True:
            await asyncio.sleep(_CLEANUP_INTERVAL)
            names = self._roster.list_names()
            if min(names) != self._node:
                continue
            reporters = self._quarantine.list_reporters()
            gone = [
                key
                for key in self._stored_keys
                if key.removeprefix(CRASHES_PREFIX) not in reporters | set(names)
            ]
            try:
                if gone:
                    await self._store.delete(*gone[:_MAX_DELETED_KEYS])
            except StoreError as exc:
                _LOG.warning("reports of nodes that are gone not deleted: %s", exc)


def _is_same(report: CrashReport, other: CrashReport) -> bool:
    return report.crashes == other.crashes and report.answered == other.answered
