"""Two nodes lend the same tokens of a program's budget in one outage of the store."""

import asyncio
import json
import signal
from pathlib import Path

from fireflyspread._ranking import rank_nodes
from harness import (
    BROKEN,
    CANNOT_RUN,
    HELD,
    Deployment,
    Replica,
    has_trouble,
    request,
    run_script,
)

CONTACT = 3.0
# Largest dose of node_kill on poklopac-prod, and just below that of platform_down, 4.5 s.
KILLED = 3.5
STORE_DOWN = 4.4
KEY = "key-of-lids"
STRIDE, EVENTS = 9, 8
TURN_TOKENS = STRIDE * EVENTS
BUDGET = 16 * TURN_TOKENS
# A client attempt and its retry, for a turn that is sent at most three times.
MAX_ATTEMPTS = 6
CONFIG = {
    "version": 5,
    "routes": [
        {
            "name": "sourcing-run",
            "host": "shop.example",
            "prefix": "/turn/",
            "kind": "streaming",
            "service": "matchmodels",
            "timeoutMs": 4000,
            "targetLatencyMs": 200,
            "targetGapMs": 200,
            "priority": 0,
            "maxAttempts": 1,
            "resumable": True,
            "sticky": True,
        }
    ],
    "services": [
        {
            "name": "matchmodels",
            "maxConnections": 180,
            "engine": {"slots": 16, "kvCapacityTokens": 123411, "stride": STRIDE},
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "lids", "apiKeys": [KEY], "ratePerS": 50, "burst": 50}],
}


class Program:
    """A program whose lines of turns arrive at different nodes."""

    def __init__(self, name, record):
        self.name = name
        self.tokens = 0
        self.is_spent = False
        self._record = record
        self._count = 0

    async def run_turns(self, gateway, session, count):
        """Run turns one after the other; return how many were answered whole."""
        for done in range(count):
            if not await self._run_turn(gateway, session):
                return done
        return count

    async def _run_turn(self, gateway, session):
        for _ in range(MAX_ATTEMPTS):
            self._count += 1
            answer = await self._attempt(gateway, session)
            events = answer.body.count(b"id: ")
            self.tokens += events * STRIDE
            self._record.add(
                f"turn {self._count} of line {session} at {gateway.name}: "
                f"{answer.status} {answer.error}, {events * STRIDE} tokens, "
                f"{self.tokens} of {BUDGET} in all"
            )
            if answer.status == 402:
                self.is_spent = True
                return False
            if answer.status == 200 and answer.is_complete:
                return True
            await asyncio.sleep(0.3)
        return False

    async def _attempt(self, gateway, session):
        headers = {
            "Fireflyspread-Request-Id": f"{session}{self._count:06d}",
            "Fireflyspread-Time-Remaining": "4000",
            "Fireflyspread-Model": "m",
            "Fireflyspread-Token-Count": f"1460,{TURN_TOKENS}",
            "Fireflyspread-Prompt-Prefix": f"5c1e07a2:800,{session}:660",
            "Fireflyspread-Program-Id": self.name,
            "Fireflyspread-Session-Id": session,
            "Fireflyspread-Program-Deadline": "30000",
            "Fireflyspread-Token-Budget": str(BUDGET),
            "Authorization": f"Token {KEY}",
        }
        return await request(
            gateway.callers, "POST", "/turn/2f", headers, b"x" * 600, timeout=5.0
        )


async def main(record):
    async with Deployment(record, gateways=4) as deployment:
        replicas = [
            await Replica(f"i-{n}", record, events=EVENTS, gap=0.005).start()
            for n in range(3)
        ]
        deployment.put_config(CONFIG)
        for replica in replicas:
            deployment.register(replica, "matchmodels")
        await deployment.start_all()
        await asyncio.sleep(CONTACT + 0.5)
        try:
            return await play(deployment, record)
        finally:
            for replica in replicas:
                replica.stop()


async def play(deployment, record):
    by_name = {gateway.name: gateway for gateway in deployment.gateways}
    program = Program("3fa81c", record)
    owner, second, third, fourth = (
        by_name[name] for name in rank_nodes(by_name, program.name)
    )
    record.add(f"{owner.name} owns the budget, {second.name} is the second node")
    if has_trouble():
        owner.send(signal.SIGKILL)
        await owner.wait()
        killed_at = record.now()
    done = await program.run_turns(third, "aa", BUDGET // TURN_TOKENS // 2)
    if done < BUDGET // TURN_TOKENS // 2:
        record.add("the first turns were not served")
        return CANNOT_RUN
    if has_trouble():
        await asyncio.sleep(max(0.0, killed_at + KILLED - 1.0 - record.now()))
        await owner.start(is_first=False)
        await deployment.wait_complete()
        record.add(f"{owner.name} is back, {record.now() - killed_at:.1f} s later")
        await asyncio.sleep(2.0)
        deployment.store.faults.down = "refuse"
        down_at = record.now()
        record.add("the store is down: it resets and refuses connections")
        await asyncio.sleep(0.6)
    # A sub-agent at another node, and the first line, by turns.
    quarter = BUDGET // TURN_TOKENS // 4
    for gateway, session in (fourth, "bb"), (third, "aa"), (fourth, "bb"):
        await program.run_turns(gateway, session, quarter)
    if has_trouble():
        await asyncio.sleep(max(0.0, down_at + STORE_DOWN - record.now()))
        deployment.store.faults.down = ""
        record.add(f"the store is back, {record.now() - down_at:.1f} s later")
    await asyncio.sleep(2.0)
    await program.run_turns(third, "aa", 2)
    for key, item in deployment.store.items.items():
        if key.startswith("programs/"):
            value = json.loads(deployment.store.read(key))
            record.add(f"record in the store: {value}")
    for line in deployment.grep_logs("budget lent"):
        record.add("log of " + line)
    allowed = BUDGET + TURN_TOKENS
    record.add(
        f"{program.tokens} tokens were handed to the client; the budget is {BUDGET}, "
        f"with the most of one turn {allowed}"
    )
    if program.tokens > allowed:
        record.add("BROKEN: more than the budget and the most of one turn")
        return BROKEN
    return HELD


run_script(Path(__file__).with_name("record.txt"), main)
