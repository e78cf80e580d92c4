"""Benchmark of one node; prints Markdown tables.

Compares a node with direct requests to the stand-ins and with a minimal relay. All
processes run on this machine, so the results depend on its other load.
"""

import argparse
import asyncio
import contextlib
import math
import os
import platform
import shlex
import statistics
import sys
import tempfile
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import msgspec
import psutil
import uvloop

from standins._base import find_free_port
from tools.cluster import Deployment, LocalCluster
from tools.cluster._processes import ROOT, spawn

__all__ = ["main"]

WORKERS = 3
# Above everything the benchmark sends, so that no limit applies.
UNLIMITED = 1_000_000


def _make_deployment(folder: Path, token_seconds: float, tokens: int) -> Deployment:
    options = {"token_seconds": token_seconds, "prompt_token_seconds": 0}
    options |= {"batch": UNLIMITED, "cache_capacity": UNLIMITED * 1000, "log_limit": 0}
    options |= {"shortest": tokens, "longest": tokens}
    deployment = Deployment.from_example("poklopac", folder=folder, engine=options)
    for team in deployment.bundle["teams"]:
        team.update(rate=UNLIMITED, burst=UNLIMITED)
    for target in deployment.bundle["targets"]:
        target["concurrency"] = 10_000
    return deployment


@contextlib.asynccontextmanager
async def _start_cluster(
    folder: Path, token_seconds: float, tokens: int
) -> AsyncIterator[LocalCluster]:
    deployment = _make_deployment(folder, token_seconds, tokens)
    async with LocalCluster(
        deployment,
        nodes=1,
        processes=True,
        forwarders=False,
        folder=folder,
        limits={"open_programs": UNLIMITED, "queued_requests": UNLIMITED},
    ) as cluster:
        yield cluster


@contextlib.asynccontextmanager
async def _start_relay(folder: Path, upstreams: list[str]) -> AsyncIterator[Any]:
    address = f"127.0.0.1:{find_free_port()}"
    arguments = ["tools.bare_relay", "--listen", address, "--upstream", *upstreams]
    process = await spawn(arguments, folder / "relay.log")
    try:
        for _ in range(200):
            with contextlib.suppress(OSError):
                host, _, port = address.rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                writer.close()
                break
            await asyncio.sleep(0.05)
        yield process.pid, f"http://{address}"
    finally:
        process.kill()
        await process.wait()


async def _run_workers(
    url: str, mode: str, pid: int | None, *, workers: int = WORKERS, **options: Any
) -> dict[str, Any]:
    """Run worker processes in parallel and merge their results.

    ``cpu`` of the result is the CPU time of process ``pid`` during the run, in seconds.
    """
    cpu_before = _read_cpu_seconds(pid)
    arguments = ["-m", "tools.bench_worker", "--url", url, "--mode", mode]
    for name, value in options.items():
        arguments += ["--" + name.replace("_", "-"), str(value)]
    environment = {**os.environ, "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}"}
    processes = [
        await asyncio.create_subprocess_exec(
            sys.executable, *arguments, cwd=ROOT, env=environment, stdout=-1
        )
        for _ in range(workers)
    ]
    outputs = await asyncio.gather(*(p.communicate() for p in processes))
    results = [msgspec.json.decode(output) for output, _ in outputs]
    merged: dict[str, Any] = {"cpu": _read_cpu_seconds(pid) - cpu_before, "errors": {}}
    for name in ("first", "total", "gaps"):
        merged[name] = [value for result in results for value in result[name]]
    merged["tokens"] = sum(result["tokens"] for result in results)
    merged["seconds"] = max(result["seconds"] for result in results)
    for result in results:
        for name, count in result["errors"].items():
            merged["errors"][name] = merged["errors"].get(name, 0) + count
    return merged


def _read_cpu_seconds(pid: int | None) -> float:
    if pid is None:
        return 0.0
    times = psutil.Process(pid).cpu_times()
    return float(times.user + times.system)


def _read_rss_bytes(pid: int) -> int:
    return int(psutil.Process(pid).memory_info().rss)


def _compute_quantile(values: list[float], quantile: float) -> float:
    if len(values) < 2:
        return values[0] if values else float("nan")
    percentiles = statistics.quantiles(values, n=100, method="inclusive")
    return percentiles[min(98, max(0, round(quantile * 100) - 1))]


