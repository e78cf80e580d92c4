"""Validation of settings and its messages."""

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
        """Guards against addresses that are not parsed into host and port."""
        settings = Settings.from_config(CONFIG)
        assert settings.listen.callers.port == 8000

    def test_names_unknown_field(self) -> None:
        """Guards against ignoring a misspelt field."""
        with pytest.raises(SettingsError, match="tmiing"):
            Settings.from_config({**CONFIG, "tmiing": {}})

    def test_refuses_host_name(self) -> None:
        """Guards against accepting a host name; nodes connect to IP addresses only."""
        listen = {**CONFIG["listen"], "callers": "localhost:8000"}
        with pytest.raises(SettingsError, match="IP address"):
            Settings.from_config({**CONFIG, "listen": listen})

    def test_advertised_address_takes_precedence(self) -> None:
        """Guards against sending other nodes an address that they cannot reach."""
        advertise = {"peers": "127.0.0.1:9002"}
        settings = Settings.from_config({**CONFIG, "advertise": advertise})
        assert str(settings.peers_address) == "127.0.0.1:9002"
        assert str(settings.internal_address) == "127.0.0.1:8001"

    def test_refuses_unspecified_address(self) -> None:
        """Guards against a node that listens on all addresses and advertises none."""
        listen = {**CONFIG["listen"], "peers": "0.0.0.0:9"}
        with pytest.raises(
            SettingsError, match="write the IP address.*advertise.peers"
        ):
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
        """Guards against starting with an invalid value, and vague messages."""
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
        """Guards against messages that quote a misplaced key or a short secret."""
        with pytest.raises(SettingsError, match=message) as caught:
            Settings.from_config({**CONFIG, field: value})
        assert "too-short" not in str(caught.value)
        assert "plain-key" not in str(caught.value)

    def test_refuses_more_approvals_than_operators(self) -> None:
        """Guards against a number of approvals with which no rollout is possible."""
        keys = {"operator_keys": {"ana": DIGEST}, "approvals_needed": 2}
        with pytest.raises(SettingsError, match="2 with 1 operator keys"):
            Settings.from_config({**CONFIG, **keys})

    def test_hides_secrets_in_repr(self) -> None:
        """Guards against secrets in log lines that contain the settings."""
        assert CONFIG["node_secret"] not in repr(Settings.from_config(CONFIG))


class TestFromFile:
    """Settings.from_file."""

    def test_reads_file(self, tmp_path: Path) -> None:
        """Guards against refusing a file that starts with a byte order mark."""
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
    def test_names_place_of_error(
        self, tmp_path: Path, text: str, message: str
    ) -> None:
        """Guards against refusing an invalid file without naming the place."""
        path = tmp_path / "settings.json"
        path.write_text(text)
        with pytest.raises(SettingsError, match=message):
            Settings.from_file(path)

    def test_names_missing_file(self, tmp_path: Path) -> None:
        """Guards against reporting a wrong path as invalid contents."""
        with pytest.raises(SettingsError, match="cannot read"):
            Settings.from_file(tmp_path / "missing.json")
