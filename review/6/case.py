"""Loans of a stopped front go with the loan servers that are retired as planned."""

import asyncio
import json
import signal
from pathlib import Path

from cluster import Cluster, Front, LoanServer, run_case
from programs import (
    FRONTS,
    restart_fronts,
    return_programs,
    spend_budgets,
    start_deployment,
)

LENDER = "front-zagreb-west-1"
# The site has one spare store machine in each zone.
ADDED = [
    ("store-zagreb-east-2", "zagreb-east"),
    ("store-zagreb-west-2", "zagreb-west"),
    ("store-zagreb-north-2", "zagreb-north"),
]
# Seconds in which a machine is to be emptied (site file: 8), and from the start of an
# added machine to the order for the one that it replaces (catchUpS: 4). So no more than
# one machine, the added one, counts as lost at a time.
RETIRE_SECONDS, CATCH_UP = 8, 5.5
# Seconds between the stops of the planned restart (site file: 2.0).
BETWEEN_STOPS = 2.0


async def main() -> int:
    async with Cluster(Path(__file__).with_name("record.txt")) as cluster:
        await start_deployment(cluster, [Front(cluster, *each) for each in FRONTS])
        lender = next(each for each in cluster.fronts if each.name == LENDER)
        programs = await spend_budgets(cluster, lender)
        await asyncio.sleep(4.0)
        await replace_loan_servers(cluster)
        await restart_fronts(cluster, BETWEEN_STOPS)
        await asyncio.sleep(2.0)
        return await return_programs(cluster, programs)


async def replace_loan_servers(cluster: Cluster) -> None:
    """Add a store machine, then retire one of before; three times in turn."""
    for old, (name, zone) in zip(tuple(cluster.loan_servers), ADDED, strict=True):
        server = LoanServer(cluster, name, zone)
        server.is_first = False
        cluster.loan_servers.append(server)
        await server.start()
        await asyncio.sleep(CATCH_UP)
        await retire(cluster, old)


async def retire(cluster: Cluster, server: LoanServer) -> None:
    """Order a machine to be emptied, and remove it when the system says that it is."""
    record = cluster.record
    record.say(f"order    op/retire/{server.name}, durationS {RETIRE_SECONDS}")
    cluster.store.put(
        f"op/retire/{server.name}",
        json.dumps({"durationS": RETIRE_SECONDS}).encode(),
    )
    async with asyncio.timeout(RETIRE_SECONDS):
        while True:
            status = cluster.store.read(f"status/retire/{server.name}")
            if status is not None and json.loads(status)["state"] == "completed":
                break
            await asyncio.sleep(0.02)
    record.say(f"status   status/retire/{server.name} is completed; it is removed")
    await server.end(signal.SIGKILL)
    server.wipe()


run_case(main)
