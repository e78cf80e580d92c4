"""Client of the platform's list of VMs."""

import enum

import aiohttp
import msgspec
from attrs import frozen

from fireflyspread._http_client import ClientConnector, open_session
from fireflyspread.exceptions import FireflyError

__all__ = ["Vm", "VmList", "VmListError", "VmState"]


class VmListError(FireflyError):
    """The VM list is unavailable or malformed."""

    code = "vm_list_unavailable"
    status = 503


class VmState(enum.StrEnum):
    """State of a VM as the platform reports it, with a delay."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Vm:
    """One VM; ``name`` appears in the settings of nodes and in replicas."""

    name: str
    zone: str
    state: VmState


class VmList:
    """Client of ``GET /v1/vms``.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Seconds for one call.
    """

    def __init__(self, url: str, *, timeout: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout)

    async def read(self) -> tuple[Vm, ...]:
        """Return the VMs that are live or leaving.

        Raises
        ------
        VmListError
            The list is unavailable or malformed; keep the last one.
        """
        try:
            async with (
                open_session(
                    connector=ClientConnector(), timeout=self._timeout
                ) as session,
                session.get(self._url + "/v1/vms") as response,
            ):
                response.raise_for_status()
                data = await response.read()
            return msgspec.json.decode(data, type=tuple[Vm, ...])
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise VmListError("the VM list did not answer; keep the last one") from exc
