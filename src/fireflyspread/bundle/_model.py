"""Bundles and their validation."""

import enum
import hashlib
import json
import math
import re
from functools import cached_property
from typing import Any

from attrs import field, frozen, validators
from cattrs.gen import make_dict_unstructure_fn, override

from fireflyspread._structuring import (
    decode_json,
    make_converter,
    require_match,
    structure,
)
from fireflyspread.exceptions import BundleError

__all__ = [
    "ActiveBundle",
    "Bundle",
    "Key",
    "Replica",
    "Route",
    "Target",
    "TargetKind",
    "Team",
    "hash_key",
]

_NAME = require_match(
    r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}",
    "use 1 to 128 letters, digits, '.', '_' and '-'",
)
_PRINTABLE = require_match(
    r"[!-~]{1,255}", "use 1 to 255 printable characters without spaces"
)
_BASE_URL = require_match(
    r"https?://[^/\s@?#]+", "write e.g. http://10.0.0.5:9000, without a path"
)
_PATH = require_match(r"/[!-~]{0,1023}", "write a path that starts with '/'")


def _require_finite(instance: Any, attribute: Any, value: float) -> None:
    # The JSON parser reads a number such as 1e999 as infinity.
    if not math.isfinite(value):
        raise ValueError(f"{attribute.name!r} is {value}; write a finite number")


def _require_digest(instance: Any, attribute: Any, value: str) -> None:
    # The message leaves the value out, because it may be the key itself.
    if not re.fullmatch(r"[0-9a-f]{64}", value):
        raise ValueError(
            f"{attribute.name!r} has {len(value)} characters and is not a SHA-256 "
            "digest; write what 'fireflyspread key hash' prints"
        )


_POSITIVE: Any = [validators.gt(0), _require_finite]
_BURST: Any = [validators.ge(1), _require_finite]


def hash_key(key: str) -> str:
    """Return the SHA-256 digest of a caller's key as 64 hex digits."""
    # aiohttp decodes header bytes that are not UTF-8 to lone surrogates.
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


@frozen(kw_only=True)
class Team:
    """A group of callers that share rate limits and a part of the capacity.

    Attributes
    ----------
    rate : float
        Requests per second over all VMs together.
    burst : float
        Requests allowed at once, at least 1.
    weight : float
        Share of target capacity relative to other teams.
    """

    name: str = field(validator=_NAME)
    rate: float = field(validator=_POSITIVE)
    burst: float = field(validator=_BURST)
    weight: float = field(default=1.0, validator=_POSITIVE)


@frozen(kw_only=True)
class Key:
    """A caller's key, of which only the digest is stored."""

    digest: str = field(validator=_require_digest)
    team: str


class TargetKind(enum.StrEnum):
    """Kind of back end behind a target."""

    ENGINE = "engine"
    SERVICE = "service"


@frozen(kw_only=True)
class Replica:
    """One process of a target.

    Attributes
    ----------
    version : str
        Version of its software; empty when unknown. Streams go on only at replicas
        of the version that began them.
    """

    name: str = field(validator=_NAME)
    url: str = field(validator=_BASE_URL)
    zone: str = field(validator=_PRINTABLE)
    vm: str = field(validator=_PRINTABLE)
    version: str = ""


@frozen(kw_only=True)
class Target:
    """A back end with its replicas.

    Attributes
    ----------
    half : str
        Half of the organisation that owns the target.
    checks_fence : bool
        Whether the target refuses requests with an old fencing number.
    concurrency : int
        Requests that a replica runs at the same time.
    """

    name: str = field(validator=_NAME)
    kind: TargetKind
    half: str = field(validator=_NAME)
    replicas: tuple[Replica, ...]
    checks_fence: bool = False
    concurrency: int = field(default=8, validator=_POSITIVE)


@frozen(kw_only=True)
class Route:
    """Name by which callers reach a service or a model.

    Attributes
    ----------
    path : str
        Path on the service; unused for engines.
    open : bool
        Whether the route needs no key.
    idempotent : bool
        Whether a call may be repeated.
    interactive : bool
        Whether a person waits for the answer.
    timeout : float
        Timeout of one call in seconds.
    """

    name: str = field(validator=_NAME)
    target: str
    path: str = field(default="/", validator=_PATH)
    open: bool = False
    idempotent: bool = True
    interactive: bool = False
    timeout: float = field(default=60.0, validator=_POSITIVE)


