"""Failures of the command line and their exit codes."""

import enum

from cleo.exceptions import CleoError

from fireflyspread.exceptions import BundleConflictError, FireflyError, Outcome

__all__ = [
    "ExitCode",
    "NoConnectionError",
    "RefusedError",
    "UsageError",
    "describe_failure",
    "get_exit_code",
]


class ExitCode(enum.IntEnum):
    """Exit codes of ``fireflyspread``; see docs/operators.md."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    NO_CONNECTION = 3
    CONFLICT = 4


class UsageError(FireflyError):
    """Invalid arguments, files or client settings."""

    code = "usage"


class NoConnectionError(FireflyError):
    """No connection to a node, or no usable response from it."""

    code = "no_connection"


class RefusedError(FireflyError):
    """A node responded with an error.

    Parameters
    ----------
    code : str
        Code of the error in the response.
    """

    def __init__(
        self,
        message: str,
        *,
        code: str,
        status: int,
        outcome: Outcome,
        retry_after: float | None,
    ) -> None:
        super().__init__(message, outcome=outcome, retry_after=retry_after)
        self.response_code = code
        self.response_status = status


def get_exit_code(error: Exception) -> ExitCode:
    """Return the exit code for ``error``."""
    match error:
        case UsageError() | CleoError():
            return ExitCode.USAGE
        case NoConnectionError():
            return ExitCode.NO_CONNECTION
        case RefusedError() if error.response_code == BundleConflictError.code:
            return ExitCode.CONFLICT
        case _:
            return ExitCode.REFUSED


def describe_failure(error: Exception) -> str:
    """Return the line that reports ``error`` on standard error."""
    if not isinstance(error, FireflyError):
        return f"error: {error}"
    if isinstance(error, UsageError):
        return f"error: {error.message}"
    code = error.response_code if isinstance(error, RefusedError) else error.code
    notes = []
    if isinstance(error, NoConnectionError | RefusedError):
        notes.append(error.outcome.value.replace("_", " "))
    if error.retry_after is not None:
        notes.append(f"retry after {error.retry_after:g} s")
    note = f" [{', '.join(notes)}]" if notes else ""
    return f"error: {code}: {error.message}{note}"
