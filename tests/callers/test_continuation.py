"""Tests of turns whose replica fails in mid-stream and that continue on another."""

import asyncio
from collections.abc import AsyncIterator

import msgspec
import pytest
import pytest_asyncio

from standins._answers import verify_answer
from standins.engine import EngineStandIn
from tests.callers.conftest import Node, make_bundle
from tests.callers.test_api import make_turn, open_program

ANSWER_TOKENS = 12


@pytest_asyncio.fixture
async def second(node: Node) -> AsyncIterator[EngineStandIn]:
    """Yield a second replica; the answers of both exceed ``ANSWER_TOKENS`` words."""
    async with EngineStandIn(shortest=40) as engine:
        node.engine.shortest = 40
        active = make_bundle(node.engine.url, node.service.url, version=2)
        config = msgspec.json.decode(active.bundle.to_json())
        replica = {"name": "m2", "url": engine.url, "zone": "a", "vm": "e3"}
        config["targets"][0]["replicas"].append(replica)
        bundle = type(active.bundle).from_config(config)
        node.context.bundles.offer(type(active)(version=2, bundle=bundle))
        yield engine


def break_first_stream(node: Node, second: EngineStandIn, after: int) -> None:
    """Break the first stream, whichever replica it starts on."""

    def cut(this: EngineStandIn, other: EngineStandIn) -> None:
        this.faults.cut_after = after
        this.faults.cut_next = 1
        take = this._take_cut

        def take_once(is_poison: bool) -> int:
            other.faults.cut_next = 0
            return take(is_poison)

        this._take_cut = take_once  # type: ignore[method-assign]

    cut(node.engine, second)
    cut(second, node.engine)


def read_events(text: str) -> tuple[str, list[int], dict[str, int]]:
    """Return the text, the event ids and the usage of a stream."""
    parts, numbers, usage = [], [], {}
    for event in text.split("\n\n"):
        for line in event.splitlines():
            if line.startswith("id: "):
                numbers.append(int(line[4:]))
            if line.startswith("data: {"):
                chunk = msgspec.json.decode(line[6:])
                for choice in chunk["choices"]:
                    parts.append(choice["delta"].get("content") or "")
                usage = chunk.get("usage") or usage
    return "".join(parts), numbers, usage


def list_runs(node: Node, second: EngineStandIn) -> list[tuple[str, int]]:
    runs = sorted([*node.engine.runs, *second.runs], key=lambda run: run.time)
    return [(run.state, run.offset) for run in runs]


@pytest.mark.parametrize("after", [0, 1, 5, ANSWER_TOKENS - 1, ANSWER_TOKENS])
class TestContinuation:
    """A stream whose first replica breaks it after some events."""

    async def test_streamed_answer_is_continuous(
        self, node: Node, second: EngineStandIn, after: int
    ) -> None:
        """Guards against a gap or a repetition in a streamed answer."""
        program = await open_program(node)
        break_first_stream(node, second, after)
        path = f"/v1/programs/{program}/turns"
        body = make_turn(1, stream=True, max_tokens=ANSWER_TOKENS)
        async with node.request("POST", path, json=body) as answer:
            whole = await answer.text()
        assert whole.endswith("data: [DONE]\n\n")
        text, numbers, _ = read_events(whole)
        assert verify_answer(["hello"], text) is None
        assert len(text.split()) == ANSWER_TOKENS
        assert numbers == list(range(len(numbers)))
        rest = [] if after == ANSWER_TOKENS else [("done", after)]
        assert list_runs(node, second) == [("broken", 0), *rest]

    async def test_unstreamed_answer_equals_the_history(
        self, node: Node, second: EngineStandIn, after: int
    ) -> None:
        """Guards against an incomplete answer, or one that differs from the history."""
        program = await open_program(node)
        break_first_stream(node, second, after)
        path = f"/v1/programs/{program}/turns"
        body = make_turn(1, max_tokens=ANSWER_TOKENS)
        async with node.request("POST", path, json=body) as answer:
            assert answer.status == 200, await answer.text()
            content = (await answer.json())["choices"][0]["message"]["content"]
        assert verify_answer(["hello"], content) is None
        assert len(content.split()) == ANSWER_TOKENS
        async with node.request("GET", f"/v1/programs/{program}/history") as answer:
            messages = (await answer.json())["messages"]
        assert messages[1:] == [{"role": "assistant", "content": content}]


