"""The manual for operators agrees with the program."""

import json
import re
from pathlib import Path
from typing import Any

import attrs
import pytest
from cleo.commands.command import Command

from fireflyspread import exceptions
from fireflyspread.bundle import Bundle
from fireflyspread.logs import FIELDS
from fireflyspread.operators._client import ClientSettings
from fireflyspread.operators._commands import COMMANDS
from fireflyspread.settings import Address, Settings

MANUAL = Path(__file__).parents[2] / "docs" / "operators.md"


@pytest.fixture(scope="module")
def manual() -> str:
    """Text of the manual."""
    return MANUAL.read_text(encoding="utf-8")


def read_example(manual: str, name: str) -> Any:
    """Return the decoded JSON block marked as example ``name``."""
    pattern = rf"<!-- example: {name} -->\s*```json\n(.*?)```"
    found = re.search(pattern, manual, re.DOTALL)
    assert found is not None
    return json.loads(found.group(1))


def list_fields(cls: type, prefix: str = "") -> list[tuple[str, Any]]:
    """Return dotted names and defaults of all fields of a settings class."""
    names = []
    for field in attrs.fields(attrs.resolve_types(cls)):
        kinds = [field.type, *getattr(field.type, "__args__", ())]
        nested = [k for k in kinds if attrs.has(k) and k is not Address]
        name = f"{prefix}{field.name}"
        if nested:
            names += list_fields(nested[0], f"{name}.")
        else:
            names.append((name, field.default))
    return names


class TestManual:
    """docs/operators.md."""

    def test_examples_are_valid(self, manual: str, tmp_path: Path) -> None:
        """Guards against examples in the manual that the program refuses."""
        Bundle.from_config(read_example(manual, "bundle"))
        Settings.from_config(read_example(manual, "settings"))
        path = tmp_path / "client.json"
        path.write_text(json.dumps(read_example(manual, "client")))
        ClientSettings.from_file(str(path))

    @pytest.mark.parametrize(("name", "default"), list_fields(Settings))
    def test_lists_setting(self, manual: str, name: str, default: Any) -> None:
        """Guards against settings without an entry or with an outdated default."""
        rows = [line.split("|") for line in manual.splitlines() if f"`{name}`" in line]
        assert rows
        if isinstance(default, int | float | str):
            expected = f"{default:g}" if isinstance(default, float) else str(default)
            assert rows[-1][2].strip(" `") == expected

    @pytest.mark.parametrize("name", FIELDS)
    def test_lists_log_field(self, manual: str, name: str) -> None:
        """Guards against log fields that the manual lacks."""
        assert f"`{name}`" in manual.partition("## Logs")[2]

    @pytest.mark.parametrize("command", COMMANDS)
    def test_names_command(self, manual: str, command: type[Command]) -> None:
        """Guards against commands that the manual lacks."""
        assert command.name is not None
        assert re.search(rf"\b{command.name}\b", manual)

    def test_error_codes_exist(self, manual: str) -> None:
        """Guards against error codes in the manual that the program lacks."""
        table = manual.partition("## Errors")[2].partition("## Administration")[0]
        rows = re.findall(r"^\| (`.*?) \|", table, re.MULTILINE)
        documented = {code for row in rows for code in re.findall(r"`(\w+)`", row)}
        known = {
            kind.code
            for kind in vars(exceptions).values()
            if isinstance(kind, type) and issubclass(kind, exceptions.FireflyError)
        }
        assert documented and documented <= known
