"""Log output as text or JSON lines."""

import json
import logging
import sys
from typing import Any, TextIO

from fireflyspread._log_writer import BoundedHandler
from fireflyspread.settings import Logging

__all__ = ["FIELDS", "JsonFormatter", "TextFormatter", "configure_logging"]

# Keys of ``extra`` that are written, in this order; the formatters drop all others.
FIELDS = (
    "request",
    "fingerprint",
    "prefix",
    "program",
    "team",
    "node",
    "zone",
    "target",
    "replica",
    "replica_version",
    "relay",
    "route",
    "version",
    "operator",
    "digest",
    "code",
    "source",
    "before",
    "routes",
    "draining",
    "born",
    "members",
    "rates",
    "parts",
    "prompt",
    "budget",
    "program_left",
    "count",
    "order",
    "tokens",
    "attempt",
    "rank",
    "unanswered",
    "in_flight",
    "limit",
    "result",
    "may_have_run",
    "event",
    "after",
    "events",
    "runs",
    "resumes",
    "versions",
    "revision",
    "framing",
    "received",
    "status",
    "outcome",
    "retry_after",
    "seconds",
    "first",
    "cut",
    "turn",
    "chain",
    "bytes",
    "age",
    "pending",
    "reason",
)


def _collect_fields(record: logging.LogRecord) -> dict[str, Any]:
    return {name: record.__dict__[name] for name in FIELDS if name in record.__dict__}


class JsonFormatter(logging.Formatter):
    """Formats a record as one line of JSON with the fields given as ``extra``."""

    def format(self, record: logging.LogRecord) -> str:
        entry: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
            **_collect_fields(record),
        }
        if record.exc_info:
            entry["error"] = self.formatException(record.exc_info)
        return json.dumps(entry, default=str)


class TextFormatter(logging.Formatter):
    """Formats a record as a line of text that ends with the fields of ``extra``."""

    def __init__(self) -> None:
        super().__init__("%(asctime)s %(levelname)s %(name)s %(message)s")

    def formatMessage(self, record: logging.LogRecord) -> str:
        fields = _collect_fields(record).items()
        return " ".join(
            [super().formatMessage(record), *(f"{k}={v}" for k, v in fields)]
        )


def configure_logging(settings: Logging, *, stream: TextIO | None = None) -> None:
    """Send all logs to standard error, or through a bounded queue to ``stream``."""
    handler: logging.Handler
    if stream is None:
        handler = logging.StreamHandler(sys.stderr)
    else:
        handler = BoundedHandler(stream)
    handler.setFormatter(
        JsonFormatter() if settings.format == "json" else TextFormatter()
    )
    logging.basicConfig(level=settings.level, handlers=[handler], force=True)
