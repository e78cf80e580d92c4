"""Decoder of the registrations of replicas in the platform's store."""

import logging
import re
from typing import Annotated

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.recovery import Entry
from fireflyspread.routing import ReplicaRecord
from fireflyspread.settings import Address

__all__ = ["REGISTRATIONS_PREFIX", "decode_registration"]

_LOG = logging.getLogger(__name__)

REGISTRATIONS_PREFIX = "servers/"
# Requests at once that a replica may name.
_MAX_SLOTS = 65_536
_MAX_BORN = 2**53
_MAX_COLD_MS = 3_600_000
_INSTANCE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)] = 0
    # Version of the replica's software, not of its weights.
    version: str = ""
    # Start of the replica in Unix milliseconds; 0 if the platform does not give it.
    born: Annotated[int, msgspec.Meta(ge=0, le=_MAX_BORN)] = 0
    # Milliseconds for which the replica stays cold, from the moment of the write.
    # Other values than numbers are ignored.
    cold_remaining_ms: object = msgspec.field(default=None, name="coldRemainingMs")


def decode_registration(entry: Entry) -> ReplicaRecord | None:
    """Return the replica that ``entry`` describes.

    None if the entry is not a valid registration, as other writers may store
    anything under the prefix.
    """
    instance = entry.key.removeprefix(REGISTRATIONS_PREFIX)
    try:
        registration = decode_json(entry.value, _Registration)
    except msgspec.DecodeError as exc:
        _LOG.warning("registration ignored: %s", exc, extra={"replica": instance})
        return None
    if (
        registration.state not in ("ready", "draining")
        or not _is_address(registration.address)
        or not _INSTANCE.fullmatch(instance)
        or not registration.zone
    ):
        _LOG.warning(
            "registration ignored: invalid state, address, instance or zone",
            extra={"replica": instance},
        )
        return None
    return ReplicaRecord(
        instance=instance,
        service=registration.service,
        address=registration.address,
        zone=registration.zone,
        slots=registration.slots,
        version=registration.version,
        is_draining=registration.state == "draining",
        born=registration.born,
        cold_remaining=_read_seconds(registration.cold_remaining_ms),
        revision=entry.revision,
    )


def _read_seconds(milliseconds: object) -> float | None:
    if isinstance(milliseconds, bool) or not isinstance(milliseconds, int | float):
        return None
    return max(0.0, min(float(_MAX_COLD_MS), milliseconds)) / 1000


def _is_address(text: str) -> bool:
    """Return whether ``text`` is an IPv4 address with a port to connect to."""
    try:
        return Address.from_text(text).port > 0 and text.count(":") == 1
    except ValueError:
        return False
