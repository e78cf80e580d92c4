"""Readable forms of what was exchanged, without values that differ between runs."""

import json
import re
from typing import Any

__all__ = ["HIDDEN_HEADERS", "Normalizer", "format_json", "join_events"]

# Headers of the transport. All other headers of requests to targets are in the files,
# so that a forwarded key is noticed.
HIDDEN_HEADERS = frozenset(
    "host content-length user-agent accept accept-encoding connection".split()
)
_MAX_LINE_LENGTH = 88


def format_json(data: Any) -> list[str]:
    """Return JSON in one line if it is short, otherwise in one line per field."""
    line = json.dumps(data, ensure_ascii=False)
    if len(line) <= _MAX_LINE_LENGTH or not isinstance(data, dict | list) or not data:
        return [line]
    if isinstance(data, list):
        parts = [format_json(item) for item in data]
        opening, closing = "[", "]"
    else:
        parts = []
        for key, value in data.items():
            first, *rest = format_json(value)
            parts.append([f"{json.dumps(key)}: {first}", *rest])
        opening, closing = "{", "}"
    lines = [opening]
    for part in parts:
        part[-1] += ","
        lines += [f"  {text}" for text in part]
    lines[-1] = lines[-1].removesuffix(",")
    return [*lines, closing]


def join_events(text: str) -> list[str]:
    """Return the events of a stream; consecutive text events are joined."""
    lines: list[str] = []
    first, last, joined = "", "", ""
    for event in [*text.split("\n\n"), ""]:
        fields = dict(line.partition(": ")[::2] for line in event.splitlines())
        data = fields.get("data", "")
        part = _read_text(data)
        if part is not None:
            first, last = first or fields["id"], fields["id"]
            joined += part
            continue
        if first:
            lines.append(f"events {first} to {last}: {json.dumps(joined)}")
            first, joined = "", ""
        if not event:
            continue
        if "id" in fields:
            lines.append(f"event {fields['id']}:")
        if "event" in fields:
            lines.append(f"event named {fields['event']}:")
        shown = format_json(json.loads(data)) if data != "[DONE]" else [data]
        lines += [f"  {line}" for line in shown]
    return lines


def _read_text(data: str) -> str | None:
    if not data.startswith("{"):
        return None
    chunk = json.loads(data)
    choices = chunk.get("choices")
    if not choices or chunk.get("usage"):
        return None
    content = choices[0].get("delta", {}).get("content")
    return str(content) if content else None


class Normalizer:
    """Replaces times, ids, ports, digests and random values by placeholders.

    Ids and digests are numbered by their first appearance, so that equal ones stay
    recognizable.
    """

    _PATTERNS = (
        ("program", re.compile(r"\bp-[0-9a-f]{24}\b")),
        ("request", re.compile(r"\br-[0-9a-f]{16}\b")),
        ("digest", re.compile(r"\b[0-9a-f]{64}\b")),
        ("digest", re.compile(r"\b[0-9a-f]{32}\b")),
    )
    _TIME = re.compile(r'("(?:\w+_at|time)": )[0-9.e+]+')
    _ATTEMPT = re.compile(r"(<program \d+>-\d+-)[0-9a-f]{8}\b")
    _ADDRESS = re.compile(r"127\.0\.0\.1:\d+")
    _SHORT_DIGEST = re.compile(r"(\bbundle |\()[0-9a-f]{12}\b")
    _RETRY_AFTER = re.compile(r'("retry_after": |Retry-After: )[0-9.]+')
    _WRITE_ID = re.compile(r'("write_id": )"[^"]*"')

    def __init__(self) -> None:
        self._numbers: dict[tuple[str, str], int] = {}
        self._counts: dict[str, int] = {}

    def normalize(self, text: str) -> str:
        """Return ``text`` in a form that is the same for every run."""
        text = self._WRITE_ID.sub(r'\1"<random>"', text)
        for kind, pattern in self._PATTERNS:
            text = pattern.sub(lambda m, k=kind: self._number(k, m[0]), text)
        text = self._TIME.sub(r"\1<time>", text)
        text = self._ATTEMPT.sub(r"\1<random>", text)
        text = self._ADDRESS.sub("<address>", text)
        text = self._SHORT_DIGEST.sub(r"\1<short digest>", text)
        return self._RETRY_AFTER.sub(r"\1<seconds>", text)

    def _number(self, kind: str, value: str) -> str:
        key = (kind, value)
        if key not in self._numbers:
            self._counts[kind] = self._counts.get(kind, 0) + 1
            self._numbers[key] = self._counts[kind]
        return f"<{kind} {self._numbers[key]}>"
