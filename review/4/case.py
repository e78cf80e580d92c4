"""A request by GET that crashes replicas is sent to them without end."""

import asyncio
import os
import time
from collections import Counter
from pathlib import Path

import aiohttp

from review.support.processes import Record, has_trouble, run_case
from soak.cluster import Cluster, make_config, make_headers

# POST shows, on demand, that the same request is held back with another method.
METHOD = os.environ.get("METHOD", "GET")
MARKER = "poison"
REPLICAS = 4
# "The replica is back after some seconds."
CRASH_SECONDS = 2.0
POISON_INTERVAL = 0.7
OTHERS_INTERVAL = 0.05
PLAY_SECONDS = 40.0
CONTACT_SECONDS = 3.0
MAX_CRASHED = 3
MAX_LATE_SENDS = 3


async def send(session: aiohttp.ClientSession, url: str, request: str) -> str:
    """Send one client attempt; return its status."""
    try:
        async with session.request(
            METHOD, url, headers=make_headers(request)
        ) as answer:
            await answer.read()
            return str(answer.status)
    except aiohttp.ClientError as exc:
        return type(exc).__name__


async def play(folder: Path, record: Record) -> bool:
    """Return whether the request reached few replicas after it had crashed three."""
    statuses: Counter[str] = Counter()
    others: Counter[str] = Counter()
    async with Cluster(folder, nodes=3, replicas=REPLICAS) as system:
        system.put_config(make_config(4))
        await asyncio.sleep(1.0)
        for replica in system.orders:
            replica.faults.crash_on = MARKER if has_trouble() else ""
            replica.faults.crash_seconds = CRASH_SECONDS
        urls = [f"http://{node.callers}" for node in system.nodes]
        ends_at = time.monotonic() + PLAY_SECONDS

        async def send_others() -> None:
            number = 0
            async with aiohttp.ClientSession() as session:
                session._retry_connection = False
                while time.monotonic() < ends_at:
                    number += 1
                    url = f"{urls[number % 3]}/prices/jar{number}"
                    others[await send(session, url, f"other-{number}")] += 1
                    await asyncio.sleep(OTHERS_INTERVAL)

        beside = asyncio.create_task(send_others())
        number = 0
        async with aiohttp.ClientSession() as session:
            session._retry_connection = False
            while time.monotonic() < ends_at:
                number += 1
                url = f"{urls[number % 3]}/prices/{MARKER}"
                status = await send(session, url, f"poison-{number}")
                statuses[status] += 1
                record.write(f"client {METHOD} poison-{number} -> {status}")
                await asyncio.sleep(POISON_INTERVAL)
        await beside
        crashes = sorted(
            (at, replica.instance)
            for replica in system.orders
            for at, path in zip(replica.crash_times, replica.crashed_by, strict=True)
            if MARKER in path
        )
        arrivals = sorted(
            at for r in system.orders for at, path in r.arrived if MARKER in path
        )
    record.write(f"poison answered {dict(statuses)}", is_printed=True)
    record.write(f"others answered {dict(others)}", is_printed=True)
    began = arrivals[0] if arrivals else 0.0
    for at, name in crashes:
        record.write(f"crash at {at - began:.2f} s, now {name}")
    record.write(f"{len(arrivals)} arrivals, {len(crashes)} crashes", is_printed=True)
    if len(crashes) < MAX_CRASHED:
        return True
    third = crashes[MAX_CRASHED - 1][0]
    late = sum(at > third + CONTACT_SECONDS for at in arrivals)
    record.write(
        f"{late} arrivals later than {CONTACT_SECONDS:g} s after the third crash, "
        f"{MAX_LATE_SENDS} allowed",
        is_printed=True,
    )
    return late <= MAX_LATE_SENDS


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
