"""Settings refuse what cannot work."""

import pytest

from fireflyspread.exceptions import SettingsError
from fireflyspread.settings import Settings

CONFIG = {
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


class TestSettings:
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
