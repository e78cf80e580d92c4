"""Cache hints follow the events that replicas report."""

from fireflyspread.routing import CacheHints


class TestCacheHints:
    """CacheHints."""

    def test_eviction_elsewhere_changes_nothing(self) -> None:
        """Guards against losing the hint to a new holder when an old one evicts."""
        hints = CacheHints()
        hints.record("p", "r1", 10)
        hints.record("p", "r2", 20)
        hints.evict("r1", ("p",))
        hint = hints.get("p")
        assert hint is not None and (hint.replica, hint.tokens) == ("r2", 20)
        hints.evict("r2", ("p",))
        assert hints.get("p") is None

    def test_gap_expires_one_replica(self) -> None:
        """Guards against outdated hints after a gap in the events of a replica.

        The hints of other replicas stay.
        """
        hints = CacheHints()
        hints.record("p", "r1", 10)
        hints.record("q", "r2", 10)
        hints.expire("r1")
        assert hints.get("p") is None
        assert hints.get("q") is not None

    def test_is_bounded(self) -> None:
        """Guards against hints of programs that never end filling the memory."""
        hints = CacheHints(max_programs=2)
        for program in "abc":
            hints.record(program, "r", 1)
        assert hints.get("a") is None
        assert hints.get("c") is not None
