"""Decoder of the registrations of replicas in the platform's store."""

import logging
import re

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.recovery import Entry
from fireflyspread.routing import ReplicaRecord

__all__ = ["REGISTRATIONS_PREFIX", "decode_registration"]

_LOG = logging.getLogger(__name__)

REGISTRATIONS_PREFIX = "servers/"
_ADDRESS = re.compile(r"[0-9]{1,3}(\.[0-9]{1,3}){3}:[0-9]{1,5}")
_INSTANCE = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,127}")


class _Registration(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int = 0
    # Version of the replica's software, not of its weights.
    version: str = ""
    # Start of the replica in Unix milliseconds; 0 if the platform does not give it.
    born: int = 0


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
        or not _ADDRESS.fullmatch(registration.address)
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
    )
