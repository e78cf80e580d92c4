"""Whole sessions equal their golden files byte for byte.

``make golden`` rewrites the files.
"""

import os
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from tests.golden import orders, programs
from tests.golden.normalizer import Normalizer

FOLDER = Path(__file__).parent / "sessions"
SESSIONS: dict[str, Callable[[list[str]], Awaitable[None]]] = {
    "poklopac-program": programs.run_program,
    "asociacion-program": programs.run_asociacion_program,
    "poklopac-stalled-sourcing": programs.run_stalled,
    "poklopac-reorder-two-days-later": orders.run_reorder_again,
    "poklopac-late-price-check": orders.run_late_price_check,
    "asociacion-alert-in-flood": orders.run_alert_in_flood,
    "asociacion-lost-pickup": orders.run_lost_pickup,
    "asociacion-key-withdrawn": programs.run_key_withdrawn,
    "poklopac-bundle-race": orders.run_bundle_race,
}


class TestSessions:
    """Golden files of sessions."""

    @pytest.mark.parametrize("name", list(SESSIONS))
    async def test_is_as_recorded(self, name: str) -> None:
        """Guards against unnoticed changes of what callers, targets or platform see."""
        run = SESSIONS[name]
        lines = [f"# {(run.__doc__ or '').strip()}"]
        await run(lines)
        text = Normalizer().normalize("\n".join(lines) + "\n")
        path = FOLDER / f"{name}.txt"
        if os.environ.get("GOLDEN") == "write":
            path.write_text(text, encoding="utf-8")
        assert text == path.read_text(encoding="utf-8")

    def test_no_file_is_left_over(self) -> None:
        """Guards against a file without a session, which is never compared."""
        assert {path.stem for path in FOLDER.glob("*.txt")} == set(SESSIONS)
