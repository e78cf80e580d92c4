"""Base classes of the commands."""

import abc
import asyncio
import os
import re
import stat
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from fireflyspread.operators._client import AdminClient, ClientSettings, open_client
from fireflyspread.operators._failures import ExitCode, UsageError

__all__ = ["JSON_OPTION", "AdminCommand", "FireflyCommand", "read_file"]

JSON_OPTION = option("json", description="Print JSON instead of text.")

_DEFAULT_CLIENT_FILE = "fireflyspread-client.json"
_CONTROL_CHARACTER = re.compile(r"[\x00-\x08\x0b-\x1f\x7f-\x9f]")


def read_file(path: str) -> bytes:
    """Return the contents of a file; raises ``UsageError``."""
    try:
        return Path(path).read_bytes()
    except OSError as exc:
        raise UsageError(
            f"cannot read {path}: {exc.strerror}; give an existing file"
        ) from exc


class FireflyCommand(Command):
    """Base class of all commands, with their input and output."""

    def print(self, text: str) -> None:
        """Write a line to standard output without cleo's formatting."""
        # Control characters in responses and names could control the terminal.
        self.io.write_line(_CONTROL_CHARACTER.sub("?", text), type=Type.RAW)

    def warn(self, text: str) -> None:
        """Write a line to standard error."""
        self.io.write_error_line(_CONTROL_CHARACTER.sub("?", text), type=Type.RAW)

    def print_json(self, data: Any) -> None:
        """Write indented JSON to standard output."""
        encoded = msgspec.json.encode(data, enc_hook=str)
        self.print(msgspec.json.format(encoded, indent=2).decode())

    def print_table(self, headers: list[str], rows: Sequence[Sequence[Any]]) -> None:
        """Write a table to standard output."""
        cells: list[Any] = [
            [_CONTROL_CHARACTER.sub("?", str(cell)) for cell in row] for row in rows
        ]
        table = self.table(style="compact")
        table.set_headers([headers])
        table.set_rows(cells)
        table.render()

    def read_number(self, name: str) -> int | None:
        """Return the value of an option as an integer, or None if it is absent.

        Raises
        ------
        UsageError
            The value is not a whole number.
        """
        text = self.option(name)
        if text is None:
            return None
        if not (text.isascii() and text.isdigit()):
            raise UsageError(f"--{name} {text!r} is not a whole number; give one")
        return int(text)

    def read_secret(self, question: str) -> str:
        """Read a secret from ``--key-file``, a hidden prompt or standard input.

        Raises
        ------
        UsageError
            The secret is empty or not UTF-8.
        """
        path = self.option("key-file")
        if path is not None:
            try:
                secret = read_file(path).decode()
            except UnicodeDecodeError as exc:
                raise UsageError(f"{path} is not UTF-8; save it as UTF-8") from exc
        elif self.io.is_interactive():
            secret = self.secret(question) or ""
        else:
            # cleo's prompt does not read the input when there is no terminal.
            secret = self.io.input.stream.readline()
        if not secret.strip():
            raise UsageError("the key is empty; give a key")
        return secret.strip()


class AdminCommand(FireflyCommand, abc.ABC):
    """Command that sends requests to nodes."""

    def handle(self) -> int:
        return asyncio.run(self.perform())

    @abc.abstractmethod
    async def perform(self) -> int:
        """Run the command and return the exit code."""

    def read_client_settings(self) -> ClientSettings:
        """Read the settings named by ``--client`` or the environment."""
        path = self.option("client") or os.environ.get("FIREFLYSPREAD_CLIENT")
        path = path or _DEFAULT_CLIENT_FILE
        settings = ClientSettings.from_file(path)
        mode = Path(path).stat().st_mode
        if settings.operator_key is not None and mode & (stat.S_IRWXG | stat.S_IRWXO):
            self.warn(
                f"warning: other users can access the key in {path}; chmod 600 it"
            )
        return settings

    @asynccontextmanager
    async def open_admin(self) -> AsyncIterator[AdminClient]:
        """Open a client of the administration APIs."""
        settings = self.read_client_settings()
        async with open_client(settings, settings.read_key()) as http:
            yield AdminClient(http, settings.nodes)

    def print_result(self, data: Any, text: str) -> int:
        """Print ``data`` with ``--json``, otherwise ``text``; return the code OK."""
        if self.option("json"):
            self.print_json(data)
        else:
            self.print(text)
        return ExitCode.OK
