"""A request whose body arrives while a stopping gateway closes is never answered."""

import asyncio
import signal
from pathlib import Path

from harness import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    Connection,
    Deployment,
    Replica,
    has_trouble,
    make_head,
    run_script,
)

CONTACT = 3.0
# Bounds of bppc-spread-grown, in seconds.
GRACE = 8.0
LOSS_SLACK = 0.2
# Deadline and timeout of deposit-charge, in milliseconds.
DEADLINE_MS = 6000
# Seconds after the SIGTERM at which the requests begin, and for which each body takes.
BEGINS = (0.5, 1.5, 2.3, 2.3)
UPLOAD = 0.5
KEY = "key-of-hauliers"
CONFIG = {
    "version": 5,
    "routes": [
        {
            "name": "deposit-charge",
            "host": "shop.example",
            "prefix": "/charge/",
            "kind": "unsafe",
            "service": "pool-ledger",
            "timeoutMs": DEADLINE_MS,
            "targetLatencyMs": 815,
            "priority": 2,
            "maxAttempts": 1,
        }
    ],
    "services": [{"name": "pool-ledger", "maxConnections": 672}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "haul", "apiKeys": [KEY], "ratePerS": 50, "burst": 50}],
}


def make_headers(number):
    return {
        "Fireflyspread-Request-Id": number,
        "Fireflyspread-Time-Remaining": str(DEADLINE_MS),
        "Authorization": f"Token {KEY}",
    }


def count_unread(connection):
    """Return the bytes that the gateway has not read from a connection."""
    _, port = connection.writer.get_extra_info("sockname")
    _, gateway_port = connection.writer.get_extra_info("peername")
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        local, remote = (int(each.split(":")[1], 16) for each in fields[1:3])
        if (local, remote) == (gateway_port, port):
            return int(fields[4].split(":")[1], 16)
    return None


async def main(record):
    async with Deployment(record, gateways=4) as deployment:
        replica = await Replica("i-1", record).start()
        deployment.put_config(CONFIG)
        deployment.register(replica, "pool-ledger")
        await deployment.start_all()
        await asyncio.sleep(CONTACT + 0.5)
        try:
            return await play(deployment, replica, record)
        finally:
            replica.stop()


async def play(deployment, replica, record):
    gateway = deployment.gateways[0]
    connections = [await Connection.open(gateway.callers) for _ in BEGINS]
    for n, connection in enumerate(connections):
        # The connections are kept ones that have carried a request.
        await connection.send("POST", "/charge/2f", make_headers(f"kept{n}"), b"{}")
        answer = await connection.read_answer(timeout=3.0)
        if answer.status != 200:
            record.add(f"a request before the SIGTERM got {answer.status}")
            return CANNOT_RUN
    if has_trouble():
        gateway.send(signal.SIGTERM)
    terminated_at = record.now()
    results = await asyncio.gather(
        *(
            upload(connection, f"slow{n}", begin, terminated_at, record)
            for n, (connection, begin) in enumerate(
                zip(connections, BEGINS, strict=True)
            )
        )
    )
    ran = {run.request for run in replica.arrivals}
    lost = [number for number, is_lost in results if is_lost]
    for number in lost:
        record.add(
            f"BROKEN: {number} was read whole and never answered "
            f"(run by the replica: {number in ran})"
        )
    for line in deployment.grep_logs("slow"):
        record.add("log of " + line[:300])
    return BROKEN if lost else HELD


async def upload(connection, number, begin, terminated_at, record):
    """Send a request in two parts; return its id and whether it was lost."""
    await asyncio.sleep(max(0.0, terminated_at + begin - record.now()))
    body = b"x" * 600
    head = make_head("POST", "/charge/2f", make_headers(number), len(body))
    began_at = record.now()
    connection.writer.write(head + body[:300])
    record.add(f"{number}: head and half of the body sent")
    await asyncio.sleep(UPLOAD)
    try:
        connection.writer.write(body[300:])
        await connection.writer.drain()
    except OSError as exc:
        record.add(f"{number}: the connection is closed: {exc!r}")
        return number, False
    sent_at = record.now()
    record.add(f"{number}: the rest of the body sent")
    await asyncio.sleep(0.15)
    unread = count_unread(connection)
    record.add(f"{number}: bytes that the gateway has not read: {unread}")
    answer = await connection.read_answer(timeout=DEADLINE_MS / 1000)
    ended_at = record.now()
    record.add(
        f"{number}: {answer.status or 'no answer'} {answer.error}, "
        f"{ended_at - sent_at:.3f} s after its last byte, "
        f"{ended_at - terminated_at:.3f} s after the SIGTERM"
    )
    connection.close()
    is_closed = answer.error.startswith("connection")
    in_time = ended_at < began_at + DEADLINE_MS / 1000
    is_lost = (
        is_closed
        and unread == 0
        and in_time
        and ended_at > sent_at + LOSS_SLACK
        and ended_at < terminated_at + GRACE + 1.0
    )
    return number, is_lost


run_script(Path(__file__).with_name("record.txt"), main)
