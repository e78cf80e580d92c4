"""A gateway that is cut off uses its old part of a tenant's quota beside the new one."""

import asyncio
from pathlib import Path

from fireflyspread.bundle import Team
from fireflyspread.gateway._rates import add_tolerance
from fireflyspread.gateway._settings import RateTolerance
from fireflyspread.limits._homes import MembersView
from harness import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    Deployment,
    Replica,
    has_trouble,
    request,
    run_script,
)
from views import Links

CONTACT = 3.0
# Just below the largest dose of core_cut on poklopac-prod, 5.5 s.
CUT = 5.4
# Bounds of poklopac-prod.
WINDOW, OVERSHOOT, SLACK = 5.0, 0.1, 20
KEY = "key-of-lids"
TENANT = "lids"
# Requests a second; the burst is as large, as in the example of `fleetbench wire`.
OLD_LIMIT, NEW_LIMIT = 15, 16
# Requests a second that clients send, to the cut-off gateway and to each other one.
LOAD_CUT_OFF, LOAD_OTHERS = 25, 15
# Below the largest dose of hot_tenant: 7.5 times the usual (OLD_LIMIT / quota_x 1.6),
# for 6.5 s.
LOAD_SECONDS = 6.4


def make_config(version, limit):
    return {
        "version": version,
        "routes": [
            {
                "name": "stallprice",
                "host": "shop.example",
                "prefix": "/price/",
                "kind": "safe",
                "service": "backoffice",
                "timeoutMs": 1200,
                "targetLatencyMs": 80,
                "priority": 2,
                "maxAttempts": 1,
            }
        ],
        "services": [{"name": "backoffice", "maxConnections": 110}],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": TENANT, "apiKeys": [KEY], "ratePerS": limit, "burst": limit}
        ],
    }


def list_homes(names, limit):
    """Return the gateways that share the quota of the tenant."""
    team = add_tolerance(
        Team(name=TENANT, rate=limit, burst=limit),
        RateTolerance(window=WINDOW, overshoot=OVERSHOOT, slack=SLACK),
    )
    return MembersView(1, names, burst_for_each_home=20.0).find_homes(team)


class Load:
    """Clients that send requests at a rate, each on a connection of its own."""

    def __init__(self, record):
        self.sent_at = {}
        self.statuses = {}
        self._record = record
        self._tasks = set()

    async def run(self, gateway, rate, seconds):
        start = self._record.now()
        for n in range(int(rate * seconds)):
            await asyncio.sleep(max(0.0, start + n / rate - self._record.now()))
            task = asyncio.create_task(self._send(gateway, f"{gateway.name}-{n}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*tuple(self._tasks))

    async def _send(self, gateway, number):
        headers = {
            "Fireflyspread-Request-Id": number,
            "Fireflyspread-Time-Remaining": "1200",
            "Authorization": f"Token {KEY}",
        }
        self.sent_at[number] = self._record.now()
        try:
            answer = await request(
                gateway.callers, "GET", "/price/2f", headers, timeout=2.0
            )
            status = answer.status
        except OSError as exc:
            status = type(exc).__name__
        key = gateway.name, status
        self.statuses[key] = self.statuses.get(key, 0) + 1


def find_fullest_window(runs):
    """Return count and start of the fullest window of (sent, arrived) pairs."""
    best = 0, 0.0
    for start, _ in runs:
        count = sum(s >= start and a <= start + WINDOW for s, a in runs)
        best = max(best, (count, start))
    return best


async def main(record):
    links = Links()
    async with Deployment(record, gateways=4) as deployment:
        names = [gateway.name for gateway in deployment.gateways]
        (home,) = list_homes(names, OLD_LIMIT)
        record.add(f"homes of the quota: {home}, later {list_homes(names, NEW_LIMIT)}")
        cut_off = next(each for each in deployment.gateways if each.name == home)
        await links.attach(deployment.gateways, cut_off, deployment.store.url)
        replicas = [
            await Replica(f"i-{n}", record, work=0.013, is_quiet=True).start()
            for n in range(3)
        ]
        deployment.put_config(make_config(5, OLD_LIMIT))
        for replica in replicas:
            deployment.register(replica, "backoffice")
        await deployment.start_all()
        await asyncio.sleep(CONTACT + 0.5)
        try:
            return await play(deployment, cut_off, links, replicas, record)
        finally:
            await links.stop()
            for replica in replicas:
                replica.stop()


async def play(deployment, cut_off, links, replicas, record):
    load = Load(record)
    if has_trouble():
        links.cut()
        record.add(f"{cut_off.name} is cut from the store and the other gateways")
    await asyncio.sleep(0.1)
    deployment.put_config(make_config(9, NEW_LIMIT))
    record.add(f"the store has version 9: a limit of {NEW_LIMIT} in place of {OLD_LIMIT}")
    await asyncio.sleep(0.1)
    record.add("the tenant sends many times its usual")
    sending = [
        asyncio.create_task(
            load.run(
                gateway,
                LOAD_CUT_OFF if gateway is cut_off else LOAD_OTHERS,
                LOAD_SECONDS,
            )
        )
        for gateway in deployment.gateways
    ]
    await asyncio.sleep(CUT - 0.2)
    if has_trouble():
        links.heal()
        record.add("the cut has ended")
    await asyncio.gather(*sending)
    for key, count in sorted(load.statuses.items(), key=str):
        record.add(f"answers of {key[0]} with {key[1]}: {count}")
    if not any(status == 200 for _, status in load.statuses):
        return CANNOT_RUN
    runs = [
        (load.sent_at[run.request], run.at)
        for replica in replicas
        for run in replica.arrivals
        if not run.is_refused
    ]
    count, start = find_fullest_window(runs)
    allowed = (NEW_LIMIT * WINDOW + NEW_LIMIT) * (1 + OVERSHOOT) + SLACK
    record.add(
        f"{count} requests of the tenant ran in the {WINDOW:g} s from {start:.3f} s; "
        f"{allowed:g} are allowed by the higher limit"
    )
    if count > allowed:
        record.add("BROKEN: more than the quota with its tolerance")
        return BROKEN
    return HELD


run_script(Path(__file__).with_name("record.txt"), main)