@frozen(kw_only=True)
class Bundle:
    """Configuration that operators draft, approve and roll."""

    teams: tuple[Team, ...]
    keys: tuple[Key, ...]
    targets: tuple[Target, ...]
    routes: tuple[Route, ...]

    def __attrs_post_init__(self) -> None:
        _require_unique("team", [team.name for team in self.teams])
        _require_unique("key", [key.digest for key in self.keys])
        _require_unique("target", [target.name for target in self.targets])
        _require_unique("route", [route.name for route in self.routes])
        _require_unique(
            "replica", [r.name for target in self.targets for r in target.replicas]
        )
        teams = {team.name for team in self.teams}
        for key in self.keys:
            if key.team not in teams:
                raise BundleError(
                    f"key {key.digest[:12]} names the absent team {key.team!r}; add it"
                )
        targets = {target.name for target in self.targets}
        for route in self.routes:
            if route.open and not route.idempotent:
                raise BundleError(
                    f"route {route.name!r} is open to all and not idempotent, so "
                    "callers without a key would share their idempotency keys; "
                    "close it or mark it idempotent"
                )
            if route.target not in targets:
                raise BundleError(
                    f"route {route.name!r} names the absent target {route.target!r}; "
                    "add it"
                )

    @classmethod
    def from_config(cls, data: Any) -> "Bundle":
        """Structure decoded JSON into a bundle.

        Raises
        ------
        BundleError
            A field is unknown or invalid, or a name refers to no item.
        """
        try:
            return structure(_CONVERTER, data, cls, "bundle")
        except BundleError:
            raise
        except ValueError as exc:
            raise BundleError(f"bundle refused: {exc}") from exc

    @classmethod
    def from_json(cls, data: bytes) -> "Bundle":
        """Parse a JSON bundle; raises ``BundleError``."""
        try:
            config = decode_json(data)
        except ValueError as exc:
            raise BundleError(f"bundle refused: {exc}") from exc
        return cls.from_config(config)

    def to_json(self) -> bytes:
        """Return the canonical JSON form that the digest covers."""
        data = _CONVERTER.unstructure(self)
        return json.dumps(data, sort_keys=True, separators=(",", ":")).encode()

    @cached_property
    def digest(self) -> str:
        """SHA-256 of the canonical form, 64 hex digits."""
        return hashlib.sha256(self.to_json()).hexdigest()


@frozen(kw_only=True)
class ActiveBundle:
    """A rolled bundle with its version.

    Attributes
    ----------
    version : int
        Increases by one with each roll.
    fences : dict of str to int
        Fencing number of each target: the version that last changed its owner half.
    """

    version: int
    bundle: Bundle
    fences: dict[str, int] = field(factory=dict)

    @cached_property
    def teams(self) -> dict[str, Team]:
        """Teams by name."""
        return {team.name: team for team in self.bundle.teams}

    @cached_property
    def keys(self) -> dict[str, str]:
        """Team names by key digest."""
        return {key.digest: key.team for key in self.bundle.keys}

    @cached_property
    def targets(self) -> dict[str, Target]:
        """Targets by name."""
        return {target.name: target for target in self.bundle.targets}

    @cached_property
    def routes(self) -> dict[str, Route]:
        """Routes by name."""
        return {route.name: route for route in self.bundle.routes}


def _require_unique(kind: str, names: list[str]) -> None:
    seen: set[str] = set()
    for name in names:
        if name in seen:
            raise BundleError(f"{kind} {name!r} appears twice; remove one")
        seen.add(name)


_CONVERTER = make_converter()
# Left out if empty, so that the digests of bundles without versions stay the same.
_CONVERTER.register_unstructure_hook(
    Replica,
    make_dict_unstructure_fn(
        Replica, _CONVERTER, version=override(omit_if_default=True)
    ),
)
