"""``fireflyspread config``."""

from cleo.helpers import argument, option

from fireflyspread.gateway import GatewaySettings
from fireflyspread.operators._commands._base import (
    JSON_OPTION,
    FireflyCommand,
    read_file,
)
from fireflyspread.operators._failures import ExitCode
from fireflyspread.settings import Settings

__all__ = ["ConfigCheckCommand"]


class ConfigCheckCommand(FireflyCommand):
    """Check a daemon's settings file without starting it."""

    name = "config check"
    description = "Checks a settings file of fireflyspreadd or the gateway."
    arguments = [argument("file", "Settings as JSON.")]
    options = [
        JSON_OPTION,
        option("gateway", description="Check the file as settings of a gateway."),
    ]

    def handle(self) -> int:
        path = self.argument("file")
        read_file(path)
        if self.option("gateway"):
            node = GatewaySettings.from_file(path).node
            operators: list[str] = []
        else:
            settings = Settings.from_file(path)
            node, operators = settings.node, sorted(settings.operator_keys)
        if self.option("json"):
            self.print_json(
                {
                    "node": node.name,
                    "zone": node.zone,
                    "vm": node.vm,
                    "operators": operators,
                }
            )
        else:
            self.print(f"{path} is valid for node {node.name} in zone {node.zone}")
        return ExitCode.OK