def _format_table(header: list[str], rows: list[list[Any]]) -> str:
    lines = ["| " + " | ".join(header) + " |", "|" + "---|" * len(header)]
    for row in rows:
        cells = [_format_cell(cell) for cell in row]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def _format_cell(cell: Any) -> str:
    if not isinstance(cell, float):
        return str(cell)
    return "-" if math.isnan(cell) else f"{cell:,.2f}"


def _format_errors(result: dict[str, Any]) -> str:
    return ", ".join(f"{n}: {c}" for n, c in result["errors"].items()) or "0"


async def _measure_latency(arguments: argparse.Namespace, folder: Path) -> str:
    async with _start_cluster(folder, 0.0, 8) as cluster:
        engines = _list_replica_urls(cluster, "lid-matching")
        options = {"seconds": arguments.seconds, "seed": arguments.seed, "workers": 1}
        caller: dict[str, Any] = {"key": cluster.deployment.keys["sourcing"]}
        caller["model"] = "lid-matching"
        pid = cluster.find_pid("node-1")
        direct_result = await _run_workers(engines[0], "direct", None, **options)
        async with _start_relay(folder, engines[:1]) as (relay_pid, url):
            relay_result = await _run_workers(url, "direct", relay_pid, **options)
        node_result = await _run_workers(
            cluster.urls[0], "turns", pid, **options, **caller
        )
    rows = []
    for name, result in (
        ("direct", direct_result),
        ("bare relay", relay_result),
        ("one node", node_result),
    ):
        row: list[Any] = [name, len(result["total"])]
        for part in ("first", "total"):
            for quantile in (0.5, 0.99):
                row.append(1000 * _compute_quantile(result[part], quantile))
        rows.append([*row, _format_errors(result)])
    added: list[Any] = ["added by the node", ""]
    added += [rows[2][i] - rows[0][i] for i in range(2, 6)]
    header = ["path", "turns", "first event p50", "first event p99"]
    header += ["whole answer p50", "whole answer p99", "errors"]
    text = "Turns of 8 tokens, one at a time, in milliseconds. The whole answer of a "
    text += "node includes the group commit of the turn's record.\n\n"
    return text + _format_table(header, [*rows, [*added, ""]])


def _list_replica_urls(cluster: LocalCluster, target: str) -> list[str]:
    targets = {entry["name"]: entry for entry in cluster.deployment.bundle["targets"]}
    return [replica["url"] for replica in targets[target]["replicas"]]


def _make_rate_row(name: str, concurrency: int, result: dict[str, Any]) -> list[Any]:
    seconds = result["seconds"]
    return [
        name,
        concurrency * WORKERS,
        len(result["total"]) / seconds,
        result["tokens"] / seconds,
        100 * result["cpu"] / seconds,
        len(result["total"]) / max(0.01, result["cpu"]),
        result["tokens"] / max(0.01, result["cpu"]),
        1000 * _compute_quantile(result["total"], 0.5),
        1000 * _compute_quantile(result["gaps"], 0.95),
        _format_errors(result),
    ]


_RATE_HEADER = ["path", "at once", "requests/s", "tokens/s", "CPU of the process (%)"]
# Rates per CPU second depend less on other load of the machine.
_RATE_HEADER += ["requests per CPU s", "tokens per CPU s"]
_RATE_HEADER += ["whole answer p50 (ms)", "between reads p95 (ms)", "errors"]


async def _measure_requests(arguments: argparse.Namespace, folder: Path) -> str:
    rows = []
    async with _start_cluster(folder, 0.0, 8) as cluster:
        pid = cluster.find_pid("node-1")
        key = cluster.deployment.keys["sourcing"]
        options = {"seconds": arguments.seconds, "seed": arguments.seed}
        options |= {"concurrency": 32}
        services = _list_replica_urls(cluster, "quotes-and-orders")
        engines = _list_replica_urls(cluster, "lid-matching")
        async with _start_relay(folder, services) as (relay_pid, url):
            path = url + "/quotes"
            result = await _run_workers(path, "calls", relay_pid, **options)
            rows.append(_make_rate_row("calls, bare relay", 32, result))
        path = cluster.urls[0] + "/v1/services/quotes"
        result = await _run_workers(path, "calls", pid, key=key, **options)
        rows.append(_make_rate_row("calls, one node", 32, result))
        async with _start_relay(folder, engines) as (relay_pid, url):
            result = await _run_workers(url, "direct", relay_pid, **options)
            rows.append(_make_rate_row("turns of 8 tokens, bare relay", 32, result))
        result = await _run_workers(
            cluster.urls[0], "turns", pid, key=key, model="lid-matching", **options
        )
        rows.append(_make_rate_row("turns of 8 tokens, one node", 32, result))
    return _format_table(_RATE_HEADER, rows)


