"""``fireflyspread programs``."""

from typing import Any
from urllib.parse import quote, urlencode

from cleo.helpers import argument, option

from fireflyspread.operators._client import AdminClient
from fireflyspread.operators._commands._base import JSON_OPTION, AdminCommand
from fireflyspread.operators._failures import (
    ExitCode,
    NoConnectionError,
    RefusedError,
)

__all__ = ["ProgramsEndCommand", "ProgramsListCommand", "ProgramsShowCommand"]

_PROGRAM_ARGUMENT = argument("program", "Id of the program.")
_COLUMNS = ("id", "team", "node", "state", "turns", "spent", "budget", "idle")


async def _call_owner(admin: AdminClient, method: str, program: str) -> Any:
    """Send a request about a program to the node that owns it."""
    path = f"/programs/{quote(program, safe='')}"
    failures: list[RefusedError | NoConnectionError] = []
    for node in admin.nodes:
        try:
            return await admin.call_node(node, method, path)
        except NoConnectionError as exc:
            failures.insert(0, exc)
        except RefusedError as exc:
            if exc.response_status != 404:
                raise
            failures.append(exc)
    # A program is not certain to be absent unless every node has responded.
    raise failures[0]


class ProgramsListCommand(AdminCommand):
    """List the open programs of all nodes."""

    name = "programs list"
    description = "Lists open programs, those with the longest idle time first."
    options = [
        option("team", None, "Only programs of this team.", flag=False),
        option("limit", None, "Programs for each node.", flag=False, default="100"),
        JSON_OPTION,
    ]

    async def perform(self) -> int:
        query = {"limit": str(self.read_number("limit"))}
        if self.option("team"):
            query["team"] = self.option("team")
        async with self.open_admin() as admin:
            answers = await admin.call_all("GET", f"/programs?{urlencode(query)}")
        programs: list[dict[str, Any]] = []
        code = ExitCode.OK
        for node, answer in answers.items():
            if isinstance(answer, NoConnectionError):
                self.warn(f"node {node} is missing: {answer.message}")
                code = ExitCode.NO_CONNECTION
            elif isinstance(answer, RefusedError):
                raise answer
            else:
                programs += answer["programs"]
        programs.sort(key=lambda program: -program["idle"])
        if self.option("json"):
            self.print_json(programs)
        else:
            rows = [[program[name] for name in _COLUMNS] for program in programs]
            self.print_table([name.capitalize() for name in _COLUMNS], rows)
        return code


class ProgramsShowCommand(AdminCommand):
    """Show one program."""

    name = "programs show"
    description = "Shows a program."
    arguments = [_PROGRAM_ARGUMENT]
    options = [JSON_OPTION]

    async def perform(self) -> int:
        async with self.open_admin() as admin:
            program = await _call_owner(admin, "GET", self.argument("program"))
        text = "\n".join(f"{name}: {value}" for name, value in program.items())
        return self.print_result(program, text)


class ProgramsEndCommand(AdminCommand):
    """End one program."""

    name = "programs end"
    description = "Ends a program."
    arguments = [_PROGRAM_ARGUMENT]
    options = [JSON_OPTION]

    async def perform(self) -> int:
        async with self.open_admin() as admin:
            program = await _call_owner(admin, "DELETE", self.argument("program"))
        return self.print_result(program, f"program {program['id']} ended")
