"""Quarantine after a series of crashes, judged by several nodes."""

import pytest
from attrs import define, field
from hypothesis import given, settings
from hypothesis import strategies as st

from fireflyspread.clock import ManualClock
from fireflyspread.routing import CrashSeriesPolicy, Quarantine
from tests.effort import scale_examples


@define
class Nodes:
    """Quarantines of several nodes that exchange reports.

    Attributes
    ----------
    in_flight : list of (int, str, str, float)
        Node, fingerprint, process and start of each request in flight.
    """

    clock: ManualClock
    quarantines: list[Quarantine]
    in_flight: list[tuple[int, str, str, float]] = field(factory=list)

    @classmethod
    def with_size(cls, size: int) -> "Nodes":
        """Return ``size`` nodes without evidence."""
        clock = ManualClock()
        return cls(clock, [cls.make_quarantine(clock) for _ in range(size)])

    @staticmethod
    def make_quarantine(clock: ManualClock) -> Quarantine:
        """Return the quarantine of a node that starts."""
        return Quarantine(clock, policy=CrashSeriesPolicy())

    def send(self, node: int, fingerprint: str, process: str) -> None:
        """Send a request."""
        self.quarantines[node].start(fingerprint, process)
        now = self.clock.read_monotonic()
        self.in_flight.append((node, fingerprint, process, now))

    def answer(self, node: int, fingerprint: str, process: str) -> None:
        """Answer a request."""
        found = next(e for e in self.in_flight if e[:3] == (node, fingerprint, process))
        self.in_flight.remove(found)
        self.quarantines[node].record_answer(fingerprint, isolated=False)
        self.quarantines[node].finish(fingerprint, process)

    def crash(self, process: str) -> None:
        """Cut off all requests on a replica."""
        cut = [each for each in self.in_flight if each[2] == process]
        self.in_flight = [each for each in self.in_flight if each[2] != process]
        for node, fingerprint, _, started_at in cut:
            quarantine = self.quarantines[node]
            quarantine.record_crash(fingerprint, process, started_at, alone=False)
            quarantine.finish(fingerprint, process)
        self.clock.advance(1.0)

    def exchange(self) -> None:
        """Give the report of each node to all others."""
        for sender, quarantine in enumerate(self.quarantines):
            report = quarantine.make_report()
            for receiver, other in enumerate(self.quarantines):
                if receiver != sender:
                    other.merge(f"n{sender}", report)

    def run(self, node: int, fingerprint: str, process: str) -> None:
        """Send a request that crashes the replica, and tell all nodes."""
        self.send(node, fingerprint, process)
        self.crash(process)
        self.exchange()

    def is_quarantined(self, fingerprint: str) -> list[bool]:
        """Return the verdict of each node."""
        return [each.is_quarantined(fingerprint) for each in self.quarantines]


