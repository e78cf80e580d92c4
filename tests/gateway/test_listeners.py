"""Tests of the listeners for changes of the store."""

import asyncio

from fireflyspread.exceptions import PeerError
from fireflyspread.forwarding import ConfigHolder
from fireflyspread.gateway import _listeners
from fireflyspread.gateway._listeners import OperatorListener
from fireflyspread.recovery import LOAN_SERVERS_PREFIX, Change
from tests.recovery.snapshot_store import MemoryStore


class _LoanServers:
    """Records which loan servers were emptied, and fails the first attempts."""

    def __init__(self, failures: int = 0) -> None:
        self.failures = failures
        self.emptied: list[str] = []

    async def empty(self, name: str, address: str) -> None:
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
        store.put(LOAN_SERVERS_PREFIX + "vm-1", b"10.0.0.1:1")
        servers = _LoanServers(failures=1)
        listener = _make_listener(store, servers)
        await _order(listener, store)
        assert await store.read("answers/orders/empty/vm-1") is None
        await asyncio.sleep(0.6)
        assert servers.emptied == ["vm-1"]
        assert await store.read("answers/orders/empty/vm-1") is not None

    async def test_vm_that_does_not_answer_is_not_acknowledged(self, monkeypatch):
        """Guards against loans that are lost with a retired VM that was only slow."""
        monkeypatch.setattr(_listeners, "_RETIREMENT_INTERVAL", 0.005)
        store = MemoryStore()
        store.put(LOAN_SERVERS_PREFIX + "vm-1", b"10.0.0.1:1")
        servers = _LoanServers(failures=20)
        await _order(_make_listener(store, servers), store)
        assert await store.read("answers/orders/empty/vm-1") is None
        await asyncio.sleep(0.5)
        assert servers.emptied == ["vm-1"]
        assert await store.read("answers/orders/empty/vm-1") is not None

    async def test_vm_that_is_not_listed_is_acknowledged(self):
        """Guards against an order that is never acknowledged for a lost VM."""
        store = MemoryStore()
        servers = _LoanServers(failures=1)
        await _order(_make_listener(store, servers), store)
        assert servers.emptied == []
        assert await store.read("answers/orders/empty/vm-1") is not None

    async def test_order_waits_for_the_store(self, monkeypatch):
        """Guards against a VM that counts as unknown while the store is away."""
        monkeypatch.setattr(_listeners, "_RETIREMENT_INTERVAL", 0.005)
        store = MemoryStore()
        store.put(LOAN_SERVERS_PREFIX + "vm-1", b"10.0.0.1:1")
        servers = _LoanServers()
        listener = _make_listener(store, servers)
        store.put("orders/empty/vm-1", b"{}")
        entry = await store.read("orders/empty/vm-1")
        store.is_down = True
        listener.apply(Change(entry.key, entry))
        # More attempts than were made before the order was given up.
        await asyncio.sleep(0.3)
        store.is_down = False
        await asyncio.sleep(0.05)
        assert servers.emptied == ["vm-1"]
        assert await store.read("answers/orders/empty/vm-1") is not None


async def _order(listener: OperatorListener, store: MemoryStore) -> None:
    """Give the order to retire vm-1, and let the listener begin with it."""
    store.put("orders/empty/vm-1", b"{}")
    entry = await store.read("orders/empty/vm-1")
    listener.apply(Change(entry.key, entry))
    await asyncio.sleep(0.05)
