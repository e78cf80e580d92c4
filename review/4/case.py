"""A broken stream is sent again to a replica that has been draining for long."""

import asyncio
import re
import time
from pathlib import Path

import aiohttp

from review.support.processes import Record, has_trouble, run_case
from soak.cluster import Cluster, make_config, make_turn_headers

REPLICAS = 3
STREAMS = 72
EVENT_SECONDS = 0.4
DRAIN_SECONDS = 2.0
# Seconds after the store has taken "draining" until one answer is broken off.
BROKEN_AFTER = 2.5
_EVENT = re.compile(rb"id: (\d+)\n")


async def send(
    session: aiohttp.ClientSession, url: str, request: str, record: Record
) -> None:
    """Send one turn."""
    headers = make_turn_headers(request, request)
    body = b""
    status = "none"
    try:
        async with session.post(
            f"{url}/turns/stream", headers=headers, data=b"{}"
        ) as response:
            status = str(response.status)
            async for data in response.content.iter_any():
                body += data
    except aiohttp.ClientError as exc:
        status = f"{status} {type(exc).__name__}"
    ids = b",".join(_EVENT.findall(body)).decode()
    record.write(f"client {request} -> {status}, events {ids}")


async def play(folder: Path, record: Record) -> bool:
    """Return whether nothing reached the replica after its time to drain."""
    async with Cluster(folder, nodes=2, replicas=REPLICAS) as system:
        config = make_config(4)
        config["services"][0]["engine"]["slots"] = 64
        system.put_config(config)
        for replica in system.models:
            replica.faults.work = EVENT_SECONDS
        await asyncio.sleep(1.0)
        leaving = system.models[0]
        urls = [f"http://{node.callers}" for node in system.nodes]
        async with aiohttp.ClientSession() as session:
            streams = [
                asyncio.create_task(send(session, urls[n % 2], f"turn-{n}", record))
                for n in range(STREAMS)
            ]
            await asyncio.sleep(0.3)
            drained_at = time.time()
            system.store.put(
                f"servers/{leaving.instance}",
                leaving.make_registration("models", state="draining"),
            )
            record.write(f"{leaving.instance} is draining")
            await asyncio.sleep(BROKEN_AFTER)
            transports = leaving.list_transports()
            running = [run.request for run in leaving.runs if not run.is_complete]
            record.write(f"{leaving.instance} runs {len(running)}: {running}")
            if has_trouble():
                record.write(f"reset of 1 of {len(transports)} connections")
                transports[0].abort()
            await asyncio.gather(*streams)
        late = [at - drained_at for at, _ in leaving.arrived if at > drained_at]
    for seconds in late:
        record.write(f"a request reached {leaving.instance} {seconds:.2f} s later")
    late = [seconds for seconds in late if seconds > DRAIN_SECONDS]
    record.write(f"{len(late)} requests later than drainMs", is_printed=True)
    return not late


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
