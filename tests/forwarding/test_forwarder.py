"""Tests of what callers and replicas see of a forwarded request."""

import asyncio

import pytest

from fireflyspread.exceptions import (
    AuthenticationError,
    BudgetExceededError,
    FireflyError,
    NoAuthorityError,
    NotFoundError,
    Outcome,
    OverloadedError,
    RateLimitedError,
)
from tests.forwarding.fakes import (
    Answer,
    Bench,
    FakeSink,
    make_events,
    make_turn,
)


class TestAdmission:
    async def test_no_configuration_is_no_denial(self):
        """Guards against 404 and 401 from a node that knows no configuration yet."""
        bench = Bench(lambda name, n: Answer(), config=None)
        with pytest.raises(NoAuthorityError) as caught:
            await bench.forward("/prices/1")
        assert caught.value.status == 503

    async def test_unknown_route(self):
        """Guards against requests that run on a route that was removed."""
        bench = Bench(lambda name, n: Answer())
        with pytest.raises(NotFoundError):
            await bench.forward("/gone/1")
        assert bench.backend.sent == []

    async def test_unknown_key(self):
        """Guards against requests that run with a withdrawn key."""
        bench = Bench(lambda name, n: Answer())
        with pytest.raises(AuthenticationError):
            await bench.forward("/prices/1", key="old-key")
        assert bench.backend.sent == []

    async def test_open_route_needs_no_key(self):
        """Guards against a 401 on a route that is open to all."""
        bench = Bench(lambda name, n: Answer())
        sink = await bench.forward("/hours/1", key=None)
        assert sink.status == 200
        assert bench.backend.sent[0][1].team is None

    async def test_replica_is_told_the_team_of_the_key(self):
        """Guards against requests that run for another team."""
        bench = Bench(lambda name, n: Answer())
        await bench.forward("/prices/1")
        assert bench.backend.sent[0][1].team == "lids"

    async def test_rate_of_a_team(self):
        """Guards against more requests than a team's rate and burst."""
        bench = Bench(lambda name, n: Answer())
        await bench.forward("/prices/1", key="jar-key")
        with pytest.raises(RateLimitedError) as caught:
            await bench.forward("/prices/1", key="jar-key")
        assert caught.value.outcome is Outcome.NOT_RUN
        assert len(bench.backend.ran) == 1

    async def test_budget_of_a_program(self):
        """Guards against a program that generates more than its budget."""
        events = make_events(1, 16)
        bench = Bench(lambda name, n: Answer(chunks=[events]))
        with pytest.raises(BudgetExceededError) as caught:
            for _ in range(20):
                await bench.forward("/turns/1", **make_turn())
        assert caught.value.status == 402
        assert len(bench.backend.ran) * 16 * 9 <= 864


class TestRepeats:
    async def test_lost_answer_of_an_order_is_not_repeated(self):
        """Guards against an order that runs twice."""
        bench = Bench(lambda name, n: Answer(is_lost=True))
        with pytest.raises(FireflyError) as caught:
            await bench.forward("/orders/1")
        assert caught.value.status == 502
        assert caught.value.outcome is Outcome.MAY_HAVE_RUN
        assert len(bench.backend.ran) == 1

    async def test_refused_order_goes_to_another_replica(self):
        """Guards against orders refused because one replica is full."""
        bench = Bench(lambda name, n: Answer(status=503, is_refusal=n == 0))
        bench.backend._answer = lambda name, n: (
            Answer(status=503, is_refusal=True) if n == 0 else Answer()
        )
        sink = await bench.forward("/orders/1")
        assert sink.body == b"ok"
        assert len(bench.backend.ran) == 1

    async def test_order_refused_by_all_says_not_run(self):
        """Guards against a refusal that promises nothing though nothing ran."""
        bench = Bench(lambda name, n: Answer(status=503, is_refusal=True))
        with pytest.raises(FireflyError) as caught:
            await bench.forward("/orders/1")
        assert caught.value.outcome is Outcome.NOT_RUN
        assert bench.backend.ran == []

    async def test_reused_address_is_left(self):
        """Guards against requests that run at another service's replica."""
        bench = Bench(
            lambda name, n: (
                Answer(status=421, is_wrong_instance=True) if n == 0 else Answer()
            )
        )
        sink = await bench.forward("/orders/1")
        assert sink.status == 200
        assert len({name for name, _ in bench.backend.sent}) == 2

    async def test_safe_request_is_repeated_at_the_same_replica(self):
        """Guards against more replicas than the route allows."""
        bench = Bench(lambda name, n: Answer(is_lost=n == 0))
        sink = await bench.forward("/prices/1")
        assert sink.body == b"ok"
        assert len(set(bench.backend.ran)) == 1

    async def test_spoilt_answer_is_not_passed_on(self):
        """Guards against half an answer that looks complete."""
        bench = Bench(lambda name, n: Answer(chunks=[b"hal", None]))
        with pytest.raises(FireflyError):
            sink = await bench.forward("/orders/1")
            assert not sink.is_finished

    async def test_replicas_own_failure_is_passed_on(self):
        """Guards against a changed status under a replica's signature."""
        headers = [("Stamp", "s")]
        bench = Bench(lambda name, n: Answer(status=500, headers=headers))
        sink = await bench.forward("/orders/1")
        assert sink.status == 500
        assert ("Stamp", "s") in sink.headers

    async def test_failed_safe_request_is_tried_at_another_replica(self):
        """Guards against callers that see the failures of one grey replica."""
        bench = Bench(lambda name, n: Answer(status=500 if n == 0 else 200))
        sink = await bench.forward("/prices/1")
        assert sink.status == 200
        assert len(set(bench.backend.ran)) == 2

    async def test_deadline_without_a_replica_is_a_true_refusal(self):
        """Guards against a 504 for what never reached a replica."""
        bench = Bench(lambda name, n: Answer(), replicas=())
        with pytest.raises(OverloadedError) as caught:
            await bench.forward("/orders/1")
        assert caught.value.status == 503
        assert caught.value.outcome is Outcome.NOT_RUN


