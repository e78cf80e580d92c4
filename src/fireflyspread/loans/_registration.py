"""Entry of a loan server in the store, and the lease that shows that it runs."""

import asyncio
import logging
from collections.abc import Callable

from fireflyspread.exceptions import StoreError
from fireflyspread.recovery import (
    LOAN_SERVER_LEASES_PREFIX,
    LOAN_SERVERS_PREFIX,
    SnapshotStore,
    Write,
)

__all__ = ["Registration"]

_LOG = logging.getLogger(__name__)

# TTL of the lease. A loan server that is gone for good is removed from the list soon
# after, so that draws do not wait for its loans.
_LEASE_SECONDS = 3
_RENEW_INTERVAL = 1.0
_RETRY_INTERVAL = 0.5


class Registration:
    """Registers a loan server and renews its lease.

    The address has no lease, so that an outage in which leases end does not empty the
    list of loan servers. Nodes remove an address some time after its lease has ended;
    the loan server then registers again.

    Parameters
    ----------
    on_new : callable
        Called when no loan server was listed under this name at the first
        registration: nothing was ever written to this one.
    """

    def __init__(
        self,
        store: SnapshotStore,
        *,
        node: str,
        address: str,
        on_new: Callable[[], None] = lambda: None,
    ) -> None:
        self._on_new = on_new
        self._is_first = True
        self._store = store
        self._node = node
        self._address = address.encode()
        self._lease = 0

    async def run(self) -> None:
        """Register and renew the lease until cancelled."""
        while True:
            interval = _RENEW_INTERVAL
            try:
                await self._renew()
            except StoreError as exc:
                _LOG.warning("loan server not registered: %s", exc)
                interval = _RETRY_INTERVAL
            await asyncio.sleep(interval)

    async def _renew(self) -> None:
        if self._lease and await self._store.renew_lease(self._lease):
            return
        self._lease = 0
        lease = await self._store.grant_lease(_LEASE_SECONDS)
        await self._register(lease)
        self._lease = lease

    async def _register(self, lease: int) -> None:
        """Write the address and the key on the lease in one transaction.

        The address is written even if it has not changed: a node that is about to
        remove it expects its last revision.
        """
        address = LOAN_SERVERS_PREFIX + self._node
        alive = LOAN_SERVER_LEASES_PREFIX + self._node
        revisions = {address: 0, alive: 0}
        for _ in range(4):
            result = await self._store.write_all(
                [
                    Write(address, self._address, revisions[address]),
                    Write(alive, b"", revisions[alive], lease=lease),
                ]
            )
            if isinstance(result, int):
                if self._is_first and not revisions[address]:
                    self._on_new()
                self._is_first = False
                return
            revisions = {address: 0, alive: 0}
            revisions.update((entry.key, entry.revision) for entry in result)
        raise StoreError(
            "the entry of this loan server changed during each attempt to write it; "
            "retry"
        )
