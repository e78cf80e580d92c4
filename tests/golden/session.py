"""A node in this process with stand-ins, and the record of their exchange."""

import asyncio
import contextlib
import json
import re
from base64 import b64decode
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any

import aiohttp
import msgspec

from fireflyspread.bundle import hash_key
from fireflyspread.clock import SystemClock
from fireflyspread.daemon._node import NodeDaemon
from fireflyspread.recovery._entries import decode_entry
from fireflyspread.settings import Settings
from standins._base import ReceivedRequest, find_free_port
from tests.golden.normalizer import HIDDEN_HEADERS, format_json, join_events
from tools.cluster import Deployment, LocalCluster
from tools.cluster._cluster import OPERATORS, SECRET

__all__ = ["Session", "open_session", "wait_for_calls"]

# Requests of background tasks of the node, whose number depends on timing.
_POLLS = (("GET", "/v1/load"), ("GET", "/v1/events"), ("GET", "/v1/sessions"))
# Calls of a flood reach a target in any order, so they are counted and not listed.
FLOOD_MARKER = b'"flood"'
_STREAM_HEADERS = ("X-Outcome", "Retry-After")


class ShiftedClock(SystemClock):
    """Clock whose wall time is ``shift`` seconds ahead."""

    def __init__(self, shift: float) -> None:
        self._shift = shift

    def read_wall(self) -> float:
        return super().read_wall() + self._shift


