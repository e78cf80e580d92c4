"""Gauges of the process, sent to statsd."""

import asyncio

from fireflyspread.callers import CallerApi, Context
from fireflyspread.daemon._recovery import Recovery
from fireflyspread.daemon._targets import EngineTasks

__all__ = ["report_gauges"]

_REPORT_INTERVAL = 5.0  # seconds


async def report_gauges(
    context: Context, recovery: Recovery, api: CallerApi, engine_tasks: EngineTasks
) -> None:
    """Send the gauges every 5 s until cancelled; docs/metrics.md lists them."""
    membership = recovery.membership
    while True:
        gauges = {
            "programs.open": len(context.programs),
            "intents.kept": len(context.intents),
            "requests.running": api.running,
            "sessions.pending": engine_tasks.count_pending(),
            "journal.queued": membership.journal.queued,
            "journal.entries": membership.journal.entry_count,
            "authority.seconds": max(0.0, membership.authority.remaining),
            "slots.owned": len(recovery.owned_slots()),
            "members.count": len(membership.members()),
            "members.epoch": membership.epoch,
            "bundle.version": context.bundles.version,
        }
        for name, value in gauges.items():
            context.metrics.record_gauge(name, value)
        await asyncio.sleep(_REPORT_INTERVAL)
