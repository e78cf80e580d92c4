"""View of the platform's store in which one node reaches replicas through proxies."""

import contextlib
from base64 import b64decode, b64encode
from typing import Any

import aiohttp
import msgspec
from aiohttp import web

from soak.proxy import Proxy

__all__ = ["StoreView"]

_SERVERS_PREFIX = "servers/"
_SHUTDOWN_TIMEOUT = 0.1  # seconds


class StoreView:
    """Passes calls to a store on and replaces the addresses of registered replicas.

    Parameters
    ----------
    store : str
        Base URL of the store.

    Attributes
    ----------
    address : str
        ``ip:port`` at which the node calls the store.
    refuses : bool
        Whether the store refuses all calls of the node.
    """

    def __init__(self, store: str) -> None:
        self._store = store
        self._proxies: dict[str, Proxy] = {}
        self._addresses: dict[str, str] = {}
        self._session: aiohttp.ClientSession | None = None
        # Watches that wait at the store would delay the stop by up to 20 s.
        self._runner = web.ServerRunner(
            web.Server(self._handle, access_log=None, handler_cancellation=True),
            shutdown_timeout=_SHUTDOWN_TIMEOUT,
        )
        self.address = ""
        self.refuses = False

    async def start(self) -> None:
        """Listen on a free port."""
        self._session = aiohttp.ClientSession()
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        host, port = self._runner.addresses[0][:2]
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Stop listening and close all connections."""
        await self._runner.cleanup()
        for proxy in self._proxies.values():
            await proxy.stop()
        if self._session is not None:
            await self._session.close()

    def cut(self, *, resets: bool) -> None:
        """Cut the node from all replicas until ``heal``.

        Parameters
        ----------
        resets : bool
            Whether open connections are reset instead of living on.
        """
        for proxy in self._proxies.values():
            proxy.refuse()
            if resets:
                proxy.reset()

    async def heal(self) -> None:
        """End the cut."""
        for proxy in self._proxies.values():
            await proxy.accept()

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        assert self._session is not None
        body = await request.read()
        if self.refuses:
            return web.Response(status=503)
        try:
            async with self._session.request(
                request.method, self._store + request.raw_path, data=body
            ) as answer:
                data = await answer.read()
                status = answer.status
        except aiohttp.ClientError:
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        with contextlib.suppress(msgspec.DecodeError):
            decoded = msgspec.json.decode(data)
            for item in decoded.get("items", []) + decoded.get("events", []):
                await self._replace_address(item)
            data = msgspec.json.encode(decoded)
        return web.Response(body=data, status=status, content_type="application/json")

    async def _replace_address(self, item: dict[str, Any]) -> None:
        if not item["key"].startswith(_SERVERS_PREFIX) or "value" not in item:
            return
        registration = msgspec.json.decode(b64decode(item["value"]))
        address = registration["address"]
        if address not in self._addresses:
            proxy = self._proxies[address] = Proxy(address)
            self._addresses[address] = await proxy.start()
        registration["address"] = self._addresses[address]
        item["value"] = b64encode(msgspec.json.encode(registration)).decode()
