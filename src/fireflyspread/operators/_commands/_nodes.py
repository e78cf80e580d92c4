"""``fireflyspread state`` and ``fireflyspread rollout``."""

import asyncio
import random
import time
from typing import Any

from cleo.helpers import argument, option

from fireflyspread.operators._client import AdminClient
from fireflyspread.operators._commands._base import JSON_OPTION, AdminCommand
from fireflyspread.operators._failures import ExitCode, UsageError

__all__ = ["RolloutWaitCommand", "StateDumpCommand"]

_POLL_INTERVAL = 0.25  # seconds


class StateDumpCommand(AdminCommand):
    """Dump the state of one node's process."""

    name = "state dump"
    description = "Prints the state of a node as JSON."
    arguments = [argument("node", "Name of the node in the client settings.")]

    async def perform(self) -> int:
        node = self.argument("node")
        async with self.open_admin() as admin:
            if node not in admin.nodes:
                raise UsageError(
                    f"node {node!r} is not in the client settings; use one of "
                    f"{', '.join(admin.nodes)}"
                )
            self.print_json(await admin.call_node(node, "GET", "/state"))
        return ExitCode.OK


class RolloutWaitCommand(AdminCommand):
    """Wait until a version is in force on every node."""

    name = "rollout wait"
    description = "Waits until every node has confirmed a version."
    options = [
        option(
            "target-version",
            None,
            "Version to wait for; the newest when absent.",
            flag=False,
        ),
        option("timeout", None, "Seconds to wait.", flag=False, default="30"),
        JSON_OPTION,
    ]

    async def perform(self) -> int:
        target_version = self.read_number("target-version")
        timeout = self.read_number("timeout") or 0
        deadline = time.monotonic() + timeout
        async with self.open_admin() as admin:
            last_progress = ""
            while True:
                rollout = await _read_progress(admin, target_version)
                last_progress = self._show_progress(rollout, last_progress)
                if not rollout["missing"]:
                    return self.print_result(
                        rollout,
                        f"version {rollout['version']} is in force on all nodes",
                    )
                if time.monotonic() >= deadline:
                    break
                await asyncio.sleep(_POLL_INTERVAL * random.uniform(0.8, 1.2))
        names = ", ".join(member["node"] for member in rollout["missing"])
        self.print_result(
            rollout,
            f"after {timeout} s these nodes have not confirmed version "
            f"{rollout['version']}: {names}",
        )
        return ExitCode.REFUSED

    def _show_progress(self, rollout: dict[str, Any], last_progress: str) -> str:
        """Write a line to standard error when the progress has changed."""
        done = len(rollout["confirmed"])
        total = done + len(rollout["missing"])
        line = f"version {rollout['version']}: {done} of {total} nodes"
        if line != last_progress:
            self.warn(line)
        return line


async def _read_progress(
    admin: AdminClient, target_version: int | None
) -> dict[str, Any]:
    rollout = await admin.call("GET", "/rollout")
    if target_version is None:
        return rollout
    members = rollout["confirmed"] + rollout["missing"]
    return {
        "version": target_version,
        "confirmed": [m for m in members if m["bundle_version"] >= target_version],
        "missing": [m for m in members if m["bundle_version"] < target_version],
    }
