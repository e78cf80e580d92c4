"""Programs' first turns, and what happens to machines, for the scripts of recoveries."""

import asyncio
import itertools
import json
import shutil
import signal

from harness import request

# Bounds of poklopac-prod, in seconds.
RECOVER = 12.0
CATCH_UP = 4.0
# Seconds for which the machines are without power, as in the days of the site.
DOWN = 1.0
RATE, SECONDS = 8, 8.0
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
    "tenants": [{"name": "lids", "apiKeys": [KEY], "ratePerS": 200, "burst": 200}],
}


class Callers:
    """Send the first turn of a new program at a steady rate."""

    def __init__(self, deployment, record):
        self._gateways = itertools.cycle(deployment.gateways)
        self._record = record
        self._numbers = itertools.count()

    async def run(self, text):
        """Return the part of the requests that was served."""
        tasks = []
        for _ in range(int(RATE * SECONDS)):
            tasks.append(asyncio.create_task(self._send(next(self._gateways))))
            await asyncio.sleep(1 / RATE)
        results = await asyncio.gather(*tasks)
        counts = {result: results.count(result) for result in set(results)}
        self._record.add(f"{text}: answers {counts}")
        return counts.get(200, 0) / len(results)

    async def _send(self, gateway):
        number = f"{next(self._numbers):06d}"
        headers = {
            "Fireflyspread-Request-Id": f"t{number}",
            "Fireflyspread-Time-Remaining": "4000",
            "Fireflyspread-Model": "m",
            "Fireflyspread-Token-Count": "1166,72",
            "Fireflyspread-Prompt-Prefix": f"5c1e07a2:512,{number}:654",
            "Fireflyspread-Program-Id": f"p{number}",
            "Fireflyspread-Session-Id": f"s{number}",
            "Fireflyspread-Program-Deadline": "5200",
            "Fireflyspread-Token-Budget": "576",
            "Authorization": f"Token {KEY}",
        }
        try:
            answer = await request(
                gateway.callers, "POST", "/turn/2f", headers, b"x" * 600, timeout=5.0
            )
        except OSError as exc:
            return type(exc).__name__
        return answer.status if answer.is_complete else answer.error


async def retire(deployment, server, record):
    """Order a loan server's machine to be emptied, and remove it with its disk."""
    order = json.dumps({"durationS": 8}).encode()
    deployment.store.put(f"op/retire/{server.name}", order)
    record.add(f"the operator orders that {server.name} is emptied")
    for _ in range(80):
        status = deployment.store.read(f"status/retire/{server.name}")
        if status is not None and json.loads(status)["state"] == "completed":
            break
        await asyncio.sleep(0.1)
    else:
        raise RuntimeError("the order was not carried out")
    record.add(f"status/retire/{server.name}: completed; the machine is removed")
    await remove(deployment, server)
    deployment.store.remove(f"op/retire/{server.name}")


async def remove(deployment, server):
    server.send(signal.SIGKILL)
    await server.wait()
    shutil.rmtree(deployment.folder / f"{server.name}-data")


async def lose_power(deployment, loan_servers, wiped, record):
    """All machines lose power, and one of them its disk."""
    processes = [*deployment.gateways, *loan_servers]
    for process in processes:
        process.send(signal.SIGKILL)
    for process in processes:
        await process.wait()
    data = deployment.folder / f"{wiped.name}-data"
    shutil.rmtree(data)
    data.mkdir()
    record.add(f"all machines have lost power, and {wiped.name} its disk")
    await asyncio.sleep(DOWN)
    for process in processes:
        await process.start(is_first=False)
    record.add("all machines are back")


def list_loan_servers(deployment):
    prefix = "cluster/journals/"
    return sorted(
        key.removeprefix(prefix)
        for key in deployment.store.items
        if key.startswith(prefix)
    )
