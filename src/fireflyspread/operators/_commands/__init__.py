"""Commands of the command line."""

from cleo.commands.command import Command

from fireflyspread.operators._commands._bundle import (
    BundleApproveCommand,
    BundleCheckCommand,
    BundleDiffCommand,
    BundleDraftCommand,
    BundleRollCommand,
    BundleShowCommand,
    BundleStatusCommand,
)
from fireflyspread.operators._commands._call import CallCommand
from fireflyspread.operators._commands._config import ConfigCheckCommand
from fireflyspread.operators._commands._explain import ExplainCommand
from fireflyspread.operators._commands._key import KeyHashCommand, KeyWithdrawCommand
from fireflyspread.operators._commands._nodes import (
    RolloutWaitCommand,
    StateDumpCommand,
)
from fireflyspread.operators._commands._programs import (
    ProgramsEndCommand,
    ProgramsListCommand,
    ProgramsShowCommand,
)
from fireflyspread.operators._commands._where import WhereCommand

__all__ = ["COMMANDS"]

COMMANDS: tuple[type[Command], ...] = (
    BundleShowCommand,
    BundleCheckCommand,
    BundleDiffCommand,
    BundleDraftCommand,
    BundleApproveCommand,
    BundleRollCommand,
    BundleStatusCommand,
    RolloutWaitCommand,
    KeyHashCommand,
    KeyWithdrawCommand,
    ConfigCheckCommand,
    StateDumpCommand,
    ProgramsListCommand,
    ProgramsShowCommand,
    ProgramsEndCommand,
    CallCommand,
    ExplainCommand,
    WhereCommand,
)
