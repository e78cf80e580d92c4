"""Sessions are kept during pauses that are worth it."""

from fireflyspread.clock import ManualClock
from fireflyspread.routing import SessionKeeper


def make_keeper() -> tuple[ManualClock, SessionKeeper]:
    """Return a keeper that has seen a quick and a slow tool."""
    clock = ManualClock()
    keeper = SessionKeeper(clock, low=0.75, high=0.95)
    for route, seconds in (("quick", 3.0), ("slow", 300.0)):
        for i in range(4):
            keeper.begin_pause(f"{route}{i}", "r", route, 1)
            clock.advance(seconds)
            keeper.end_pause(f"{route}{i}")
            keeper.forget(f"{route}{i}")
    return clock, keeper


class TestChooseReleases:
    """SessionKeeper.choose_releases."""

    def test_nothing_without_pressure(self) -> None:
        """A prefix is thrown away although nobody needs its memory."""
        _, keeper = make_keeper()
        keeper.begin_pause("p", "r", "slow", 100)
        assert keeper.choose_releases("r", 500, 1000) == ()

    def test_longest_rest_first(self) -> None:
        """A program that comes back at once loses its prefix to one that does not."""
        _, keeper = make_keeper()
        keeper.begin_pause("q", "r", "quick", 150)
        keeper.begin_pause("s", "r", "slow", 150)
        keeper.begin_pause("elsewhere", "r2", "slow", 150)
        assert keeper.choose_releases("r", 900, 1000) == ("s",)

    def test_long_pause_counts_as_longer_than_seen(self) -> None:
        """A session is held for ever for a tool that hangs."""
        clock, keeper = make_keeper()
        keeper.begin_pause("q", "r", "quick", 150)
        clock.advance(700)
        assert keeper.choose_releases("r", 500, 1000) == ("q",)

    def test_own_pauses_count_first(self) -> None:
        """A program is judged by the pauses of other programs."""
        clock, keeper = make_keeper()
        for _ in range(3):
            keeper.begin_pause("p", "r", "slow", 150)
            clock.advance(1)
            keeper.end_pause("p")
        keeper.begin_pause("p", "r", "slow", 150)
        assert keeper.choose_releases("r", 900, 1000) == ()
