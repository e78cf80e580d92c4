"""Requests of an unsafe route run twice when a replica loses the answer of one."""

import asyncio
from collections import Counter
from pathlib import Path
from typing import Any

import aiohttp
from aiohttp import web

from review.support.processes import Record, has_trouble, run_case
from soak import cluster
from soak.cluster import Cluster, make_config, make_headers
from standins.platform_replica import PlatformReplica, Run, _reset

# The deployment's sheet: half of the replicas lose the answer of 5 % of what they ran.
SHARE = 0.5
RUNS_FOR_EACH_LOST = 20
REQUESTS_PER_METHOD = 400
CALLERS = 8
METHODS = ("PUT", "DELETE", "GET", "POST")


class LossyReplica(PlatformReplica):
    """Replica that runs a request, and whose connection breaks before its answer."""

    lost: list[str]
    is_lossy = False

    def __init__(self, **options: Any) -> None:
        super().__init__(**options)
        self.lost = []
        self._plain_runs = 0

    async def _respond(
        self, request: web.Request, run: Run, headers: dict[str, str]
    ) -> web.StreamResponse:
        self._plain_runs += self.is_lossy
        if self.is_lossy and self._plain_runs % RUNS_FOR_EACH_LOST == 0:
            run.is_complete = True
            self.lost.append(run.request)
            _reset(request)
            return web.Response(status=499)
        return await super()._respond(request, run, headers)


async def send(
    session: aiohttp.ClientSession, url: str, method: str, request: str, record: Record
) -> None:
    """Send one request, once, as a client attempt."""
    try:
        async with session.request(
            method,
            f"{url}/orders/book/{request}",
            headers=make_headers(request),
            data=None if method in ("GET", "DELETE") else b"lids=40",
        ) as response:
            body = await response.read()
            record.write(f"client {method} {request} -> {response.status} {body!r}")
    except aiohttp.ClientError as exc:
        record.write(f"client {method} {request} -> {exc!r}")


async def play(folder: Path, record: Record) -> bool:
    """Return whether each request ran at most once."""
    cluster.PlatformReplica = LossyReplica
    async with Cluster(folder, nodes=2, replicas=4) as system:
        system.put_config(make_config(4))
        await asyncio.sleep(1.0)
        if has_trouble():
            for number, replica in enumerate(system.orders):
                if number < SHARE * len(system.orders):
                    replica.is_lossy = True
        urls = [f"http://{node.callers}" for node in system.nodes]
        methods = {}

        async def call(number: int) -> None:
            async with aiohttp.ClientSession() as session:
                # Otherwise this client would send these methods once more by itself.
                session._retry_connection = False
                for count in range(REQUESTS_PER_METHOD // CALLERS):
                    for method in METHODS:
                        request = f"{method.lower()}-{number}-{count}"
                        methods[request] = method
                        url = urls[number % len(urls)]
                        await send(session, url, method, request, record)

        await asyncio.gather(*(call(number) for number in range(CALLERS)))
        runs: dict[str, list[str]] = {}
        lost = set()
        for replica in system.orders:
            lost.update(replica.lost)
            for run in replica.runs:
                runs.setdefault(run.request, []).append(replica.instance)
    twice = {request: found for request, found in runs.items() if len(found) > 1}
    for request, found in sorted(twice.items()):
        record.write(f"ran {len(found)} times: {request} on {found}")
    for method in METHODS:
        sent = [each for each, name in methods.items() if name == method]
        counts = Counter(
            {
                "sent": len(sent),
                "answer lost": sum(each in lost for each in sent),
                "ran twice": sum(each in twice for each in sent),
            }
        )
        record.write(f"{method}: {dict(counts)}", is_printed=True)
    return not twice


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
