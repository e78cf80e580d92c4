"""Stand-in of the platform's VM list, which lags behind the actual state."""

import time
from collections import deque
from typing import Any

import msgspec
from aiohttp import web
from attrs import define

from standins._base import Faults, StandIn, answer_json, main, notify

__all__ = ["VmListFaults", "VmListStandIn"]


@define(kw_only=True, on_setattr=notify, slots=False)
class VmListFaults(Faults):
    """Fault switches of the VM list.

    Attributes
    ----------
    lag : float
        Seconds until a change is visible.
    """

    lag: float = 0.5


class VmListStandIn(StandIn):
    """List of live and leaving VMs.

    Parameters
    ----------
    vms : list of dict
        Initial list, with ``name``, ``zone`` and ``state`` (``live`` or ``leaving``).
    """

    faults_class = VmListFaults

    def __init__(
        self, *, vms: list[dict[str, str]] | None = None, **options: Any
    ) -> None:
        super().__init__(**options)
        self._versions: deque[tuple[float, list[dict[str, str]]]] = deque()
        self._versions.append((0.0, vms or []))

    @property
    def vms(self) -> list[dict[str, str]]:
        """Actual list, which readers see ``lag`` seconds later."""
        return self._versions[-1][1]

    def set_vms(self, vms: list[dict[str, str]]) -> None:
        """Replace the list."""
        self._versions.append((time.monotonic(), vms))

    def set_state(self, name: str, state: str | None) -> None:
        """Set the state of one VM; None removes the VM."""
        rest = [vm for vm in self.vms if vm["name"] != name or state is not None]
        self.set_vms(
            [
                {**vm, "state": state} if vm["name"] == name and state else vm
                for vm in rest
            ]
        )

    def add_routes(self, app: web.Application) -> None:
        """Add the route of the list."""
        app.router.add_get("/v1/vms", self._get_vms)

    def add_control_routes(self, app: web.Application) -> None:
        """Add the route that replaces the list."""
        app.router.add_put("/vms", self._put_vms)

    async def _get_vms(self, request: web.Request) -> web.Response:
        until = time.monotonic() - self.faults.lag
        while len(self._versions) > 1 and self._versions[1][0] <= until:
            self._versions.popleft()
        return answer_json(self._versions[0][1])

    async def _put_vms(self, request: web.Request) -> web.Response:
        self.set_vms(msgspec.json.decode(await request.read()))
        return answer_json(self.vms)


def _load_from_file(*, vms: str, **options: Any) -> VmListStandIn:
    if not vms:
        return VmListStandIn(**options)
    with open(vms, "rb") as file:
        return VmListStandIn(vms=msgspec.json.decode(file.read()), **options)


if __name__ == "__main__":
    main(_load_from_file, vms=(str, "", "path of a JSON file with the initial list"))
