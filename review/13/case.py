"""A gateway cut from the loan servers draws a budget that was lent in an outage."""

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
from views import Links

CONTACT = 3.0
# Just below the doses of poklopac-prod: platform_down 4.5 s, node_cut 5.5 s.
STORE_DOWN = 4.4
CUT = 5.4
# Seconds of the outage for which the cut has begun.
OVERLAP = 0.5
KEY = "key-of-lids"
PROGRAM = "3fa81c"
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
    links = Links()
    async with Deployment(record, gateways=4) as deployment:
        by_name = {gateway.name: gateway for gateway in deployment.gateways}
        nodes = [by_name[name] for name in rank_nodes(by_name, PROGRAM)]
        await links.attach_to_loan_servers(
            nodes[1], deployment.loan_servers, deployment.store.url
        )
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
            return await play(deployment, nodes, links, record)
        finally:
            await links.stop()
            for replica in replicas:
                replica.stop()


async def play(deployment, nodes, links, record):
    program = Program(PROGRAM, record)
    owner, second, third, _ = nodes
    record.add(f"{owner.name} owns the budget, {second.name} is the second node")
    turns = BUDGET // TURN_TOKENS
    if has_trouble():
        deployment.store.faults.down = "refuse"
        down_at = record.now()
        record.add("the store is down: it resets and refuses connections")
    owner.send(signal.SIGTERM)
    record.add(f"{owner.name} is stopped as planned and leaves")
    await asyncio.sleep(0.6)
    done = await program.run_turns(third, "aa", turns)
    if done < turns:
        record.add("the first turns were not served")
        return CANNOT_RUN
    await owner.wait()
    record.add(f"{owner.name} has ended")
    if has_trouble():
        if record.now() > down_at + STORE_DOWN - OVERLAP:
            record.add("it ended too late")
            return CANNOT_RUN
        await asyncio.sleep(down_at + STORE_DOWN - OVERLAP - record.now())
        links.cut()
        cut_at = record.now()
        record.add(f"{second.name} is cut from the loan servers")
        await asyncio.sleep(down_at + STORE_DOWN - record.now())
        deployment.store.faults.down = ""
        record.add(f"the store is back, {record.now() - down_at:.1f} s later")
    await asyncio.sleep(1.0)
    # The program loops: it goes on after it was told that its budget is spent.
    await program.run_turns(third, "aa", turns + 2)
    if has_trouble():
        await asyncio.sleep(max(0.0, cut_at + CUT - record.now()))
        links.heal()
        record.add("the cut has ended")
    for key in [key for key in deployment.store.items if key.startswith("programs/")]:
        value = json.loads(deployment.store.read(key))
        record.add(f"record in the store: {value}")
    for text in "budget lent", "draw recorded":
        for line in deployment.grep_logs(text)[:6]:
            record.add("log of " + line[:300])
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
