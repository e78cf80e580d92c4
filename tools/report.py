"""Reports of load runs as text and data."""

from typing import Any

import aiohttp
from hdrh.histogram import HdrHistogram

from tools.runner import ProgramRunner

__all__ = ["format_report", "make_report", "read_target_totals"]

_PERCENTILES = (50.0, 95.0, 99.0)


def _summarise(histogram: HdrHistogram) -> dict[str, Any]:
    row: dict[str, Any] = {"count": histogram.get_total_count()}
    for percentile in _PERCENTILES:
        value = histogram.get_value_at_percentile(percentile)
        row[f"p{percentile:g}_ms"] = round(value / 1000.0, 2)
    row["max_ms"] = round(histogram.get_max_value() / 1000.0, 2)
    return row


def make_report(
    runner: ProgramRunner, targets: dict[str, Any], *, seconds: float, command: str
) -> dict[str, Any]:
    """Return the results of a run as JSON-compatible data.

    Parameters
    ----------
    targets : dict
        Totals of the targets from ``read_target_totals``; may be empty.
    seconds : float
        Duration of the run.
    command : str
        Command line that repeats the run.
    """
    stats = runner.stats
    teams = {name: _summarise(h) for name, h in sorted(stats.teams.items())}
    worst_team = max(teams, key=lambda name: teams[name]["p95_ms"], default=None)
    requests = stats.counts["turns"] + stats.counts["calls"]
    return {
        "command": command,
        "seconds": round(seconds, 2),
        "counts": dict(stats.counts),
        "requests_per_second": round(requests / seconds, 1) if seconds else 0.0,
        "tokens_per_second": (
            round(stats.tokens["completion"] / seconds, 1) if seconds else 0.0
        ),
        "tokens": dict(stats.tokens),
        "latency": {n: _summarise(h) for n, h in sorted(stats.histograms.items())},
        "teams": teams,
        "worst_team": worst_team,
        "retries": dict(runner.retries),
        "refused_inside_rate": {t: n for t, n in runner.wrong_refusals.items() if n},
        "failures": dict(stats.failures),
        "failed": stats.failed[:20],
        "mismatches": stats.mismatches[:20],
        "targets": targets,
    }


def format_report(report: dict[str, Any]) -> str:
    """Return a report as text."""
    lines = [
        f"{report['seconds']} s, {report['requests_per_second']} requests/s, "
        f"{report['tokens_per_second']} tokens/s",
        "",
        f"{'latency (ms)':<28}{'count':>9}{'p50':>10}{'p95':>10}{'p99':>10}{'max':>10}",
    ]
    lines += _format_rows(report["latency"])
    lines += ["", "time per step without pauses, by team (ms)"]
    lines += _format_rows(report["teams"])
    lines += ["", f"worst-served team (p95): {report['worst_team']}"]
    for name in (
        "counts",
        "tokens",
        "retries",
        "refused_inside_rate",
        "failures",
        "failed",
        "mismatches",
        "targets",
        "store",
    ):
        lines.append(f"{name}: {report.get(name) or 'none'}")
    return "\n".join(lines)


def _format_rows(rows: dict[str, dict[str, Any]]) -> list[str]:
    return [
        f"{name:<28}{row['count']:>9}{row['p50_ms']:>10}{row['p95_ms']:>10}"
        f"{row['p99_ms']:>10}{row['max_ms']:>10}"
        for name, row in rows.items()
    ]


async def read_target_totals(control_urls: list[str]) -> dict[str, Any]:
    """Return the totals that the stand-ins of the targets counted.

    Parameters
    ----------
    control_urls : list of str
        Base URLs of their control ports.
    """
    totals = {"prompt": 0, "cached": 0, "recomputed": 0, "completion": 0}
    sessions = effects = 0
    repeated: dict[str, int] = {}
    async with aiohttp.ClientSession() as session:
        for url in control_urls:
            async with session.get(url + "/totals") as answer:
                if answer.status == 200:
                    data = await answer.json()
                    totals = {name: totals[name] + data[name] for name in totals}
                    sessions += data["sessions"]
                    continue
            async with session.get(url + "/effects") as answer:
                data = await answer.json()
                effects += len(data["effects"])
                for key, count in data["repeated_keys"].items():
                    repeated[key] = repeated.get(key, 0) + count
    return {
        "engine_tokens": totals,
        "open_sessions": sessions,
        "effects": effects,
        "repeated_keys": repeated,
    }
