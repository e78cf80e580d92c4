"""The caller API against stand-ins."""

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

    async def test_runs_dependent_turns(self, node: Node) -> None:
        """The second turn reaches the engine with the whole history."""
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

    async def test_failure_in_first_turn_leaves_small_budget(self, node: Node) -> None:
        """A node that failed before the first answer must not end small programs."""
        program_id = await open_program(node, budget=2000)
        budget = node.context.programs.find("clerks", program_id).budget
        budget.charge_reservation()
        assert budget.remaining >= 1500

    async def test_streams_until_done(self, node: Node) -> None:
        """A streamed answer ends with its record and the end mark."""
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        body = make_turn(1, stream=True, max_tokens=8)
        async with node.request("POST", path, json=body) as answer:
            text = await answer.text()
        assert text.endswith("data: [DONE]\n\n")
        assert '"durability":"durable"' in text
        assert text.startswith("id: 0\ndata: ")

    async def test_repeated_turn_runs_once(self, node: Node) -> None:
        """A caller that repeats a turn gets the same answer without a second run."""
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        answers = []
        for _ in range(2):
            async with node.request("POST", path, json=make_turn(1)) as answer:
                answers.append((await answer.json())["choices"])
        assert answers[0] == answers[1]
        runs = [r for r in node.engine.received if r.path == "/v1/chat/completions"]
        assert len(runs) == 1

    async def test_continues_at_another_stream_position(self, node: Node) -> None:
        """A caller that reconnects gets the answer of its own turn."""
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        async with node.request("POST", path, json=make_turn(1, stream=True)) as first:
            await first.content.readline()
        async with node.request("GET", f"{path}/1") as answer:
            assert (await answer.text()).endswith("data: [DONE]\n\n")

    async def test_counts_the_budget_at_the_engine(self, node: Node) -> None:
        """A loop without end is stopped by the budget."""
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

    async def test_hides_the_program_from_other_teams(self, node: Node) -> None:
        """Another team cannot tell the program from an absent one."""
        program = await open_program(node)
        path = f"/v1/programs/{program}"
        async with node.request("GET", path, key=OTHER_KEY) as answer:
            assert answer.status == 404

    async def test_refuses_malformed_bodies(self, node: Node) -> None:
        """A body that is not JSON gets an error that names the problem."""
        program = await open_program(node)
        path = f"/v1/programs/{program}/turns"
        async with node.request("POST", path, data=b"{") as answer:
            error = (await answer.json())["error"]
        assert (answer.status, error["code"]) == (400, "request_invalid")


class TestKeys:
    """Withdrawn keys and what targets see."""

    async def test_withdrawn_key_ends_a_stream(self, node: Node) -> None:
        """A stream that is open when its key is withdrawn ends with that error."""
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
        """Neither headers nor bodies at the targets contain the caller's key."""
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
        """A route open to all is served without a key, others are not."""
        async with node.session.post(node.url + "/v1/services/catalogue") as answer:
            assert answer.status == 200
        async with node.session.post(node.url + "/v1/services/quotes") as answer:
            assert answer.status == 401


class TestCalls:
    """Calls of services."""

    async def charge(self, node: Node, key: str, body: bytes = b"1") -> tuple[int, str]:
        headers = {"Idempotency-Key": key}
        async with node.request(
            "POST", "/v1/services/charges", headers=headers, data=body
        ) as answer:
            return answer.status, answer.headers.get("X-Outcome", "")

    async def test_runs_once_for_each_key(self, node: Node) -> None:
        """The same order from several connections at once runs once."""
        await asyncio.gather(*(self.charge(node, "a") for _ in range(5)))
        assert (await self.charge(node, "a"))[0] == 200
        assert len(node.service.effects) == 1

    async def test_declares_before_dispatch(self, node: Node) -> None:
        """The intent is in the journal before the outcome."""
        await self.charge(node, "b")
        kinds = [type(record) for record in node.ownership.records]
        assert kinds == [IntentDeclared, OutcomeRecorded]

    async def test_lost_answer_is_never_repeated(self, node: Node) -> None:
        """A charge whose answer was lost may have run and is not run again."""
        node.service.faults.lose_answers = 1
        assert await self.charge(node, "c") == (502, "may_have_run")
        assert await self.charge(node, "c") == (502, "may_have_run")
        assert len(node.service.effects) == 1

    async def test_requires_a_key(self, node: Node) -> None:
        """A non-idempotent call without a key is refused before it runs."""
        async with node.request("POST", "/v1/services/charges", data=b"1") as answer:
            assert (await answer.json())["error"]["code"] == "idempotency_key_required"
        assert not node.service.effects

    async def test_other_body_is_refused(self, node: Node) -> None:
        """A key that is reused for another order does not run it."""
        await self.charge(node, "d", b"1")
        assert (await self.charge(node, "d", b"2"))[0] == 409
        assert len(node.service.effects) == 1


class TestChat:
    """POST /v1/chat/completions."""

    async def test_continues_a_program(self, node: Node) -> None:
        """A chat client that sends the whole history continues the program."""
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

    async def test_releases_a_single_turn(self, node: Node) -> None:
        """A chat completion without a program leaves no engine memory behind."""
        body = {"model": "drafts", "messages": [{"role": "user", "content": "hi"}]}
        async with node.request("POST", "/v1/chat/completions", json=body) as answer:
            assert answer.status == 200, await answer.text()
        for _ in range(200):
            async with node.session.get(node.engine.url + "/v1/sessions") as answer:
                if not (await answer.json())["sessions"]:
                    return
            await asyncio.sleep(0.05)
        raise AssertionError("the engine still holds a session")
