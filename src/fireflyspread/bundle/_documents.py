"""Store keys and documents of bundles."""

import hashlib
import re

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.bundle._model import ActiveBundle, Bundle
from fireflyspread.exceptions import BundleError, NotFoundError, RequestError
from fireflyspread.recovery import Entry, Store

__all__ = [
    "CURRENT_KEY",
    "CurrentDocument",
    "Roll",
    "decode_current",
    "make_approval_prefix",
    "make_contents_key",
    "read_active",
    "read_contents",
    "read_contents_json",
    "read_current",
    "require_digest",
    "require_operator",
]

CURRENT_KEY = "bundle/current"
WITHDRAWN_PREFIX = "bundle/withdrawn/"

_DIGEST = re.compile(r"[0-9a-f]{64}")
_OPERATOR = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")


class Roll(msgspec.Struct, frozen=True, kw_only=True):
    """One version and the operator who put it in force.

    Attributes
    ----------
    write_id : str
        Unique to one roll. After a lost response it shows whether the roll took
        effect.
    """

    version: int
    digest: str
    rolled_by: str
    write_id: str


class CurrentDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the store key ``bundle/current``.

    Attributes
    ----------
    fences : dict of str to int
        Version that last changed the owner half of each target.
    recent : tuple of Roll
        Earlier rolls, newest first. An operator who lost the response can find the
        roll here even after other rolls have followed.
    """

    version: int
    digest: str
    fences: dict[str, int]
    rolled_by: str
    write_id: str
    recent: tuple[Roll, ...] = ()

    @property
    def roll(self) -> Roll:
        """Roll that put this version in force."""
        return Roll(
            version=self.version,
            digest=self.digest,
            rolled_by=self.rolled_by,
            write_id=self.write_id,
        )

    @property
    def rolls(self) -> tuple[Roll, ...]:
        """This roll and the recent earlier ones, newest first."""
        return (self.roll, *self.recent)


def make_contents_key(digest: str) -> str:
    """Return the store key of a bundle's contents."""
    return f"bundle/contents/{require_digest(digest)}"


def make_approval_prefix(digest: str) -> str:
    """Return the prefix of the store keys of a bundle's approvals."""
    return f"bundle/approvals/{require_digest(digest)}/"


def require_digest(digest: str) -> str:
    """Return ``digest`` if it is valid.

    Raises
    ------
    RequestError
        It is not 64 lower-case hex digits. The message leaves the value out,
        because it may be a key given by mistake.
    """
    if not _DIGEST.fullmatch(digest):
        raise RequestError(
            f"a digest is 64 lower-case hex digits, got {len(digest)} characters; "
            "'fireflyspread bundle check' and 'fireflyspread key hash' print it"
        )
    return digest


def require_operator(operator: str) -> str:
    """Return ``operator`` if it can be part of a store key.

    Raises
    ------
    RequestError
        The name has other characters than letters, digits, ``.``, ``_`` and ``-``.
    """
    if not _OPERATOR.fullmatch(operator):
        raise RequestError(
            f"operator name {operator!r} is invalid; use letters, digits, '.', '_', '-'"
        )
    return operator


def decode_current(entry: Entry) -> CurrentDocument:
    """Decode the value of ``bundle/current``; raises ``BundleError``."""
    try:
        return decode_json(entry.value, CurrentDocument)
    except msgspec.DecodeError as exc:
        raise BundleError(
            f"{CURRENT_KEY} at revision {entry.revision} is unreadable: {exc}; "
            "restore the key from a backup of the store"
        ) from exc


async def read_current(store: Store) -> tuple[CurrentDocument | None, int]:
    """Return the current document and its store revision; None and 0 if absent."""
    entry = await store.read(CURRENT_KEY)
    if entry is None:
        return None, 0
    return decode_current(entry), entry.revision


async def read_contents(store: Store, digest: str) -> Bundle:
    """Return the bundle with ``digest``.

    Raises
    ------
    NotFoundError
        No bundle with this digest has been drafted.
    BundleError
        The stored bytes do not have this digest.
    """
    return Bundle.from_json(await read_contents_json(store, digest))


async def read_contents_json(store: Store, digest: str) -> bytes:
    """Return the canonical JSON of a bundle; raises as ``read_contents`` does."""
    entry = await store.read(make_contents_key(digest))
    if entry is None:
        raise NotFoundError(
            f"bundle {digest[:12]} has not been drafted; draft it first"
        )
    # The digest is checked on the stored bytes, not on the parsed bundle: a release
    # with another optional field has another canonical form of the same bundle.
    if hashlib.sha256(entry.value).hexdigest() != digest:
        raise BundleError(
            f"the stored contents of bundle {digest[:12]} do not have this digest; "
            "delete the store key and draft the bundle again"
        )
    return entry.value


async def read_active(store: Store) -> ActiveBundle | None:
    """Return the bundle in force, or None before the first roll."""
    current, _ = await read_current(store)
    if current is None:
        return None
    return ActiveBundle(
        version=current.version,
        bundle=await read_contents(store, current.digest),
        fences=current.fences,
    )
