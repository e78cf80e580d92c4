"""Entry point of ``fireflyspreadd``."""

import argparse
import asyncio
import os
import signal
import sys

# libuv would set up an io_uring when it creates a loop, which the platform forbids. It
# reads the variable at that time, so it is set before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop

from fireflyspread import __version__
from fireflyspread.daemon._node import NodeDaemon
from fireflyspread.exceptions import FireflyError, SettingsError
from fireflyspread.logs import configure_logging
from fireflyspread.settings import Settings

__all__ = ["main"]

_EXIT_INVALID_SETTINGS = 2
_EXIT_START_FAILED = 1


def main() -> None:
    """Run the daemon until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(
        prog="fireflyspreadd", description="Scheduler daemon of one node."
    )
    parser.add_argument("settings", help="path of the JSON settings file")
    parser.add_argument("--version", action="version", version=__version__)
    arguments = parser.parse_args()
    try:
        settings = Settings.from_file(arguments.settings)
    except SettingsError as exc:
        print(f"fireflyspreadd: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_INVALID_SETTINGS)
    configure_logging(settings.logging)
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run(settings))
    except FireflyError as exc:
        print(f"fireflyspreadd: {exc.message}", file=sys.stderr)
        sys.exit(_EXIT_START_FAILED)


async def _run(settings: Settings) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    daemon = NodeDaemon.from_config(settings)
    try:
        await daemon.start()
    except BaseException:
        await daemon.close()
        raise
    try:
        await daemon.wait_stopped(stop)
    finally:
        await daemon.stop()
