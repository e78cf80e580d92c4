"""Tests of the caller API against stand-ins."""

import asyncio

import msgspec

from fireflyspread.recovery import IntentDeclared, OutcomeRecorded, TurnRecorded
from tests.callers.conftest import OTHER_KEY, Node, make_bundle


async def open_program(node: Node, budget: int = 10_000) -> str:
    async with node.request("POST", "/v1/programs", json={"budget": budget}) as answer:
        assert answer.status == 201, await answer.text()
        return (await answer.json())["id"]


def make_turn(number: int, text: str = "hello", **options: object) -> dict[str, object]:
    messages = [{"role": "user", "content": text}]
    return {"turn": number, "model": "drafts", "messages": messages, **options}


class TestTurns:
    """POST /v1/programs/{id}/turns."""

    async def test_later_turn_sends_the_history(self, node: Node) -> None:
        """Guards against a turn that reaches the engine without the whole history."""
        program = await open_program(node)
        for number in (1, 2):
            path = f"/v1/programs/{program}/turns"
            body = make_turn(number, f"question {number}", max_tokens=8)
            async with node.request("POST", path, json=body) as answer:
                assert answer.status == 200, await answer.text()
        async with node.request("GET", f"/v1/programs/{program}/history") as answer:
            messages = (await answer.json())["messages"]
        assert [m["role"] for m in messages] == ["user", "assistant"] * 2
        sent = msgspec.json.decode(node.engine.received[-1].body)["messages"]
        assert sent == messages[:3]

    async def test_failure_in_first_turn_keeps_most_of_a_small_budget(
        self, node: Node
    ) -> None:
        """Guards against a node failure in the first turn that ends a small program.

        The failure charges the reservation that was made when the program was opened.
        """
        program_id = await open_program(node, budget=2000)
        budget = node.context.programs.find("clerks", program_id).budget
        budget.charge_reservation()
        assert budget.remaining >= 1500

    async def test_stream_ends_with_record_and_end_mark(self, node: Node) -> None:
        """Guards against a streamed answer without its record or the end mark."""
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        body = make_turn(1, stream=True, max_tokens=8)
        async with node.request("POST", path, json=body) as answer:
            text = await answer.text()
        assert text.endswith("data: [DONE]\n\n")
        assert '"durability":"durable"' in text
        assert text.startswith("id: 0\ndata: ")

    async def test_repeated_turn_runs_once(self, node: Node) -> None:
        """Guards against a second run or another answer for a repeated turn."""
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        answers = []
        for _ in range(2):
            async with node.request("POST", path, json=make_turn(1)) as answer:
                answers.append((await answer.json())["choices"])
        assert answers[0] == answers[1]
        runs = [r for r in node.engine.received if r.path == "/v1/chat/completions"]
        assert len(runs) == 1

    async def test_answer_survives_a_disconnect(self, node: Node) -> None:
        """Guards against losing an answer when its caller disconnects in mid-stream."""
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        async with node.request("POST", path, json=make_turn(1, stream=True)) as first:
            await first.content.readline()
        async with node.request("GET", f"{path}/1") as answer:
            assert (await answer.text()).endswith("data: [DONE]\n\n")

    async def test_budget_ends_a_loop(self, node: Node) -> None:
        """Guards against an endless loop of turns that is not stopped by the budget."""
        program = await open_program(node, budget=200)
        path = f"/v1/programs/{program}/turns"
        number, status = 1, 200
        while status == 200:
            body = make_turn(number, max_tokens=20)
            async with node.request("POST", path, json=body) as answer:
                status, error = answer.status, await answer.json()
            number += 1
        assert status == 402 and error["error"]["outcome"] == "not_run"
        records = [r for r in node.ownership.records if isinstance(r, TurnRecorded)]
        assert sum(record.spent for record in records) <= 200

    async def test_program_is_hidden_from_other_teams(self, node: Node) -> None:
        """Guards against revealing to another team that a program exists."""
        program = await open_program(node)
        path = f"/v1/programs/{program}"
        async with node.request("GET", path, key=OTHER_KEY) as answer:
            assert answer.status == 404

    async def test_malformed_body_is_refused(self, node: Node) -> None:
        """Guards against an internal error for a body that is not JSON."""
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        async with node.request("POST", path, data=b"{") as answer:
            error = (await answer.json())["error"]
        assert (answer.status, error["code"]) == (400, "request_invalid")


