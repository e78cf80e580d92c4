"""A front that is cut off from the loan servers forgets the loans of its predecessor."""

import asyncio
from base64 import b64decode, b64encode
from pathlib import Path

from cluster import TROUBLE, Cluster, Front, run_case
from programs import FRONTS, return_programs, spend_budgets, start_deployment

from soak.proxy import Proxy, ProxyFault
from standins.store_view import StoreView

CUT_OFF = "front-zagreb-west-1"
# Seconds for which the front is cut off from the machines that count (pages: 12), and
# until the stopped programs return (pages: retentionS 60).
CUT, RETURN_AFTER = 12.0, 8.0


class CutView(StoreView):
    """The store as one front sees it: the loan servers lie behind proxies."""

    async def _replace_address(self, item) -> None:
        if not item["key"].startswith("cluster/journals/") or not item.get("value"):
            return
        address = b64decode(item["value"]).decode()
        if address not in self._addresses:
            proxy = self._proxies[address] = Proxy(address)
            self._addresses[address] = await proxy.start()
        item["value"] = b64encode(self._addresses[address].encode()).decode()

    def silence(self) -> None:
        """Let nothing through in either direction."""
        for proxy in self._proxies.values():
            proxy.inject(ProxyFault.SILENCE)

    def clear(self) -> None:
        """End the silence."""
        for proxy in self._proxies.values():
            proxy.clear()


async def main() -> int:
    async with Cluster(Path(__file__).with_name("record.txt")) as cluster:
        fronts = [Front(cluster, *each) for each in FRONTS]
        front = next(each for each in fronts if each.name == CUT_OFF)
        view = CutView(cluster.store.url)
        await view.start()
        cluster.views.append(view)
        front.store = view.address
        await start_deployment(cluster, fronts)

        def cut() -> None:
            if TROUBLE:
                cluster.record.say(
                    f"fault    {CUT_OFF} is cut off from the loan servers for {CUT:g} s"
                )
                view.silence()
                asyncio.get_running_loop().call_later(CUT, heal)

        def heal() -> None:
            cluster.record.say(f"healed   {CUT_OFF} reaches the loan servers again")
            view.clear()

        ended_at = 0.0

        def note_end() -> None:
            nonlocal ended_at
            ended_at = asyncio.get_running_loop().time()
            cut()

        programs = await spend_budgets(cluster, front, note_end)
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(ended_at + RETURN_AFTER - now)
        return await return_programs(cluster, programs)


run_case(main)
