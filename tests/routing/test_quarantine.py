"""Requests that crash replicas are quarantined, and no others."""

from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyspread.clock import ManualClock
from fireflyspread.routing import Crash, CrashReport, Quarantine
from tests.effort import scale_examples

_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["start", "start_alone", "answer", "crash"]),
        st.sampled_from("abcd"),
        st.sampled_from(["r1", "r2", "r3"]),
        st.floats(0.0, 5.0),
    ),
    max_size=80,
)


def make_report(number: int, *crashes: Crash) -> CrashReport:
    """Return a report of another node."""
    return CrashReport(incarnation="other", number=number, crashes=crashes)


def make_crash(process: str, *fingerprints: str, alone: bool = False) -> Crash:
    """Return a crash that another node has seen at the start of the clock."""
    return Crash(
        id=f"{process}#0",
        process=process,
        at=ManualClock().read_wall(),
        ranks=dict.fromkeys(fingerprints, 1),
        is_alone=alone,
    )


class TestRecordCrash:
    """Quarantine.record_crash."""

    @given(_STEPS)
    @settings(derandomize=True, max_examples=scale_examples(300))
    def test_only_what_crashed_alone(
        self, steps: list[tuple[str, str, str, float]]
    ) -> None:
        """Guards against a quarantine for a crash with another possible cause.

        Only a request that crashed alone, and on two replicas, may be quarantined.
        """
        clock = ManualClock()
        quarantine = Quarantine(clock, ttl=1e9)
        running: dict[str, list[tuple[str, float]]] = {}
        alone: set[str] = set()
        crashed_alone: set[str] = set()
        crashes: dict[str, set[str]] = {}
        for action, fingerprint, replica, gap in steps:
            clock.advance(gap)
            in_flight = running.setdefault(replica, [])
            if action.startswith("start") and replica not in alone:
                if action == "start_alone" and in_flight:
                    continue
                if action == "start_alone":
                    alone.add(replica)
                in_flight.append((fingerprint, clock.read_monotonic()))
                quarantine.start(fingerprint, replica)
            elif action == "answer" and in_flight:
                ended, _ = in_flight.pop(0)
                quarantine.record_answer(ended, isolated=replica in alone)
                quarantine.finish(ended, replica)
                alone.discard(replica)
            elif action == "crash":
                for ended, at in in_flight:
                    crashes.setdefault(ended, set()).add(replica)
                    if replica in alone:
                        crashed_alone.add(ended)
                    quarantine.record_crash(ended, replica, at, alone=replica in alone)
                for ended, _ in in_flight:
                    quarantine.finish(ended, replica)
                in_flight.clear()
                alone.discard(replica)
        for fingerprint in quarantine.list_quarantined():
            assert fingerprint in crashed_alone
            assert len(crashes[fingerprint]) >= 2

    def test_two_replicas_once_alone(self) -> None:
        """Guards against a request that crashes replicas and is not quarantined."""
        clock = ManualClock()
        quarantine = Quarantine(clock)
        for replica, alone in (("r1", False), ("r2", True)):
            quarantine.start("p", replica)
            started_at = clock.read_monotonic()
            clock.advance(1)
            quarantine.record_crash("p", replica, started_at, alone=alone)
            quarantine.finish("p", replica)
        assert quarantine.is_quarantined("p")
        clock.advance(601)
        assert not quarantine.is_quarantined("p")

    def test_crash_of_a_shared_replica_proves_less(self) -> None:
        """Guards against a quarantine for the crash of another node's request."""
        quarantine = Quarantine(ManualClock())
        steps = [("r1", False, False), ("r2", True, False), ("r3", True, True)]
        for replica, alone, is_quarantined in steps:
            quarantine.start("p", replica)
            quarantine.record_crash("p", replica, 1e9, alone=alone, shared=True)
            quarantine.finish("p", replica)
            assert quarantine.is_quarantined("p") == is_quarantined

    def test_answer_in_isolation_clears(self) -> None:
        """Guards against isolating a suspect further after an answer in isolation.

        An answer beside other requests does not clear it.
        """
        clock = ManualClock()
        quarantine = Quarantine(clock)
        quarantine.merge("n2", make_report(1, make_crash("r9", "b")))
        quarantine.start("b", "r1")
        quarantine.record_crash("b", "r1", clock.read_monotonic(), alone=False)
        quarantine.record_answer("b", isolated=False)
        assert quarantine.is_suspect("b")
        quarantine.record_answer("b", isolated=True)
        assert not quarantine.is_suspect("b")

    def test_quarantine_clears_the_other_suspects(self) -> None:
        """Guards against isolating the other requests of a crash with a known cause."""
        quarantine = Quarantine(ManualClock())
        for fingerprint in ("p", "b"):
            quarantine.start(fingerprint, "r1")
        quarantine.record_crash("p", "r1", 0.0, alone=False)
        for fingerprint in ("p", "b"):
            quarantine.finish(fingerprint, "r1")
        assert quarantine.list_suspects() == ("b", "p")
        quarantine.record_crash("p", "r2", 1e9, alone=True)
        assert quarantine.list_suspects() == ()
        assert quarantine.list_quarantined() == ("p",)

    def test_zone_outage_suspects_only_repeated_fingerprints(self) -> None:
        """Guards against isolating all requests of a lost zone.

        This would use up the remaining capacity. Only a request that ran on several
        of the lost replicas becomes a suspect.
        """
        clock = ManualClock()
        quarantine = Quarantine(clock)
        started_at = clock.read_monotonic()
        clock.advance(1)
        for i in range(4):
            quarantine.start(f"w{i}", f"r{i}")
            quarantine.start("p", f"r{i}")
            quarantine.record_crash(f"w{i}", f"r{i}", started_at, alone=False)
        assert quarantine.list_suspects() == ("p",)


