"""Tests of programs during faults of nodes and targets, from the caller's side."""

import asyncio

from standins._answers import verify_answer
from tools.client import CallerClient
from tools.cluster import LocalCluster
from tools.runner import ProgramRunner, run_closed
from tools.workload import Workload

ENGINE_OPTIONS = {"token_seconds": 0.005}


class Conversation:
    """A program whose answers are checked against its own history."""

    def __init__(self, client: CallerClient, program: str) -> None:
        self.program = program
        self._client = client
        self._contents: list[str] = []
        self._turn = 0

    async def run_turn(self, text: str, *, model: str = "lid-matching") -> None:
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

    async def test_history_survives_kill_of_owner(self) -> None:
        """Guards against losing a history when a program's owner is killed."""
        async with LocalCluster(nodes=3, engine=ENGINE_OPTIONS) as cluster:
            async with cluster.open_client("sourcing") as client:
                conversations = [await open_conversation(client) for _ in range(6)]
                for conversation in conversations:
                    await conversation.run_turn(f"first of {conversation.program}")
                await cluster.kill("node-1")
                for conversation in conversations:
                    await conversation.run_turn("second")
                    await conversation.check_history()

    async def test_histories_survive_isolation_of_node(self) -> None:
        """Guards against a partitioned node that acts on programs others took over."""
        async with LocalCluster(nodes=3, engine=ENGINE_OPTIONS) as cluster:
            async with cluster.open_client("sourcing") as client:
                conversations = [await open_conversation(client) for _ in range(6)]
                for conversation in conversations:
                    await conversation.run_turn(f"first of {conversation.program}")
                cluster.isolate("node-2")
                for conversation in conversations:
                    await conversation.run_turn("second")
                cluster.rejoin("node-2")
                for conversation in conversations:
                    await conversation.run_turn("third")
                    await conversation.check_history()

    async def test_terminated_node_drains(self) -> None:
        """Guards against a graceful stop that aborts requests or loses programs."""
        async with LocalCluster(nodes=3, engine=ENGINE_OPTIONS) as cluster:
            async with cluster.open_client("sourcing") as client:
                conversations = [await open_conversation(client) for _ in range(6)]
                turns = [
                    asyncio.create_task(conversation.run_turn("first"))
                    for conversation in conversations
                ]
                assert await cluster.terminate("node-3") == 0
                await asyncio.gather(*turns)
                for conversation in conversations:
                    await conversation.run_turn("second")


class TestTargets:
    """Faults of targets."""

    async def test_cut_stream_is_continued(self) -> None:
        """Guards against losing or repeating the part of an answer already sent."""
        async with LocalCluster(nodes=1, engine=ENGINE_OPTIONS) as cluster:
            engines = cluster.deployment.engines.values()
            async with cluster.open_client("sourcing") as client:
                conversation = await open_conversation(client)
                await conversation.run_turn("first")
                for number in range(4):
                    # Only the engine with the session cuts, so another can continue.
                    for engine in engines:
                        has_session = conversation.program in engine.cache.sessions
                        engine.faults.cut_next = int(has_session)
                        engine.faults.cut_after = 3 + number
                    await conversation.run_turn(f"turn {number}")
                await conversation.check_history()
            runs = [run for engine in engines for run in engine.runs]
            assert {run.offset for run in runs if run.state == "done"} > {0}

    async def test_workload_finishes(self) -> None:
        """Guards against mixed-up answers and repeated actions under a mixed load."""
        async with LocalCluster(nodes=3, engine=ENGINE_OPTIONS) as cluster:
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