async def _measure_tokens(arguments: argparse.Namespace, folder: Path) -> str:
    rows = []
    async with _start_cluster(folder, 0.02, 256) as cluster:
        pid = cluster.find_pid("node-1")
        key = cluster.deployment.keys["sourcing"]
        engines = _list_replica_urls(cluster, "lid-matching")
        for concurrency in arguments.streams:
            options = {"seconds": max(8.0, arguments.seconds), "max_tokens": 256}
            options |= {"seed": arguments.seed, "concurrency": concurrency}
            async with _start_relay(folder, engines) as (relay_pid, url):
                result = await _run_workers(url, "direct", relay_pid, **options)
                rows.append(_make_rate_row("bare relay", concurrency, result))
            options |= {"key": key, "model": "lid-matching"}
            result = await _run_workers(cluster.urls[0], "turns", pid, **options)
            rows.append(_make_rate_row("one node", concurrency, result))
    text = "Streams of 256 tokens, 20 ms apart, one event per write.\n\n"
    return text + _format_table(_RATE_HEADER, rows)


async def _measure_memory(arguments: argparse.Namespace, folder: Path) -> str:
    count = arguments.programs
    rows: list[list[Any]] = []
    async with _start_cluster(folder, 0.02, 256) as cluster:
        pid = cluster.find_pid("node-1")
        assert pid is not None
        key = cluster.deployment.keys["sourcing"]
        options = {"key": key, "model": "lid-matching", "seed": arguments.seed}
        warm_up = {"seconds": 2, "concurrency": 20, "workers": 1, "max_tokens": 8}
        await _run_workers(cluster.urls[0], "turns", pid, **options, **warm_up)
        base_bytes = _read_rss_bytes(pid)
        hold = {"concurrency": 50, "workers": 1, "max_tokens": 8, "programs": count}
        held = await _run_workers(cluster.urls[0], "hold", pid, **options, **hold)
        open_bytes = _read_rss_bytes(pid)
        programs = len(held["total"])
        rows.append(
            [
                "open program with one turn",
                programs,
                (open_bytes - base_bytes) / 1024 / programs,
            ]
        )
        streams = {"seconds": 6, "concurrency": 250, "max_tokens": 256, "workers": 2}
        run = asyncio.create_task(
            _run_workers(cluster.urls[0], "turns", pid, **options, **streams)
        )
        max_bytes = open_bytes
        while not run.done():
            max_bytes = max(max_bytes, _read_rss_bytes(pid))
            await asyncio.sleep(0.1)
        await run
        rows.append(["open stream", 500, (max_bytes - open_bytes) / 1024 / 500])
    text = f"Memory of the daemon at the start: {base_bytes / 1048576:.1f} MiB.\n\n"
    return text + _format_table(["what", "count", "KiB for each"], rows)


_PARTS = {
    "latency": ("Latency added by a node", _measure_latency),
    "requests": ("Requests of one daemon process", _measure_requests),
    "tokens": ("Tokens of one daemon process", _measure_tokens),
    "memory": ("Memory", _measure_memory),
}


async def _run(arguments: argparse.Namespace) -> None:
    command = "python -m tools.bench " + shlex.join(sys.argv[1:])
    print(f"Command: `{command.strip()}`; seed {arguments.seed}; ", end="")
    print(f"Python {platform.python_version()}, {os.cpu_count()} cores.\n")
    for name in arguments.parts:
        title, measure = _PARTS[name]
        with tempfile.TemporaryDirectory(prefix="fireflyspread-bench-") as folder:
            print(f"## {title}\n\n{await measure(arguments, Path(folder))}", flush=True)


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--parts", nargs="+", choices=_PARTS, default=list(_PARTS))
    parser.add_argument(
        "--seconds", type=float, default=5.0, help="duration of each run"
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--streams", type=int, nargs="+", default=[50, 100, 200])
    parser.add_argument("--programs", type=int, default=2000)
    arguments = parser.parse_args()
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(_run(arguments))


if __name__ == "__main__":
    main()
