"""Programs survive faults of nodes and targets, seen from the caller."""

import asyncio

from standins._answers import verify_answer
from tools.client import CallerClient
from tools.cluster import LocalCluster
from tools.runner import ProgramRunner, run_closed
from tools.workload import Workload

ENGINE = {"token_seconds": 0.005}


class Conversation:
    """A program whose answers are checked against its own history."""

    def __init__(self, client: CallerClient, program: str) -> None:
        self.program = program
        self._client = client
        self._contents: list[str] = []
        self._turn = 0

    async def say(self, text: str, *, model: str = "lid-matching") -> None:
        """Run a turn and check the answer."""
        self._turn += 1
        self._contents.append(text)
        message = {"role": "user", "content": text}
        answer = await self._client.run_turn(
            self.program, self._turn, [message], model=model
        )
        assert verify_answer(self._contents, answer.text) is None
        self._contents.append(answer.text)

    async def check_history(self) -> None:
        """Compare the recorded history with what was sent and received."""
        messages = await self._client.read_history(self.program)
        assert [message["content"] for message in messages] == self._contents


async def open_conversation(client: CallerClient) -> Conversation:
    return Conversation(client, await client.open_program(100_000))


class TestNodes:
    """Faults of nodes."""

    async def test_owner_killed_between_turns(self) -> None:
        """A program's history is lost when its owner dies without a takeover."""
        async with LocalCluster(nodes=3, engine=ENGINE) as cluster:
            async with cluster.open_client("sourcing") as client:
                talks = [await open_conversation(client) for _ in range(6)]
                for talk in talks:
                    await talk.say(f"first of {talk.program}")
                await cluster.kill("node-1")
                for talk in talks:
                    await talk.say("second")
                    await talk.check_history()

    async def test_isolated_node_refuses(self) -> None:
        """A node cut off from everything acts on state that others have taken."""
        async with LocalCluster(nodes=3, engine=ENGINE) as cluster:
            async with cluster.open_client("sourcing") as client:
                talks = [await open_conversation(client) for _ in range(6)]
                for talk in talks:
                    await talk.say(f"first of {talk.program}")
                cluster.isolate("node-2")
                for talk in talks:
                    await talk.say("second")
                cluster.rejoin("node-2")
                for talk in talks:
                    await talk.say("third")
                    await talk.check_history()

    async def test_terminated_node_drains(self) -> None:
        """A graceful stop cuts off running requests or leaves programs behind."""
        async with LocalCluster(nodes=3, engine=ENGINE) as cluster:
            async with cluster.open_client("sourcing") as client:
                talks = [await open_conversation(client) for _ in range(6)]
                turns = [asyncio.create_task(talk.say("first")) for talk in talks]
                assert await cluster.terminate("node-3") == 0
                await asyncio.gather(*turns)
                for talk in talks:
                    await talk.say("second")


class TestTargets:
    """Faults of targets."""

    async def test_cut_stream_is_continued(self) -> None:
        """The part of an answer that a caller has seen is lost or sent twice."""
        async with LocalCluster(nodes=1, engine=ENGINE) as cluster:
            engines = cluster.deployment.engines.values()
            async with cluster.open_client("sourcing") as client:
                talk = await open_conversation(client)
                await talk.say("first")
                for number in range(4):
                    # Only the holder cuts, so that another replica can continue.
                    for engine in engines:
                        holds = talk.program in engine.cache.sessions
                        engine.faults.cut_next = int(holds)
                        engine.faults.cut_after = 3 + number
                    await talk.say(f"turn {number}")
                await talk.check_history()
            runs = [run for engine in engines for run in engine.runs]
            assert {run.offset for run in runs if run.state == "done"} > {0}

    async def test_workload_finishes(self) -> None:
        """A mixed load over all nodes mixes up answers or repeats an action."""
        async with LocalCluster(nodes=3, engine=ENGINE) as cluster:
            deployment = cluster.deployment
            workload = Workload("poklopac", deployment.bundle, 1)
            runner = ProgramRunner(
                cluster.urls, deployment.keys, deployment.bundle, time_scale=0.1
            )
            async with runner:
                await run_closed(
                    runner, workload.make_plan, programs=30, concurrency=10
                )
            assert runner.stats.failed == []
            assert runner.stats.mismatches == []
            for service in deployment.services.values():
                assert set(service.count_by_key().values()) <= {1}
