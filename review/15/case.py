"""A stream that breaks off at a draining replica is sent to that replica again."""

import asyncio
from pathlib import Path

from harness import (
    BROKEN,
    HELD,
    Connection,
    Deployment,
    Replica,
    has_trouble,
    run_script,
)

# Bounds of poklopac-prod, in seconds.
CONTACT = 3.0
DRAIN = 2.0
KEY = "key-of-lids"
CONFIG = {
    "version": 5,
    "routes": [
        {
            "name": "fastmatch",
            "host": "shop.example",
            "prefix": "/turn/",
            "kind": "streaming",
            "service": "matchmodels",
            "timeoutMs": 4000,
            "targetLatencyMs": 200,
            "targetGapMs": 200,
            "priority": 1,
            "maxAttempts": 1,
            "resumable": True,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": "matchmodels",
            "maxConnections": 180,
            "engine": {"slots": 16, "kvCapacityTokens": 123411, "stride": 9},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "lids", "apiKeys": [KEY], "ratePerS": 50, "burst": 50}],
}
HEADERS = {
    "Fireflyspread-Request-Id": "9c41d07be2a35f68",
    "Fireflyspread-Time-Remaining": "4000",
    "Fireflyspread-Model": "m",
    "Fireflyspread-Token-Count": "1460,153",
    "Fireflyspread-Prompt-Prefix": "5c1e07a2:800,91bd3f06:410,e4402b7d:250",
    "Fireflyspread-Program-Id": "3fa81c",
    "Fireflyspread-Session-Id": "77d20b",
    "Fireflyspread-Program-Deadline": "9000",
    "Fireflyspread-Token-Budget": "2304",
    "Authorization": f"Token {KEY}",
}


async def main(record):
    async with Deployment(record, gateways=4) as deployment:
        # 17 events of 9 tokens, 200 ms apart.
        replicas = [
            await Replica(f"i-{n}", record, events=17, gap=0.2).start()
            for n in range(2)
        ]
        deployment.put_config(CONFIG)
        for replica in replicas:
            deployment.register(replica, "matchmodels")
        await deployment.start_all()
        await asyncio.sleep(CONTACT + 0.5)
        try:
            return await play(deployment, replicas, record)
        finally:
            for replica in replicas:
                replica.stop()


async def play(deployment, replicas, record):
    connection = await Connection.open(deployment.gateways[0].callers)
    record.add("the client sends a turn")
    await connection.send("POST", "/turn/2f", HEADERS, b"x" * 600)
    reading = asyncio.create_task(connection.read_answer(timeout=6.0))
    while not any(replica.arrivals for replica in replicas):
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.3)
    leaving = next(replica for replica in replicas if replica.arrivals)
    deployment.register(leaving, "matchmodels", state="draining")
    leaving.is_leaving = True
    acknowledged_at = record.now()
    record.add(f"the store has accepted that {leaving.instance} is draining")
    await asyncio.sleep(DRAIN + 0.3)
    if has_trouble():
        count = leaving.reset_streams()
        record.add(f"{leaving.instance} resets the connection of {count} stream")
    answer = await reading
    connection.close()
    record.add(
        f"the client got {answer.status}, {answer.body.count(b'id: ')} events, "
        + ("whole" if answer.is_complete else answer.error)
    )
    late = [
        run
        for run in leaving.arrivals
        if run.at > acknowledged_at + DRAIN and not run.is_refused
    ]
    for run in late:
        record.add(
            f"BROKEN: {run.request} reached {leaving.instance} "
            f"{run.at - acknowledged_at:.3f} s after the store had accepted that it "
            f"is draining (drainMs {DRAIN * 1000:.0f})"
        )
    for line in deployment.grep_logs("on a replica"):
        record.add("log of " + line)
    return BROKEN if late else HELD


run_script(Path(__file__).with_name("record.txt"), main)
