"""Keys, revisions and leases of the store stand-in."""

import bisect
import operator
from base64 import b64decode, b64encode
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, frozen

__all__ = ["Event", "Keyspace", "RejectedError", "Row"]

MAX_VALUE_BYTES = 1 << 20
MAX_TXN_OPERATIONS = 128
# A watch can start at any past revision whose events are still in the history.
MAX_HISTORY_BYTES = 128 << 20

_COMPARISONS: dict[str, Callable[[Any, Any], bool]] = {
    "EQUAL": operator.eq,
    "NOT_EQUAL": operator.ne,
    "GREATER": operator.gt,
    "LESS": operator.lt,
}


class RejectedError(Exception):
    """The store rejects a call.

    Parameters
    ----------
    message : str
        Error message.
    code : int
        gRPC status code.
    status : int
        HTTP status.
    """

    def __init__(self, message: str, *, code: int = 3, status: int = 400) -> None:
        super().__init__(message)
        self.code = code
        self.status = status


@frozen
class Row:
    """Key with its current value and revisions."""

    key: bytes
    value: bytes
    create_revision: int
    mod_revision: int
    version: int
    lease: int

    def to_json(self) -> dict[str, Any]:
        """Return the form of the JSON gateway, which omits fields that are zero."""
        data: dict[str, Any] = {
            "key": b64encode(self.key).decode(),
            "create_revision": str(self.create_revision),
            "mod_revision": str(self.mod_revision),
            "version": str(self.version),
        }
        if self.value:
            data["value"] = b64encode(self.value).decode()
        if self.lease:
            data["lease"] = str(self.lease)
        return data


@frozen
class Event:
    """Change of one key; ``row`` is None for a deletion."""

    revision: int
    key: bytes
    row: Row | None

    def to_json(self) -> dict[str, Any]:
        """Return the form of the JSON gateway."""
        if self.row is not None:
            return {"kv": self.row.to_json()}
        key = b64encode(self.key).decode()
        return {
            "type": "DELETE",
            "kv": {"key": key, "mod_revision": str(self.revision)},
        }


@define
class Lease:
    """Lease with the keys attached to it; ``ttl`` in seconds."""

    ttl: int
    deadline: float
    keys: set[bytes]


def get_field(body: dict[str, Any], name: str, default: Any = None) -> Any:
    """Return a field named in snake case or camel case; the gateway accepts both."""
    if name in body:
        return body[name]
    first, *rest = name.split("_")
    return body.get(first + "".join(part.title() for part in rest), default)


def decode_bytes(text: str) -> bytes:
    """Decode a base64 field.

    Raises
    ------
    RejectedError
        The text is not base64.
    """
    try:
        return b64decode(text, validate=True)
    except ValueError as exc:
        raise RejectedError(f"illegal base64 data: {exc}") from exc


