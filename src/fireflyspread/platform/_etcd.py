"""Store client for the JSON gateway of etcd v3."""

from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec

from fireflyspread._http_client import ClientConnector, open_session
from fireflyspread.exceptions import StoreError, StoreUncertainError
from fireflyspread.recovery import Change, Entry, Store

__all__ = ["EtcdStore"]


def _encode(text: str | bytes) -> str:
    data = text.encode() if isinstance(text, str) else text
    return b64encode(data).decode()


def _find_range_end(prefix: str) -> bytes:
    """Return the smallest key greater than all keys that start with ``prefix``."""
    data = bytearray(prefix.encode())
    data[-1] += 1
    return bytes(data)


def _read_entry(row: dict[str, Any]) -> Entry:
    return Entry(
        key=b64decode(row["key"]).decode(),
        value=b64decode(row.get("value", "")),
        revision=int(row["mod_revision"]),
    )


class EtcdStore(Store):
    """Client of one store endpoint.

    Parameters
    ----------
    url : str
        Base URL.
    timeout : float
        Seconds for one call other than a watch.
    """

    def __init__(self, url: str, *, timeout: float = 1.0) -> None:
        self._url = url.rstrip("/")
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._session: aiohttp.ClientSession | None = None

    def _open_session(self) -> aiohttp.ClientSession:
        if self._session is None or self._session.closed:
            self._session = open_session(connector=ClientConnector())
        return self._session

    async def _call(
        self, path: str, body: dict[str, Any], *, is_write: bool
    ) -> dict[str, Any]:
        error_type = StoreUncertainError if is_write else StoreError
        try:
            async with self._open_session().post(
                self._url + path, data=msgspec.json.encode(body), timeout=self._timeout
            ) as response:
                data = await response.read()
                if response.status != 200:
                    raise error_type(
                        f"store answered {response.status} to {path}; retry"
                    )
                return msgspec.json.decode(data)
        except aiohttp.ClientConnectorError as exc:
            raise StoreError(f"no connection to the store for {path}; retry") from exc
        except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as exc:
            raise error_type(f"no answer from the store to {path}; retry") from exc

    async def read(self, key: str) -> Entry | None:
        answer = await self._call("/v3/kv/range", {"key": _encode(key)}, is_write=False)
        rows = answer.get("kvs", [])
        return _read_entry(rows[0]) if rows else None

    async def read_prefix(self, prefix: str, *, limit: int = 0) -> tuple[Entry, ...]:
        body = {
            "key": _encode(prefix),
            "range_end": _encode(_find_range_end(prefix)),
            "limit": str(limit),
        }
        answer = await self._call("/v3/kv/range", body, is_write=False)
        return tuple(_read_entry(row) for row in answer.get("kvs", []))

    async def replace(
        self, key: str, value: bytes, *, revision: int, lease: int = 0
    ) -> int | None:
        put = {"key": _encode(key), "value": _encode(value), "lease": str(lease)}
        compare = {
            "key": _encode(key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(revision),
        }
        body = {"compare": [compare], "success": [{"requestPut": put}]}
        answer = await self._call("/v3/kv/txn", body, is_write=True)
        if not answer.get("succeeded", False):
            return None
        return int(answer["header"]["revision"])

    async def delete(self, *keys: str) -> None:
        deletes = [{"requestDeleteRange": {"key": _encode(key)}} for key in keys]
        await self._call("/v3/kv/txn", {"success": deletes}, is_write=True)

    async def grant_lease(self, ttl: int) -> int:
        answer = await self._call("/v3/lease/grant", {"TTL": str(ttl)}, is_write=True)
        return int(answer["ID"])

    async def renew_lease(self, lease: int) -> bool:
        answer = await self._call(
            "/v3/lease/keepalive", {"ID": str(lease)}, is_write=True
        )
        return int(answer.get("result", {}).get("TTL", 0)) > 0

    async def revoke_lease(self, lease: int) -> None:
        await self._call("/v3/lease/revoke", {"ID": str(lease)}, is_write=True)

    async def watch(
        self, prefix: str, *, start_revision: int = 0
    ) -> AsyncIterator[Change]:
        create = {
            "key": _encode(prefix),
            "range_end": _encode(_find_range_end(prefix)),
            "start_revision": str(start_revision),
        }
        # A watch sends a progress message at least every 10 s, so 30 s without
        # any bytes mean a dead connection.
        timeout = aiohttp.ClientTimeout(total=None, sock_read=30.0, sock_connect=2.0)
        try:
            async with self._open_session().post(
                self._url + "/v3/watch",
                data=msgspec.json.encode({"create_request": create}),
                timeout=timeout,
            ) as response:
                async for line in response.content:
                    for change in _read_changes(line):
                        yield change
        except (TimeoutError, aiohttp.ClientError, msgspec.DecodeError) as exc:
            raise StoreError(f"the watch of {prefix} failed; start it again") from exc

    async def close(self) -> None:
        if self._session is not None:
            await self._session.close()


def _read_changes(line: bytes) -> list[Change]:
    if not line.strip():
        return []
    changes = []
    for event in msgspec.json.decode(line).get("result", {}).get("events", []):
        row = event["kv"]
        key = b64decode(row["key"]).decode()
        is_delete = event.get("type") == "DELETE"
        changes.append(Change(key=key, entry=None if is_delete else _read_entry(row)))
    return changes
