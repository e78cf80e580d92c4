"""Log handler that never blocks and limits its output."""

import json
import logging
import threading
import time
from collections import deque
from typing import TextIO

__all__ = ["BoundedHandler"]

# Seconds between writes; the lines of an interval are written together.
_FLUSH_INTERVAL = 0.05
# Lines per second, without limit for warnings and errors. A node of the design size
# answers about 150 requests per second, each with up to three lines.
_MAX_LINES_PER_SECOND = 1000.0
# Lines queued while the reader is slow or stalled, about 10 MB.
_MAX_QUEUED_LINES = 20_000
# Seconds that ``close`` waits until the last lines are written.
_CLOSE_TIMEOUT = 0.5


class BoundedHandler(logging.Handler):
    """Writes lines from a background thread and counts dropped lines.

    Parameters
    ----------
    max_lines_per_second : float
        Lines below the level WARNING are dropped beyond this rate.
    max_queued_lines : int
        Further lines are dropped while this number waits to be written.
    """

    def __init__(
        self,
        stream: TextIO,
        *,
        max_lines_per_second: float = _MAX_LINES_PER_SECOND,
        max_queued_lines: int = _MAX_QUEUED_LINES,
    ) -> None:
        super().__init__()
        self._stream = stream
        self._rate = max_lines_per_second
        self._max_queued_lines = max_queued_lines
        self._lines: deque[str] = deque()
        self._tokens = max_lines_per_second
        self._refilled_at = time.monotonic()
        self._unreported_drops = 0
        self._closing = threading.Event()
        self._thread = threading.Thread(target=self._run, name="logs", daemon=True)
        self._thread.start()

    @property
    def unreported_drops(self) -> int:
        """Number of dropped lines that the log does not report yet."""
        return self._unreported_drops

    def emit(self, record: logging.LogRecord) -> None:
        if (
            not self._take_token(record.levelno)
            or len(self._lines) >= self._max_queued_lines
        ):
            self._unreported_drops += 1
            return
        try:
            self._lines.append(self.format(record))
        except Exception:
            self.handleError(record)

    def _take_token(self, level: int) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._rate
        self._refilled_at = now
        self._tokens = min(self._rate, self._tokens + refill)
        if self._tokens < 1.0:
            return level >= logging.WARNING
        self._tokens -= 1.0
        return True

    def _run(self) -> None:
        while not self._closing.wait(_FLUSH_INTERVAL):
            self._write()
        self._write()

    def _write(self) -> None:
        lines = []
        while self._lines:
            lines.append(self._lines.popleft())
        if self._unreported_drops:
            count, self._unreported_drops = self._unreported_drops, 0
            entry = {
                "time": round(time.time(), 3),
                "level": "WARNING",
                "logger": __name__,
                "message": "log lines dropped",
                "count": count,
            }
            lines.append(json.dumps(entry))
        if not lines:
            return
        try:
            self._stream.write("\n".join(lines) + "\n")
            self._stream.flush()
        except (OSError, ValueError):
            # The reader has closed the stream, so the failure cannot be logged; the
            # lines count as dropped.
            self._unreported_drops += len(lines)

    def close(self) -> None:
        self._closing.set()
        self._thread.join(_CLOSE_TIMEOUT)
        super().close()