class Session:
    """A deployment, a node, and the record of their exchange as lines in order."""

    def __init__(self, cluster: LocalCluster) -> None:
        self.cluster = cluster
        self.deployment = cluster.deployment
        self.lines: list[str] = []
        self._http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        self._recorded_counts: dict[str, int] = {}
        self._labels: dict[str, str] = {}
        self._daemon: NodeDaemon | None = None
        self._url = ""
        self._admin_url = ""

    @property
    def node(self) -> NodeDaemon:
        """The running node."""
        assert self._daemon is not None
        return self._daemon

    async def start_node(self, *, shift: float = 0.0) -> None:
        """Start the node, with its wall clock ``shift`` seconds ahead."""
        parts = ("callers", "internal", "peers", "operators")
        listen = {part: f"127.0.0.1:{find_free_port()}" for part in parts}
        settings = Settings.from_config(
            {
                "node": {"name": "entry-1", "zone": "a", "vm": "vm-entry-1"},
                "listen": listen,
                "platform": {
                    "store": self.cluster.store.url,
                    "vm_list": self.cluster.vm_list.url,
                },
                "node_secret": SECRET,
                "operator_keys": {name: hash_key(k) for name, k in OPERATORS.items()},
            }
        )
        self._daemon = NodeDaemon(settings, ShiftedClock(shift))
        await self._daemon.start()
        self._url = f"http://{listen['callers']}"
        self._admin_url = f"http://{listen['operators']}/admin/v1"
        await self.wait_until(self._is_ready)

    async def stop_node(self) -> None:
        """Drain and stop the node."""
        await self.node.stop()
        self._daemon = None

    async def close(self) -> None:
        await self._http.close()
        if self._daemon is not None:
            await self.stop_node()

    async def _is_ready(self) -> bool:
        with contextlib.suppress(aiohttp.ClientError):
            async with self._http.get(self._url + "/readyz") as answer:
                return answer.status == 200
        return False

    async def wait_until(self, check: Callable[[], Any]) -> None:
        """Wait up to 60 s until ``check``, a function or coroutine, returns true."""
        async with asyncio.timeout(60):
            while True:
                result = check()
                if asyncio.iscoroutine(result):
                    result = await result
                if result:
                    return
                await asyncio.sleep(0.01)

    def start_section(self, text: str) -> None:
        """Start a section of the file."""
        self.lines += ["", f"== {text}"]

    def add_note(self, text: str) -> None:
        """Add a note on something that is not part of the exchange."""
        self.lines.append(f"-- {text}")

    async def call(
        self,
        team: str,
        method: str,
        path: str,
        body: Any = None,
        *,
        is_unrecorded: bool = False,
        **headers: str,
    ) -> Any:
        """Send a caller's request; record it, the targets' requests and the answer."""
        return await self.read_answer(
            await self.send(
                team, method, path, body, is_unrecorded=is_unrecorded, **headers
            )
        )

    async def send(
        self,
        team: str,
        method: str,
        path: str,
        body: Any = None,
        *,
        is_unrecorded: bool = False,
        **headers: str,
    ) -> aiohttp.ClientResponse:
        """Send a request and return its answer, of which only the headers are read."""
        sent = {name.replace("_", "-"): value for name, value in headers.items()}
        if not is_unrecorded:
            self.lines.append(f"{team} > {method} {path}")
            self._add_body(sent, body)
        key = self.deployment.keys[team]
        return await self._http.request(
            method,
            self._url + path,
            json=body,
            headers={"Authorization": f"Bearer {key}", **sent},
        )

    async def read_answer(
        self, answer: aiohttp.ClientResponse, *, start: bytes = b""
    ) -> Any:
        """Read the rest of an answer; record the targets' requests and the answer."""
        data = start + await answer.read()
        self.record_targets()
        self.lines.append(f"caller < {answer.status}")
        headers = {k: answer.headers[k] for k in _STREAM_HEADERS if k in answer.headers}
        if answer.content_type == "text/event-stream":
            self._add_body(headers, None)
            self.lines += [f"    {line}" for line in join_events(data.decode())]
            return data.decode()
        decoded = json.loads(data) if data else None
        self._add_body(headers, decoded)
        return decoded

    async def send_operator_request(
        self, operator: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Send a request of an operator without recording it."""
        headers = {"Authorization": f"Bearer {OPERATORS[operator]}"}
        async with self._http.request(
            method, self._admin_url + path, json=body, headers=headers
        ) as answer:
            return answer.status, await answer.json()

    def record_targets(self) -> None:
        """Record the requests that targets have received since the last call."""
        entries = []
        for name, stand_in in self.deployment.replicas.items():
            start_index = self._recorded_counts.get(name, 0)
            received = list(stand_in.received)[start_index:]
            self._recorded_counts[name] = start_index + len(received)
            entries += [(entry.time, name, entry) for entry in received]
        for _, name, entry in sorted(entries, key=lambda item: item[0]):
            if (entry.method, entry.path) in _POLLS or entry.path.endswith("/cancel"):
                continue
            if entry.method == "DELETE" or FLOOD_MARKER in entry.body:
                continue
            self._add_received(name, entry)

    async def record_end(self) -> None:
        """Record background requests to targets, journal records and the bundle."""
        await self.wait_until(lambda: not self._list_sessions())
        self.start_section(
            "In the background: releases and cancellations at the engines"
        )
        lines = set()
        for name, stand_in in self.deployment.replicas.items():
            for entry in stand_in.received:
                if entry.method == "DELETE" or entry.path.endswith("/cancel"):
                    lines.add(f"{self._get_label(name)} > {entry.method} {entry.path}")
        self.lines += sorted(lines, key=self._make_sort_key) or ["none"]
        held, released = "SessionHeld", "SessionReleased"
        await self.wait_until(
            lambda: (
                self._list_session_records(held) == self._list_session_records(released)
            )
        )
        records = [_format_record(record) for record in self._list_records()]
        self.start_section("Platform: records of the journal in their order")
        for lines in records:
            self.lines += [] if lines[0].startswith(released) else lines
        self.start_section("Platform: records that the background tasks added")
        found = ["\n".join(r) for r in records if r[0].startswith(released)]
        self.lines += sorted(found, key=self._make_sort_key) or ["none"]
        self.start_section("Platform: the bundle in force")
        document = json.loads(self.cluster.store.keyspace.rows[b"bundle/current"].value)
        self.lines += [f"    {line}" for line in format_json(document)]
        # Which replica a program starts on is random.
        for name, label in self._labels.items():
            old, new = f'"replica": "{name}"', f'"replica": "{label}"'
            self.lines[:] = [line.replace(old, new) for line in self.lines]

    def _make_sort_key(self, line: str) -> tuple[int, str]:
        """Sort by the first appearance of the program, whose id is random."""
        program = re.search(r"p-[0-9a-f]{24}", line)
        place = "\n".join(self.lines).find(program[0]) if program else 0
        return place, re.sub(r"[0-9a-f]{8,}", "", line)

    def _list_session_records(self, kind: str) -> set[tuple[str, str]]:
        return {
            (record["subject"], record["replica"])
            for record in self._list_records()
            if record["kind"] == kind
        }

    def _list_records(self) -> list[dict[str, Any]]:
        """Return the records of all journal entries sent to the store."""
        found: list[dict[str, Any]] = []
        for entry in self.cluster.store.received:
            if entry.path != "/v3/kv/txn":
                continue
            for operation in json.loads(entry.body).get("success", ()):
                put = operation.get("requestPut") or operation.get("request_put")
                if not put or not b64decode(put["key"]).startswith(b"journal/"):
                    continue
                raw = decode_entry(b64decode(put.get("value", ""))).records
                decoded = [msgspec.msgpack.decode(record) for record in raw]
                found += [r for r in decoded if r and r["kind"] != "SnapshotTaken"]
        return found

    def _list_sessions(self) -> list[str]:
        engines = self.deployment.engines.values()
        return [name for engine in engines for name in engine.cache.sessions]

    def _get_label(self, replica: str) -> str:
        """Return the label of a replica by order of use, as placement is random."""
        if replica not in self._labels:
            target = next(
                target["name"]
                for target in self.deployment.bundle["targets"]
                if replica in [r["name"] for r in target["replicas"]]
            )
            used = [label for label in self._labels.values() if target in label]
            self._labels[replica] = f"{target}/{'ABC'[len(used)]}"
        return self._labels[replica]

    def _add_received(self, replica: str, entry: ReceivedRequest) -> None:
        self.lines.append(f"  {self._get_label(replica)} > {entry.method} {entry.path}")
        headers = {
            name: value
            for name, value in sorted(entry.headers.items())
            if name.lower() not in HIDDEN_HEADERS
        }
        body = json.loads(entry.body) if entry.body else None
        self._add_body(headers, body, indent="      ")

    def _add_body(self, headers: dict[str, str], body: Any, indent: str = "  ") -> None:
        indent = indent if indent != "  " else "    "
        self.lines += [f"{indent}{name}: {value}" for name, value in headers.items()]
        if body is not None:
            self.lines += [f"{indent}{line}" for line in format_json(body)]


def _format_record(record: dict[str, Any]) -> list[str]:
    fields = {k: _decode(v) for k, v in record.items() if k not in ("kind", "slot")}
    return [f"{record['kind']} {fields.pop('subject')}", *_indent(format_json(fields))]


def _decode(value: Any) -> Any:
    if not isinstance(value, bytes):
        return value
    for decode in (json.loads, msgspec.msgpack.decode):
        with contextlib.suppress(ValueError, msgspec.DecodeError):
            return _decode_fields(decode(value))
    return value.decode(errors="replace")


def _decode_fields(value: Any) -> Any:
    if isinstance(value, dict):
        return {key: _decode(item) for key, item in value.items()}
    return value


def _indent(lines: list[str]) -> list[str]:
    return [f"    {line}" for line in lines]


def _limit_replicas(deployment: Deployment, counts: dict[str, int]) -> None:
    """Keep one replica of each target, or its number in ``counts``; fixes placement."""
    for target in deployment.bundle["targets"]:
        names = [replica["name"] for replica in target["replicas"]]
        kept = counts.get(target["name"], 1)
        del target["replicas"][kept:]
        for name in names[kept:]:
            del deployment.replicas[name]


@asynccontextmanager
async def open_session(
    name: str, *, replicas: dict[str, int] | None = None
) -> AsyncIterator[Session]:
    """Yield a session of a deployment with one running node."""
    deployment = Deployment.from_example(name, engine={"shortest": 12, "longest": 24})
    _limit_replicas(deployment, replicas or {})
    async with LocalCluster(deployment, nodes=0, forwarders=False) as cluster:
        session = Session(cluster)
        try:
            await session.start_node()
            yield session
        finally:
            await session.close()


async def wait_for_calls(session: Session, *, received: int, running: int) -> None:
    """Wait for the counts of calls received by the service and running on the node."""
    (service,) = session.deployment.services.values()
    api = session.node._api
    await session.wait_until(
        lambda: len(service.received) == received and api.running == running
    )
