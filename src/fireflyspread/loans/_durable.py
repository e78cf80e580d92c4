"""Writes to files that survive a power loss."""

import os
from pathlib import Path

__all__ = ["remove_file", "replace_file", "write_bytes"]


def write_bytes(file: int, data: bytes) -> None:
    """Write all of ``data`` to an open file; raises ``OSError``."""
    while data:
        data = data[os.write(file, data) :]


def replace_file(path: Path, data: bytes) -> None:
    """Replace the content of a file so that a power loss leaves the old or the new.

    Raises
    ------
    OSError
        The file cannot be written.
    """
    temporary = path.with_suffix(".new")
    file = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    try:
        write_bytes(file, data)
        os.fsync(file)
    finally:
        os.close(file)
    temporary.rename(path)
    _sync_folder(path)


def remove_file(path: Path) -> None:
    """Remove a file for good, if it exists.

    Without the sync of its folder, a power loss can bring it back.

    Raises
    ------
    OSError
        The file cannot be removed.
    """
    path.unlink(missing_ok=True)
    _sync_folder(path)


def _sync_folder(path: Path) -> None:
    folder = os.open(path.parent, os.O_RDONLY)
    try:
        os.fsync(folder)
    finally:
        os.close(folder)