class TestSeries:
    """CrashSeriesPolicy."""

    def test_crashes_count_at_whichever_node_they_happen(self) -> None:
        """Guards against nodes that each allow a request three crashes."""
        nodes = Nodes.with_size(3)
        for number in range(3):
            assert nodes.is_quarantined("p") == [False] * 3
            nodes.run(number, "p", f"r{number}")
        assert nodes.is_quarantined("p") == [True] * 3

    def test_crashes_of_one_process_count_each_time(self) -> None:
        """Guards against a service of one replica that crashes without an end.

        The replica returns under its identity and its registration is not known yet.
        """
        nodes = Nodes.with_size(3)
        for number in range(3):
            assert nodes.is_quarantined("p") == [False] * 3
            nodes.run(number, "p", "r1")
            nodes.clock.advance(1.0)
        assert nodes.is_quarantined("p") == [True] * 3

    def test_one_crash_of_a_process_counts_once_at_all_nodes(self) -> None:
        """Guards against a quarantine for requests that one crash cut off."""
        nodes = Nodes.with_size(3)
        for node in range(3):
            nodes.send(node, "p", "r1")
        nodes.crash("r1")
        nodes.exchange()
        assert [each.list_suspects() for each in nodes.quarantines] == [()] * 3

    def test_requests_beside_it_are_not_suspects(self) -> None:
        """Guards against isolating innocent requests of crashes with a known cause."""
        nodes = Nodes.with_size(2)
        for number in range(3):
            nodes.send(1, "beside", f"r{number}")
            nodes.send(0, f"other{number}", f"r{number}")
            nodes.run(0, "p", f"r{number}")
        assert nodes.is_quarantined("beside") == [False, False]
        assert all(each.list_suspects() for each in nodes.quarantines)
        nodes.run(0, "p", "r8")
        assert nodes.is_quarantined("p") == [True, True]
        assert [each.list_suspects() for each in nodes.quarantines] == [(), ()]

    def test_simultaneous_crashes_count_once(self) -> None:
        """Guards against a quarantine of a popular request after an outage."""
        nodes = Nodes.with_size(4)
        for outage in range(2):
            for node in range(4):
                for replica in range(5):
                    nodes.send(node, "popular", f"r{replica}.{outage}")
            for replica in range(5):
                nodes.crash(f"r{replica}.{outage}")
            nodes.exchange()
        assert nodes.is_quarantined("popular") == [False] * 4

    @pytest.mark.parametrize("older", [0, 1])
    def test_retry_cut_off_together_with_an_older_request_adds_no_crash(
        self, older
    ) -> None:
        """Guards against a quarantine for requests that two crashes cut off.

        A request that the first crash cut off is sent to the second replica before its
        crash is known; node ``older`` has an equal one there since before.
        """
        nodes = Nodes.with_size(2)
        nodes.send(0, "p", "r1")
        nodes.send(older, "p", "r2")
        nodes.crash("r1")
        nodes.send(0, "p", "r2")
        nodes.crash("r2")
        nodes.exchange()
        assert [each.list_suspects() for each in nodes.quarantines] == [()] * 2

    def test_answer_at_any_node_ends_the_series(self) -> None:
        """Guards against a quarantine of requests that are answered in between."""
        nodes = Nodes.with_size(3)
        for number in range(9):
            nodes.run(number % 3, "same", f"r{number}")
            nodes.send((number + 1) % 3, "same", "healthy")
            nodes.answer((number + 1) % 3, "same", "healthy")
            nodes.exchange()
        assert nodes.is_quarantined("same") == [False] * 3
        assert [each.list_suspects() for each in nodes.quarantines] == [()] * 3

    def test_two_suspects_of_the_same_crashes_are_told_apart(self) -> None:
        """Guards against a quarantine of the one that was only beside the other."""
        nodes = Nodes.with_size(2)
        for number in range(4):
            nodes.send(1, "beside", f"r{number}")
            nodes.run(0, "p", f"r{number}")
        assert nodes.is_quarantined("beside") == [False, False]
        nodes.send(1, "beside", "r9")
        nodes.answer(1, "beside", "r9")
        nodes.exchange()
        assert nodes.is_quarantined("p") == [True, True]
        assert nodes.is_quarantined("beside") == [False, False]

    def test_suspects_that_never_separate_are_quarantined_in_turn(self) -> None:
        """Guards against replicas that crash without an end because of a tie."""
        nodes = Nodes.with_size(2)
        for number in range(5):
            nodes.send(1, "p", f"r{number}")
            nodes.run(0, "q", f"r{number}")
        assert nodes.is_quarantined("p") == [True, True]
        assert nodes.is_quarantined("q") == [False, False]
        for number in range(3):
            nodes.run(number % 2, "q", f"later{number}")
        assert nodes.is_quarantined("q") == [True, True]

    def test_verdict_waits_for_the_reports_of_other_nodes(self) -> None:
        """Guards against a quarantine of the only suspect that one node knows."""
        nodes = Nodes.with_size(2)
        nodes.quarantines = [
            Quarantine(nodes.clock, policy=CrashSeriesPolicy(), settle_seconds=1.5)
            for _ in range(2)
        ]
        for number in range(3):
            nodes.send(1, "p", f"r{number}")
            nodes.send(0, "beside", f"r{number}")
            nodes.crash(f"r{number}")
            assert nodes.quarantines[0].is_pending("beside") == (number == 2)
            assert not nodes.quarantines[0].is_quarantined("beside")
            nodes.exchange()
        nodes.clock.advance(1.0)
        assert nodes.is_quarantined("beside") == [False, False]
        assert nodes.is_quarantined("p") == [False, False]

    def test_restarted_node_continues_with_its_report(self) -> None:
        """Guards against a restart that gives a request three more crashes."""
        nodes = Nodes.with_size(2)
        for number in range(2):
            nodes.run(0, "p", f"r{number}")
        reports = [each.make_report() for each in nodes.quarantines]
        nodes.quarantines = [Nodes.make_quarantine(nodes.clock) for _ in range(2)]
        for quarantine, report in zip(nodes.quarantines, reports, strict=True):
            quarantine.restore(report)
        nodes.exchange()
        nodes.run(1, "p", "r2")
        assert nodes.is_quarantined("p") == [True, True]

    def test_silent_replicas_count_when_they_are_gone(self) -> None:
        """Guards against crashes that go unseen because the caller left first."""
        nodes = Nodes.with_size(2)
        for number in range(3):
            quarantine = nodes.quarantines[number % 2]
            quarantine.start("p", f"r{number}")
            quarantine.start("answered", f"r{number}")
            quarantine.finish("answered", f"r{number}")
            quarantine.finish("p", f"r{number}", unanswered=True)
            nodes.clock.advance(4)
            quarantine.record_loss(f"r{number}")
            nodes.exchange()
        assert nodes.is_quarantined("p") == [True, True]
        assert nodes.quarantines[0].get_crashed_replicas("answered") == frozenset()

    def test_request_long_before_a_loss_does_not_count(self) -> None:
        """Guards against blaming whatever the replica did not answer before."""
        nodes = Nodes.with_size(1)
        nodes.quarantines[0].start("p", "r1")
        nodes.quarantines[0].finish("p", "r1", unanswered=True)
        nodes.clock.advance(7)
        nodes.quarantines[0].record_loss("r1")
        assert nodes.quarantines[0].get_crashed_replicas("p") == frozenset()

    def test_request_answered_before_the_loss_does_not_count(self) -> None:
        """Guards against blaming a request that another replica has answered."""
        nodes = Nodes.with_size(1)
        nodes.quarantines[0].start("p", "r1")
        nodes.quarantines[0].finish("p", "r1", unanswered=True)
        nodes.send(0, "p", "r2")
        nodes.answer(0, "p", "r2")
        nodes.quarantines[0].record_loss("r1")
        assert nodes.quarantines[0].get_crashed_replicas("p") == frozenset()

    def test_one_crash_is_enough_after_the_end_of_a_quarantine(self) -> None:
        """Guards against three more crashes each time a quarantine ends."""
        nodes = Nodes.with_size(1)
        for number in range(3):
            nodes.run(0, "p", f"r{number}")
        nodes.clock.advance(600)
        assert nodes.is_quarantined("p") == [False]
        assert nodes.quarantines[0].is_suspect("p")
        nodes.run(0, "p", "r9")
        assert nodes.is_quarantined("p") == [True]

    def test_request_cut_off_by_a_known_crash_is_no_further_crash(self) -> None:
        """Guards against a crash that counts again for each node that reports it."""
        nodes = Nodes.with_size(3)
        for node in range(3):
            nodes.send(node, "same", "r1")
        found = list(nodes.in_flight)
        for node, fingerprint, process, started_at in found:
            nodes.quarantines[node].record_crash(
                fingerprint, process, started_at, alone=False
            )
            nodes.exchange()
        for quarantine in nodes.quarantines:
            assert quarantine.get_crashed_replicas("same") == {"r1"}
            assert not quarantine.is_suspect("same")


