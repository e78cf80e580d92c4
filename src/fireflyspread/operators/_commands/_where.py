"""``fireflyspread where``."""

import os
import re
from typing import Any

import aiohttp
import msgspec
from cleo.helpers import argument, option

from fireflyspread._http_client import open_session
from fireflyspread.operators._commands._base import JSON_OPTION, AdminCommand
from fireflyspread.operators._failures import ExitCode, UsageError

__all__ = ["WhereCommand"]

# Seconds for the answer of a gateway.
_TIMEOUT = 5.0
_HEADERS = [
    "replica",
    "zone",
    "version",
    "state",
    "running",
    "others",
    "slowdown",
    "load",
    "prompts",
    "held",
    "uncached",
    "expected",
]


class WhereError(Exception):
    """The gateway gave no explanation; the message names the remedy."""


class WhereCommand(AdminCommand):
    """Explain where a gateway would send a request, without sending it."""

    name = "where"
    description = "Explains where a gateway would send a request now, and why."
    arguments = [argument("address", "Metrics address of the gateway, as host:port.")]
    options = [
        option("host", None, "Host of the request.", flag=False),
        option("path", None, "Path of the request.", flag=False),
        option(
            "key",
            None,
            "Key of the team; FIREFLYSPREAD_KEY when absent.",
            flag=False,
        ),
        option("model-tokens", None, "Prompt and maximum answer: IN,OUT.", flag=False),
        option("prefix", None, "Parts of the prompt: ID:TOKENS,...", flag=False),
        option("program", None, "Id of the program.", flag=False),
        option("affinity", None, "Affinity key of the request.", flag=False),
        JSON_OPTION,
    ]

    async def perform(self) -> int:
        for name in ("host", "path"):
            if not self.option(name):
                raise UsageError(f"--{name} is missing; give that of the request")
        tokens = self.option("model-tokens")
        if tokens and not re.fullmatch(r"\d+,\d+", tokens):
            raise UsageError(
                f"--model-tokens {tokens!r} is not IN,OUT; give two numbers"
            )
        if self.option("prefix") and not tokens:
            raise UsageError("--prefix has no effect alone; give --model-tokens too")
        try:
            explanation = await self._fetch()
        except WhereError as exc:
            self.warn(f"error: {exc}")
            return ExitCode.REFUSED
        if self.option("json"):
            self.print_json(explanation)
        else:
            self._show(explanation)
        return ExitCode.OK

    async def _fetch(self) -> Any:
        address = self.argument("address").removeprefix("http://").rstrip("/")
        names = ("host", "path", "model-tokens", "prefix", "program", "affinity")
        query = {n.replace("-", "_"): v for n in names if (v := self.option(n))}
        key = self.option("key") or os.environ.get("FIREFLYSPREAD_KEY")
        headers = {"Authorization": f"Token {key}"} if key else {}
        try:
            async with (
                open_session(timeout=aiohttp.ClientTimeout(total=_TIMEOUT)) as session,
                session.get(
                    f"http://{address}/where", params=query, headers=headers
                ) as response,
            ):
                content = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError, ValueError) as exc:
            raise WhereError(
                f"no answer from {address}; check that the gateway runs and that "
                "the address is its listen.metrics"
            ) from exc
        return _decode(address, status, content)

    def _show(self, data: dict[str, Any]) -> None:
        self.print(f"node {data['node']}, configuration version {data['version']}")
        if data["route"] is not None:
            team = data["team"] or "none"
            services = ", ".join(f"{n} ({w:g})" for n, w in data["services"])
            self.print(f"route {data['route']}, team {team}, services {services}")
        if data["service"] is not None:
            note = "; other requests get others" if data["is_service_random"] else ""
            self.print(f"service {data['service']}{note}")
        self.print(_describe_result(data))
        if data["replicas"]:
            self.print_table(_HEADERS, [_make_row(each) for each in data["replicas"]])
        for note in data["unchecked"]:
            self.print(f"note: {note}")


def _decode(address: str, status: int, content: bytes) -> Any:
    try:
        if status == 200:
            return msgspec.json.decode(content)
    except msgspec.DecodeError:
        # Earlier builds answer unknown paths with their metrics.
        status = 404
    if status == 404:
        raise WhereError(
            f"the gateway at {address} is of an earlier build without `where`; update "
            "it, or ask another gateway"
        )
    raise WhereError(
        f"{address} answered {status}; check that the address is the listen.metrics "
        "of a gateway"
    )


def _describe_result(data: dict[str, Any]) -> str:
    if data["status"] is not None:
        return f"refused with {data['status']}: {data['reason']}"
    placement = data["placement"]
    if placement["replica"] is None:
        return (
            f"waits: {data['reason']}; {placement['queued']} waiting, about "
            f"{placement['wait_seconds']:g} s"
        )
    text = f"replica {placement['replica']}: {data['reason']}"
    if len(placement["near"]) > 1:
        text += f"; equal: {', '.join(placement['near'])}"
    if placement["is_random"]:
        text += "; the choice among these is random"
    if placement["queued"]:
        text += f"; behind {placement['queued']} waiting requests"
    return text


def _make_row(each: dict[str, Any]) -> list[str]:
    state = each["state"]
    if each["is_cold"] and state != "cold":
        state += ", cold"
    return [
        each["name"],
        each["zone"],
        each["version"],
        state,
        "-" if each["running"] is None else f"{each['running']}/{each['slots']}",
        _format(each["others"], each["others_age"]),
        _format(each["slowdown"], each["slowdown_age"]),
        _format(each["load"], each["report_age"]),
        _format(each["prompt_tokens"]),
        _format(each["held_tokens"]),
        _format(each["uncached_tokens"]),
        _format(each["expected_seconds"], unit=" s"),
    ]


def _format(value: float | None, age: float | None = None, *, unit: str = "") -> str:
    if value is None:
        return "-"
    text = f"{value:.4g}{unit}"
    return text if age is None else f"{text} ({age:.1f} s ago)"
