"""Stand-in of the platform's metadata store: keys, watches, leases, transactions."""

import asyncio
import itertools
import time
from base64 import b64decode, b64encode
from typing import Any

import msgspec
from aiohttp import web
from attrs import define

from standins._base import Faults, StandIn, answer_json, main, notify

__all__ = ["MetadataStoreStandIn"]

# Conditions, keys set and keys removed together.
MAX_TXN_ENTRIES = 32
MAX_PAGE_ITEMS = 50
_LEASE_CHECK_SECONDS = 0.02


@define(kw_only=True, on_setattr=notify, slots=False)
class MetadataFaults(Faults):
    """Fault switches of the store.

    Attributes
    ----------
    status : int
        HTTP status with which all calls are refused; 0 refuses none.
    """

    status: int = 0


class MetadataStoreStandIn(StandIn):
    """Key-value store with one revision counter and a history for watches."""

    faults_class = MetadataFaults

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.revision = 10
        self.items: dict[str, dict[str, Any]] = {}
        self.calls = 0
        self._events: list[dict[str, Any]] = []
        self._oldest_revision = self.revision
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(77_000)
        self._changed = asyncio.Event()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes of the store."""
        app.router.add_get("/v1/kv-key", self._get_key)
        app.router.add_get("/v1/kv-range", self._get_range)
        app.router.add_get("/v1/kv-watch", self._watch)
        app.router.add_post("/v1/kv-txn", self._commit)
        app.router.add_post("/v1/kv-lease", self._grant)
        app.router.add_post("/v1/kv-keep/{lease}", self._renew)
        app.router.add_delete("/v1/kv-lease-end/{lease}", self._revoke)

    def can_lose_answer(self, request: web.Request) -> bool:
        """Include only transactions, whose outcome is unknown without the answer."""
        return request.path == "/v1/kv-txn"

    async def start(self) -> None:
        """Listen and start to expire leases."""
        await super().start()
        self.track_task(asyncio.get_running_loop().create_task(self._expire_leases()))

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Write a key, as the operator or a replica does."""
        self.revision += 1
        previous = self.items.get(key)
        self.items[key] = {
            "key": key,
            "value": b64encode(value).decode(),
            "revision": self.revision,
            "created": self.revision if previous is None else previous["created"],
            "lease": lease,
        }
        self._append_event(self.items[key])

    def remove(self, key: str) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append_event({"key": key, "revision": self.revision, "deleted": True})

    def read(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self.items.get(key)
        return None if item is None else b64decode(item["value"])

    def compact(self) -> None:
        """Discard the history, so that watches from an earlier revision get 410."""
        self._events.clear()
        self.revision += 1
        self._oldest_revision = self.revision
        self._notify_watches()

    def _append_event(self, event: dict[str, Any]) -> None:
        self._events.append(event)
        self._notify_watches()

    def _notify_watches(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _check_refusal(self) -> web.Response | None:
        """Count a call and return its refusal, or None if no fault refuses it."""
        self.calls += 1
        if self.faults.status:
            return answer_json({"error": "refused"}, status=self.faults.status)
        return None

    async def _get_key(self, request: web.Request) -> web.Response:
        if (refusal := self._check_refusal()) is not None:
            return refusal
        item = self.items.get(request.query["key"])
        if item is None:
            return answer_json({"asOf": self.revision}, status=404)
        return answer_json({**item, "asOf": self.revision})

    async def _get_range(self, request: web.Request) -> web.Response:
        if (refusal := self._check_refusal()) is not None:
            return refusal
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        return answer_json(
            {
                "items": [self.items[key] for key in keys[:MAX_PAGE_ITEMS]],
                "truncated": len(keys) > MAX_PAGE_ITEMS,
                "asOf": self.revision,
            }
        )

    async def _watch(self, request: web.Request) -> web.Response:
        if (refusal := self._check_refusal()) is not None:
            return refusal
        prefix, after = request.query["prefix"], int(request.query["after"])
        until = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self._oldest_revision and self._oldest_revision > 10:
                return answer_json({"error": "history is compacted"}, status=410)
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            remaining = until - time.monotonic()
            if events or remaining <= 0:
                return answer_json({"events": events, "asOf": self.revision})
            waiter = self._changed
            try:
                await asyncio.wait_for(waiter.wait(), min(remaining, 0.1))
            except TimeoutError:
                continue

    async def _commit(self, request: web.Request) -> web.Response:
        if (refusal := self._check_refusal()) is not None:
            return refusal
        body = msgspec.json.decode(await request.read())
        rows, puts = body["expectedRevision"], body["setKeys"]
        if len(rows) + len(puts) + len(body["remove"]) > MAX_TXN_ENTRIES:
            return answer_json({"error": "more than 32 entries"}, status=400)
        if any(self._get_revision(row["key"]) != row["revision"] for row in rows):
            items = [
                self.items.get(row["key"], {"key": row["key"], "revision": 0})
                for row in rows
            ]
            return answer_json({"asOf": self.revision, "items": items}, status=412)
        if any(put["lease"] and put["lease"] not in self._leases for put in puts):
            return answer_json({"error": "no such lease"}, status=404)
        for put in puts:
            self.put(put["key"], b64decode(put["value"]), put["lease"])
        for key in body["remove"]:
            self.remove(key)
        return answer_json({"revision": self.revision})

    def _get_revision(self, key: str) -> int:
        item = self.items.get(key)
        return 0 if item is None else item["revision"]

    async def _grant(self, request: web.Request) -> web.Response:
        if (refusal := self._check_refusal()) is not None:
            return refusal
        ttl = msgspec.json.decode(await request.read())["ttlMs"] / 1000
        lease = next(self._lease_ids)
        self._leases[lease] = (ttl, time.monotonic() + ttl)
        return answer_json({"lease": lease, "ttlMs": int(ttl * 1000)})

    async def _renew(self, request: web.Request) -> web.Response:
        if (refusal := self._check_refusal()) is not None:
            return refusal
        lease = int(request.match_info["lease"])
        if lease not in self._leases:
            return answer_json({"error": "no such lease"}, status=404)
        ttl, _ = self._leases[lease]
        self._leases[lease] = (ttl, time.monotonic() + ttl)
        return answer_json({"ttlMs": int(ttl * 1000)})

    async def _revoke(self, request: web.Request) -> web.Response:
        if (refusal := self._check_refusal()) is not None:
            return refusal
        self.revoke_lease(int(request.match_info["lease"]))
        return answer_json({})

    def revoke_lease(self, lease: int) -> None:
        """Delete a lease and its keys."""
        self._leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _expire_leases(self) -> None:
        while True:
            await asyncio.sleep(_LEASE_CHECK_SECONDS)
            now = time.monotonic()
            for lease, (_, until) in tuple(self._leases.items()):
                if now > until:
                    self.revoke_lease(lease)


if __name__ == "__main__":
    main(MetadataStoreStandIn)
