"""Tests of processes: loans of a node that ends before it can write them to the store.

The loans are on the disks of loan servers alone while the store is down. Afterwards the
loan servers lose their disks, are retired or cannot be reached, and the programs that
have spent their budgets come again.
"""

import asyncio
import json
import signal
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

from fireflyspread._ranking import rank_nodes
from soak.cluster import MAX_OUTPUT_TOKENS, Cluster, make_turn_headers
from standins.platform_replica import TOKENS_PER_EVENT

BUDGET = 864
LENDER = "front-1"
# More than the turns that a budget can hold, and the attempts that a turn may need.
MAX_TURNS = 60


class Programs:
    """Programs that spend their budgets during an outage of the store.

    The node that owns their accounts is stopped meanwhile.
    """

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self.cluster = cluster
        names = [node.name for node in cluster.nodes]
        ids = (f"{number:x}" for number in range(4096, 8192))
        owned = (each for each in ids if rank_nodes(names, each)[0] == LENDER)
        self.tokens = {next(owned): 0 for _ in range(4)}
        self._session = session
        self._requests = 0

    @property
    def lender(self):
        (lender,) = [node for node in self.cluster.nodes if node.name == LENDER]
        return lender

    async def spend_in_outage(self, *, restart: bool = True) -> None:
        """Spend the budgets while the store is down and their owner is stopped."""
        await self._wait_for_members()
        self.cluster.store.faults.status = 503
        await asyncio.sleep(0.7)
        stop = asyncio.create_task(self.lender.stop())
        await asyncio.sleep(0.3)
        assert set(await self.spend()) == {402}
        assert min(self.tokens.values()) > BUDGET - MAX_OUTPUT_TOKENS
        await stop
        self.cluster.store.faults.status = 0
        if restart:
            await self.lender.start(is_first=False)

    async def _wait_for_members(self) -> None:
        for node in self.cluster.nodes:
            for _ in range(200):
                url = f"http://{node.metrics}/state"
                async with self._session.get(url) as response:
                    if len((await response.json())["members"]) == 3:
                        break
                await asyncio.sleep(0.025)
            else:
                raise AssertionError(f"{node.name} does not know all nodes after 5 s")

    async def spend(self, node: int = 0) -> list[int]:
        """Run turns until each program is refused for good; return the statuses."""
        return await asyncio.gather(*(self._run(each, node) for each in self.tokens))

    async def _run(self, program: str, node: int) -> int:
        status = 0
        for _ in range(MAX_TURNS):
            status = await self.send(program, node)
            if status == 402:
                break
            await asyncio.sleep(0.3 if status == 503 else 0.0)
        return status

    async def send(self, program: str, node: int = 0) -> int:
        """Send one turn; return its status."""
        self._requests += 1
        headers = make_turn_headers(f"r{self._requests}", program, budget=BUDGET)
        async with self._session.post(
            f"http://{self.cluster.nodes[node].callers}/turns/stream", headers=headers
        ) as response:
            body = await response.read()
            if response.status == 200:
                self.tokens[program] += TOKENS_PER_EVENT * body.count(b"data: piece")
            return response.status

    def check(self) -> None:
        """Check that no program got more than its budget and a turn."""
        assert max(self.tokens.values()) <= BUDGET + MAX_OUTPUT_TOKENS, self.tokens


@pytest.fixture
async def programs(tmp_path: Path) -> AsyncIterator[Programs]:
    connector = aiohttp.TCPConnector(force_close=True)
    async with (
        aiohttp.ClientSession(connector=connector) as session,
        Cluster(tmp_path, nodes=3, loan_servers=3) as cluster,
    ):
        yield Programs(cluster, session)


async def restart_nodes(cluster: Cluster) -> None:
    """Stop all running nodes, so that no process remembers the loans."""
    running = [n for n in cluster.nodes if n.process.returncode is None]
    await asyncio.gather(*(node.stop() for node in running))
    await asyncio.gather(*(node.start(is_first=False) for node in running))


class TestLossOfDisks:
    async def test_after_the_outage_loses_no_loan(self, programs):
        """Guards against loans that stay on disks while the store is available."""
        await programs.spend_in_outage()
        await asyncio.sleep(2.0)
        servers = programs.cluster.loan_servers
        for server in servers:
            await server.stop(signal.SIGKILL)
            server.lose_disk()
        await asyncio.gather(*(server.start(is_first=False) for server in servers))
        await restart_nodes(programs.cluster)
        await programs.spend()
        programs.check()


class TestRetirement:
    async def test_of_all_loan_servers_loses_no_loan(self, programs):
        """Guards against a disk that is given away with loans that are nowhere else.

        The lender does not come back, so that its loans are not in the store yet.
        """
        await programs.spend_in_outage(restart=False)
        cluster = programs.cluster
        for number, server in enumerate(tuple(cluster.loan_servers)):
            added = cluster.make_loan_server(10 + number)
            cluster.loan_servers.append(added)
            await added.start(is_first=False)
            await self._wait_for(cluster, f"cluster/journals/{added.name}")
            await asyncio.sleep(0.5)
            cluster.store.put(f"op/retire/{server.name}", b'{"durationS": 8}')
            await self._wait_for(cluster, f"status/retire/{server.name}")
            status = cluster.store.read(f"status/retire/{server.name}")
            assert json.loads(status)["state"] == "completed"
            await server.stop(signal.SIGKILL)
            server.lose_disk()
        await restart_nodes(cluster)
        await programs.spend()
        programs.check()

    async def _wait_for(self, cluster: Cluster, key: str) -> None:
        for _ in range(400):
            if cluster.store.read(key) is not None:
                return
            await asyncio.sleep(0.02)
        raise AssertionError(f"{key} is not written after 8 s")
