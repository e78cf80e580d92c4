"""Tests of the caller API before targets that limit their requests."""

import asyncio
from collections import Counter

import pytest

from tests.callers.conftest import Node
from tests.callers.test_api import make_turn, open_program

_LIMIT = 2.0
_SECONDS = 3.0
# Requests that all nodes may send in 4 s.
_ALLOWED = 1.5 * _LIMIT * 4.0 + 5


async def _send_calls(node: Node, route: str) -> Counter[int]:
    """Send calls at a multiple of the limit and return their statuses."""
    statuses: Counter[int] = Counter()

    async def send(number: int) -> None:
        headers = {"Idempotency-Key": f"k{number}"}
        async with node.request(
            "POST", f"/v1/services/{route}", headers=headers, data=b"x"
        ) as answer:
            statuses[answer.status] += 1
            if answer.status == 503:
                assert float(answer.headers["Retry-After"]) > 0
                assert answer.headers["X-Outcome"] == "not_run"

    tasks = []
    for number in range(int(_SECONDS * 20)):
        tasks.append(asyncio.create_task(send(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)
    return statuses


class TestLimitedTargets:
    @pytest.mark.parametrize("route", ["quotes", "charges"])
    async def test_service_gets_no_more_than_its_limit(self, node: Node, route: str):
        """Guards against limits that only the gateway keeps."""
        node.service.faults.rate_limit = _LIMIT
        statuses = await _send_calls(node, route)
        assert len(node.service.effects) <= _ALLOWED
        assert statuses[200] >= 0.6 * _LIMIT * _SECONDS
        assert set(statuses) == {200, 503}

    async def test_engine_gets_no_more_than_its_limit(self, node: Node):
        """Guards against turns that ignore the limit of an engine."""
        node.engine.faults.rate_limit = _LIMIT

        async def send(number: int) -> None:
            program = await open_program(node)
            path = f"/v1/programs/{program}/turns"
            body = make_turn(1, f"question {number}", max_tokens=4)
            async with node.request("POST", path, json=body) as answer:
                await answer.read()

        tasks = []
        for number in range(int(_SECONDS * 10)):
            tasks.append(asyncio.create_task(send(number)))
            await asyncio.sleep(0.1)
        await asyncio.gather(*tasks)
        turns = [r for r in node.engine.received if r.path.endswith("completions")]
        assert len(turns) <= _ALLOWED

    async def test_unlimited_service_is_used_again(self, node: Node):
        """Guards against limits that outlive the answers that named them."""
        node.service.faults.rate_limit = _LIMIT
        await _send_calls(node, "quotes")
        node.service.faults.rate_limit = None
        await asyncio.sleep(1.0)
        assert (await _send_calls(node, "quotes"))[200] >= 0.9 * _SECONDS * 20
