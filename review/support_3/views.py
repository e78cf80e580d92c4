"""Lets a script cut one gateway from the store, the other gateways or loan servers.

Gateways learn the addresses of the others and of loan servers from the store. Each gets its calls answered by a
view of the store that names loopback proxies in place of the addresses on the links of
one gateway, so that these links can be cut.
"""

from base64 import b64decode, b64encode

import msgspec

from soak.proxy import Proxy, ProxyFault
from standins.store_view import StoreView

_MEMBERS_PREFIX = "cluster/members/"
_LOAN_SERVERS_PREFIX = "cluster/journals/"


class _MemberView(StoreView):
    """The store as one gateway sees it.

    Parameters
    ----------
    replaced : dict of str to str
        Address of the proxy by the address that it stands for.
    """

    def __init__(self, store, replaced):
        super().__init__(store)
        self._replaced = replaced

    async def _replace_address(self, item):
        if "value" not in item:
            return
        if item["key"].startswith(_LOAN_SERVERS_PREFIX):
            address = b64decode(item["value"]).decode()
            address = self._replaced.get(address, address)
            item["value"] = b64encode(address.encode()).decode()
        if not item["key"].startswith(_MEMBERS_PREFIX):
            return
        member = msgspec.json.decode(b64decode(item["value"]))
        for name in ("peers", "relay"):
            member[name] = self._replaced.get(member[name], member[name])
        item["value"] = b64encode(msgspec.json.encode(member)).decode()


class Links:
    """The links of one gateway, which can be cut for all gateways of a deployment."""

    def __init__(self):
        self._proxies = []
        self._views = []

    async def attach(self, gateways, cut_off, store):
        """Put proxies on the links of ``cut_off``; before the gateways start."""
        others = [each for each in gateways if each is not cut_off]
        inbound = await self._make_proxies([cut_off])
        outbound = await self._make_proxies(others)
        for gateway in gateways:
            replaced = outbound if gateway is cut_off else inbound
            view = _MemberView(store, replaced)
            await view.start()
            self._views.append(view)
            address = view.address
            if gateway is cut_off:
                address = await self._start_proxy(address)
            gateway.set_store(address)

    async def attach_to_loan_servers(self, cut_off, loan_servers, store):
        """Put proxies between one gateway and loan servers; before it starts."""
        view = _MemberView(
            store,
            {
                server.settings["peers"]: await self._start_proxy(
                    server.settings["peers"]
                )
                for server in loan_servers
            },
        )
        await view.start()
        self._views.append(view)
        cut_off.set_store(view.address)

    async def _make_proxies(self, gateways):
        return {
            address: await self._start_proxy(address)
            for gateway in gateways
            for address in (gateway.peers, gateway.relay)
        }

    async def _start_proxy(self, address):
        proxy = Proxy(address)
        self._proxies.append(proxy)
        return await proxy.start()

    def cut(self):
        """Let no byte through, in either direction, until ``heal``."""
        for proxy in self._proxies:
            proxy.inject(ProxyFault.SILENCE)

    def heal(self):
        for proxy in self._proxies:
            proxy.clear()

    async def stop(self):
        for proxy in self._proxies:
            await proxy.stop()
        for view in self._views:
            await view.stop()
