"""A front that is cut off from the loan servers forgets the loans of its predecessor."""

import asyncio
import signal
from base64 import b64decode, b64encode
from pathlib import Path

from cluster import TROUBLE, Cluster, Front, LoanServer, run_case
from programs import (
    BUDGET,
    FRONTS,
    LARGEST_TURN,
    STORES,
    TENANTS,
    AgentProgram,
    choose_programs,
    judge,
)

from soak.proxy import Proxy, ProxyFault
from standins.store_view import StoreView

# Seconds for which the store is down (pages: 4.5), and for which one front is cut off
# from the machines that count (pages: 12).
STORE_DOWN, CUT = 4.5, 12.0
# Seconds from the first fault until the stopped programs return (pages: retentionS 60).
RETURN_AFTER = 11.5

CUT_OFF = "front-zagreb-west-1"


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

    def inject(self, fault: ProxyFault) -> None:
        for proxy in self._proxies.values():
            proxy.inject(fault)

    def clear(self) -> None:
        for proxy in self._proxies.values():
            proxy.clear()


async def main() -> int:
    async with Cluster(Path(__file__).with_name("record.txt")) as cluster:
        record = cluster.record
        record.say(f"TROUBLE={int(TROUBLE)}, allowed: {BUDGET} + {LARGEST_TURN} tokens")
        await cluster.add_replicas("models", 3)
        await cluster.add_replicas("orders", 1)
        cluster.put_config(TENANTS)
        cluster.loan_servers = [LoanServer(cluster, *each) for each in STORES]
        cluster.fronts = [Front(cluster, *each) for each in FRONTS]
        front = next(each for each in cluster.fronts if each.name == CUT_OFF)
        view = CutView(cluster.store.url)
        await view.start()
        cluster.views.append(view)
        front.store = view.address
        await cluster.start_all()
        # For 5 s after its start a front lets the loan servers confirm each draw.
        await asyncio.sleep(6.0)
        return await play(cluster, front, view)


async def play(cluster: Cluster, front: Front, view: CutView) -> int:
    record, loop = cluster.record, asyncio.get_running_loop()
    begin = loop.time()
    if TROUBLE:
        record.say(f"fault    the store is down (503) for {STORE_DOWN:g} s")
        cluster.store.faults.status = 503
    await asyncio.sleep(1.0)
    programs = [AgentProgram(cluster, each) for each in choose_programs(CUT_OFF, 6)]
    entry = cluster.fronts[0]
    await asyncio.gather(*(each.run_until_stopped(entry) for each in programs))
    await asyncio.sleep(max(0.0, begin + 3.4 - loop.time()))
    if TROUBLE:
        record.say(f"fault    {front.name} is cut off from the loan servers for {CUT:g} s")
        view.inject(ProxyFault.SILENCE)
        loop.call_later(CUT, view.clear)
        await front.end(signal.SIGKILL)
        await asyncio.sleep(0.3)
        await front.start()
        await asyncio.sleep(max(0.0, begin + STORE_DOWN - loop.time()))
        cluster.store.faults.status = 0
        record.say("healed   the store answers again")
        await front.wait_ready()
    await asyncio.sleep(begin + RETURN_AFTER - loop.time())
    record.say("return   the stopped programs come again")
    await asyncio.gather(*(each.run_until_stopped(entry) for each in programs))
    return judge(cluster, programs)


run_case(main)
