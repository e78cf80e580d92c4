"""A short soak test, and seeds that failed before."""

from pathlib import Path

import pytest

from soak.__main__ import run_soak

# Seeds with the cause of their failure.
_SEEDS = {
    1: "none; a short run for each change",
}


class TestSoak:
    @pytest.mark.parametrize("seed", _SEEDS)
    async def test_guarantees_hold(self, tmp_path: Path, seed: int) -> None:
        """Guards against guarantees violated under overlapping faults."""
        report = await run_soak(seed, 6.0, tmp_path)
        assert report.findings == []
        assert report.statuses.get("200", 0) > 50
