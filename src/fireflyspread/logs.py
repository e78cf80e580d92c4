"""Log output as text or JSON lines."""

import json
import logging
import sys
from typing import Any

from fireflyspread.settings import Logging

__all__ = ["configure_logging"]

_FIELDS = ("request", "program", "team", "node", "target", "replica", "version")


class JsonFormatter(logging.Formatter):
    """One JSON object for each line, with the ids given as ``extra``."""

    def format(self, record: logging.LogRecord) -> str:
        entry: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        for name in _FIELDS:
            if name in record.__dict__:
                entry[name] = record.__dict__[name]
        if record.exc_info:
            entry["error"] = self.formatException(record.exc_info)
        return json.dumps(entry)


def configure_logging(settings: Logging) -> None:
    """Send all logs to standard error in the configured format."""
    handler = logging.StreamHandler(sys.stderr)
    if settings.format == "json":
        handler.setFormatter(JsonFormatter())
    else:
        handler.setFormatter(
            logging.Formatter("%(asctime)s %(levelname)s %(name)s %(message)s")
        )
    logging.basicConfig(level=settings.level, handlers=[handler], force=True)
