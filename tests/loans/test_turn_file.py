"""Tests of the file of turns."""

from pathlib import Path

from fireflyspread.clock import SystemClock
from fireflyspread.loans._turn_file import TurnFile
from tests.turns.test_turn import make_turn


def _open(folder: Path, *, is_first_start: bool = False) -> TurnFile:
    file = TurnFile(folder, SystemClock(), is_first_start=is_first_start)
    file.open()
    return file


def _make_turns(*names: str):
    now = SystemClock().read_wall()
    return [make_turn(name, ended_at=now, parts=(b"\xff", b"x")) for name in names]


class TestTurnFile:
    def test_turns_survive_a_restart(self, tmp_path):
        """Guards against turns that are lost when all processes are killed."""
        turns = _make_turns("t0", "t1")
        _open(tmp_path).append(turns)
        assert _open(tmp_path).list_unstored() == turns

    def test_torn_line_is_ignored(self, tmp_path):
        """Guards against a power loss that makes the whole file unreadable."""
        _open(tmp_path).append(_make_turns("t0"))
        path = tmp_path / "turns.jsonl"
        path.write_bytes(path.read_bytes() + b'{"id": "t1", "te')
        file = _open(tmp_path)
        assert [turn.id for turn in file.list_unstored()] == ["t0"]
        file.append(_make_turns("t2"))
        assert _open(tmp_path).get("t2") is not None

    def test_stored_turns_are_dropped_later(self, tmp_path):
        """Guards against a turn that can be found nowhere while it is moved."""
        file = _open(tmp_path)
        file.append(_make_turns("t0", "t1"))
        file.mark_stored(["t0", "unknown"])
        assert file.get("t0") is not None
        assert [turn.id for turn in file.list_unstored()] == ["t1"]

    def test_lost_file_is_noticed(self, tmp_path):
        """Guards against a certain "no" from a disk that was emptied."""
        first = _open(tmp_path, is_first_start=True)
        assert first.complete_since == 0.0
        assert _open(tmp_path).complete_since == 0.0
        (tmp_path / "turns.jsonl").unlink()
        assert _open(tmp_path).complete_since > 0.0
        assert _open(tmp_path).complete_since > 0.0

    def test_young_turns_are_left_to_their_node(self, tmp_path):
        """Guards against turns that the loan servers and a node write together."""
        file = _open(tmp_path)
        file.append(_make_turns("t0"))
        assert file.list_unstored(min_age=2.0) == []
