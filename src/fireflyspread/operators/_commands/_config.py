"""``fireflyspread config``."""

from cleo.helpers import argument

from fireflyspread.operators._commands._base import (
    JSON_OPTION,
    LocalCommand,
    read_file,
)
from fireflyspread.operators._failures import ExitCode
from fireflyspread.settings import Settings

__all__ = ["ConfigCheckCommand"]


class ConfigCheckCommand(LocalCommand):
    """Check a daemon's settings file without starting it."""

    name = "config check"
    description = "Checks a settings file of fireflyspreadd."
    arguments = [argument("file", "Settings as JSON.")]
    options = [JSON_OPTION]

    def handle(self) -> int:
        path = self.argument("file")
        read_file(path)
        settings = Settings.from_file(path)
        node = settings.node
        if self.option("json"):
            self.print_json(
                {
                    "node": node.name,
                    "zone": node.zone,
                    "vm": node.vm,
                    "operators": sorted(settings.operator_keys),
                }
            )
        else:
            self.print(f"{path} is valid for node {node.name} in zone {node.zone}")
        return ExitCode.OK
