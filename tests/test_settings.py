"""Settings refuse what cannot work."""

import json
from pathlib import Path
from typing import Any

import pytest

from fireflyspread.exceptions import SettingsError
from fireflyspread.settings import Settings

CONFIG: dict[str, Any] = {
    "node": {"name": "entry-1", "zone": "a", "vm": "vm-1"},
    "listen": {
        "callers": "127.0.0.1:8000",
        "internal": "127.0.0.1:8001",
        "peers": "127.0.0.1:8002",
        "operators": "127.0.0.1:8003",
    },
    "platform": {"store": "http://127.0.0.1:2379"},
    "node_secret": "0123456789abcdef",
}
DIGEST = "0" * 64


class TestFromConfig:
    """Settings.from_config."""

    def test_structures_addresses(self) -> None:
        """Addresses are parsed from text."""
        settings = Settings.from_config(CONFIG)
        assert settings.listen.callers.port == 8000

    def test_names_unknown_field(self) -> None:
        """A misspelt field is refused by name instead of being ignored."""
        with pytest.raises(SettingsError, match="tmiing"):
            Settings.from_config({**CONFIG, "tmiing": {}})

    def test_refuses_host_name(self) -> None:
        """A host name is refused because nodes talk by IP number."""
        listen = {**CONFIG["listen"], "callers": "localhost:8000"}
        with pytest.raises(SettingsError, match="IP number"):
            Settings.from_config({**CONFIG, "listen": listen})

    def test_advertised_address_wins(self) -> None:
        """Other nodes are told the advertised address, not one they cannot reach."""
        advertise = {"peers": "127.0.0.1:9002"}
        settings = Settings.from_config({**CONFIG, "advertise": advertise})
        assert str(settings.peers_address) == "127.0.0.1:9002"
        assert str(settings.internal_address) == "127.0.0.1:8001"

    def test_refuses_address_of_no_host(self) -> None:
        """A node that listens on all addresses must say how it is reached."""
        listen = {**CONFIG["listen"], "peers": "0.0.0.0:9"}
        with pytest.raises(SettingsError, match="write the IP number.*advertise.peers"):
            Settings.from_config({**CONFIG, "listen": listen})
        advertise = {"peers": "10.0.0.5:9"}
        Settings.from_config({**CONFIG, "listen": listen, "advertise": advertise})

    @pytest.mark.parametrize(
        ("section", "name", "value", "message"),
        [
            ("node", "name", "Entry 1", "'name' is 'Entry 1'; use 1 to 63 lower-case"),
            ("node", "zone", "", "'zone' is ''; use"),
            ("listen", "callers", "10.0.0.5", "write e.g. 10.0.0.5:8000"),
            ("listen", "callers", "10.0.0.5:70000", "'port' must be < 65536: 70000"),
            ("listen", "peers", "127.0.0.1:8000", "'callers' and 'peers' both listen"),
            ("platform", "store", "10.0.0.5", "'store' is '10.0.0.5'; write a base"),
            ("platform", "vm_list", "x", "'vm_list' is 'x'; write a base"),
            ("timing", "flush_interval", 0, "'flush_interval' must be > 0"),
            ("timing", "lease_ttl", "5", "expected a whole number, got '5'"),
            ("timing", "authority_ttl", 5, "must rise in this order"),
            ("limits", "body_bytes", 0, "'body_bytes' must be > 0"),
            ("logging", "level", "loud", r"\(got 'loud'\)"),
        ],
    )
    def test_names_field_and_remedy(
        self, section: str, name: str, value: Any, message: str
    ) -> None:
        """A value that cannot work is refused before the daemon starts."""
        changed = {**CONFIG.get(section, {}), name: value}
        with pytest.raises(SettingsError, match=message) as caught:
            Settings.from_config({**CONFIG, section: changed})
        assert f"@ settings.{section}" in str(caught.value)

    @pytest.mark.parametrize(
        ("field", "value", "message"),
        [
            ("node_secret", "too-short", "has 9 characters; give at least 16"),
            ("operator_keys", {"ana": "plain-key"}, "'ana'.*key hash"),
            ("operator_keys", {"a/b": DIGEST}, "operator name 'a/b'"),
            ("operator_keys", {"a": DIGEST, "b": DIGEST}, "have the same key"),
            ("approvals_needed", 0, "'approvals_needed' must be >= 1: 0"),
        ],
    )
    def test_does_not_repeat_secrets(
        self, field: str, value: Any, message: str
    ) -> None:
        """Keys and secrets in the wrong place do not get into messages."""
        with pytest.raises(SettingsError, match=message) as caught:
            Settings.from_config({**CONFIG, field: value})
        assert "too-short" not in str(caught.value)
        assert "plain-key" not in str(caught.value)

    def test_refuses_unreachable_approvals(self) -> None:
        """More approvals than operators would make every rollout impossible."""
        keys = {"operator_keys": {"ana": DIGEST}, "approvals_needed": 2}
        with pytest.raises(SettingsError, match="2 with 1 operator keys"):
            Settings.from_config({**CONFIG, **keys})

    def test_hides_secrets_in_repr(self) -> None:
        """Settings in a log line do not show secrets."""
        assert CONFIG["node_secret"] not in repr(Settings.from_config(CONFIG))


class TestFromFile:
    """Settings.from_file."""

    def test_reads_file(self, tmp_path: Path) -> None:
        """A file written by an editor with a byte order mark is read."""
        path = tmp_path / "settings.json"
        path.write_text(json.dumps(CONFIG), encoding="utf-8-sig")
        assert Settings.from_file(path).node.name == "entry-1"

    @pytest.mark.parametrize(
        ("text", "message"),
        [
            ('{"node": ', "not JSON.*line 1"),
            ("[]", "not a JSON object"),
            ('{"node_secret": "a", "node_secret": "b"}', "'node_secret' appears twice"),
        ],
    )
    def test_names_line(self, tmp_path: Path, text: str, message: str) -> None:
        """A file that is no JSON object is refused with the place."""
        path = tmp_path / "settings.json"
        path.write_text(text)
        with pytest.raises(SettingsError, match=message):
            Settings.from_file(path)

    def test_names_absent_file(self, tmp_path: Path) -> None:
        """A wrong path is told apart from a wrong file."""
        with pytest.raises(SettingsError, match="cannot read"):
            Settings.from_file(tmp_path / "absent.json")
