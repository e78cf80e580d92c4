"""Settings of one daemon process, read from a JSON file."""

import ipaddress
import json
from pathlib import Path
from typing import Any

import cattrs
from attrs import field, frozen, validators

from fireflyspread._structuring import make_converter, structure
from fireflyspread.exceptions import SettingsError

__all__ = [
    "Address",
    "Advertise",
    "Limits",
    "Listen",
    "Logging",
    "Node",
    "Platform",
    "Settings",
    "Timing",
    "Tls",
]


def _require_ip(instance: Any, attribute: Any, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError as exc:
        raise ValueError(f"{value!r} is not an IP number; write e.g. 10.0.0.5") from exc


_POSITIVE: Any = validators.gt(0)


@frozen
class Address:
    """IP number and TCP port."""

    host: str = field(validator=_require_ip)
    port: int = field(validator=[validators.ge(0), validators.lt(65536)])

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``"10.0.0.5:8000"``.

        Raises
        ------
        ValueError
            The text has no port or the host is not an IP number.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not port.isdigit():
            raise ValueError(f"{text!r} is not an address; write e.g. 10.0.0.5:8000")
        return cls(host=host.strip("[]"), port=int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@frozen(kw_only=True)
class Node:
    """Identity of the node."""

    name: str = field(validator=validators.matches_re(r"[a-z0-9][a-z0-9-]{0,62}"))
    zone: str = field(validator=validators.min_len(1))
    vm: str = field(validator=validators.min_len(1))


@frozen(kw_only=True)
class Listen:
    """Addresses the process listens on, one for each kind of peer."""

    callers: Address
    internal: Address
    peers: Address
    operators: Address


@frozen(kw_only=True)
class Advertise:
    """Addresses under which other nodes reach this one, where they differ.

    A node that listens on all addresses, or that is reached through a translation of
    addresses, cannot be reached at the address that it listens on.
    """

    internal: Address | None = None
    peers: Address | None = None


@frozen(kw_only=True)
class Platform:
    """Base URLs of the platform's services."""

    store: str = field(validator=validators.matches_re(r"https?://.+"))
    vm_list: str | None = None
    weight_store: str | None = None


@frozen(kw_only=True)
class Timing:
    """Intervals and timeouts in seconds."""

    flush_interval: float = field(default=0.05, validator=_POSITIVE)
    store_timeout: float = field(default=1.0, validator=_POSITIVE)
    lease_ttl: int = field(default=5, validator=validators.ge(2))
    authority_ttl: float = field(default=2.0, validator=_POSITIVE)
    renew_interval: float = field(default=0.5, validator=_POSITIVE)
    hello_interval: float = field(default=0.5, validator=_POSITIVE)
    vm_poll_interval: float = field(default=1.0, validator=_POSITIVE)
    load_poll_interval: float = field(default=0.5, validator=_POSITIVE)
    drain_timeout: float = field(default=60.0, validator=_POSITIVE)
    write_timeout: float = field(default=30.0, validator=_POSITIVE)
    program_idle_timeout: float = field(default=3600.0, validator=_POSITIVE)


@frozen(kw_only=True)
class Limits:
    """Sizes in bytes and counts."""

    body_bytes: int = field(default=4 << 20, validator=_POSITIVE)
    answer_bytes: int = field(default=4 << 20, validator=_POSITIVE)
    open_programs: int = field(default=20_000, validator=_POSITIVE)
    queued_requests: int = field(default=2_000, validator=_POSITIVE)


@frozen(kw_only=True)
class Logging:
    """Log output."""

    format: str = field(default="json", validator=validators.in_(["json", "text"]))
    level: str = field(
        default="INFO", validator=validators.in_(["DEBUG", "INFO", "WARNING", "ERROR"])
    )


@frozen(kw_only=True)
class Tls:
    """Paths of PEM files; the authority is used to verify other nodes."""

    certificate: str
    private_key: str
    authority: str


@frozen(kw_only=True)
class Settings:
    """Everything a daemon process learns from its settings file."""

    node: Node
    listen: Listen
    platform: Platform
    node_secret: str = field(validator=validators.min_len(16), repr=False)
    operator_keys: dict[str, str] = field(factory=dict, repr=False)
    data_folder: str | None = None
    statsd: Address | None = None
    tls: Tls | None = None
    advertise: Advertise = field(factory=Advertise)
    timing: Timing = field(factory=Timing)
    limits: Limits = field(factory=Limits)
    logging: Logging = field(factory=Logging)

    @property
    def internal_address(self) -> Address:
        """Address at which other nodes send relayed calls."""
        return self.advertise.internal or self.listen.internal

    @property
    def peers_address(self) -> Address:
        """Address at which other nodes send messages."""
        return self.advertise.peers or self.listen.peers

    @classmethod
    def from_file(cls, path: str | Path) -> "Settings":
        """Read and check a JSON settings file.

        Raises
        ------
        SettingsError
            The file cannot be read, is not JSON, or a field is unknown or invalid.
        """
        try:
            data = json.loads(Path(path).read_text(encoding="utf-8"))
        except OSError as exc:
            raise SettingsError(f"cannot read {path}: {exc.strerror}") from exc
        except json.JSONDecodeError as exc:
            raise SettingsError(
                f"{path} is not JSON: {exc.msg} at line {exc.lineno}; mend that line"
            ) from exc
        return cls.from_config(data)

    @classmethod
    def from_config(cls, data: Any) -> "Settings":
        """Structure decoded JSON into settings.

        Raises
        ------
        SettingsError
            A field is unknown or invalid; the message names each with its remedy.
        """
        try:
            return structure(_make_converter(), data, cls, "settings")
        except ValueError as exc:
            raise SettingsError(f"settings refused: {exc}") from exc


def _make_converter() -> cattrs.Converter:
    converter = make_converter()
    converter.register_structure_hook(
        Address, lambda text, _: Address.from_text(str(text))
    )
    return converter
