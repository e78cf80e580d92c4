"""Entry point of the gateway daemon."""

import argparse
import asyncio
import os
import signal
import sys

# At loop creation libuv would set up an io_uring, which the platform forbids. The
# variable is read when the loop is created, so it is set before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop

from fireflyspread.exceptions import FireflyError, SettingsError
from fireflyspread.gateway._callers import release_freed_memory
from fireflyspread.gateway._node import GatewayNode
from fireflyspread.gateway._settings import GatewaySettings
from fireflyspread.logs import configure_logging

__all__ = ["main"]

_EXIT_SETTINGS = 2
_EXIT_START = 1


def main() -> None:
    """Run a gateway until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="fireflyspread-gateway", description="Forwards requests to replicas."
    )
    parser.add_argument("settings", help="path of the JSON settings file")
    arguments = parser.parse_args()
    try:
        settings = GatewaySettings.from_file(arguments.settings)
    except SettingsError as exc:
        print(f"fireflyspread-gateway: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_SETTINGS)
    release_freed_memory()
    configure_logging(settings.logging, stream=sys.stdout)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(settings))
    except FireflyError as exc:
        print(f"fireflyspread-gateway: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_START)


async def _run(settings: GatewaySettings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    # The platform sends SIGHUP after it has rewritten the settings file. A running node
    # keeps its settings, so the signal is ignored.
    loop.add_signal_handler(signal.SIGHUP, lambda: None)
    node = GatewayNode.from_config(settings)
    try:
        await node.start()
    except BaseException:
        await node.close()
        raise
    await node.wait_stopped(stop)
    await node.stop()


if __name__ == "__main__":
    main()
