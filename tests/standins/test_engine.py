"""Protocol and faults of the engine stand-in."""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import aiohttp
import msgspec
import pytest

from standins._answers import verify_answer
from standins.engine import EngineStandIn


@pytest.fixture
async def engine() -> AsyncIterator[EngineStandIn]:
    async with EngineStandIn() as started:
        yield started


@pytest.fixture
async def client() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as session:
        yield session


def make_body(text: str, *, request: str = "r", **extra: Any) -> dict[str, Any]:
    messages = [{"role": "user", "content": text}]
    body = {"model": "m", "messages": messages, "max_tokens": 20, "stream": True}
    return {**body, "request_id": request, "session_id": "s", **extra}


async def run_chat(
    client: aiohttp.ClientSession, engine: EngineStandIn, body: dict[str, Any]
) -> tuple[set[str], str, dict[str, Any]]:
    ids, text, usage = set(), "", {}
    async with client.post(engine.url + "/v1/chat/completions", json=body) as answer:
        answer.raise_for_status()
        data = await answer.read()
    *events, done, rest = data.split(b"\n\n")
    assert (done, rest) == (b"data: [DONE]", b"")
    for event in events:
        chunk = msgspec.json.decode(event.removeprefix(b"data: "))
        ids.add(chunk["id"])
        for choice in chunk["choices"]:
            text += choice["delta"].get("content", "")
        usage = chunk.get("usage") or usage
    return ids, text, usage


class TestAnswers:
    """Answers and usage."""

    async def test_answer_belongs_to_one_history(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against a check that accepts the answer to another history."""
        ids, text, usage = await run_chat(client, engine, make_body("one two"))
        assert ids == {"r"}
        assert verify_answer(["one two"], text) is None
        assert verify_answer(["one three"], text) is not None
        assert usage["prompt_tokens"] == 2
        assert usage["completion_tokens"] == len(text.split())

    async def test_second_turn_finds_first_in_cache(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against usage that reports no cached tokens for a later turn."""
        body = make_body("one two")
        _, text, _ = await run_chat(client, engine, body)
        answer = {"role": "assistant", "content": text}
        body["messages"] += [answer, {"role": "user", "content": "three"}]
        _, _, usage = await run_chat(client, engine, body)
        assert usage["prompt_tokens_details"]["cached_tokens"] == 2 + len(text.split())

    async def test_partial_answer_is_continued(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against a continued answer that differs from the uninterrupted one."""
        _, text, _ = await run_chat(client, engine, make_body("one"))
        start = " ".join(text.split()[:3])
        body = make_body("one", continue_final_message=True, max_tokens=17)
        body["messages"].append({"role": "assistant", "content": start})
        _, rest, _ = await run_chat(client, engine, body)
        assert start + rest == text


class TestFaults:
    """Effects of the fault switches."""

    async def test_cut_stream_resets_connection(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against a cut stream that looks like a complete short answer."""
        engine.faults.update({"cut_next": 1, "cut_after": 3})
        with pytest.raises(aiohttp.ClientError):
            await run_chat(client, engine, make_body("one"))
        assert engine.runs[-1].completion == 3

    async def test_poison_request_crashes_process(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against a crash that spares other requests or the cache."""
        engine.token_seconds = 0.05
        engine.faults.crash_on = "poison"
        other = asyncio.create_task(run_chat(client, engine, make_body("one")))
        async with asyncio.timeout(20):
            while not engine.runs or not engine.runs[0].completion:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        with pytest.raises(aiohttp.ClientError):
            await run_chat(client, engine, make_body("poison", request="p"))
        with pytest.raises(aiohttp.ClientError):
            await other
        assert not engine.cache.sessions

    async def test_crossed_requests_get_each_others_events(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against swapped answers that keep the id of their own request."""
        engine.faults.cross_answers = 1
        answers = await asyncio.gather(
            *(run_chat(client, engine, make_body(r, request=r)) for r in ("a", "b"))
        )
        assert [ids for ids, _, _ in answers] == [{"b"}, {"a"}]

    async def test_least_recently_used_session_is_evicted(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against evictions in another order than LRU, or without an event."""
        engine.cache.capacity = 60
        engine.faults.event_lag = 0.0
        for name in ("s1", "s2", "s3"):
            await run_chat(client, engine, make_body("word " * 25, session_id=name))
        async with client.get(engine.url + "/v1/events?after=0") as answer:
            events = await answer.json()
        assert events["evicted"][0] == "s1"

    async def test_old_fence_is_refused(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Guards against orders accepted with a fencing token older than the latest."""
        statuses = []
        engine.faults.checks_fence = True
        for fence in (2, 1):
            async with client.post(
                engine.url + "/v1/orders",
                json={"kind": "load_model", "name": "m", "fence": fence},
                headers={"X-Fencing-Token": str(fence)},
            ) as answer:
                statuses.append(answer.status)
        assert statuses == [200, 409]