class TestVersions:
    """A stream whose first replica breaks it, beside another software version."""

    @pytest.mark.parametrize("after", [0, 5])
    async def test_answer_has_events_of_one_version(
        self, node: Node, second: EngineStandIn, after: int
    ) -> None:
        """Guards against an answer that another version of the engine continues."""
        active = node.context.bundles.get_active()
        config = msgspec.json.decode(active.bundle.to_json())
        for number, replica in enumerate(config["targets"][0]["replicas"]):
            replica["version"] = f"v{number}"
        bundle = type(active.bundle).from_config(config)
        node.context.bundles.offer(type(active)(version=3, bundle=bundle))
        program = await open_program(node)
        break_first_stream(node, second, after)
        path = f"/v1/programs/{program}/turns"
        body = make_turn(1, stream=True, max_tokens=ANSWER_TOKENS)
        async with node.request("POST", path, json=body) as answer:
            whole = await answer.text()
        if after:
            assert not whole.endswith("data: [DONE]\n\n")
            assert list_runs(node, second) == [("broken", 0)]
        else:
            assert whole.endswith("data: [DONE]\n\n")


def stall_first_stream(node: Node, second: EngineStandIn) -> None:
    """Stall the first stream, whichever replica it starts on."""
    engines = (node.engine, second)
    for engine in engines:
        engine.faults.stall_after, engine.faults.stall_next = 5, 1

        def take(this: EngineStandIn = engine) -> int:
            for other in engines:
                other.faults.stall_next -= other is not this
            return EngineStandIn._take_stall(this)

        engine._take_stall = take  # type: ignore[method-assign]


class TestStall:
    """A stream whose first replica stalls or breaks it."""

    async def test_stalled_stream_continues_on_another_replica(
        self, node: Node, second: EngineStandIn
    ) -> None:
        """Guards against waiting for a stalled replica until the deadline of the turn.

        Also guards against a gap or a repetition in the continued answer.
        """
        target = node.context.bundles.get_active().targets["models"]
        for replica in target.replicas:
            node.context.engines.get(replica)._stall_timeout = 0.2  # type: ignore[attr-defined]
        stall_first_stream(node, second)
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        body = make_turn(1, stream=True, max_tokens=ANSWER_TOKENS)
        async with asyncio.timeout(20), node.request("POST", path, json=body) as answer:
            text, numbers, _ = read_events(await answer.text())
        assert verify_answer(["hello"], text) is None
        assert len(text.split()) == ANSWER_TOKENS
        assert numbers == list(range(len(numbers)))

    async def test_refusal_of_a_begun_turn_is_not_reported_as_not_run(
        self, node: Node, second: EngineStandIn
    ) -> None:
        """Guards against the outcome ``not_run`` of a turn that a replica has begun.

        The retry is refused, because no replica is left, and that refusal alone would
        say ``not_run``.
        """
        break_first_stream(node, second, 5)
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        config = msgspec.json.decode(node.context.bundles.get_active().bundle.to_json())
        config["targets"][0]["replicas"].pop()
        active = node.context.bundles.get_active()
        bundle = type(active.bundle).from_config(config)
        node.context.bundles.offer(type(active)(version=3, bundle=bundle))
        body = make_turn(1, stream=True, max_tokens=ANSWER_TOKENS)
        async with node.request("POST", path, json=body) as answer:
            text = await answer.text()
        error = msgspec.json.decode(text.rpartition("data: ")[2])["error"]
        assert (error["code"], error["outcome"]) == ("overloaded", "may_have_run")
