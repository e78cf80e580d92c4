"""Sessions are kept or released by the expected pause and the memory pressure."""

from fireflyspread.clock import ManualClock
from fireflyspread.routing import SessionRetentionPolicy


def make_policy() -> tuple[ManualClock, SessionRetentionPolicy]:
    """Return a clock and a policy that has observed a quick and a slow tool."""
    clock = ManualClock()
    policy = SessionRetentionPolicy(clock, low_watermark=0.75, high_watermark=0.95)
    for route, seconds in (("quick", 3.0), ("slow", 300.0)):
        for i in range(4):
            policy.begin_pause(f"{route}{i}", "r", route, 1)
            clock.advance(seconds)
            policy.end_pause(f"{route}{i}")
            policy.forget(f"{route}{i}")
    return clock, policy


class TestChooseReleases:
    """SessionRetentionPolicy.choose_releases."""

    def test_nothing_without_pressure(self) -> None:
        """Guards against releasing a session while the cache has room."""
        _, policy = make_policy()
        policy.begin_pause("p", "r", "slow", 100)
        assert policy.choose_releases("r", 500, 1000) == ()

    def test_longest_remaining_pause_first(self) -> None:
        """Guards against releasing a session that is needed soon."""
        _, policy = make_policy()
        policy.begin_pause("q", "r", "quick", 150)
        policy.begin_pause("s", "r", "slow", 150)
        policy.begin_pause("elsewhere", "r2", "slow", 150)
        assert policy.choose_releases("r", 900, 1000) == ("s",)

    def test_long_pause_counts_as_longer_than_seen(self) -> None:
        """Guards against keeping the session of a program whose tool hangs."""
        clock, policy = make_policy()
        policy.begin_pause("q", "r", "quick", 150)
        clock.advance(700)
        assert policy.choose_releases("r", 500, 1000) == ("q",)

    def test_own_pauses_count_first(self) -> None:
        """Guards against releasing the session of a program whose pauses were short.

        Its own pauses take precedence over those of other programs.
        """
        clock, policy = make_policy()
        for _ in range(3):
            policy.begin_pause("p", "r", "slow", 150)
            clock.advance(1)
            policy.end_pause("p")
        policy.begin_pause("p", "r", "slow", 150)
        assert policy.choose_releases("r", 900, 1000) == ()
