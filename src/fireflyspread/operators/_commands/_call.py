"""``fireflyspread call``."""

import os
from typing import Any

from cleo.helpers import argument, option

from fireflyspread.operators._client import HttpClient, open_client
from fireflyspread.operators._commands._base import JSON_OPTION, AdminCommand
from fireflyspread.operators._failures import (
    ExitCode,
    NoConnectionError,
    RefusedError,
    UsageError,
)

__all__ = ["CallCommand"]

# A turn is idempotent by its number, so it is sent again if no response arrives.
_MAX_TURN_ATTEMPTS = 3


class CallCommand(AdminCommand):
    """Open a program, send one turn and print the answer."""

    name = "call"
    description = "Sends a first request through the caller API."
    arguments = [
        argument("model", "Route to an engine target."),
        argument("message", "Text of the user's message."),
    ]
    options = [
        option("key-file", None, "File with the caller's key.", flag=False),
        option(
            "budget", None, "Token budget of the program.", flag=False, default="4096"
        ),
        option(
            "max-tokens",
            None,
            "Maximum tokens of the answer.",
            flag=False,
            default="256",
        ),
        option("keep", description="Leave the program open and print its id."),
        JSON_OPTION,
    ]

    async def perform(self) -> int:
        settings = self.read_client_settings()
        if settings.callers is None:
            raise UsageError("the client settings have no callers URL; add it")
        budget, tokens = self.read_number("budget"), self.read_number("max-tokens")
        model = self.argument("model")
        turn = {
            "turn": 1,
            "messages": [{"role": "user", "content": self.argument("message")}],
            "model": model,
            "max_tokens": tokens,
        }
        url = f"{settings.callers}/v1/programs"
        async with open_client(settings, self._read_key()) as http:
            open_body = {"budget": budget, "model": model}
            program = (await http.call("POST", url, body=open_body))["id"]
            try:
                answer = await _send_turn(http, f"{url}/{program}/turns", turn)
            finally:
                if not self.option("keep"):
                    await self._end_program(http, f"{url}/{program}")
        if self.option("keep"):
            self.warn(f"program {program} is open")
        return self.print_result(answer, answer["choices"][0]["message"]["content"])

    def _read_key(self) -> str:
        key = os.environ.get("FIREFLYSPREAD_KEY")
        if key and self.option("key-file") is None:
            return key
        return self.read_secret("Caller's key:")

    async def _end_program(self, http: HttpClient, url: str) -> ExitCode:
        try:
            await http.call("DELETE", url)
        except (NoConnectionError, RefusedError) as exc:
            self.warn(f"warning: the program was not ended: {exc.message}")
        return ExitCode.OK


async def _send_turn(http: HttpClient, url: str, turn: dict[str, Any]) -> Any:
    for attempt in range(_MAX_TURN_ATTEMPTS):
        try:
            return await http.call("POST", url, body=turn)
        except NoConnectionError:
            if attempt == _MAX_TURN_ATTEMPTS - 1:
                raise
    raise AssertionError("the loop always returns or raises")