class TestTurns:
    """Suspects that explain the same crashes."""

    @staticmethod
    def make_nodes() -> Nodes:
        """Return nodes after two crashes that two requests explain."""
        nodes = Nodes.with_size(3)
        nodes.quarantines = [
            Quarantine(nodes.clock, policy=CrashSeriesPolicy(), turn_seconds=2.0)
            for _ in range(3)
        ]
        for number in range(2):
            nodes.send(1, "q", f"r{number}")
            nodes.run(0, "p", f"r{number}")
        return nodes

    def test_run_one_after_the_other(self) -> None:
        """Guards against requests that hide behind each other for five crashes."""
        nodes = self.make_nodes()
        for each in nodes.quarantines:
            assert [each.is_pending(name) for name in "pq"] == [False, True]
        nodes.run(2, "p", "r2")
        assert nodes.is_quarantined("p") == [True] * 3
        assert nodes.is_quarantined("q") == [False] * 3
        assert not nodes.quarantines[0].is_pending("q")

    def test_end_with_an_answer_to_the_first(self) -> None:
        """Guards against a wait for a request that has been cleared."""
        nodes = self.make_nodes()
        nodes.send(2, "p", "healthy")
        nodes.answer(2, "p", "healthy")
        nodes.exchange()
        for each in nodes.quarantines:
            assert not each.is_pending("q")

    def test_end_after_a_while(self) -> None:
        """Guards against a wait for a request that does not come again."""
        nodes = self.make_nodes()
        nodes.clock.advance(2.0)
        for each in nodes.quarantines:
            assert not each.is_pending("q")


