"""Starts the project's programs from the build of the deploy file, and records."""

import asyncio
import os
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from soak import cluster

__all__ = ["ROOT", "Record", "has_trouble", "run_case"]

ROOT = Path(__file__).parents[2]
# Seconds after which a case is ended as one that could not run.
_MAX_SECONDS = 110.0


def has_trouble() -> bool:
    """Return whether the case plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of ``record.txt`` with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def write(self, text: str, *, is_printed: bool = False) -> None:
        """Append a line, and print it if asked to."""
        line = f"{time.monotonic() - self._began_at:8.3f} {text}"
        self._file.write(line + "\n")
        self._file.flush()
        if is_printed:
            print(line)


async def _spawn(self: Any, module: str, settings: Path) -> None:
    """Start a program with the command of the deploy file."""
    names = ("PATH", "HOME", "LANG")
    environment = {name: os.environ[name] for name in names if name in os.environ}
    self._log = self.log_path.open("ab")
    self.process = await asyncio.create_subprocess_exec(
        "python3",
        "-m",
        module,
        str(settings),
        stdout=self._log,
        stderr=self._log,
        cwd=ROOT,
        env={
            **environment,
            "PYTHONPATH": f"{ROOT / 'target' / 'deps'}",
            "UV_USE_IO_URING": "0",
        },
    )


def run_case(folder: Path, play: Any) -> None:
    """Play a case and exit with 1 if its rule was broken, 0 if not, 2 on an error.

    Parameters
    ----------
    folder : Path
        Folder of the case, which gets ``record.txt``.
    play : callable
        Coroutine function that gets a temporary folder and the record, and returns
        whether the rule held.
    """
    cluster.Gateway._spawn = _spawn
    record = Record(folder / "record.txt")
    record.write(f"disruption: {'on' if has_trouble() else 'off'}", is_printed=True)

    async def main() -> bool:
        # On SIGTERM the processes are ended too.
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            async with asyncio.timeout(_MAX_SECONDS):
                return await play(Path(temporary), record)

    try:
        is_held = asyncio.run(main())
    except (Exception, KeyboardInterrupt, asyncio.CancelledError) as exc:
        record.write(f"the case could not run: {exc!r}", is_printed=True)
        sys.exit(2)
    verdict = "held" if is_held else "BROKEN"
    record.write(f"the rule {verdict}", is_printed=True)
    sys.exit(0 if is_held else 1)
