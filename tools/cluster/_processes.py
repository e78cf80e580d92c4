"""Starts Python modules as processes that log to a file."""

import asyncio
import os
import sys
from pathlib import Path

__all__ = ["ROOT", "spawn"]

ROOT = Path(__file__).resolve().parents[2]


async def spawn(module: list[str], log: Path) -> asyncio.subprocess.Process:
    """Start ``python -m`` with a module and its arguments.

    Parameters
    ----------
    module : list of str
        Name of the module and its arguments.
    log : Path
        File that receives its standard output and errors.
    """
    descriptor = os.open(log, os.O_CREAT | os.O_WRONLY | os.O_TRUNC, 0o644)
    try:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            *module,
            cwd=ROOT,
            env=_make_environment(),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=descriptor,
            stderr=descriptor,
        )
    finally:
        os.close(descriptor)


def _make_environment() -> dict[str, str]:
    return {
        **os.environ,
        "PYTHONPATH": f"{ROOT / 'src'}:{ROOT}",
        "UV_USE_IO_URING": "0",
        "PYTHONDONTWRITEBYTECODE": "1",
    }
