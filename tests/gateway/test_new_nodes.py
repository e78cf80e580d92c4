"""Tests of processes: a node is added while the store refuses another one."""

import asyncio
import time
from pathlib import Path

import aiohttp

from fireflyspread.limits._homes import _rank
from soak.cluster import Cluster, Gateway, make_config, make_headers
from soak.proxy import ProxyFault

RATE = BURST = 10
WINDOW = 5.0
# As in the settings of the soak's gateways: rate and burst, an overshoot of a tenth,
# and 20 requests.
LIMIT = (RATE * WINDOW + BURST) * 1.1 + 20
SECONDS, PER_SECOND = 6.5, 45
NAMES = ["front-0", "front-1", "front-2"]
REFUSED, ADDED = "front-0", "front-2"


def _choose_team() -> str:
    """Return a team whose only home moves from the refused node to the added one."""

    def find_home(names: list[str], team: str) -> str:
        return min(names, key=lambda name: _rank(name, team))

    teams = (f"team-{number}" for number in range(1000))
    return next(
        team
        for team in teams
        if find_home(NAMES[:2], team) == REFUSED and find_home(NAMES, team) == ADDED
    )


class TestNewNode:
    async def test_shares_no_rate_that_a_refused_node_still_uses(self, tmp_path: Path):
        """Guards against two nodes that give out the whole rate of one team."""
        async with Cluster(tmp_path, nodes=2, proxied=True) as cluster:
            team = {"name": _choose_team(), "apiKeys": ["team-key"]}
            team |= {"ratePerS": RATE, "burst": BURST}
            cluster.put_config(make_config(4, tenants=[team]))
            await asyncio.sleep(0.5)
            cluster.proxies[REFUSED].inject(ProxyFault.RESET)
            await asyncio.sleep(0.2)
            address = cluster.store.url.removeprefix("http://")
            added = Gateway(tmp_path, ADDED, address)
            cluster.nodes.append(added)
            await added.start(is_first=False)
            # A new node had its share 3 s after its start.
            await asyncio.sleep(4.0)
            served = await self._send(cluster)
            most = max(
                sum(begin <= sent and end <= begin + WINDOW for sent, end in served)
                for begin, _ in served
            )
            # The rate is not lost either.
            assert RATE * WINDOW / 2 <= most <= LIMIT

    async def _send(self, cluster: Cluster) -> list[tuple[float, float]]:
        """Send requests to all nodes in turn; return the times of those served."""
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        async with aiohttp.ClientSession(connector=connector) as session:

            async def send(number: int) -> tuple[int, float, float]:
                await asyncio.sleep(number / PER_SECOND)
                node = cluster.nodes[number % len(cluster.nodes)]
                begin = time.monotonic()
                async with session.get(
                    f"http://{node.callers}/prices/1",
                    headers=make_headers(f"r{number}", key="team-key"),
                ) as response:
                    return response.status, begin, time.monotonic()

            answers = await asyncio.gather(
                *(send(number) for number in range(int(SECONDS * PER_SECOND)))
            )
        assert {status for status, _, _ in answers} <= {200, 429}
        return [(begin, end) for status, begin, end in answers if status == 200]
