"""A front that the store turns away keeps the quota that a new front has as well."""

import asyncio
import time
from pathlib import Path

from cluster import BROKEN, HELD, TROUBLE, Cluster, Front, LoanServer, run_case

from soak.proxy import Proxy, ProxyFault

TENANT, KEY = "slavonia", "slavonia-key"
RATE = BURST = 10.0
WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20
LIMIT = (RATE * WINDOW + BURST) * (1 + OVERSHOOT) + SLACK

# Seconds for which the store turns the front away (pages: 9.0).
TURNED_AWAY = 9.0
# Of the hot tenant: seconds from the first fault, length, requests a second. Its usual
# load is its quota / 1.6, and it sends 7.5 times that for 6.5 s (pages).
HOT_AFTER, HOT_SECONDS, HOT_RATE = 5.2, 6.5, RATE / 1.6 * 7.5

FRONTS = [
    ("front-zagreb-east-1", "zagreb-east"),
    ("front-zagreb-east-2", "zagreb-east"),
    ("front-zagreb-west-1", "zagreb-west"),
    ("front-zagreb-north-1", "zagreb-north"),
]
STORES = [
    ("store-zagreb-east-1", "zagreb-east"),
    ("store-zagreb-west-1", "zagreb-west"),
    ("store-zagreb-north-1", "zagreb-north"),
]
STALE = "front-zagreb-west-1"
ADDED = ("front-zagreb-north-2", "zagreb-north")


async def main() -> int:
    async with Cluster(Path(__file__).with_name("record.txt")) as cluster:
        record = cluster.record
        record.say(f"TROUBLE={int(TROUBLE)}, limit in {WINDOW:g} s: {LIMIT:g}")
        await cluster.add_replicas("models", 2)
        await cluster.add_replicas("orders", 3)
        cluster.put_config(
            [
                {"name": TENANT, "apiKeys": [KEY], "ratePerS": RATE, "burst": BURST},
                {"name": "lika", "apiKeys": ["lika-key"], "ratePerS": 122, "burst": 122},
            ]
        )
        cluster.loan_servers = [LoanServer(cluster, *each) for each in STORES]
        cluster.fronts = [Front(cluster, *each) for each in FRONTS]
        stale = next(each for each in cluster.fronts if each.name == STALE)
        path = Proxy(stale.store)
        stale.store = await path.start()
        try:
            await cluster.start_all()
            await asyncio.sleep(4.0)
            return await play(cluster, path)
        finally:
            await path.stop()


async def play(cluster: Cluster, path: Proxy) -> int:
    record, loop = cluster.record, asyncio.get_running_loop()
    begin = loop.time()
    if TROUBLE:
        record.say(f"fault    the store turns {STALE} away (resets), {TURNED_AWAY:g} s")
        path.inject(ProxyFault.RESET)
        loop.call_later(TURNED_AWAY, path.clear)
        loop.call_later(TURNED_AWAY, lambda: record.say("healed   the store serves it again"))
    await asyncio.sleep(0.2)
    added = Front(cluster, *ADDED)
    added.is_first = False
    cluster.fronts.append(added)
    await added.start()
    await added.wait_ready()
    await asyncio.sleep(begin + HOT_AFTER - loop.time())
    record.say(f"hot      {TENANT} sends {HOT_RATE:g} a second for {HOT_SECONDS:g} s")
    sent = await send_hot(cluster)
    return judge(cluster, sent)


async def send_hot(cluster: Cluster) -> dict[str, float]:
    """Send the calls of the hot tenant; return when each was sent.

    Clients of each zone send to the fronts of their zone in turn, as the platform's
    entry does for fronts that are ready.
    """
    zones = sorted({front.zone for front in cluster.fronts})
    sent: dict[str, float] = {}
    tasks = []
    begin = time.monotonic()
    for number in range(int(HOT_RATE * HOT_SECONDS)):
        await asyncio.sleep(max(0.0, begin + number / HOT_RATE - time.monotonic()))
        zone = zones[number % len(zones)]
        ready = [f for f in cluster.fronts if f.zone == zone and await f.is_ready()]
        if not ready:
            continue
        front = ready[number // len(zones) % len(ready)]
        request = f"{0x9c41d07b00000000 + number:016x}"
        headers = {
            "Authorization": f"Token {KEY}",
            "Fireflyspread-Request-Id": request,
            "Fireflyspread-Time-Remaining": "1200",
            "Fireflyspread-Program-Id": f"{number // 4:x}",
            "Fireflyspread-Session-Id": f"{number // 4:x}",
            "Fireflyspread-Program-Deadline": "5200",
        }
        sent[request] = time.monotonic()
        tasks.append(
            asyncio.create_task(cluster.send(front, "GET", "/prices/2f", headers))
        )
    answers = await asyncio.gather(*tasks)
    count = {}
    for status, _ in answers:
        count[status] = count.get(status, 0) + 1
    cluster.record.say(f"answers  {count}")
    return sent


def judge(cluster: Cluster, sent: dict[str, float]) -> int:
    """Count the requests that were sent and run within one window."""
    runs = sorted(
        (run_at, sent[run.request])
        for replica in cluster.replicas
        for run_at, run in zip(replica.runs.times, replica.runs, strict=True)
        if run.tenant == TENANT
    )
    most = max(
        sum(begin <= sent_at and run_at <= begin + WINDOW for run_at, sent_at in runs)
        for begin in sent.values()
    )
    is_broken = most > LIMIT
    cluster.record.say(
        f"{'BROKEN' if is_broken else 'held'}: {most} requests of {TENANT} were sent and "
        f"run within {WINDOW:g} s, allowed are {LIMIT:g}; {len(runs)} ran in all"
    )
    return BROKEN if is_broken else HELD


run_case(main)
