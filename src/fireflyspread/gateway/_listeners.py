"""What the gateway does with what it learns from the store."""

import asyncio
import logging
from collections.abc import Callable

from fireflyspread.exceptions import BundleError, StoreError
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

__all__ = ["OrderListener", "RegistrationListener"]

_LOG = logging.getLogger(__name__)

# Attempts and seconds between them to answer an order while the store is troubled.
_ORDER_ATTEMPTS = 20
_ORDER_PAUSE = 0.5


class RegistrationListener(PrefixListener):
    """Keeps the directory of replicas."""

    def __init__(
        self,
        directory: ReplicaDirectory,
        *,
        prefix: str,
        decode: Callable[[Entry], ReplicaRecord | None],
    ) -> None:
        self._directory = directory
        self._prefix = prefix
        self._decode = decode

    def replace(self, entries: tuple[Entry, ...]) -> None:
        records = {}
        for entry in entries:
            record = self._decode(entry)
            if record is not None:
                records[record.instance] = record
        self._directory.replace_all(records)

    def apply(self, change: Change) -> None:
        record = None if change.entry is None else self._decode(change.entry)
        if record is None:
            self._directory.remove(change.key.removeprefix(self._prefix))
        else:
            self._directory.put(record)

    def handle_reconnect(self) -> None:
        self._directory.note_outage_end()


class OrderListener(PrefixListener):
    """Puts configurations in force and answers orders to empty a VM.

    Nothing that must last is kept on a VM's disk, so every such order is carried out
    at once.
    """

    def __init__(
        self,
        configs: ConfigHolder,
        store: SnapshotStore,
        *,
        config_key: str,
        order_prefix: str,
        decode: Callable[[bytes], ForwardingConfig],
        make_status: Callable[[str], tuple[str, bytes]],
    ) -> None:
        self._configs = configs
        self._store = store
        self._config_key = config_key
        self._order_prefix = order_prefix
        self._decode = decode
        self._make_status = make_status
        self._tasks: set[asyncio.Task[None]] = set()
        self._answered: set[str] = set()

    def replace(self, entries: tuple[Entry, ...]) -> None:
        for entry in entries:
            self._take(entry)

    def apply(self, change: Change) -> None:
        if change.entry is not None:
            self._take(change.entry)
        else:
            self._answered.discard(change.key)

    def _take(self, entry: Entry) -> None:
        if entry.key == self._config_key:
            try:
                self._configs.offer(self._decode(entry.value), source="store")
            except BundleError as exc:
                _LOG.error("the configuration in force stays: %s", exc)
        elif entry.key.startswith(self._order_prefix):
            if entry.key not in self._answered:
                self._answered.add(entry.key)
                task = asyncio.create_task(self._answer(entry.key))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)

    async def _answer(self, order: str) -> None:
        key, value = self._make_status(order)
        for _ in range(_ORDER_ATTEMPTS):
            try:
                # Every node tries; the first one's answer stays.
                result = await self._store.write_all([Write(key, value, 0)])
                _LOG.info("order to empty a VM answered", extra={"order": order})
                if isinstance(result, int):
                    # Otherwise every draw would wait for a disk that is gone.
                    name = order.removeprefix(self._order_prefix)
                    await self._store.delete(LOAN_SERVERS_PREFIX + name)
                return
            except StoreError as exc:
                _LOG.warning("order %s not answered: %s", order, exc)
            await asyncio.sleep(_ORDER_PAUSE)
