"""Tests of the file of reported streams."""

from pathlib import Path

from fireflyspread.clock import ManualClock
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

    def test_old_streams_are_dropped(self, tmp_path: Path):
        """Guards against a file that grows with each release."""
        clock = ManualClock()
        file = StreamFile(tmp_path, clock)
        file.append([_make_record("s1", at=clock.read_wall() - 100)])
        assert StreamFile(tmp_path, clock).open() == []
        assert next(tmp_path.glob("*.jsonl")).read_bytes() == b""
