"""Listeners that apply changes of the store to the gateway."""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from fireflyspread.exceptions import BundleError, PeerError, StoreError
from fireflyspread.forwarding import ConfigHolder, ForwardingConfig
from fireflyspread.recovery import (
    LOAN_SERVERS_PREFIX,
    Change,
    Entry,
    PrefixListener,
    SnapshotStore,
    Write,
)
from fireflyspread.routing import ReplicaDirectory, ReplicaRecord

__all__ = ["OperatorListener", "PrefixSplitter", "RegistrationListener"]

_LOG = logging.getLogger(__name__)

# Seconds between attempts to carry out a retirement order.
_RETIREMENT_INTERVAL = 0.5


class PrefixSplitter(PrefixListener):
    """Passes the keys under one prefix to a listener of their own.

    Parameters
    ----------
    listener : PrefixListener
        Gets the keys under ``prefix``.
    default : PrefixListener
        Gets all other keys.
    """

    def __init__(
        self, prefix: str, listener: PrefixListener, *, default: PrefixListener
    ) -> None:
        self._prefix = prefix
        self._listener = listener
        self._default = default

    def replace(self, entries: tuple[Entry, ...]) -> None:
        # The listener first: when the other one has its entries, the node is ready.
        self._listener.replace(
            tuple(entry for entry in entries if entry.key.startswith(self._prefix))
        )
        self._default.replace(
            tuple(entry for entry in entries if not entry.key.startswith(self._prefix))
        )

    def apply(self, change: Change) -> None:
        is_split = change.key.startswith(self._prefix)
        (self._listener if is_split else self._default).apply(change)

    def handle_revision(self, revision: int) -> None:
        self._listener.handle_revision(revision)
        self._default.handle_revision(revision)

    def handle_outage(self) -> None:
        self._listener.handle_outage()
        self._default.handle_outage()

    def handle_reconnect(self) -> None:
        self._listener.handle_reconnect()
        self._default.handle_reconnect()


class RegistrationListener(PrefixListener):
    """Updates the directory of replicas from their registrations.

    Parameters
    ----------
    on_record : callable or None
        Called with each registration before the directory gets it, and with whether it
        is a change instead of one in a complete list.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        *,
        prefix: str,
        decode: Callable[[Entry], ReplicaRecord | None],
        on_record: Callable[[ReplicaRecord, bool], None] | None = None,
    ) -> None:
        self._directory = directory
        self._prefix = prefix
        self._decode = decode
        self._on_record = on_record

    def replace(self, entries: tuple[Entry, ...]) -> None:
        records = {}
        for entry in entries:
            record = self._decode(entry)
            if record is not None:
                records[record.instance] = record
                self._record(record, is_change=False)
        self._directory.replace_all(records)

    def apply(self, change: Change) -> None:
        record = None if change.entry is None else self._decode(change.entry)
        if record is None:
            self._directory.remove(change.key.removeprefix(self._prefix))
        else:
            self._record(record, is_change=True)
            self._directory.put(record)

    def _record(self, record: ReplicaRecord, *, is_change: bool) -> None:
        if self._on_record is not None:
            self._on_record(record, is_change)

    def handle_reconnect(self) -> None:
        self._directory.handle_reconnect()


class OperatorListener(PrefixListener):
    """Activates configurations and acknowledges orders to retire a VM.

    A loan server is first emptied: its loans are copied to the others and its turns
    are moved to the store. An order is acknowledged only once this is done or the
    store lists no loan server of that name, which then holds nothing.

    Parameters
    ----------
    empty_server : callable
        Empties the loan server of a name at an address; raises ``PeerError``.
    """

    def __init__(
        self,
        configs: ConfigHolder,
        store: SnapshotStore,
        *,
        config_key: str,
        retirement_prefix: str,
        decode: Callable[[bytes], ForwardingConfig],
        make_status: Callable[[str], tuple[str, bytes]],
        empty_server: Callable[[str, str], Awaitable[None]],
    ) -> None:
        self._configs = configs
        self._store = store
        self._config_key = config_key
        self._retirement_prefix = retirement_prefix
        self._decode = decode
        self._make_status = make_status
        self._empty_server = empty_server
        self._tasks: set[asyncio.Task[None]] = set()
        self._acknowledged: set[str] = set()

    def replace(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._handle(entry)

    def apply(self, change: Change) -> None:
        if change.entry is not None:
            self._handle(change.entry)
        else:
            self._acknowledged.discard(change.key)

    def _handle(self, entry: Entry) -> None:
        if entry.key == self._config_key:
            try:
                self._configs.offer(self._decode(entry.value), source="store")
            except BundleError as exc:
                _LOG.error("new configuration rejected, active one kept: %s", exc)
        elif entry.key.startswith(self._retirement_prefix):
            if entry.key not in self._acknowledged:
                self._acknowledged.add(entry.key)
                task = asyncio.create_task(self._acknowledge(entry.key))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _acknowledge(self, order: str) -> None:
        """Carry out an order, again after each failure."""
        while True:
            try:
                await self._retire(order)
                return
            except (PeerError, StoreError) as exc:
                _LOG.warning("order %s not carried out yet: %s", order, exc.message)
            await asyncio.sleep(_RETIREMENT_INTERVAL)

    async def _retire(self, order: str) -> None:
        name = order.removeprefix(self._retirement_prefix)
        # This node may not have learned of the server yet, so the store is asked.
        server = await self._store.read(LOAN_SERVERS_PREFIX + name)
        if server is not None:
            await self._empty_server(name, server.value.decode("ascii", "replace"))
        key, value = self._make_status(order)
        # Every node writes this status; only the first write succeeds.
        result = await self._store.write_all([Write(key, value, 0)])
        _LOG.info("VM retirement order acknowledged", extra={"order": order})
        if isinstance(result, int):
            # Draws would wait for the retired loan server while it is listed.
            await self._store.delete(LOAN_SERVERS_PREFIX + name)
