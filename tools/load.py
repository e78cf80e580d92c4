"""Load generator: runs seeded agent programs against nodes and checks every answer.

With ``--local`` it starts its own nodes and stand-ins; with ``--nodes`` it uses running
nodes.
"""

import argparse
import asyncio
import shlex
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
import msgspec
import uvloop

from tools.cluster import LocalCluster, load_bundle, load_keys
from tools.report import format_report, make_report, read_target_totals
from tools.runner import ProgramRunner, run_closed, run_open
from tools.workload import Workload

__all__ = ["main", "run_load"]


async def run_load(
    arguments: argparse.Namespace,
    nodes: list[str],
    bundle: dict[str, Any],
    control_urls: list[str],
) -> dict[str, Any]:
    """Run the load against ``nodes`` and return the report.

    Parameters
    ----------
    arguments : argparse.Namespace
        Command-line options.
    nodes : list of str
        Base URLs of the nodes.
    bundle : dict
        Active bundle.
    control_urls : list of str
        Base URLs of the stand-ins' control ports; may be empty.
    """
    workload = Workload(arguments.deployment, bundle, arguments.seed)
    runner = ProgramRunner(
        nodes,
        load_keys(arguments.deployment),
        bundle,
        time_scale=arguments.time_scale,
        timeout=arguments.patience,
        seed=arguments.seed,
    )
    started_at = time.monotonic()
    async with runner:
        if arguments.rate:
            await run_open(
                runner,
                workload.make_plan,
                programs=arguments.programs,
                rate=arguments.rate,
                seed=arguments.seed,
            )
        else:
            await run_closed(
                runner,
                workload.make_plan,
                programs=arguments.programs,
                concurrency=arguments.concurrency,
            )
    seconds = time.monotonic() - started_at
    targets = await read_target_totals(control_urls) if control_urls else {}
    command = "python -m tools.load " + shlex.join(sys.argv[1:])
    return make_report(runner, targets, seconds=seconds, command=command)


async def _run(arguments: argparse.Namespace) -> dict[str, Any]:
    if not arguments.local:
        bundle = load_bundle(arguments.deployment)
        return await run_load(arguments, arguments.nodes, bundle, arguments.controls)
    engine = {
        "token_seconds": arguments.token_seconds,
        "prompt_token_seconds": arguments.token_seconds / 100,
    }
    async with LocalCluster(
        arguments.deployment,
        nodes=arguments.local,
        processes=True,
        forwarders=False,
        engine=engine,
    ) as cluster:
        replicas = cluster.deployment.replicas.values()
        control_urls = [replica.control_url for replica in replicas]
        bundle = cluster.deployment.bundle
        before, started_at = await _read_store_counts(cluster), time.monotonic()
        report = await run_load(arguments, cluster.urls, bundle, control_urls)
        seconds = time.monotonic() - started_at
        after = await _read_store_counts(cluster)
        report["store"] = {
            f"{name} per second": round((after[name] - before[name]) / seconds, 1)
            for name in ("reads", "writes")
        } | {"waiting watches": after["watches"]}
        return report


async def _read_store_counts(cluster: LocalCluster) -> dict[str, int]:
    """Return the request counts of the store's stand-in."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(cluster.store.control_url + "/counts") as response,
    ):
        return await response.json()


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    where = parser.add_mutually_exclusive_group(required=True)
    where.add_argument(
        "--local", type=int, metavar="NODES", help="start a local cluster"
    )
    where.add_argument("--nodes", nargs="+", help="base URLs of running nodes")
    parser.add_argument(
        "--controls",
        nargs="*",
        default=[],
        help="base URLs of the stand-ins' control ports",
    )
    parser.add_argument(
        "--deployment", choices=["poklopac", "asociacion"], default="poklopac"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--programs", type=int, default=200)
    parser.add_argument("--concurrency", type=int, default=32, help="closed loop")
    parser.add_argument("--rate", type=float, default=0.0, help="open loop, 1/s")
    parser.add_argument(
        "--time-scale", type=float, default=1.0, help="factor of the pauses"
    )
    parser.add_argument(
        "--patience",
        type=float,
        default=60.0,
        help="seconds for each request, with all retries",
    )
    parser.add_argument("--token-seconds", type=float, default=0.005)
    parser.add_argument("--json", type=Path, help="also write the report to a file")
    return parser.parse_args()


def main() -> int:
    """Run the load; the exit code is 1 after a failed program or a wrong answer."""
    arguments = _parse()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        report = runner.run(_run(arguments))
    print(format_report(report))
    if arguments.json:
        arguments.json.write_bytes(msgspec.json.format(msgspec.json.encode(report)))
    has_errors = report["mismatches"] or report["targets"].get("repeated_keys")
    return 1 if has_errors or report["counts"].get("programs failed") else 0


if __name__ == "__main__":
    sys.exit(main())
