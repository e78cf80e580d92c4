"""Fixture that runs the selected cells, and the table of the matrix."""

import os
from collections.abc import AsyncIterator
from pathlib import Path

import pytest
import pytest_asyncio

from tests.matrix.cells import COLUMNS, NOT_APPLICABLE, STEPS, Cell
from tests.matrix.runner import Matrix

_RESULTS: dict[Cell, str] = {}
_CELLS: list[Cell] = []

SEED = int(os.environ.get("MATRIX_SEED", "1"))
LOGS = os.environ.get("MATRIX_LOGS")
PARALLEL = int(os.environ.get("MATRIX_PARALLEL", "4"))


def pytest_collection_finish(session: pytest.Session) -> None:
    """Record the cells that will run."""
    for item in session.items:
        callspec = getattr(item, "callspec", None)
        if callspec is not None and isinstance(callspec.params.get("cell"), Cell):
            _CELLS.append(callspec.params["cell"])


@pytest_asyncio.fixture(scope="session", loop_scope="session")
async def matrix() -> AsyncIterator[Matrix]:
    """Run the selected cells in the background."""
    running = Matrix(SEED, PARALLEL, Path(LOGS) if LOGS else None)
    running.start(_CELLS)
    yield running
    await running.stop()


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item: pytest.Item):  # type: ignore[no-untyped-def]
    """Record the result of each cell."""
    outcome = yield
    report = outcome.get_result()
    callspec = getattr(item, "callspec", None)
    cell = None if callspec is None else callspec.params.get("cell")
    if isinstance(cell, Cell) and (report.when == "call" or report.failed):
        _RESULTS[cell] = "proved" if report.passed else "FAILED"


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the table if more than the quick cells were selected."""
    if len(_CELLS) < len(STEPS) * 2:
        return
    write = terminalreporter.write_line
    write(f"\nfault matrix, seed {SEED}")
    write("| fault | " + " | ".join(STEPS) + " |")
    write("|---" * (len(STEPS) + 1) + "|")
    reasons: dict[str, int] = {}
    for column in COLUMNS:
        row = []
        for step in STEPS:
            reason = NOT_APPLICABLE.get((step, column))
            if reason is not None:
                number = reasons.setdefault(reason, len(reasons) + 1)
                row.append(f"n.a. {number}")
            else:
                row.append(_RESULTS.get(Cell(step, column), "not run"))
        write(f"| {column} | " + " | ".join(row) + " |")
    for reason, number in reasons.items():
        write(f"n.a. {number}: {reason}")
