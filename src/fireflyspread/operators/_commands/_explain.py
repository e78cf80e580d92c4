"""``fireflyspread explain``."""

from cleo.helpers import argument

from fireflyspread.operators._commands._base import (
    JSON_OPTION,
    FireflyCommand,
    read_file,
)
from fireflyspread.operators._failures import ExitCode
from fireflyspread.operators._traces import find_trace, parse_lines

__all__ = ["ExplainCommand"]


class ExplainCommand(FireflyCommand):
    """Print the log lines of a request or a program in order of time."""

    name = "explain"
    description = "Prints the log lines of a request or program in order of time."
    arguments = [
        argument("id", "Id of a request or a program."),
        argument("files", "Log files of all nodes.", multiple=True),
    ]
    options = [JSON_OPTION]

    def handle(self) -> int:
        lines = []
        for path in self.argument("files"):
            text = read_file(path).decode("utf-8", "replace")
            lines += parse_lines(path, text.splitlines())
        trace = find_trace(lines, self.argument("id"))
        if not trace:
            self.warn(
                f"no log line has the id {self.argument('id')}; give the logs of all "
                "nodes for that time"
            )
            return ExitCode.REFUSED
        if self.option("json"):
            self.print_json([line.fields for line in trace])
            return ExitCode.OK
        start = trace[0].time
        for line in trace:
            self.print(f"{line.time - start:+9.3f} s  {line.source}  {line.describe()}")
        return ExitCode.OK
