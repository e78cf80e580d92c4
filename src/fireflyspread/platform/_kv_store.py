"""Client of the platform's metadata store."""

import asyncio
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator, Mapping, Sequence
from typing import Any
from urllib.parse import quote

import aiohttp
import msgspec
from yarl import URL

from fireflyspread._decoding import decode_json
from fireflyspread._http_client import open_session
from fireflyspread.exceptions import (
    HistoryLostError,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.recovery import Change, Entry, Snapshot, SnapshotStore, Write

__all__ = ["KvStore"]

# Seconds added to the wait of a long poll to get its timeout. The store answers in
# about 4 ms.
_WATCH_MARGIN_SECONDS = 0.45
# Seconds that the store holds each long poll of an endless watch.
_LONG_POLL_SECONDS = 5.0

# ``KvStore._call`` limits the time of both sends together.
_NO_TIMEOUT = aiohttp.ClientTimeout(total=None)


class _Item(msgspec.Struct, rename="camel"):
    key: str
    value: str = ""
    revision: int = 0
    deleted: bool = False


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Item] = []
    truncated: bool = False
    as_of: int = 0


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Item] = []
    as_of: int = 0


class _Conflict(msgspec.Struct):
    # Current entries of all keys in the conditions; an absent key has revision 0.
    items: list[_Item] = []


class _Lease(msgspec.Struct, rename="camel"):
    lease: int = 0
    ttl_ms: int = 0


class _Committed(msgspec.Struct):
    revision: int = 0


