"""Command line: ``fireflyspread``."""

import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.helpers import option
from cleo.io.inputs.argv_input import ArgvInput
from cleo.io.inputs.input import Input
from cleo.io.outputs.output import Output, Type
from cleo.io.outputs.stream_output import StreamOutput

from fireflyspread import __version__
from fireflyspread.exceptions import FireflyError
from fireflyspread.operators._commands import COMMANDS
from fireflyspread.operators._failures import describe_failure, get_exit_code

__all__ = ["main", "make_application", "run"]


def make_application() -> Application:
    """Return the application with all commands."""
    application = Application("fireflyspread", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    application.definition.add_option(
        option(
            "client",
            None,
            "Client settings; FIREFLYSPREAD_CLIENT or ./fireflyspread-client.json "
            "when absent.",
            flag=False,
        )
    )
    for command in COMMANDS:
        application.add(command())
    return application


def run(
    source: Input, *, output: Output | None = None, errors: Output | None = None
) -> int:
    """Run one command and return its exit code; see docs/operators.md.

    Errors go to ``errors`` as one line.
    """
    errors = errors or StreamOutput(sys.stderr)
    try:
        return make_application().run(source, output, errors)
    except (CleoError, FireflyError) as exc:
        errors.write_line(describe_failure(exc), type=Type.RAW)
        return get_exit_code(exc)


def main(arguments: Sequence[str] | None = None) -> int:
    """Entry point; ``arguments`` do not include the program's name."""
    argv = sys.argv if arguments is None else ["fireflyspread", *arguments]
    source = ArgvInput(list(argv))
    source.set_stream(sys.stdin)
    return int(run(source))
