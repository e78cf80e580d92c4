"""Tests of recording the answers of turns."""

import pytest

from fireflyspread.turns import Turn
from fireflyspread.turns._recorder import TurnRecorder


class _Keeper:
    """Remembers turns in a list."""

    def __init__(self) -> None:
        self.turns: list[Turn] = []

    async def keep(self, turn: Turn, aliases: tuple[Turn, ...] = ()) -> None:
        self.turns.append(turn)

    def remember(self, turn: Turn) -> None:
        self.turns.append(turn)

    def read_wall(self) -> float:
        return 1000.0


class TestTurnRecorder:
    @pytest.mark.parametrize("line_end", [b"\n", b"\r\n", b"\r"])
    async def test_restored_turn_holds_each_event_once(self, line_end):
        """Guards against events kept twice, or not at all."""
        keeper = _Keeper()
        recorder = TurnRecorder(
            keeper, request="t1", team="lids", parts=(), retention=9.0, resumes="t0"
        )
        begun = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 13))
        assert recorder.restore(begun.replace(b"\n", line_end), "2")
        recorder.add(b"id: 3\ndata: 3\n\n".replace(b"\n", line_end))
        await recorder.finish()
        assert keeper.turns[0].parts[-1] == b"1\n2\n3\n"

    def test_unknown_event_is_not_restored(self):
        """Guards against a turn that is kept without its first events."""
        recorder = TurnRecorder(
            _Keeper(), request="t1", team="lids", parts=(), retention=9.0, resumes="t0"
        )
        assert not recorder.restore(b"id: 12\ndata: x\n\n", "2")
