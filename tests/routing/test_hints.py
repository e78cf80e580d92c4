"""Cache hints follow the events that replicas report."""

from fireflyspread.routing import CacheHints


class TestCacheHints:
    """CacheHints."""

    def test_eviction_elsewhere_changes_nothing(self) -> None:
        """The eviction of an old copy leaves the hint to the new holder in place."""
        hints = CacheHints()
        hints.record("p", "r1", 10)
        hints.record("p", "r2", 20)
        hints.evict("r1", ("p",))
        hint = hints.get("p")
        assert hint is not None and (hint.replica, hint.tokens) == ("r2", 20)
        hints.evict("r2", ("p",))
        assert hints.get("p") is None

    def test_gap_expires_one_replica(self) -> None:
        """A gap in the events of a replica drops its hints and no others."""
        hints = CacheHints()
        hints.record("p", "r1", 10)
        hints.record("q", "r2", 10)
        hints.expire("r1")
        assert hints.get("p") is None
        assert hints.get("q") is not None

    def test_is_bounded(self) -> None:
        """Programs that never end do not fill the memory of the node."""
        hints = CacheHints(max_programs=2)
        for program in "abc":
            hints.record(program, "r", 1)
        assert hints.get("a") is None
        assert hints.get("c") is not None
