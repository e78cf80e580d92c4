"""Settings of gateway nodes and loan servers, read from JSON files."""

import math
from pathlib import Path
from typing import Any, TypeVar

from attrs import field, frozen, validators

from fireflyspread._structuring import decode_json, make_converter, structure
from fireflyspread.exceptions import SettingsError
from fireflyspread.settings import Address, Logging, Node
from fireflyspread.turns import TurnLimits

__all__ = [
    "GatewayListen",
    "GatewaySettings",
    "LoanSettings",
    "RateTolerance",
    "StoreAccess",
]

T = TypeVar("T")

_POSITIVE: Any = validators.gt(0)


@frozen(kw_only=True)
class GatewayListen:
    """Addresses that the process listens on.

    Attributes
    ----------
    readiness : Address
        Where the platform's load balancer asks whether the node accepts callers.
    peers : Address
        Messages from other nodes.
    relay : Address or None
        Requests that other nodes cannot send to a replica; None relays none.
    metrics : Address or None
        Metrics as text, and the state as JSON; None disables both.
    """

    callers: Address
    readiness: Address
    peers: Address
    relay: Address | None = None
    metrics: Address | None = None


@frozen(kw_only=True)
class StoreAccess:
    """Access to the platform's store.

    Attributes
    ----------
    timeout : float
        Seconds for one call other than a watch.
    writes_per_second : float
        Writes that the store accepts from all processes together.
    """

    address: Address
    timeout: float = field(default=1.0, validator=_POSITIVE)
    writes_per_second: float = field(default=400.0, validator=_POSITIVE)


@frozen(kw_only=True)
class LoanSettings:
    """Settings of a loan server, a process that stores loans on its VM's disk.

    Attributes
    ----------
    peers : Address
        Messages from the nodes.
    data_folder : str
        Folder on a durable disk.
    is_first_start : bool
        Whether the whole system starts for the first time, so that no turn can have
        been lost with a disk.
    """

    node: Node
    peers: Address
    store: StoreAccess
    data_folder: str = field(validator=validators.min_len(1))
    is_first_start: bool = False
    logging: Logging = field(factory=Logging)

    @classmethod
    def from_file(cls, path: str | Path) -> "LoanSettings":
        """Read and check a JSON settings file; raises ``SettingsError``."""
        return _read_file(path, cls)


@frozen(kw_only=True)
class RateTolerance:
    """What operators tolerate beyond a team's limits, over all nodes together.

    Attributes
    ----------
    window : float
        Length in seconds of the window in which requests are counted.
    overshoot : float
        Fraction by which a window may exceed what rate and burst allow.
    slack : float
        Number of requests by which a window may exceed that in addition.
    """

    window: float = field(default=5.0, validator=_POSITIVE)
    overshoot: float = field(default=0.0, validator=validators.ge(0))
    slack: float = field(default=0.0, validator=validators.ge(0))


@frozen(kw_only=True)
class GatewaySettings:
    """Settings of a gateway node.

    Attributes
    ----------
    is_first_start : bool
        Whether the whole system starts for the first time, so that no node can have
        used any rate yet.
    max_disk_losses : int
        Disks of loan servers that may be lost at the same time.
    stop_grace : float
        Seconds between the stop signal and the end of the process.
    evacuate_ms : float
        Milliseconds within which the evacuation of a zone must be in force; below 500
        they are not kept.
    cold_overshoot, cold_slack : float
        In any one second a cold replica may get the rate that it tolerates times
        ``cold_overshoot`` plus ``cold_slack`` requests.
    regions : dict of str to str
        Region of each zone; empty if all are in one region.
    """

    node: Node
    listen: GatewayListen
    store: StoreAccess
    is_first_start: bool = False
    rates: RateTolerance = field(factory=RateTolerance)
    turns: TurnLimits = field(factory=TurnLimits)
    max_disk_losses: int = field(default=1, validator=validators.ge(0))
    stop_grace: float = field(default=8.0, validator=_POSITIVE)
    evacuate_ms: float = field(default=5000.0, validator=validators.ge(0))
    cold_overshoot: float = field(default=1.5, validator=validators.ge(0))
    cold_slack: float = field(default=5.0, validator=validators.ge(0))
    regions: dict[str, str] = field(factory=dict)
    logging: Logging = field(factory=Logging)

    def __attrs_post_init__(self) -> None:
        if not math.isfinite(self.stop_grace):
            raise ValueError("'stop_grace' is not finite; write seconds")

    @classmethod
    def from_file(cls, path: str | Path) -> "GatewaySettings":
        """Read and check a JSON settings file.

        Raises
        ------
        SettingsError
            The file cannot be read, is not JSON, or a field is unknown or invalid.
        """
        return _read_file(path, cls)

    @classmethod
    def from_config(cls, data: Any) -> "GatewaySettings":
        """Structure decoded JSON; raises ``SettingsError`` that names each problem."""
        return _structure(data, cls)


def _read_file(path: str | Path, cls: type[T]) -> T:
    try:
        data = decode_json(Path(path).read_bytes())
    except OSError as exc:
        raise SettingsError(
            f"cannot read {path}: {exc.strerror}; give an existing file"
        ) from exc
    except ValueError as exc:
        raise SettingsError(f"settings {path} refused: {exc}") from exc
    return _structure(data, cls)


def _structure(data: Any, cls: type[T]) -> T:
    converter = make_converter()
    converter.register_structure_hook(
        Address, lambda text, _: Address.from_text(str(text))
    )
    try:
        return structure(converter, data, cls, "settings")
    except ValueError as exc:
        raise SettingsError(f"settings refused: {exc}") from exc