class KvStore(SnapshotStore):
    """Client of one store address.

    Parameters
    ----------
    address : str
        ``ip:port``.
    connector : aiohttp.BaseConnector
        Makes the connections; closed together with this client.
    timeout : float
        Seconds for one call other than a watch.
    """

    def __init__(
        self, address: str, *, connector: aiohttp.BaseConnector, timeout: float = 1.0
    ) -> None:
        self._base = f"http://{address}"
        self._timeout = timeout
        self._session = open_session(connector=connector)

    async def _call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        is_write: bool = False,
        timeout: float | None = None,
    ) -> tuple[int, bytes]:
        """Return the status and body of a response below 500 other than 429.

        A read whose connection breaks is sent once more, because the store closes idle
        connections.

        Raises
        ------
        StoreError
            No connection, or a 429 or 503, so the call was not executed; for a
            read, any other failure too.
        StoreUncertainError
            A write failed otherwise and may have been executed.
        """
        error_type = StoreUncertainError if is_write else StoreError
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with asyncio.timeout(timeout or self._timeout):
                try:
                    status, content = await self._send(method, path, data)
                except aiohttp.ClientConnectorError:
                    raise
                except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError):
                    if method != "GET":
                        raise
                    status, content = await self._send(method, path, data)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
            raise StoreError(f"no connection to the store for {path}; retry") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise error_type(f"no answer from the store to {path}; retry") from exc
        if status in (429, 503):
            raise StoreError(f"the store refused {path} with {status}; retry")
        if status >= 500:
            raise error_type(f"the store failed {path} with {status}; retry")
        return status, content

    async def _send(
        self, method: str, path: str, data: bytes | None
    ) -> tuple[int, bytes]:
        headers = {} if data is None else {"Content-Type": "application/json"}
        async with self._session.request(
            method,
            URL(self._base + path, encoded=True),
            data=data,
            headers=headers,
            timeout=_NO_TIMEOUT,
        ) as response:
            return response.status, await response.read()

    async def read(self, key: str) -> Entry | None:
        path = f"/v1/kv-key?key={quote(key, safe='')}"
        status, content = await self._call("GET", path)
        if status == 404:
            return None
        return _read_entry(_decode(content, _Item, status))

    async def read_snapshot(self, prefix: str) -> Snapshot:
        entries: list[Entry] = []
        revision = 0
        after = ""
        while True:
            path = f"/v1/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            status, content = await self._call("GET", path)
            page = _decode(content, _Page, status)
            entries += [_read_entry(item) for item in page.items]
            # Entries can change between two pages. Such changes have a revision after
            # that of the first page.
            revision = revision or page.as_of
            if not page.truncated or not page.items:
                return Snapshot(tuple(entries), revision)
            after = page.items[-1].key

    async def read_prefix(self, prefix: str, *, limit: int = 0) -> tuple[Entry, ...]:
        entries = (await self.read_snapshot(prefix)).entries
        return entries[:limit] if limit else entries

    async def wait_changes(
        self, prefix: str, revision: int, *, wait: float
    ) -> tuple[tuple[Change, ...], int]:
        path = (
            f"/v1/kv-watch?prefix={quote(prefix, safe='')}&after={revision}"
            f"&waitMs={int(wait * 1000)}"
        )
        status, content = await self._call(
            "GET", path, timeout=wait + _WATCH_MARGIN_SECONDS
        )
        if status == 410:
            raise HistoryLostError(
                f"the store no longer has the changes of {prefix} after revision "
                f"{revision}; read all again"
            )
        answer = _decode(content, _Events, status)
        changes = tuple(
            Change(item.key, None if item.deleted else _read_entry(item), item.revision)
            for item in answer.events
        )
        return changes, max(revision, answer.as_of)

    async def write_all(self, writes: Sequence[Write]) -> int | tuple[Entry, ...]:
        body = {
            "expectedRevision": [
                {"key": each.key, "revision": each.revision} for each in writes
            ],
            "setKeys": [
                {
                    "key": each.key,
                    "value": b64encode(each.value).decode(),
                    "lease": each.lease,
                }
                for each in writes
                if each.value is not None
            ],
            "remove": [each.key for each in writes if each.value is None],
        }
        status, content = await self._call("POST", "/v1/kv-txn", body, is_write=True)
        if status == 412:
            items = _decode(content, _Conflict).items
            return tuple(_read_entry(item) for item in items if item.revision)
        return _decode_write(content, _Committed, status).revision

    async def put_all(self, items: Mapping[str, bytes], *, lease: int) -> None:
        body = {
            "expectedRevision": [],
            "setKeys": [
                {"key": key, "value": b64encode(value).decode(), "lease": lease}
                for key, value in items.items()
            ],
            "remove": [],
        }
        status, content = await self._call("POST", "/v1/kv-txn", body, is_write=True)
        _decode_write(content, _Committed, status)

    async def replace(
        self, key: str, value: bytes, *, revision: int, lease: int = 0
    ) -> int | None:
        put = {"key": key, "value": b64encode(value).decode(), "lease": lease}
        body = {
            "expectedRevision": [{"key": key, "revision": revision}],
            "setKeys": [put],
            "remove": [],
        }
        status, content = await self._call("POST", "/v1/kv-txn", body, is_write=True)
        if status == 412:
            return None
        return _decode_write(content, _Committed, status).revision

    async def delete(self, *keys: str) -> None:
        body = {"expectedRevision": [], "setKeys": [], "remove": list(keys)}
        status, content = await self._call("POST", "/v1/kv-txn", body, is_write=True)
        _decode_write(content, _Committed, status)

    async def grant_lease(self, ttl: int) -> int:
        body = {"ttlMs": ttl * 1000}
        status, content = await self._call("POST", "/v1/kv-lease", body, is_write=True)
        return _decode_write(content, _Lease, status).lease

    async def renew_lease(self, lease: int) -> bool:
        status, content = await self._call("POST", f"/v1/kv-keep/{lease}")
        if status == 404:
            return False
        _decode(content, _Lease, status)
        return True

    async def revoke_lease(self, lease: int) -> None:
        await self._call("DELETE", f"/v1/kv-lease-end/{lease}", is_write=True)

    async def watch(
        self, prefix: str, *, start_revision: int = 0
    ) -> AsyncIterator[Change]:
        revision = max(0, start_revision - 1)
        while True:
            changes, revision = await self.wait_changes(
                prefix, revision, wait=_LONG_POLL_SECONDS
            )
            for change in changes:
                yield change

    async def close(self) -> None:
        await self._session.close()
        # aiohttp closes the sockets in the next iteration of the event loop.
        await asyncio.sleep(0)


def _decode_write(content: bytes, kind: Any, status: int) -> Any:
    """Decode the answer to a write, which took effect if the answer is cut short."""
    return _decode(content, kind, status, malformed_type=StoreUncertainError)


def _decode(
    content: bytes,
    kind: Any,
    status: int = 200,
    *,
    malformed_type: type[StoreError] = StoreError,
) -> Any:
    if status != 200:
        raise StoreError(
            f"the store answered {status}: {content[:200]!r}; check the call"
        )
    try:
        return decode_json(content, kind)
    except msgspec.DecodeError as exc:
        raise malformed_type(
            f"the store's answer cannot be read: {exc}; retry"
        ) from exc


def _read_entry(item: _Item) -> Entry:
    try:
        value = b64decode(item.value, validate=True)
    except ValueError:
        # Other writers may store any text. A value that is not base64 is returned
        # unchanged and rejected where it is decoded.
        value = item.value.encode()
    return Entry(key=item.key, value=value, revision=item.revision)
