"""Messages of the relay of requests between gateway nodes."""

import base64
from collections.abc import Sequence
from typing import TypeVar

import msgspec

from fireflyspread._decoding import decode_msgpack
from fireflyspread.bundle import Replica

__all__ = [
    "CONNECT_PATH",
    "FAILURE_HEADER",
    "HEAD_HEADER",
    "MAX_HEAD_BYTES",
    "SEND_PATH",
    "Failure",
    "ReplicaInfo",
    "ReplyHead",
    "SendRequest",
    "copy_headers",
    "decode_header",
    "encode_header",
    "make_replica_info",
]

T = TypeVar("T")

SEND_PATH = "/send"
CONNECT_PATH = "/connect"
# Base64 of the encoded ``ReplyHead`` or ``Failure``.
HEAD_HEADER = "X-Firefly-Reply"
FAILURE_HEADER = "X-Firefly-Failure"
# Bytes: a head has the headers of a replica.
MAX_HEAD_BYTES = 1 << 16


class ReplicaInfo(msgspec.Struct):
    """A replica as the sending node knows it."""

    name: str
    url: str
    zone: str
    vm: str
    version: str


class SendRequest(msgspec.Struct):
    """A request, the replica that it goes to and the options of its dispatch."""

    id: str
    method: str
    host: str
    request_target: str
    headers: list[tuple[str, str]]
    body: bytes
    replica: ReplicaInfo
    remaining: float
    priority: int | None
    team: str | None
    last_event_id: str | None
    is_repeatable: bool


class ReplyHead(msgspec.Struct):
    """What a node knows of a reply before its body.

    Attributes
    ----------
    load : tuple of (int, int) or None
        Running and waiting requests of the replica.
    slowdown : float or None
        Time that work takes on the replica's machine; None if it is not reported, or
        the node is of an earlier build.
    """

    status: int
    headers: list[tuple[str, str]]
    is_refusal: bool
    is_wrong_instance: bool
    load: tuple[int, int] | None
    rate_limit: float | None
    framing: str
    is_leaving: bool = False
    slowdown: float | None = None


class Failure(msgspec.Struct):
    """Why there is no reply.

    Attributes
    ----------
    code : str
        Code of the error.
    """

    code: str
    message: str
    outcome: str


def encode_header(value: msgspec.Struct) -> str:
    """Return a value as text for a header."""
    return base64.b64encode(msgspec.msgpack.encode(value)).decode("ascii")


def decode_header(text: str, kind: type[T]) -> T:
    """Return the value of a header; raises ``ValueError`` if it is malformed."""
    return decode_msgpack(base64.b64decode(text), kind)


def copy_headers(headers: Sequence[tuple[str, str]]) -> list[tuple[str, str]]:
    """Return headers that can be encoded."""
    # The names may be of a subclass of ``str``, which cannot be encoded.
    return [(str(name), value) for name, value in headers]


def make_replica_info(replica: Replica) -> ReplicaInfo:
    """Return what another node needs to know of a replica."""
    return ReplicaInfo(
        name=replica.name,
        url=replica.url,
        zone=replica.zone,
        vm=replica.vm,
        version=replica.version,
    )
