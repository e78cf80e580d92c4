"""A daemon process of the local cluster."""

import asyncio
import contextlib
import json
import signal
import time
from pathlib import Path
from typing import Any

import aiohttp

from tools.cluster._processes import spawn

__all__ = ["NodeProcess"]


class NodeProcess:
    """A daemon that can be killed, paused, terminated and restarted.

    Parameters
    ----------
    settings : dict
        Content of the settings file.
    folder : Path
        Folder of the settings file and the logs.
    module : str
        Module to run; its argument is the path of the settings.
    """

    def __init__(
        self,
        settings: dict[str, Any],
        folder: Path,
        *,
        module: str = "fireflyspread.daemon",
    ) -> None:
        self.settings = settings
        self.name: str = settings["node"]["name"]
        self._folder = folder
        self._module = module
        self._process: asyncio.subprocess.Process | None = None
        self._starts = 0

    @property
    def url(self) -> str:
        """Base URL for callers."""
        return f"http://{self.settings['listen']['callers']}"

    @property
    def operators_url(self) -> str:
        """Base URL for operators."""
        return f"http://{self.settings['listen']['operators']}"

    @property
    def pid(self) -> int | None:
        """Process id, or None while the process is not running."""
        if self._process is None or self._process.returncode is not None:
            return None
        return self._process.pid

    async def start(self) -> None:
        """Start the process without waiting until it is ready."""
        if self.pid is not None:
            raise RuntimeError(f"{self.name} is already running; kill it first")
        self._starts += 1
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings, indent=2), encoding="utf-8")
        log = self._folder / f"{self.name}-{self._starts}.log"
        self._process = await spawn([self._module, str(path)], log)

    async def wait_ready(self, timeout: float = 60.0) -> None:
        """Wait until the node accepts calls.

        Raises
        ------
        RuntimeError
            The process exited; the message has the end of its log.
        TimeoutError
            The node did not become ready within ``timeout`` seconds.
        """
        deadline = time.monotonic() + timeout
        async with aiohttp.ClientSession() as session:
            while time.monotonic() < deadline:
                if self.pid is None:
                    raise RuntimeError(
                        f"{self.name} exited:\n{self.read_log()[-3000:]}"
                    )
                if await self._is_ready(session):
                    return
                await asyncio.sleep(0.05)
        raise TimeoutError(
            f"{self.name} is not ready after {timeout:g} s:\n{self.read_log()[-3000:]}"
        )

    async def _is_ready(self, session: aiohttp.ClientSession) -> bool:
        timeout = aiohttp.ClientTimeout(total=2.0)
        with contextlib.suppress(aiohttp.ClientError, TimeoutError):
            async with session.get(self.url + "/readyz", timeout=timeout) as response:
                return response.status == 200
        return False

    def read_log(self) -> str:
        """Return the log since the last start."""
        path = self._folder / f"{self.name}-{self._starts}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def read_logs(self) -> str:
        """Return the logs of all starts."""
        paths = sorted(self._folder.glob(f"{self.name}-*.log"))
        return "".join(path.read_text(errors="replace") for path in paths)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        if self.pid is not None and self._process is not None:
            self._process.kill()
            await self._process.wait()

    def pause(self) -> None:
        """Stop the process with SIGSTOP."""
        self.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        self.send_signal(signal.SIGCONT)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.pid is None or self._process is None:
            raise RuntimeError(f"{self.name} is not running; start it first")
        self._process.send_signal(number)

    async def terminate(self, timeout: float = 90.0) -> int:
        """Stop the process with SIGTERM and return its exit code.

        Raises
        ------
        TimeoutError
            The process did not exit within ``timeout`` seconds.
        """
        self.send_signal(signal.SIGTERM)
        return await self.wait_exit(timeout)

    async def wait_exit(self, timeout: float = 90.0) -> int:
        """Wait until the process has exited and return its exit code."""
        if self._process is None:
            raise RuntimeError(f"{self.name} was never started; start it first")
        async with asyncio.timeout(timeout):
            return await self._process.wait()
