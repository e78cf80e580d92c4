"""Runs programs on a local cluster of each deployment while one node is killed."""

import argparse
import asyncio
import contextlib
import sys
import time
from typing import Any

import uvloop

from tools.cluster import LocalCluster
from tools.cluster._cluster import OPERATORS
from tools.report import format_report, make_report, read_target_totals
from tools.runner import ProgramRunner, run_closed
from tools.workload import Workload

__all__ = ["main"]

ENGINE_OPTIONS = {"token_seconds": 0.005, "prompt_token_seconds": 0.00005}
# Nodes release the engine sessions of ended programs in the background.
SESSION_RELEASE_SECONDS = 30.0


def _describe(cluster: LocalCluster, name: str) -> str:
    team = next(iter(cluster.deployment.keys))
    key = cluster.deployment.keys[team]
    model = next(
        route["name"]
        for route in cluster.deployment.bundle["routes"]
        if route["target"] == cluster.deployment.bundle["targets"][0]["name"]
    )
    node = cluster.urls[0]
    lines = [f"deployment {name}", f"  store      {cluster.store.url}"]
    lines.append(f"  VM list    {cluster.vm_list.url}")
    for target in cluster.deployment.bundle["targets"]:
        for replica in target["replicas"]:
            lines.append(f"  {replica['name']:<20} {replica['url']}")
    for process in cluster.nodes.values():
        lines.append(
            f"  {process.name}  callers {process.url}  "
            f"operators {process.operators_url}  (pid {process.pid})"
        )
    operator, secret = next(iter(OPERATORS.items()))
    lines += [
        f"  key of team {team}: {key}",
        f"  key of operator {operator}: {secret}",
        f"  settings and logs: {cluster.folder}",
        "  try:",
        f"    curl -sN {node}/v1/chat/completions -H 'Authorization: Bearer {key}' \\",
        f"""      -d '{{"model": "{model}", "stream": true, "max_tokens": 20, """
        """"messages": [{"role": "user", "content": "hello"}]}'""",
    ]
    return "\n".join(lines)


async def _kill_node(cluster: LocalCluster, runner: ProgramRunner, after: int) -> None:
    while runner.stats.counts["programs finished"] < after:  # noqa: ASYNC110
        await asyncio.sleep(0.05)
    name = list(cluster.nodes)[1]
    print(f"  killing {name} after {after} finished programs", flush=True)
    await cluster.kill(name)


async def _wait_for_released_sessions(control_urls: list[str]) -> dict[str, object]:
    deadline = time.monotonic() + SESSION_RELEASE_SECONDS
    while True:
        targets = await read_target_totals(control_urls)
        if not targets["open_sessions"] or time.monotonic() > deadline:
            return targets
        await asyncio.sleep(0.5)


async def _run_deployment(name: str, arguments: argparse.Namespace) -> bool:
    async with LocalCluster(
        name, nodes=4, processes=True, forwarders=False, engine=ENGINE_OPTIONS
    ) as cluster:
        print(_describe(cluster, name), flush=True)
        deployment = cluster.deployment
        workload = Workload(name, deployment.bundle, arguments.seed)
        runner = ProgramRunner(
            cluster.urls,
            deployment.keys,
            deployment.bundle,
            time_scale=0.5,
            seed=arguments.seed,
        )
        started_at = time.monotonic()
        async with runner:
            killer = asyncio.create_task(
                _kill_node(cluster, runner, arguments.programs // 4)
            )
            await run_closed(
                runner,
                workload.make_plan,
                programs=arguments.programs,
                concurrency=arguments.concurrency,
            )
            killer.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await killer
        seconds = time.monotonic() - started_at
        control_urls = [replica.control_url for replica in deployment.replicas.values()]
        targets = await _wait_for_released_sessions(control_urls)
        report = make_report(runner, targets, seconds=seconds, command="make run")
        print(format_report(report))
        has_passed = _check_report(report, arguments.programs)
        if arguments.stay:
            print("running until interrupted (Ctrl-C)", flush=True)
            await asyncio.Event().wait()
        return has_passed


def _check_report(report: dict[str, Any], programs: int) -> bool:
    targets = report["targets"]
    finished = report["counts"].get("programs finished", 0)
    checks = {
        f"{finished} of {programs} programs finished": finished == programs,
        f"{len(report['mismatches'])} wrong answers": not report["mismatches"],
        f"{targets['repeated_keys']} repeated actions": not targets["repeated_keys"],
        f"{targets['open_sessions']} engine sessions left": not targets[
            "open_sessions"
        ],
    }
    print(
        "\n" + "\n".join(f"{'ok  ' if ok else 'BAD '} {t}" for t, ok in checks.items())
    )
    print(flush=True)
    return all(checks.values())


async def _run(arguments: argparse.Namespace) -> bool:
    results = [await _run_deployment(name, arguments) for name in arguments.deployments]
    return all(results)


def main() -> int:
    """Run all deployments; the exit code is 1 if a check failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployments", nargs="+", default=["poklopac", "asociacion"], metavar="NAME"
    )
    parser.add_argument(
        "--programs", type=int, default=80, help="number for each deployment"
    )
    parser.add_argument("--concurrency", type=int, default=24)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--stay", action="store_true", help="keep the first deployment running"
    )
    arguments = parser.parse_args()
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return 0 if runner.run(_run(arguments)) else 1
    except KeyboardInterrupt:
        return 0


if __name__ == "__main__":
    sys.exit(main())