class TestKeys:
    """Authentication by keys."""

    async def test_withdrawn_key_ends_a_stream(self, node: Node) -> None:
        """Guards against a stream that continues after its key was withdrawn."""
        node.engine.faults.seconds_per_token = 0.05
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        body = make_turn(1, stream=True, max_tokens=1000)
        async with node.request("POST", path, json=body) as answer:
            await answer.content.readline()
            active = make_bundle(node.engine.url, node.service.url, version=2)
            config = msgspec.json.decode(active.bundle.to_json())
            config["keys"] = config["keys"][1:]
            bundle = type(active.bundle).from_config(config)
            node.context.bundles.offer(type(active)(version=2, bundle=bundle))
            text = (await answer.content.read()).decode()
        assert "key_withdrawn" in text

    async def test_no_target_sees_the_key(self, node: Node) -> None:
        """Guards against passing a caller's key to targets in headers or bodies."""
        program = await open_program(node)
        path = f"/v1/programs/{program}"
        async with node.request("POST", f"{path}/turns", json=make_turn(1)) as answer:
            assert answer.status == 200
        headers = {"X-Turn": "2", "Idempotency-Key": "k", "Cookie": "clerk-key"}
        async with node.request(
            "POST", f"{path}/calls/charges", headers=headers, data=b"x"
        ) as answer:
            assert answer.status == 200, await answer.text()
        seen = [*node.engine.received, *node.service.received]
        assert seen and not any("clerk-key" in repr(r) for r in seen)

    async def test_open_route_needs_no_key(self, node: Node) -> None:
        """Guards against demanding a key on an open route, or none on the others."""
        async with node.session.post(node.url + "/v1/services/catalogue") as answer:
            assert answer.status == 200
        async with node.session.post(node.url + "/v1/services/quotes") as answer:
            assert answer.status == 401


class TestCalls:
    """POST /v1/services/{route}."""

    async def charge(self, node: Node, key: str, body: bytes = b"1") -> tuple[int, str]:
        headers = {"Idempotency-Key": key}
        async with node.request(
            "POST", "/v1/services/charges", headers=headers, data=body
        ) as answer:
            return answer.status, answer.headers.get("X-Outcome", "")

    async def test_call_runs_once_for_each_key(self, node: Node) -> None:
        """Guards against running a call again for a concurrent or later repetition."""
        await asyncio.gather(*(self.charge(node, "a") for _ in range(5)))
        assert (await self.charge(node, "a"))[0] == 200
        assert len(node.service.effects) == 1

    async def test_intent_precedes_the_outcome(self, node: Node) -> None:
        """Guards against an outcome in the journal without an earlier intent."""
        await self.charge(node, "b")
        kinds = [type(record) for record in node.ownership.records]
        assert kinds == [IntentDeclared, OutcomeRecorded]

    async def test_call_with_a_lost_answer_is_not_repeated(self, node: Node) -> None:
        """Guards against running a charge again whose answer was lost."""
        node.service.faults.lose_answers = 1
        assert await self.charge(node, "c") == (502, "may_have_run")
        assert await self.charge(node, "c") == (502, "may_have_run")
        assert len(node.service.effects) == 1

    async def test_missing_idempotency_key_is_refused(self, node: Node) -> None:
        """Guards against running a non-idempotent call that has no idempotency key."""
        async with node.request("POST", "/v1/services/charges", data=b"1") as answer:
            assert (await answer.json())["error"]["code"] == "idempotency_key_required"
        assert not node.service.effects

    async def test_other_body_is_refused(self, node: Node) -> None:
        """Guards against running a call whose key was used for another body."""
        await self.charge(node, "d", b"1")
        assert (await self.charge(node, "d", b"2"))[0] == 409
        assert len(node.service.effects) == 1


class TestChat:
    """POST /v1/chat/completions."""

    async def test_whole_history_continues_a_program(self, node: Node) -> None:
        """Guards against refusing a chat client that sends the whole history."""
        program = await open_program(node)
        messages = [{"role": "user", "content": "one"}]
        for number in (1, 2):
            headers = {"X-Program-Id": program, "X-Turn": str(number)}
            body = {"model": "drafts", "messages": messages, "max_tokens": 5}
            async with node.request(
                "POST", "/v1/chat/completions", headers=headers, json=body
            ) as answer:
                assert answer.status == 200, await answer.text()
                messages.append((await answer.json())["choices"][0]["message"])
            messages.append({"role": "user", "content": "two"})

    async def test_single_turn_releases_its_session(self, node: Node) -> None:
        """Guards against an engine session that outlives a single chat completion."""
        body = {"model": "drafts", "messages": [{"role": "user", "content": "hi"}]}
        async with node.request("POST", "/v1/chat/completions", json=body) as answer:
            assert answer.status == 200, await answer.text()
        for _ in range(200):
            async with node.session.get(node.engine.url + "/v1/sessions") as answer:
                if not (await answer.json())["sessions"]:
                    return
            await asyncio.sleep(0.05)
        raise AssertionError("the engine still holds a session")