class TestConclusiveCrash:
    """A crash with nothing else in flight, after crashes with other requests."""

    def test_two_causes_do_not_free_each_other(self) -> None:
        """Guards against a quarantine that ends when another request is proven."""
        nodes = Nodes.with_size(2)
        for number in range(2):
            nodes.send(1, "p", f"r{number}")
            nodes.run(0, "q", f"r{number}")
        nodes.run(0, "p", "r2")
        assert nodes.is_quarantined("p") == [True, True]
        nodes.run(0, "q", "r3")
        assert nodes.is_quarantined("q") == [True, True]
        assert nodes.is_quarantined("p") == [True, True]

    def test_request_beside_another_cause_stays_free(self) -> None:
        """Guards against a quarantine for crashes that another request explains."""
        nodes = Nodes.with_size(2)
        for number in range(3):
            nodes.send(1, "beside", f"r{number}")
            nodes.run(0, "p", f"r{number}")
        nodes.run(0, "p", "r3")
        assert nodes.is_quarantined("p") == [True, True]
        assert nodes.is_quarantined("beside") == [False, False]


class TestLimits:
    """Evidence among that of many other crashes and requests."""

    def test_other_crashes_do_not_replace_a_series(self) -> None:
        """Guards against a series that is forgotten while many replicas crash."""
        nodes = Nodes.with_size(2)
        for number in range(2):
            nodes.run(0, "p", f"r{number}")
        for number in range(100):
            nodes.send(0, f"other{number}", f"unrelated{number}")
            nodes.crash(f"unrelated{number}")
            if number % 2:
                nodes.send(1, f"other{number}", "healthy")
                nodes.answer(1, f"other{number}", "healthy")
            nodes.exchange()
        nodes.run(0, "p", "r2")
        assert nodes.is_quarantined("p") == [True, True]

    def test_abandoned_requests_do_not_replace_newer_ones(self) -> None:
        """Guards against a request that hides among those of callers who left."""
        nodes = Nodes.with_size(1)
        quarantine = nodes.quarantines[0]
        quarantine.start("p", "old")
        quarantine.finish("p", "old", unanswered=True)
        for number in range(1020):
            quarantine.start(f"other{number}", "healthy")
            quarantine.finish(f"other{number}", "healthy", unanswered=True)
        quarantine.start("p", "r1")
        quarantine.finish("p", "r1", unanswered=True)
        for number in range(10):
            quarantine.start(f"late{number}", "healthy")
            quarantine.finish(f"late{number}", "healthy", unanswered=True)
        quarantine.record_loss("r1")
        assert quarantine.get_crashed_replicas("p") == {"r1"}


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(["send", "answer", "crash", "exchange"]),
        st.integers(0, 2),
        st.sampled_from("abcd"),
        st.integers(0, 3),
    ),
    max_size=60,
)


