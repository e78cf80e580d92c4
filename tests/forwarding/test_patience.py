"""Tests of streams that wait for a replica."""

import asyncio
from collections.abc import Sequence

import pytest
from attrs import evolve

from fireflyspread.exceptions import Outcome, OverloadedError
from fireflyspread.routing import Ticket, Work
from tests.forwarding.fakes import CONFIG, Answer, FakeSink, Harness

# Seconds without data after which the callers of the test leave.
_MAX_SILENCE = 0.4


async def _fill(harness: Harness) -> Sequence[Ticket]:
    """Take all slots of the only replica."""
    target = harness.directory.get_target("models")
    now = harness.clock.read_monotonic()
    works = [
        Work(
            request=f"other-{number}",
            team="lids",
            weight=1.0,
            program="p",
            fingerprint=f"f-{number}",
            cost=1.0,
            deadline=now + 10.0,
        )
        for number in range(target.concurrency)
    ]
    return [await harness.scheduler.acquire(work, target) for work in works]


class TestPatience:
    async def test_waiting_stream_is_refused_before_its_caller_leaves(self):
        """Guards against streams that wait until their callers have left."""
        routes = tuple(evolve(r, max_silence=_MAX_SILENCE) for r in CONFIG.routes)
        harness = Harness(
            lambda name, n: Answer(chunks=[b"id: 1\n\n"]),
            replicas=["r1"],
            config=evolve(CONFIG, routes=routes),
        )
        await _fill(harness)
        started_at = asyncio.get_running_loop().time()
        with pytest.raises(OverloadedError) as caught:
            await harness.forwarder.forward(
                harness.make_request("/turns/1"), FakeSink()
            )
        assert asyncio.get_running_loop().time() - started_at < _MAX_SILENCE
        assert caught.value.outcome is Outcome.NOT_RUN
        assert caught.value.retry_after > 0
