"""Stand-in of the key-value service: a subset of the etcd v3 JSON gateway."""

import asyncio
import time
from base64 import b64encode
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from aiohttp import web
from attrs import define

from standins._base import Faults, StandIn, answer_json, main, notify
from standins._keyspace import Event, Keyspace, RejectedError, decode_bytes, get_field

__all__ = ["StoreFaults", "StoreStandIn"]

PROGRESS_INTERVAL_SECONDS = 10.0
# Interval at which a watch checks whether its client has disconnected.
DISCONNECT_CHECK_SECONDS = 0.25
LEASE_CHECK_SECONDS = 0.05

Call = Callable[[dict[str, Any]], dict[str, Any]]


@define(kw_only=True, on_setattr=notify, slots=False)
class StoreFaults(Faults):
    """Fault switches of the store.

    Attributes
    ----------
    keep_leases : bool
        Whether leases do not expire while the store is down. They expire if clients
        cannot reach the store; a store that restarts extends them.
    """

    keep_leases: bool = False


class StoreStandIn(StandIn):
    """Key-value store with leases and watches.

    Attributes
    ----------
    keyspace : Keyspace
        Keys, accessible to tests in the same process.
    counts : dict of str to int
        Number of ``reads`` and ``writes`` so far, and of open ``watches``.
    """

    faults_class = StoreFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.keyspace = Keyspace()
        self.counts = {"reads": 0, "writes": 0, "watches": 0}

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the JSON gateway."""
        calls: dict[str, Call] = {
            "/v3/kv/range": self._range,
            "/v3/kv/put": self._put,
            "/v3/kv/deleterange": self._delete_range,
            "/v3/kv/txn": self._txn,
            "/v3/lease/grant": self._grant,
            "/v3/lease/keepalive": self._keep_alive,
            "/v3/lease/revoke": self._revoke,
        }
        for path, call in calls.items():
            app.router.add_post(path, self._make_handler(call))
        app.router.add_post("/v3/watch", self._watch)

    def add_control_routes(self, app: web.Application) -> None:
        """Add the routes of the counts and keys."""
        app.router.add_get("/counts", self._get_counts)
        app.router.add_get("/keys", self._get_keys)

    def can_lose_answer(self, request: web.Request) -> bool:
        """Include only writes, whose outcome is unknown without the answer."""
        return request.path in ("/v3/kv/put", "/v3/kv/txn", "/v3/kv/deleterange")

    async def start(self) -> None:
        """Listen and start to expire leases."""
        await super().start()
        self.track_task(asyncio.get_running_loop().create_task(self._expire_leases()))

    def set_key(self, key: str, value: bytes) -> int:
        """Set a key from a test and return its revision, without counting a write."""
        space = self.keyspace
        body = {"key": _encode(key.encode()), "value": _encode(value)}
        space.commit([space.put(body, space.revision + 1)])
        return space.revision

    def get_key(self, key: str) -> bytes | None:
        """Return the value of a key to a test, without counting a read."""
        row = self.keyspace.rows.get(key.encode())
        return None if row is None else row.value

    def _make_header(self) -> dict[str, str]:
        return {
            "cluster_id": "14841639068965178418",
            "member_id": "10276657743932975437",
            "revision": str(self.keyspace.revision),
            "raft_term": "2",
        }

    def _make_handler(
        self, call: Call
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def handle(request: web.Request) -> web.Response:
            try:
                body = msgspec.json.decode(await request.read())
                return answer_json({"header": self._make_header(), **call(body)})
            except RejectedError as exc:
                text = str(exc)
                error = {"error": text, "message": text, "code": exc.code}
                return answer_json(error, status=exc.status)
            except (msgspec.DecodeError, KeyError, TypeError, ValueError) as exc:
                return answer_json({"error": repr(exc), "code": 3}, status=400)

        return handle

    def _range(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["reads"] += 1
        return self.keyspace.read_range(body)

    def _put(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["writes"] += 1
        space = self.keyspace
        space.check_put(body)
        space.commit([space.put(body, space.revision + 1)])
        return {"header": self._make_header()}

    def _delete_range(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["writes"] += 1
        space = self.keyspace
        key = decode_bytes(body.get("key", ""))
        end = decode_bytes(get_field(body, "range_end", ""))
        events = space.delete(key, end, space.revision + 1)
        space.commit(events)
        return {"header": self._make_header(), "deleted": str(len(events))}

    def _txn(self, body: dict[str, Any]) -> dict[str, Any]:
        operations = [*(body.get("success") or []), *(body.get("failure") or [])]
        reads = operations and all(
            get_field(entry, "request_range") for entry in operations
        )
        self.counts["reads" if reads else "writes"] += 1
        answer = self.keyspace.run_txn(body)
        return {"header": self._make_header(), **answer}

    def _grant(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["writes"] += 1
        ttl = int(body.get("TTL", 0) or 0)
        lease = int(body.get("ID", 0) or 0)
        lease = self.keyspace.grant_lease(ttl, lease, time.monotonic())
        return {"ID": str(lease), "TTL": str(ttl)}

    def _keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["writes"] += 1
        lease = int(body["ID"])
        ttl = self.keyspace.renew_lease(lease, time.monotonic())
        result = {"header": self._make_header(), "ID": str(lease)}
        return {"result": {**result, "TTL": str(ttl)} if ttl else result}

    def _revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        self.counts["writes"] += 1
        self.keyspace.revoke_lease(int(body["ID"]))
        return {}

    async def _expire_leases(self) -> None:
        last_check = time.monotonic()
        while True:
            await asyncio.sleep(LEASE_CHECK_SECONDS)
            now = time.monotonic()
            if self.faults.down and self.faults.keep_leases:
                for lease in self.keyspace.leases.values():
                    lease.deadline += now - last_check
            self.keyspace.expire_leases(now)
            last_check = now

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        create = get_field(body, "create_request", {})
        key = decode_bytes(create.get("key", ""))
        end = decode_bytes(get_field(create, "range_end", ""))
        start = int(get_field(create, "start_revision", 0) or 0)
        response = web.StreamResponse(headers={"Content-Type": "application/json"})
        await response.prepare(request)
        created = {"header": self._make_header(), "created": True}
        if start and start < self.keyspace.compacted_revision:
            compacted = str(self.keyspace.compacted_revision)
            end_notice = {"canceled": True, "compact_revision": compacted}
            await _send_line(response, {**created, **end_notice})
            return response
        queue: asyncio.Queue[tuple[Event, ...]] = asyncio.Queue()
        queue.put_nowait(tuple(self._find_past_events(start)))
        self.keyspace.listeners.append(queue.put_nowait)
        self.counts["watches"] += 1
        try:
            await _send_line(response, created)
            last_sent = time.monotonic()
            while request.transport is not None and not request.transport.is_closing():
                if await self._send_events(response, queue, key, end):
                    last_sent = time.monotonic()
                elif time.monotonic() - last_sent > PROGRESS_INTERVAL_SECONDS:
                    await self.wait_recovered()
                    await _send_line(response, {"header": self._make_header()})
                    last_sent = time.monotonic()
            return response
        except (ConnectionError, RuntimeError):
            return response
        finally:
            self.counts["watches"] -= 1
            self.keyspace.listeners.remove(queue.put_nowait)

    def _find_past_events(self, start: int) -> list[Event]:
        if not start:
            return []
        return [event for event in self.keyspace.history if event.revision >= start]

    async def _send_events(
        self,
        response: web.StreamResponse,
        queue: asyncio.Queue[tuple[Event, ...]],
        key: bytes,
        end: bytes,
    ) -> bool:
        try:
            async with asyncio.timeout(DISCONNECT_CHECK_SECONDS):
                events = await queue.get()
        except TimeoutError:
            return False
        wanted = [event for event in events if _is_in_range(event.key, key, end)]
        if not wanted:
            return False
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        await self.wait_recovered()
        lines = [event.to_json() for event in wanted]
        await _send_line(response, {"header": self._make_header(), "events": lines})
        return True

    async def _get_counts(self, request: web.Request) -> web.Response:
        return answer_json({**self.counts, "time": time.time()})

    async def _get_keys(self, request: web.Request) -> web.Response:
        rows = self.keyspace.rows
        return answer_json({key.decode(): len(row.value) for key, row in rows.items()})


def _encode(data: bytes) -> str:
    return b64encode(data).decode()


def _is_in_range(found: bytes, key: bytes, end: bytes) -> bool:
    if not end:
        return found == key
    return found >= key and (end == b"\0" or found < end)


async def _send_line(response: web.StreamResponse, result: dict[str, Any]) -> None:
    await response.write(msgspec.json.encode({"result": result}) + b"\n")


if __name__ == "__main__":
    main(StoreStandIn)
