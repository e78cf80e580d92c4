"""Which VMs are leaving, from the platform's list and from other nodes."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from fireflyspread.clock import Clock
from fireflyspread.platform._vms import VmList, VmListError, VmState

__all__ = ["LeavingVms"]

_LOG = logging.getLogger(__name__)

# Seconds for which another node's word counts; nodes repeat it every 0.5 s.
_HEARSAY_TTL = 5.0


class LeavingVms:
    """Polls the VM list and merges what other nodes have seen.

    The list lags differently for each reader, so the first node that sees a VM leave
    tells the others.

    Parameters
    ----------
    vm_list : VmList or None
        None when the platform offers no list.
    interval : float
        Seconds between two polls.
    on_change : callable
        Takes the names of all VMs that are leaving.
    on_list : callable
        Takes the names of all VMs in each list.
    """

    def __init__(
        self,
        vm_list: VmList | None,
        *,
        clock: Clock,
        interval: float,
        on_change: Callable[[frozenset[str]], None],
        on_list: Callable[[frozenset[str]], None],
    ) -> None:
        self._vm_list = vm_list
        self._clock = clock
        self._interval = interval
        self._on_change = on_change
        self._on_list = on_list
        self._seen: frozenset[str] = frozenset()
        self._hearsay: dict[str, float] = {}
        self._current: frozenset[str] = frozenset()

    def get_seen(self) -> tuple[str, ...]:
        """Return the VMs that this node itself has seen leaving."""
        return tuple(sorted(self._seen))

    def merge(self, vms: Iterable[str]) -> None:
        """Take note of VMs that another node has seen leaving."""
        until = self._clock.read_monotonic() + _HEARSAY_TTL
        for vm in vms:
            self._hearsay[vm] = until
        self._publish()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            if self._vm_list is not None:
                await self._poll(self._vm_list)
            self._publish()
            await asyncio.sleep(self._interval)

    async def _poll(self, vm_list: VmList) -> None:
        try:
            vms = await vm_list.read()
        except VmListError as exc:
            _LOG.warning("%s", exc.message)
            return
        self._on_list(frozenset(vm.name for vm in vms))
        self._seen = frozenset(vm.name for vm in vms if vm.state is VmState.LEAVING)

    def _publish(self) -> None:
        now = self._clock.read_monotonic()
        self._hearsay = {vm: t for vm, t in self._hearsay.items() if t > now}
        current = self._seen | frozenset(self._hearsay)
        if current != self._current:
            self._current = current
            self._on_change(current)