class TestMerge:
    """Quarantine.merge."""

    def test_newer_suspects_replace_older(self) -> None:
        """Guards against isolating a suspect that its node has cleared."""
        quarantine = Quarantine(ManualClock())
        quarantine.merge("n2", make_report(1, make_crash("r1", "a", "b")))
        assert quarantine.list_suspects() == ("a", "b")
        quarantine.merge("n2", make_report(2, make_crash("r1", "b")))
        assert not quarantine.is_suspect("a")
        assert quarantine.is_suspect("b")

    def test_older_report_is_ignored(self) -> None:
        """Guards against a delayed message that replaces newer evidence."""
        quarantine = Quarantine(ManualClock())
        quarantine.merge("n2", make_report(2, make_crash("r1", "b")))
        quarantine.merge("n2", make_report(1))
        assert quarantine.is_suspect("b")

    def test_report_of_a_restarted_node_keeps_the_evidence_before(self) -> None:
        """Guards against a restart that takes evidence away from the other nodes."""
        quarantine = Quarantine(ManualClock())
        quarantine.merge("n2", make_report(7, make_crash("r1", "b")))
        quarantine.merge("n2", CrashReport(incarnation="next", number=1))
        assert quarantine.is_suspect("b")

    def test_repetition_does_not_prolong(self) -> None:
        """Guards against nodes that prolong a quarantine by repeating it."""
        clock = ManualClock()
        quarantine = Quarantine(clock, ttl=10)
        crashes = (make_crash("r1", "p"), make_crash("r2", "p", alone=True))
        for number in range(9):
            quarantine.merge("n2", make_report(number + 1, *crashes))
            clock.advance(1)
        assert quarantine.is_quarantined("p")
        assert quarantine.make_report().crashes == ()
        clock.advance(2)
        assert not quarantine.is_quarantined("p")

    def test_copies_on_two_nodes_are_alone(self) -> None:
        """Guards against one more crash because two nodes sent equal requests."""
        quarantine = Quarantine(ManualClock())
        quarantine.merge("n2", make_report(1, make_crash("r2", "p", alone=True)))
        for replica, alone in (("r1", False), ("r2", True)):
            quarantine.start("p", replica)
            quarantine.record_crash("p", replica, 0.0, alone=alone)
            quarantine.finish("p", replica)
        assert quarantine.is_quarantined("p")

    def test_crash_with_requests_of_two_nodes_proves_nothing(self) -> None:
        """Guards against a quarantine for the crash of another node's request."""
        quarantine = Quarantine(ManualClock())
        crashes = (make_crash("r1", "x"), make_crash("r2", "x"))
        quarantine.merge("n2", make_report(1, *crashes))
        for replica, alone in (("r1", False), ("r2", True)):
            quarantine.start("p", replica)
            quarantine.record_crash("p", replica, 0.0, alone=alone)
            quarantine.finish("p", replica)
        assert not quarantine.is_quarantined("p")