class TestProperties:
    """Quarantine with CrashSeriesPolicy under any sequence of events."""

    @given(_STEPS)
    @settings(derandomize=True, max_examples=scale_examples(300))
    def test_only_what_was_not_answered_in_three_crashes(self, steps) -> None:
        """Guards against a quarantine of a request with fewer crashes in a row."""
        nodes = Nodes.with_size(3)
        incarnations = [0] * 4
        crashes: dict[str, set[str]] = {}
        for action, node, fingerprint, index in steps:
            process = f"r{index}.{incarnations[index]}"
            if action == "send":
                nodes.send(node, fingerprint, process)
            elif action == "answer":
                if any(e[:3] == (node, fingerprint, process) for e in nodes.in_flight):
                    nodes.answer(node, fingerprint, process)
                    nodes.exchange()
                    crashes[fingerprint] = set()
            elif action == "crash":
                for _, cut, at, _ in nodes.in_flight:
                    if at == process:
                        crashes.setdefault(cut, set()).add(process)
                nodes.crash(process)
                incarnations[index] += 1
            else:
                nodes.exchange()
            for quarantine in nodes.quarantines:
                for found in quarantine.list_quarantined():
                    assert len(crashes[found]) >= 3

    @given(st.permutations(range(4)), st.integers(1, 5))
    @settings(derandomize=True, max_examples=scale_examples(100))
    def test_nodes_agree_in_whatever_order_reports_arrive(self, order, count) -> None:
        """Guards against nodes with different verdicts on the same reports."""
        nodes = Nodes.with_size(4)
        for number in range(count):
            nodes.send((number + 1) % 4, "beside", f"r{number}")
            nodes.send(number % 4, "p", f"r{number}")
            nodes.crash(f"r{number}")
            if number % 2:
                nodes.exchange()
        nodes.exchange()
        late = Nodes.make_quarantine(nodes.clock)
        for sender in order:
            late.merge(f"n{sender}", nodes.quarantines[sender].make_report())
        assert late.list_quarantined() == nodes.quarantines[0].list_quarantined()
        assert late.list_suspects() == nodes.quarantines[0].list_suspects()


class TestHold:
    """Requests whose crashes no node sees."""

    def run_without_answer(self, nodes: Nodes, node: int, process: str) -> None:
        """Send a request that ends without an answer, and tell all nodes."""
        nodes.send(node, "p", process)
        nodes.in_flight.clear()
        nodes.quarantines[node].presume_crash("p", process)
        nodes.quarantines[node].finish("p", process, unanswered=True)
        nodes.clock.advance(1.0)
        nodes.exchange()

    def test_runs_without_an_answer_after_a_crash_hold_a_request_back(self) -> None:
        """Guards against callers that leave before each crash can be seen."""
        nodes = Nodes.with_size(3)
        nodes.run(0, "p", "r0")
        self.run_without_answer(nodes, 1, "r1")
        assert nodes.is_quarantined("p") == [False] * 3
        self.run_without_answer(nodes, 2, "r2")
        assert nodes.is_quarantined("p") == [True] * 3

    def test_hold_ends_soon_and_is_longer_the_next_time(self) -> None:
        """Guards against minutes of refusals without a crash that a node has seen."""
        nodes = Nodes.with_size(1)
        nodes.run(0, "p", "r0")
        for number, seconds in enumerate((20.0, 40.0)):
            while not nodes.is_quarantined("p")[0]:
                self.run_without_answer(nodes, 0, f"r{number}")
            remaining = nodes.quarantines[0].read_remaining("p")
            assert seconds - 1.0 <= remaining <= seconds
            nodes.clock.advance(remaining)
            assert nodes.is_quarantined("p") == [False]

    def test_answer_ends_a_hold_of_the_next_run(self) -> None:
        """Guards against holding back a request that replicas answer again."""
        nodes = Nodes.with_size(2)
        nodes.run(0, "p", "r0")
        self.run_without_answer(nodes, 1, "r1")
        nodes.send(0, "p", "r2")
        nodes.answer(0, "p", "r2")
        nodes.exchange()
        self.run_without_answer(nodes, 1, "r3")
        self.run_without_answer(nodes, 0, "r4")
        assert nodes.is_quarantined("p") == [False, False]

    def test_run_sent_before_the_first_crash_counts_once(self) -> None:
        """Guards against requests that share an outage and then time out."""
        nodes = Nodes.with_size(1)
        for number in range(4):
            nodes.send(0, "p", f"r{number}")
        nodes.crash("r0")
        for number in range(1, 4):
            assert nodes.quarantines[0].presume_crash("p", f"r{number}") is None
        assert nodes.quarantines[0].list_suspects() == ()

    def test_presumed_crashes_displace_no_others(self) -> None:
        """Guards against a crash that is forgotten because many requests retry."""
        nodes = Nodes.with_size(1)
        names = [f"p{number}" for number in range(90)]
        for name in names:
            nodes.send(0, name, "r0")
        nodes.crash("r0")
        for name in names:
            nodes.send(0, name, "r1")
            assert nodes.quarantines[0].presume_crash(name, "r1") is not None
        assert all(nodes.quarantines[0].needs_trial(name) for name in names)

    def test_request_on_trial_counts_before_it_ends(self) -> None:
        """Guards against trials of nodes that are killed before their replicas end."""
        nodes = Nodes.with_size(3)
        nodes.run(0, "p", "r0")
        for node in (1, 2):
            nodes.send(node, "p", f"r{node}")
            nodes.quarantines[node].presume_crash("p", f"r{node}")
            nodes.exchange()
        assert nodes.is_quarantined("p") == [True] * 3

    def test_withdrawn_crash_counts_no_more(self) -> None:
        """Guards against refusals after a caller left in the middle of a stream."""
        nodes = Nodes.with_size(2)
        nodes.run(0, "p", "r0")
        for _ in range(5):
            nodes.send(0, "p", "r1")
            crash_id = nodes.quarantines[0].presume_crash("p", "r1")
            assert crash_id is not None
            nodes.exchange()
            nodes.quarantines[0].withdraw_presumed(crash_id)
            nodes.quarantines[0].finish("p", "r1")
            nodes.exchange()
        assert nodes.is_quarantined("p") == [False, False]

    def test_request_without_a_crash_is_never_held_back(self) -> None:
        """Guards against refusing requests because replicas are slow."""
        nodes = Nodes.with_size(1)
        for number in range(9):
            self.run_without_answer(nodes, 0, f"r{number}")
        assert nodes.is_quarantined("p") == [False]


