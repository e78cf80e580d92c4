"""Loans of a stopped front vanish when each loan server has lost its disk once."""

import asyncio
import signal
from pathlib import Path

from cluster import TROUBLE, Cluster, Front, run_case
from programs import (
    FRONTS,
    restart_fronts,
    return_programs,
    spend_budgets,
    start_deployment,
)

LENDER = "front-zagreb-west-1"
# Seconds until the first loss of a disk, between the losses (site file: 6.6), and until
# the machine is back (site file: 1.0). With catchUpS of 4 and contactMs of 3,000, only
# one machine is lost at a time.
FIRST_LOSS, BETWEEN_LOSSES, BACK_AFTER = 8.0, 9.0, 1.0
# Seconds between the stops of the planned restart (site file: 2.0).
BETWEEN_STOPS = 2.0


async def main() -> int:
    async with Cluster(Path(__file__).with_name("record.txt")) as cluster:
        await start_deployment(cluster, [Front(cluster, *each) for each in FRONTS])
        lender = next(each for each in cluster.fronts if each.name == LENDER)
        programs = await spend_budgets(cluster, lender)
        await asyncio.sleep(FIRST_LOSS)
        if TROUBLE:
            await lose_disks(cluster)
        else:
            await asyncio.sleep(BETWEEN_LOSSES * len(cluster.loan_servers))
        await restart_fronts(cluster, BETWEEN_STOPS)
        await asyncio.sleep(2.0)
        return await return_programs(cluster, programs)


async def lose_disks(cluster: Cluster) -> None:
    """Let each loan server lose its disk, one well after the other."""
    loop = asyncio.get_running_loop()
    for server in cluster.loan_servers:
        next_at = loop.time() + BETWEEN_LOSSES
        await server.end(signal.SIGKILL)
        server.wipe()
        await asyncio.sleep(BACK_AFTER)
        await server.start()
        await asyncio.sleep(next_at - loop.time())


run_case(main)