class TestStreams:
    async def test_stream_goes_on_after_a_break_in_an_event(self):
        """Guards against missing, double or joined pieces after a broken stream."""

        def answer(name: str, n: int) -> Answer:
            if n == 0:
                return Answer(chunks=[make_events(1, 3), b"id: 4\nda", None])
            return Answer(chunks=[make_events(4, 6)])

        bench = Bench(answer)
        sink = await bench.forward("/turns/1", **make_turn())
        assert sink.body == make_events(1, 6)
        assert sink.is_finished
        assert bench.backend.sent[1][1].last_event_id == "3"

    async def test_stream_goes_on_at_the_replica_that_ran_it(self):
        """Guards against more replicas than the route allows while it lives."""
        bench = Bench(
            lambda name, n: Answer(
                chunks=[make_events(1, 2), None] if n == 0 else [make_events(3, 4)]
            )
        )
        await bench.forward("/turns/1", **make_turn())
        assert len(set(bench.backend.ran)) == 1

    async def test_stream_goes_on_elsewhere_when_its_replica_has_ended(self):
        """Guards against a program that fails with the replica of one turn."""
        names: list[str] = []

        def answer(name: str, n: int) -> Answer:
            names.append(name)
            if n == 0:
                return Answer(chunks=[make_events(1, 2), None])
            if name == names[0]:
                return Answer(is_unreachable=True)
            return Answer(chunks=[make_events(3, 4)])

        bench = Bench(answer)
        sink = await bench.forward("/turns/1", **make_turn())
        assert sink.body == make_events(1, 4)

    async def test_stream_that_cannot_go_on_is_cut_off(self):
        """Guards against an incomplete stream that looks complete."""
        bench = Bench(lambda name, n: Answer(chunks=[make_events(n + 1, n + 1), None]))
        request = bench.make_request("/turns/1", **make_turn())
        sink = FakeSink()
        with pytest.raises(FireflyError) as caught:
            await bench.forwarder.forward(request, sink)
        assert caught.value.outcome is Outcome.MAY_HAVE_RUN
        assert sink.is_started and not sink.is_finished

    async def test_clean_end_inside_an_event_is_a_break(self):
        """Guards against a replica that stops in the middle of an event."""
        bench = Bench(
            lambda name, n: Answer(
                chunks=[make_events(1, 1), b"id: 2"] if n == 0 else [make_events(2, 2)]
            )
        )
        sink = await bench.forward("/turns/1", **make_turn())
        assert sink.body == make_events(1, 2)

    async def test_caller_that_leaves_ends_the_dispatch(self):
        """Guards against replicas that work for callers who are gone."""
        started = asyncio.Event()
        bench = Bench(lambda name, n: Answer())

        async def hang(*args: object) -> None:
            started.set()
            await asyncio.Event().wait()

        bench.backend.send = hang  # type: ignore[assignment,method-assign]
        task = asyncio.create_task(bench.forward("/turns/1", **make_turn()))
        await started.wait()
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task
        assert bench.forwarder.running == 0
