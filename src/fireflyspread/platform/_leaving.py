"""VMs that are leaving, from the platform's list and from other nodes."""

import asyncio
import logging
from collections.abc import Callable, Iterable

from fireflyspread.clock import Clock
from fireflyspread.platform._vms import VmList, VmListError, VmState

__all__ = ["LeavingVms"]

_LOG = logging.getLogger(__name__)

# Seconds for which a report of another node is valid; nodes repeat it every 0.5 s.
_PEER_REPORT_TTL = 5.0


class LeavingVms:
    """Polls the VM list and merges the reports of other nodes.

    The lag of the list differs between readers, so nodes report to each other which
    VMs they have seen leaving.

    Parameters
    ----------
    vm_list : VmList or None
        None when the platform offers no list.
    interval : float
        Seconds between two polls.
    on_change : callable
        Called with the names of all leaving VMs when they change.
    on_list : callable
        Called with the names of all listed VMs after each successful poll.
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
        self._observed: frozenset[str] = frozenset()
        self._peer_reports: dict[str, float] = {}
        self._current: frozenset[str] = frozenset()

    def list_observed(self) -> tuple[str, ...]:
        """Return the VMs that this node itself has seen leaving."""
        return tuple(sorted(self._observed))

    def merge(self, vms: Iterable[str]) -> None:
        """Add VMs that another node has seen leaving."""
        expires_at = self._clock.read_monotonic() + _PEER_REPORT_TTL
        for vm in vms:
            self._peer_reports[vm] = expires_at
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
        self._observed = frozenset(vm.name for vm in vms if vm.state is VmState.LEAVING)

    def _publish(self) -> None:
        now = self._clock.read_monotonic()
        self._peer_reports = {
            vm: expires_at
            for vm, expires_at in self._peer_reports.items()
            if expires_at > now
        }
        current = self._observed | frozenset(self._peer_reports)
        if current != self._current:
            self._current = current
            self._on_change(current)
