"""Randomized soak test of real processes under faults; checks the guarantees."""

import argparse
import asyncio
import random
import sys
import tempfile
from pathlib import Path

from attrs import frozen

from soak.cluster import Cluster
from soak.faults import apply_fault, draw_faults
from soak.load import Load

__all__ = ["Report", "run_soak"]

_CALLERS = 6
# All nodes must serve again within this time after the last fault.
_RECOVERY_TIMEOUT_SECONDS = 12.0


@frozen(kw_only=True)
class Report:
    """Result of one seed."""

    seed: int
    findings: list[str]
    statuses: dict[str, int]
    faults: int

    def describe(self) -> str:
        """Return a summary of one line."""
        verdict = "FOUND" if self.findings else "ok"
        counts = " ".join(f"{k}={n}" for k, n in sorted(self.statuses.items()))
        return f"seed {self.seed}: {verdict}, {self.faults} faults, {counts}"


async def run_soak(
    seed: int, seconds: float, folder: Path, *, nodes: int = 3, callers: int = _CALLERS
) -> Report:
    """Run the faults of one seed under load and check the guarantees."""
    faults = draw_faults(seed, seconds)
    async with Cluster(folder, nodes=nodes, proxied=True) as cluster:
        load = Load(cluster, random.Random(seed))
        caller_tasks = [asyncio.create_task(load.run_caller(n)) for n in range(callers)]
        loop = asyncio.get_running_loop()
        start = loop.time()
        fault_tasks = []
        for fault in faults:
            await asyncio.sleep(max(0.0, start + fault.at - loop.time()))
            fault_tasks.append(asyncio.create_task(apply_fault(cluster, fault)))
        await asyncio.gather(*fault_tasks)
        await load.check_recovery(_RECOVERY_TIMEOUT_SECONDS)
        load.stop()
        await asyncio.gather(*caller_tasks)
        load.check()
    return Report(
        seed=seed,
        findings=load.findings,
        statuses=dict(load.statuses),
        faults=len(faults),
    )


def main() -> int:
    """Run the seeds one after the other; return 1 if any has findings."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="first seed")
    parser.add_argument("--seeds", type=int, default=1, help="number of seeds")
    parser.add_argument("--seconds", type=float, default=15.0, help="duration of each")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--keep", help="folder for logs of seeds with findings")
    arguments = parser.parse_args()
    failed = 0
    for seed in range(arguments.seed, arguments.seed + arguments.seeds):
        with tempfile.TemporaryDirectory() as name:
            folder = Path(arguments.keep or name) / f"seed-{seed}"
            folder.mkdir(parents=True, exist_ok=True)
            report = asyncio.run(
                run_soak(seed, arguments.seconds, folder, nodes=arguments.nodes)
            )
        print(report.describe(), flush=True)
        for finding in report.findings:
            print("  " + finding, flush=True)
        failed += bool(report.findings)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
