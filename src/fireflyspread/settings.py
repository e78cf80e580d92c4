"""Settings of one daemon process, read from a JSON file."""

import ipaddress
import re
from pathlib import Path
from typing import Any

import cattrs
from attrs import field, frozen, validators

from fireflyspread._structuring import (
    decode_json,
    make_converter,
    require_match,
    structure,
)
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
        raise ValueError(
            f"{value!r} is not an IP address; write e.g. 10.0.0.5"
        ) from exc


def _require_secret(instance: Any, attribute: Any, value: str) -> None:
    if len(value) < 16:
        raise ValueError(
            f"{attribute.name!r} has {len(value)} characters; give at least 16"
        )


def _require_operator_keys(
    instance: Any, attribute: Any, value: dict[str, str]
) -> None:
    # The messages do not quote a value, because it may be the key itself.
    for operator, digest in value.items():
        if not re.fullmatch(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", operator):
            raise ValueError(
                f"operator name {operator!r} in {attribute.name!r} is invalid; use "
                "letters, digits, '.', '_' and '-'"
            )
        if not re.fullmatch(r"[0-9a-f]{64}", digest):
            raise ValueError(
                f"the value of {operator!r} in {attribute.name!r} is not a SHA-256 "
                "digest; write what 'fireflyspread key hash' prints"
            )
    # With one key for two names, one person could give two approvals.
    if len(set(value.values())) < len(value):
        raise ValueError(
            f"two names in {attribute.name!r} have the same key; give each operator "
            "a key"
        )


_POSITIVE: Any = validators.gt(0)
_URL = require_match(
    r"https?://[^/\s]+(/\S*)?", "write a base URL, e.g. http://10.0.0.5:2379"
)
_NODE_NAME = require_match(
    r"[a-z0-9][a-z0-9-]{0,62}",
    "use 1 to 63 lower-case letters, digits and '-', e.g. entry-1",
)
_PRINTABLE = require_match(
    r"[!-~]{1,255}", "use 1 to 255 printable characters without spaces"
)


@frozen
class Address:
    """IP address and TCP port."""

    host: str = field(validator=_require_ip)
    port: int = field(validator=[validators.ge(0), validators.lt(65536)])

    @classmethod
    def from_text(cls, text: str) -> "Address":
        """Parse ``"10.0.0.5:8000"``.

        Raises
        ------
        ValueError
            The text has no port or the host is not an IP address.
        """
        host, separator, port = text.rpartition(":")
        if not separator or not (port.isascii() and port.isdigit()):
            raise ValueError(f"{text!r} is not an address; write e.g. 10.0.0.5:8000")
        return cls(host=host.strip("[]"), port=int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


@frozen(kw_only=True)
class Node:
    """Identity of the node."""

    name: str = field(validator=_NODE_NAME)
    zone: str = field(validator=_PRINTABLE)
    vm: str = field(validator=_PRINTABLE)


@frozen(kw_only=True)
class Listen:
    """Addresses that the process listens on, one for each kind of client."""

    callers: Address
    internal: Address
    peers: Address
    operators: Address

    def __attrs_post_init__(self) -> None:
        seen: dict[Address, str] = {}
        for name in ("callers", "internal", "peers", "operators"):
            address: Address = getattr(self, name)
            if address.port and address in seen:
                raise ValueError(
                    f"{seen[address]!r} and {name!r} both listen on {address}; give "
                    "each its own port"
                )
            seen[address] = name


@frozen(kw_only=True)
class Advertise:
    """Addresses at which other nodes reach this one, if they differ from ``Listen``.

    They are needed for a node that listens on all addresses or is behind network
    address translation.
    """

    internal: Address | None = None
    peers: Address | None = None


@frozen(kw_only=True)
class Platform:
    """Base URLs of the platform's services."""

    store: str = field(validator=_URL)
    vm_list: str | None = field(default=None, validator=validators.optional(_URL))
    weight_store: str | None = field(default=None, validator=validators.optional(_URL))


@frozen(kw_only=True)
class Timing:
    """Intervals and timeouts in seconds."""

    flush_interval: float = field(default=0.05, validator=_POSITIVE)
    store_timeout: float = field(default=1.0, validator=_POSITIVE)
    lease_ttl: int = field(default=3, validator=validators.ge(2))
    authority_ttl: float = field(default=2.0, validator=_POSITIVE)
    renew_interval: float = field(default=0.5, validator=_POSITIVE)
    hello_interval: float = field(default=0.5, validator=_POSITIVE)
    vm_poll_interval: float = field(default=1.0, validator=_POSITIVE)
    load_poll_interval: float = field(default=0.5, validator=_POSITIVE)
    drain_timeout: float = field(default=60.0, validator=_POSITIVE)
    write_timeout: float = field(default=30.0, validator=_POSITIVE)
    program_idle_timeout: float = field(default=3600.0, validator=_POSITIVE)

    def __attrs_post_init__(self) -> None:
        # The authority must end before the lease, so that a node stops acting before
        # others replace it, and must outlast one missed renewal.
        if not self.renew_interval < self.authority_ttl < self.lease_ttl:
            raise ValueError(
                f"'renew_interval' {self.renew_interval:g}, 'authority_ttl' "
                f"{self.authority_ttl:g} and 'lease_ttl' {self.lease_ttl} must rise "
                "in this order; correct them"
            )


@frozen(kw_only=True)
class Limits:
    """Maximum sizes in bytes and maximum counts."""

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
    """Paths of PEM files; the CA certificate ``authority`` verifies other nodes."""

    certificate: str
    private_key: str
    authority: str


@frozen(kw_only=True)
class Settings:
    """Settings of a daemon process.

    Attributes
    ----------
    node_secret : str
        Secret of all nodes, with which they sign requests to each other.
    operator_keys : dict of str to str
        SHA-256 digest of the key of each operator, by the operator's name.
    approvals_needed : int
        Number of operators that must approve a bundle before it can be rolled.
    data_folder : str or None
        Folder on a persistent disk; None stores nothing on the VM.
    """

    node: Node
    listen: Listen
    platform: Platform
    node_secret: str = field(validator=_require_secret, repr=False)
    operator_keys: dict[str, str] = field(
        factory=dict, validator=_require_operator_keys, repr=False
    )
    approvals_needed: int = field(default=1, validator=validators.ge(1))
    data_folder: str | None = None
    statsd: Address | None = None
    tls: Tls | None = None
    advertise: Advertise = field(factory=Advertise)
    timing: Timing = field(factory=Timing)
    limits: Limits = field(factory=Limits)
    logging: Logging = field(factory=Logging)

    def __attrs_post_init__(self) -> None:
        operators = len(self.operator_keys)
        if operators and self.approvals_needed > operators:
            raise ValueError(
                f"'approvals_needed' is {self.approvals_needed} with {operators} "
                "operator keys; lower it or add operators"
            )
        for name in ("internal", "peers"):
            address: Address = getattr(self, f"{name}_address")
            if ipaddress.ip_address(address.host).is_unspecified:
                raise ValueError(
                    f"{name!r} is {address}, which other nodes cannot connect to; "
                    f"write the IP address of this VM in advertise.{name}"
                )

    @property
    def internal_address(self) -> Address:
        """Address to which other nodes relay calls."""
        return self.advertise.internal or self.listen.internal

    @property
    def peers_address(self) -> Address:
        """Address to which other nodes send messages."""
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
            data = decode_json(Path(path).read_bytes())
        except OSError as exc:
            raise SettingsError(
                f"cannot read {path}: {exc.strerror}; give an existing file"
            ) from exc
        except ValueError as exc:
            raise SettingsError(f"settings {path} refused: {exc}") from exc
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
    converter.register_structure_hook(Address, lambda text, _: _structure_address(text))
    return converter


def _structure_address(value: Any) -> Address:
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not an address; write e.g. 10.0.0.5:8000")
    return Address.from_text(value)
