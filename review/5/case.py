"""A program gets more than its budget around the planned restart of a node."""

import asyncio
import re
import signal
from collections import Counter
from pathlib import Path

import aiohttp

from fireflyspread._ranking import rank_nodes
from review.support.processes import Record, has_trouble, run_case
from soak.cluster import Cluster, make_config, make_headers
from standins.platform_replica import TOKENS_PER_EVENT

EVENTS = 8
TURN_TOKENS = EVENTS * TOKENS_PER_EVENT
BUDGET_TURNS = 100
BUDGET = BUDGET_TURNS * TURN_TOKENS
PROGRAMS = 8
# Lines of turns of a program: itself and its sub-agents.
LINES = 4
EVENT_SECONDS = 0.03
PAUSE_SECONDS = 0.1
# Turns of each program before the node is stopped.
TURNS_BEFORE_STOP = 56
# Seconds before an answer of the store: 4 ms, and less than 60 times that while it is
# slow.
STORE_SECONDS = 0.004
SLOW_STORE_SECONDS = 0.23
SLOW_FROM, SLOW_FOR = 1.5, 4.5
_EVENT = re.compile(rb"id: \d+\n")


class Program:
    """A program that loops and starts sub-agents until it is stopped."""

    def __init__(self, name: str, urls: list[str], record: Record) -> None:
        self.name = name
        self.tokens = 0
        self.turns = 0
        self.statuses: Counter[str] = Counter()
        self.is_stopped = False
        self._urls = urls
        self._record = record
        self._number = 0

    async def run_line(self, line: int) -> None:
        """Send turns until the program is told twice more that its budget is spent."""
        refused = 0
        async with aiohttp.ClientSession() as session:
            while refused < 3 and not self.is_stopped:
                status = await self._send(session, line)
                refused = refused + 1 if status == "402" else 0
                await asyncio.sleep(PAUSE_SECONDS)

    async def _send(self, session: aiohttp.ClientSession, line: int) -> str:
        self._number += 1
        request = f"{self.name}-{line}-{self._number}"
        url = self._urls[self._number % len(self._urls)]
        headers = make_headers(
            request,
            **{
                "Fireflyspread-Program-Id": self.name,
                "Fireflyspread-Session-Id": f"{self.name}-{line}",
                "Fireflyspread-Program-Deadline": "30000",
                "Fireflyspread-Token-Budget": str(BUDGET),
                "Fireflyspread-Token-Count": f"600,{TURN_TOKENS}",
                "Fireflyspread-Prompt-Prefix": f"aa:512,{self.name}:88",
                "Fireflyspread-Model": "m",
            },
        )
        body = b""
        status = "none"
        try:
            async with session.post(
                f"{url}/turns/stream", headers=headers, data=b"{}"
            ) as response:
                status = str(response.status)
                async for data in response.content.iter_any():
                    body += data
        except aiohttp.ClientError as exc:
            status = type(exc).__name__
        tokens = 0
        if status == "200":
            tokens = TOKENS_PER_EVENT * len(_EVENT.findall(body))
        self.tokens += tokens
        self.turns += tokens > 0
        self.statuses[status] += 1
        self._record.write(f"turn {request} at {url} -> {status}, {tokens} tokens")
        return status


async def play(folder: Path, record: Record) -> bool:
    """Return whether no program got more than its budget and one turn."""
    async with Cluster(folder, nodes=3, replicas=3) as system:
        system.store.faults.delay = STORE_SECONDS
        for replica in system.models:
            replica.faults.work = EVENT_SECONDS
        config = make_config(4)
        config["services"][0]["engine"]["slots"] = 64
        system.put_config(config)
        await asyncio.sleep(1.0)
        leaving = system.nodes[0]
        names = [node.name for node in system.nodes]
        urls = [f"http://{node.callers}" for node in system.nodes[1:]]
        ids = (f"loop{number}" for number in range(1000))
        owned = [each for each in ids if rank_nodes(names, each)[0] == leaving.name]
        programs = [Program(name, urls, record) for name in owned[:PROGRAMS]]

        async def run_lines() -> None:
            await asyncio.gather(
                *(p.run_line(n) for p in programs for n in range(LINES))
            )

        lines = asyncio.create_task(run_lines())
        while any(each.turns < TURNS_BEFORE_STOP for each in programs):
            await asyncio.sleep(0.02)

        async def slow_store() -> None:
            await asyncio.sleep(SLOW_FROM)
            record.write("store: each answer takes 0.23 s")
            system.store.faults.delay = SLOW_STORE_SECONDS
            await asyncio.sleep(SLOW_FOR)
            system.store.faults.delay = STORE_SECONDS
            record.write("store: answers as usual again")

        if has_trouble():
            record.write(f"SIGTERM to {leaving.name}")
            slowness = asyncio.create_task(slow_store())
            await leaving.stop(signal.SIGTERM)
            record.write(f"{leaving.name} has ended")
            await asyncio.sleep(1.0)
            await leaving.start(is_first=False)
            record.write(f"{leaving.name} is ready again")
            await slowness
        await lines
        # Programs that were stopped return.
        await run_lines()
        logs = "".join(node.log_path.read_text() for node in system.nodes)
    handed_over = logs.count("unspent tokens handed over")
    record.write(f"messages about tokens handed over: {handed_over}", is_printed=True)
    limit = BUDGET + TURN_TOKENS
    for each in programs:
        record.write(
            f"program {each.name}: {each.tokens} tokens in {each.turns} turns, budget "
            f"{BUDGET}, at most {limit}; {dict(each.statuses)}",
            is_printed=True,
        )
    return all(each.tokens <= limit for each in programs)


if __name__ == "__main__":
    run_case(Path(__file__).parent, play)
