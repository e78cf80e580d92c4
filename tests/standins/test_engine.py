"""The engine stand-in keeps to its protocol and its faults can be told apart."""

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


async def ask(
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

    async def test_follows_history(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """An answer matches its own history and no other."""
        ids, text, usage = await ask(client, engine, make_body("one two"))
        assert ids == {"r"}
        assert verify_answer(["one two"], text) is None
        assert verify_answer(["one three"], text) is not None
        assert usage["prompt_tokens"] == 2
        assert usage["completion_tokens"] == len(text.split())

    async def test_counts_cached_prefix(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """The second turn of a session finds the first in the cache."""
        body = make_body("one two")
        _, text, _ = await ask(client, engine, body)
        answer = {"role": "assistant", "content": text}
        body["messages"] += [answer, {"role": "user", "content": "three"}]
        _, _, usage = await ask(client, engine, body)
        assert usage["prompt_tokens_details"]["cached_tokens"] == 2 + len(text.split())

    async def test_continues(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """A partial answer is continued to the same whole answer."""
        _, text, _ = await ask(client, engine, make_body("one"))
        start = " ".join(text.split()[:3])
        body = make_body("one", continue_final_message=True, max_tokens=17)
        body["messages"].append({"role": "assistant", "content": start})
        _, rest, _ = await ask(client, engine, body)
        assert start + rest == text


class TestFaults:
    """The switches do what they say."""

    async def test_cuts_stream(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """A cut stream breaks the connection instead of ending early."""
        engine.faults.update({"cut_next": 1, "cut_after": 3})
        with pytest.raises(aiohttp.ClientError):
            await ask(client, engine, make_body("one"))
        assert engine.runs[-1].completion == 3

    async def test_crashes_on_text(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """A poison request breaks the other requests of the process too."""
        engine.token_seconds = 0.05
        engine.faults.crash_on = "poison"
        other = asyncio.create_task(ask(client, engine, make_body("one")))
        async with asyncio.timeout(20):
            while not engine.runs or not engine.runs[0].completion:  # noqa: ASYNC110
                await asyncio.sleep(0.01)
        with pytest.raises(aiohttp.ClientError):
            await ask(client, engine, make_body("poison", request="p"))
        with pytest.raises(aiohttp.ClientError):
            await other
        assert not engine.cache.sessions

    async def test_crosses_answers(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """Two concurrent requests get each other's events."""
        engine.faults.cross_answers = 1
        answers = await asyncio.gather(
            *(ask(client, engine, make_body(r, request=r)) for r in ("a", "b"))
        )
        assert [ids for ids, _, _ in answers] == [{"b"}, {"a"}]

    async def test_evicts(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """The least recently used session goes first and is reported later."""
        engine.cache.capacity = 60
        engine.faults.event_lag = 0.0
        for name in ("s1", "s2", "s3"):
            await ask(client, engine, make_body("word " * 25, session_id=name))
        async with client.get(engine.url + "/v1/events?after=0") as answer:
            events = await answer.json()
        assert events["evicted"][0] == "s1"

    async def test_checks_fence(
        self, engine: EngineStandIn, client: aiohttp.ClientSession
    ) -> None:
        """An engine that checks fences refuses an order with an older one."""
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
