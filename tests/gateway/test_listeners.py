"""Tests of the listeners for changes of the store."""

import asyncio

from fireflyspread.exceptions import PeerError
from fireflyspread.forwarding import ConfigHolder
from fireflyspread.gateway._listeners import OperatorListener
from fireflyspread.recovery import LOAN_SERVERS_PREFIX, Change
from tests.recovery.snapshot_store import MemoryStore


class _LoanServers:
    """Records which loan servers were emptied, and fails the first attempts."""

    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self.emptied: list[str] = []

    async def empty(self, name: str) -> None:
        if self.failures:
            self.failures -= 1
            raise PeerError(f"{name} does not answer; ask again")
        self.emptied.append(name)


def _make_listener(store: MemoryStore, servers: _LoanServers) -> OperatorListener:
    return OperatorListener(
        ConfigHolder(),
        store,
        config_key="orders/config",
        retirement_prefix="orders/empty/",
        decode=lambda raw: None,
        make_status=lambda order: ("answers/" + order, b"done"),
        empty_server=servers.empty,
    )


class TestOperatorListener:
    async def test_retired_vm_is_no_loan_server_any_more(self):
        """Guards against draws that wait for the loan server of a retired VM."""
        store = MemoryStore()
        store.put(LOAN_SERVERS_PREFIX + "vm-1", b"10.0.0.1:1")
        store.put(LOAN_SERVERS_PREFIX + "vm-2", b"10.0.0.2:1")
        listener = _make_listener(store, _LoanServers())
        store.put("orders/empty/vm-1", b"{}")
        entry = await store.read("orders/empty/vm-1")
        listener.apply(Change(entry.key, entry))
        await asyncio.sleep(0.05)
        assert await store.read("answers/orders/empty/vm-1") is not None
        assert await store.read(LOAN_SERVERS_PREFIX + "vm-1") is None
        assert await store.read(LOAN_SERVERS_PREFIX + "vm-2") is not None

    async def test_retired_vm_is_emptied_first(self):
        """Guards against turns that are lost with the disk of a retired VM."""
        store = MemoryStore()
        servers = _LoanServers(failures=1)
        listener = _make_listener(store, servers)
        store.put("orders/empty/vm-1", b"{}")
        entry = await store.read("orders/empty/vm-1")
        listener.apply(Change(entry.key, entry))
        await asyncio.sleep(0.05)
        assert await store.read("answers/orders/empty/vm-1") is None
        await asyncio.sleep(0.6)
        assert servers.emptied == ["vm-1"]
        assert await store.read("answers/orders/empty/vm-1") is not None
