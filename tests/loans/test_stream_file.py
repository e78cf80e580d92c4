"""Tests of the file of reported streams."""

import errno
import os
from pathlib import Path

import pytest

from fireflyspread.clock import ManualClock
from fireflyspread.loans import _stream_file
from fireflyspread.loans._stream_file import StreamFile, StreamRecord


def _make_record(request: str, *, at: float) -> StreamRecord:
    return StreamRecord(request=request, target="models", version="v1", at=at)


class TestStreamFile:
    def test_streams_are_read_after_a_kill(self, tmp_path: Path):
        """Guards against streams that are forgotten with their process."""
        clock = ManualClock()
        file = StreamFile(tmp_path, clock)
        record = _make_record("s1", at=clock.read_wall())
        file.append([record])
        assert StreamFile(tmp_path, clock).open() == [record]

    def test_torn_line_is_ignored(self, tmp_path: Path):
        """Guards against a file that cannot be read after a power loss."""
        clock = ManualClock()
        file = StreamFile(tmp_path, clock)
        record = _make_record("s1", at=clock.read_wall())
        file.append([record])
        path = next(tmp_path.glob("*.jsonl"))
        path.write_bytes(path.read_bytes() + path.read_bytes()[:20])
        assert StreamFile(tmp_path, clock).open() == [record]

    def test_streams_behind_a_failed_write_are_read(self, tmp_path: Path, monkeypatch):
        """Guards against an acknowledged line that joins a torn one."""
        clock = ManualClock()
        file = StreamFile(tmp_path, clock)
        file.append([_make_record("s1", at=clock.read_wall())])

        def write_half(descriptor: int, data: bytes) -> None:
            os.write(descriptor, data[: len(data) // 2])
            raise OSError(errno.ENOSPC, "no space left on the device")

        with monkeypatch.context() as patch:
            patch.setattr(_stream_file, "write_bytes", write_half)
            with pytest.raises(OSError, match="no space"):
                file.append([_make_record("s2", at=clock.read_wall())])
        file.append([_make_record("s3", at=clock.read_wall())])
        found = StreamFile(tmp_path, clock).open()
        assert [record.request for record in found] == ["s1", "s3"]

    def test_old_streams_are_dropped(self, tmp_path: Path):
        """Guards against a file that grows with each release."""
        clock = ManualClock()
        file = StreamFile(tmp_path, clock)
        file.append([_make_record("s1", at=clock.read_wall() - 100)])
        assert StreamFile(tmp_path, clock).open() == []
        assert next(tmp_path.glob("*.jsonl")).read_bytes() == b""