class TestLoss:
    """Replicas whose registration is gone."""

    def test_requests_that_still_wait_count_at_once(self) -> None:
        """Guards against crashes that count only when the caller's time is over."""
        nodes = Nodes.with_size(2)
        for number in range(3):
            nodes.send(0, "p", f"r{number}")
            nodes.clock.advance(2.0)
            nodes.quarantines[0].record_loss(f"r{number}")
            nodes.exchange()
        assert nodes.is_quarantined("p") == [True, True]

    def test_request_that_was_just_sent_does_not_count(self) -> None:
        """Guards against blaming a request that the next process runs."""
        nodes = Nodes.with_size(1)
        nodes.send(0, "p", "r0")
        nodes.clock.advance(0.2)
        nodes.quarantines[0].record_loss("r0")
        assert not nodes.quarantines[0].get_crashed_replicas("p")


class TestBegunAnswers:
    """Requests whose answers had begun when their replica crashed."""

    def test_need_no_trial(self) -> None:
        """Guards against equal streams that go on one by one after a crash."""
        nodes = Nodes.with_size(2)
        for _ in range(3):
            nodes.send(0, "p", "r0")
            nodes.quarantines[0].record_begin("p", "r0")
        nodes.crash("r0")
        nodes.exchange()
        assert [each.needs_trial("p") for each in nodes.quarantines] == [False, False]

    def test_need_one_if_another_still_waited(self) -> None:
        """Guards against a crash that is excused by an earlier equal request."""
        nodes = Nodes.with_size(2)
        for node in range(2):
            nodes.send(node, "p", "r0")
        nodes.quarantines[0].record_begin("p", "r0")
        nodes.crash("r0")
        nodes.exchange()
        assert [each.needs_trial("p") for each in nodes.quarantines] == [True, True]

    def test_crashes_still_make_a_series(self) -> None:
        """Guards against a request that crashes replicas after its first event."""
        nodes = Nodes.with_size(1)
        for number in range(3):
            nodes.send(0, "p", f"r{number}")
            nodes.quarantines[0].record_begin("p", f"r{number}")
            nodes.crash(f"r{number}")
        assert nodes.is_quarantined("p") == [True]