class Keyspace:
    """Sorted keys with revisions, leases and the history of changes."""

    def __init__(self) -> None:
        self.revision = 1
        self.rows: dict[bytes, Row] = {}
        self.leases: dict[int, Lease] = {}
        self.history: deque[Event] = deque()
        self.compacted_revision = 1
        self.listeners: list[Callable[[tuple[Event, ...]], None]] = []
        self._order: list[bytes] = []
        self._history_bytes = 0
        self._next_lease = 7_587_000_000_000_000_001

    def list_keys(self, key: bytes, range_end: bytes) -> list[bytes]:
        """Return the keys of a range in ascending order."""
        if not range_end:
            return [key] if key in self.rows else []
        start = bisect.bisect_left(self._order, key)
        if range_end == b"\0":
            return self._order[start:]
        return self._order[start : bisect.bisect_left(self._order, range_end)]

    def read_range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Run a range request and return its response without the header."""
        key = decode_bytes(body.get("key", ""))
        if not key:
            raise RejectedError("etcdserver: key is not provided")
        keys = self.list_keys(key, decode_bytes(get_field(body, "range_end", "")))
        limit = int(body.get("limit", 0) or 0)
        answer: dict[str, Any] = {"count": str(len(keys))}
        if limit and len(keys) > limit:
            keys, answer["more"] = keys[:limit], True
        if not get_field(body, "count_only", False):
            rows = [self.rows[key].to_json() for key in keys]
            if get_field(body, "keys_only", False):
                for row in rows:
                    row.pop("value", None)
            if rows:
                answer["kvs"] = rows
        return answer

    def compare(self, body: dict[str, Any]) -> bool:
        """Evaluate one comparison of a transaction."""
        row = self.rows.get(decode_bytes(body.get("key", "")))
        target = body.get("target", "VERSION")
        wanted: Any
        found: Any
        if target == "VALUE":
            if row is None:
                return False
            wanted, found = decode_bytes(body.get("value", "")), row.value
        else:
            name = {
                "VERSION": "version",
                "CREATE": "create_revision",
                "MOD": "mod_revision",
            }[target]
            wanted = int(get_field(body, name, 0) or 0)
            found = 0 if row is None else getattr(row, name)
        return _COMPARISONS[body.get("result", "EQUAL")](found, wanted)

    def check_put(self, body: dict[str, Any]) -> None:
        """Raise ``RejectedError`` for a put that the store would reject."""
        if not body.get("key"):
            raise RejectedError("etcdserver: key is not provided")
        if len(decode_bytes(body.get("value", ""))) > MAX_VALUE_BYTES:
            raise RejectedError("etcdserver: request is too large")
        lease = int(body.get("lease", 0) or 0)
        if lease and lease not in self.leases:
            raise RejectedError(
                "etcdserver: requested lease not found", code=5, status=404
            )

    def put(self, body: dict[str, Any], revision: int) -> Event:
        """Set one key."""
        key = decode_bytes(body["key"])
        lease = int(body.get("lease", 0) or 0)
        old = self.rows.get(key)
        row = Row(
            key=key,
            value=decode_bytes(body.get("value", "")),
            create_revision=revision if old is None else old.create_revision,
            mod_revision=revision,
            version=1 if old is None else old.version + 1,
            lease=lease,
        )
        if old is None:
            bisect.insort(self._order, key)
        elif old.lease in self.leases:
            self.leases[old.lease].keys.discard(key)
        if lease:
            self.leases[lease].keys.add(key)
        self.rows[key] = row
        return Event(revision, key, row)

    def delete(self, key: bytes, range_end: bytes, revision: int) -> list[Event]:
        """Delete a range."""
        events = []
        for found in self.list_keys(key, range_end):
            row = self.rows.pop(found)
            del self._order[bisect.bisect_left(self._order, found)]
            if row.lease in self.leases:
                self.leases[row.lease].keys.discard(found)
            events.append(Event(revision, found, None))
        return events

    def commit(self, events: list[Event]) -> None:
        """Add the changes of one transaction to the history and notify the watches."""
        if not events:
            return
        self.revision = events[0].revision
        for event in events:
            self.history.append(event)
            self._history_bytes += _size(event)
        while self._history_bytes > MAX_HISTORY_BYTES:
            oldest = self.history.popleft()
            self._history_bytes -= _size(oldest)
            self.compacted_revision = oldest.revision + 1
        for listener in tuple(self.listeners):
            listener(tuple(events))

    def run_txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Run a transaction and return its response without the header."""
        succeeded = all(self.compare(entry) for entry in body.get("compare", ()))
        operations = body.get("success" if succeeded else "failure") or []
        if len(operations) > MAX_TXN_OPERATIONS:
            raise RejectedError("etcdserver: too many operations in txn request")
        puts = [
            entry
            for entry in (get_field(o, "request_put") for o in operations)
            if entry
        ]
        for put in puts:
            self.check_put(put)
        if len({put["key"] for put in puts}) < len(puts):
            raise RejectedError("etcdserver: duplicate key given in txn request")
        events: list[Event] = []
        responses = [self._run_operation(entry, events) for entry in operations]
        self.commit(events)
        answer: dict[str, Any] = {"responses": responses} if responses else {}
        # The gateway omits fields that are false.
        return {"succeeded": True, **answer} if succeeded else answer

    def _run_operation(
        self, operation: dict[str, Any], events: list[Event]
    ) -> dict[str, Any]:
        revision = self.revision + 1
        put = get_field(operation, "request_put")
        if put is not None:
            events.append(self.put(put, revision))
            return {"response_put": {"header": {"revision": str(revision)}}}
        deletion = get_field(operation, "request_delete_range")
        if deletion is not None:
            key = decode_bytes(deletion.get("key", ""))
            end = decode_bytes(get_field(deletion, "range_end", ""))
            deleted = self.delete(key, end, revision)
            events.extend(deleted)
            return {"response_delete_range": {"deleted": str(len(deleted))}}
        wanted = get_field(operation, "request_range")
        if wanted is None:
            raise RejectedError("unknown operation in txn request")
        return {"response_range": self.read_range(wanted)}

    def grant_lease(self, ttl: int, lease: int, now: float) -> int:
        """Create a lease and return its id."""
        if ttl <= 0:
            raise RejectedError("etcdserver: too small lease TTL")
        if not lease:
            lease, self._next_lease = self._next_lease, self._next_lease + 1
        self.leases[lease] = Lease(ttl, now + ttl, set())
        return lease

    def renew_lease(self, lease: int, now: float) -> int:
        """Renew a lease and return its TTL in seconds, 0 if it does not exist."""
        found = self.leases.get(lease)
        if found is None:
            return 0
        found.deadline = now + found.ttl
        return found.ttl

    def revoke_lease(self, lease: int) -> None:
        """Delete a lease and its keys."""
        found = self.leases.pop(lease, None)
        if found is None:
            raise RejectedError(
                "etcdserver: requested lease not found", code=5, status=404
            )
        revision = self.revision + 1
        events: list[Event] = []
        for key in sorted(found.keys):
            events.extend(self.delete(key, b"", revision))
        self.commit(events)

    def expire_leases(self, now: float) -> None:
        """Revoke all leases whose deadline has passed."""
        for lease, found in list(self.leases.items()):
            if found.deadline <= now:
                self.revoke_lease(lease)


def _size(event: Event) -> int:
    return len(event.key) + (0 if event.row is None else len(event.row.value))
