"""Tests of the listeners for changes of the store."""

import asyncio

from fireflyspread.forwarding import ConfigHolder
from fireflyspread.gateway._listeners import OperatorListener
from fireflyspread.recovery import JOURNALS_PREFIX, Change
from tests.recovery.snapshot_store import MemoryStore


class TestOperatorListener:
    async def test_retired_vm_is_no_loan_server_any_more(self):
        """Guards against draws that wait for the loan server of a retired VM."""
        store = MemoryStore()
        store.put(JOURNALS_PREFIX + "vm-1", b"10.0.0.1:1")
        store.put(JOURNALS_PREFIX + "vm-2", b"10.0.0.2:1")
        listener = OperatorListener(
            ConfigHolder(),
            store,
            config_key="orders/config",
            retirement_prefix="orders/empty/",
            decode=lambda raw: None,
            make_status=lambda order: ("answers/" + order, b"done"),
        )
        store.put("orders/empty/vm-1", b"{}")
        entry = await store.read("orders/empty/vm-1")
        listener.apply(Change(entry.key, entry))
        await asyncio.sleep(0.05)
        assert await store.read("answers/orders/empty/vm-1") is not None
        assert await store.read(JOURNALS_PREFIX + "vm-1") is None
        assert await store.read(JOURNALS_PREFIX + "vm-2") is not None
