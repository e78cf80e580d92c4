"""Tests of processes: loans of a node that ends before it can write them to the store.

The loans are on the disks of loan servers alone while the store is down. Afterwards the
loan servers lose their disks, are retired or cannot be reached, and the programs that
have spent their budgets come again.
"""

import asyncio
import json
import signal
from base64 import b64decode, b64encode
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from fireflyspread._ranking import rank_nodes
from soak.cluster import MAX_OUTPUT_TOKENS, Cluster, Gateway, make_turn_headers
from soak.proxy import Proxy, ProxyFault
from standins.platform_replica import TOKENS_PER_EVENT
from standins.store_view import StoreView

BUDGET = 864
LENDER, NEXT_OWNER = "front-1", "front-2"
# More than the turns that a budget can hold, and the attempts that a turn may need.
MAX_TURNS = 60


class Programs:
    """Programs that spend their budgets during an outage of the store.

    The node that owns their accounts is stopped meanwhile.
    """

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self.cluster = cluster
        self.tokens = dict.fromkeys(self.choose(4), 0)
        self._session = session
        self._requests = 0

    def choose(self, count: int) -> list[str]:
        """Return ids of programs that the lender owns, and after it the next owner."""
        names = [node.name for node in self.cluster.nodes]
        ids = (f"{number:x}" for number in range(4096, 8192))
        owners = [LENDER, NEXT_OWNER]
        return [e for e in ids if rank_nodes(names, e)[:2] == owners][:count]

    @property
    def lender(self):
        (lender,) = [node for node in self.cluster.nodes if node.name == LENDER]
        return lender

    async def spend_in_outage(self, *, restart: bool = True) -> None:
        """Spend the budgets while the store is down and their owner is stopped."""
        await self.begin_outage()
        stop = asyncio.create_task(self.lender.stop())
        await asyncio.sleep(0.3)
        assert set(await self.spend()) == {402}
        assert min(self.tokens.values()) > BUDGET - MAX_OUTPUT_TOKENS
        await stop
        self.end_outage()
        if restart:
            await self.lender.start(is_first=False)

    async def begin_outage(self) -> None:
        """Let the store refuse all calls, until all nodes have noticed it."""
        await self._wait_for_members()
        self.cluster.store.faults.status = 503
        await asyncio.sleep(0.7)

    def end_outage(self) -> None:
        """Let the store answer again."""
        self.cluster.store.faults.status = 0

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

    async def test_in_the_outage_one_after_the_other_loses_no_loan(self, programs):
        """Guards against empty disks that count as disks without loans."""
        await programs.begin_outage()
        assert set(await programs.spend()) == {402}
        await programs.lender.stop(signal.SIGKILL)
        for server in programs.cluster.loan_servers:
            await server.stop(signal.SIGKILL)
            server.lose_disk()
            await server.start(is_first=False)
            # The disk is restored while the machine still counts as lost (4 s).
            await asyncio.sleep(4.0)
        others = [n for n in programs.cluster.nodes if n.name != LENDER]
        for node in others:
            await node.stop(signal.SIGKILL)
        programs.end_outage()
        await asyncio.gather(*(node.start(is_first=False) for node in others))
        await programs.spend()
        programs.check()


class _LoanServerView(StoreView):
    """The store as one node sees it: the loan servers lie behind silent proxies."""

    async def _replace_address(self, item: dict[str, Any]) -> None:
        if not item["key"].startswith("cluster/journals/") or not item.get("value"):
            return
        address = b64decode(item["value"]).decode()
        if address not in self._addresses:
            proxy = self._proxies[address] = Proxy(address)
            self._addresses[address] = await proxy.start()
            proxy.inject(ProxyFault.SILENCE)
        item["value"] = b64encode(self._addresses[address].encode()).decode()


class TestCutNode:
    async def test_does_not_draw_what_it_cannot_know_to_be_lent(self, programs):
        """Guards against a read of the loans that failed and counts as done.

        The node that owns the accounts restarts and reaches no loan server. The other
        nodes do, so its programs are decided there.
        """
        await self._cut_off(programs.cluster, programs.lender)
        await programs.spend_in_outage()
        # For 5 s after a start, loan servers have to confirm draws.
        await asyncio.sleep(6.0)
        assert set(await programs.spend()) == {402}
        programs.check()
        # New programs of the node are served by the next one.
        programs.tokens = dict.fromkeys(programs.choose(8)[4:], 0)
        assert set(await programs.spend()) == {402}
        assert min(programs.tokens.values()) > BUDGET - MAX_OUTPUT_TOKENS
        programs.check()

    async def test_does_not_draw_beside_a_lost_lender(self, programs):
        """Guards against the same while the loans cannot be written to the store.

        The lender is lost for good, which the others learn when its lease ends, and the
        next node of the ranking is the one that is cut off.
        """
        await programs.spend_in_outage(restart=False)
        next_owner = programs.cluster.nodes[2]
        assert next_owner.name == NEXT_OWNER
        await next_owner.stop()
        await self._cut_off(programs.cluster, next_owner)
        await next_owner.start(is_first=False)
        await asyncio.sleep(6.0)
        await programs.spend()
        programs.check()

    async def _cut_off(self, cluster: Cluster, node: Gateway) -> None:
        """Let a node reach no loan server from its next start on."""
        view = _LoanServerView(cluster.store.url)
        await view.start()
        cluster.views.append(view)
        node.store = view.address


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
