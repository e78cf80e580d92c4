"""A version that adds a tenant with a space in its name is not taken over."""

import asyncio
from pathlib import Path

from cluster import BROKEN, HELD, TROUBLE, Cluster, Front, LoanServer, run_case
from programs import FRONTS, STORES

# The tenant that the new version adds.
ADDED = "jam coop" if TROUBLE else "jamcoop"
KEPT, DROPPED, NEW = "lika-key-1", "lika-key-2", "jam-key"
# Seconds after the acknowledgement until a version must apply (configApplyMs 2,000),
# and until requests are sent.
APPLY, WAIT = 2.0, 4.0


def make_tenants(*, is_new: bool) -> list[dict]:
    """Return the tenants of the first version, or of the second."""
    keys = [KEPT] if is_new else [KEPT, DROPPED]
    tenants = [{"name": "lika", "apiKeys": keys, "ratePerS": 122, "burst": 122}]
    if is_new:
        tenants.append({"name": ADDED, "apiKeys": [NEW], "ratePerS": 20, "burst": 20})
    return tenants


async def main() -> int:
    async with Cluster(Path(__file__).with_name("record.txt")) as cluster:
        record = cluster.record
        record.say(f"TROUBLE={int(TROUBLE)}, the added tenant is {ADDED!r}")
        await cluster.add_replicas("models", 2)
        await cluster.add_replicas("orders", 3)
        cluster.put_config(make_tenants(is_new=False))
        cluster.loan_servers = [LoanServer(cluster, *each) for each in STORES]
        cluster.fronts = [Front(cluster, *each) for each in FRONTS]
        await cluster.start_all()
        await asyncio.sleep(4.0)
        if await send_all(cluster, "a", {DROPPED: 200, KEPT: 200, NEW: 401}, 404):
            raise RuntimeError("the first version is not in force")
        cluster.put_config(make_tenants(is_new=True), version=9, added=("added",))
        record.say(f"config   version 9: {DROPPED} dropped, {NEW} and a route added")
        await asyncio.sleep(WAIT)
        wrong = await send_all(cluster, "b", {DROPPED: 401, KEPT: 200, NEW: 200}, 200)
        record.say(
            f"{'BROKEN' if wrong else 'held'}: {wrong} requests were handled as only the "
            f"older version allows, {WAIT:g} s after the store had acknowledged the new "
            f"one; allowed are {APPLY:g} s"
        )
        return BROKEN if wrong else HELD


async def send_all(
    cluster: Cluster, prefix: str, expected: dict[str, int], added: int
) -> int:
    """Send a request with each key, and one on the added route, to each front.

    Returns
    -------
    int
        Number of answers with another status than expected.
    """
    wrong = 0
    for number, front in enumerate(cluster.fronts):
        rows = [("/prices/2f", key, status) for key, status in expected.items()]
        rows.append(("/added/2f", KEPT, added))
        for row, (path, key, status) in enumerate(rows):
            headers = {
                "Authorization": f"Token {key}",
                "Fireflyspread-Request-Id": f"{prefix}c41d07b{number:04x}{row:04x}",
                "Fireflyspread-Time-Remaining": "1200",
            }
            answered, _ = await cluster.send(front, "GET", path, headers)
            if answered != status:
                wrong += 1
                cluster.record.say(
                    f"wrong    {front.name} {path} with {key}: {answered}, not {status}"
                )
    return wrong


run_case(main)
