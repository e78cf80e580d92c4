"""Agent programs that loop without end until they are stopped, and their judgement."""

import asyncio
import signal
from collections.abc import Callable

from cluster import BROKEN, HELD, TROUBLE, Cluster, Front, LoanServer

from fireflyspread._ranking import rank_nodes

TENANT, KEY = "lika", "lika-key"
# Tokens: of an event, of the largest turn (8 events), and of a program.
STRIDE, LARGEST_TURN, BUDGET = 9, 72, 720

FRONTS = [
    ("front-zagreb-east-1", "zagreb-east"),
    ("front-zagreb-east-2", "zagreb-east"),
    ("front-zagreb-west-1", "zagreb-west"),
    ("front-zagreb-north-1", "zagreb-north"),
]
STORES = [
    ("store-zagreb-east-1", "zagreb-east"),
    ("store-zagreb-west-1", "zagreb-west"),
    ("store-zagreb-north-1", "zagreb-north"),
]
# Seconds for which the store is down (pages: 4.5).
STORE_DOWN = 4.5
TENANTS = [
    {"name": TENANT, "apiKeys": [KEY], "priority": 1, "ratePerS": 122, "burst": 122}
]


class AgentProgram:
    """A program that loops without end until it is stopped.

    Attributes
    ----------
    tokens : int
        Tokens handed to the client in all turns, those of broken answers included.
    """

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.tokens = 0
        self._turns = 0

    async def send_turn(self, front: Front) -> int:
        """Send one turn, again up to twice if it fails; return the last status."""
        for _ in range(3):
            self._turns += 1
            request = f"{self.name}{self._turns:04x}"
            status, body = await self.cluster.send(
                front,
                "POST",
                "/turns/stream",
                {
                    "Authorization": f"Token {KEY}",
                    "Fireflyspread-Request-Id": request,
                    "Fireflyspread-Time-Remaining": "4000",
                    "Fireflyspread-Program-Id": self.name,
                    "Fireflyspread-Session-Id": self.name,
                    "Fireflyspread-Program-Deadline": "5200",
                    "Fireflyspread-Token-Budget": str(BUDGET),
                    "Fireflyspread-Model": "m",
                    "Fireflyspread-Token-Count": f"1000,{LARGEST_TURN}",
                    "Fireflyspread-Prompt-Prefix": f"5c1e07a2:500,{self.name}:500",
                },
            )
            if status == 200:
                self.tokens += STRIDE * body.count(b"data: piece")
            if status in (200, 402):
                return status
            await asyncio.sleep(0.4)
        return status

    async def run_until_stopped(self, front: Front) -> None:
        """Run turns until the answer 402, or until a turn has failed."""
        turns = 0
        while turns < 40 and (status := await self.send_turn(front)) == 200:
            turns += 1
        self.cluster.record.say(
            f"program  {self.name}: {turns} turns, then {status}; {self.tokens} of "
            f"{BUDGET} tokens so far"
        )


def choose_programs(owner: str, count: int) -> list[str]:
    """Return ids of programs whose accounts the front ``owner`` keeps.

    With four fronts a quarter of all programs are such.
    """
    names = [name for name, _ in FRONTS]
    ids = (f"{0x3FA81C00 + number:x}" for number in range(1000))
    return [each for each in ids if rank_nodes(names, each)[0] == owner][:count]


async def start_deployment(cluster: Cluster, fronts: list[Front]) -> None:
    """Start the replicas, the configuration, ``fronts`` and the loan servers."""
    cluster.record.say(
        f"TROUBLE={int(TROUBLE)}, allowed: {BUDGET} + {LARGEST_TURN} tokens"
    )
    await cluster.add_replicas("models", 3)
    await cluster.add_replicas("orders", 1)
    cluster.put_config(TENANTS)
    cluster.loan_servers = [LoanServer(cluster, *each) for each in STORES]
    cluster.fronts = fronts
    await cluster.start_all()
    # For 5 s after its start a front lets the loan servers confirm each draw.
    await asyncio.sleep(6.0)


async def spend_budgets(
    cluster: Cluster, owner: Front, on_end: Callable[[], None] = lambda: None
) -> list[AgentProgram]:
    """Let programs spend their budgets while their owner is restarted as planned.

    The store is down meanwhile, unless TROUBLE is 0.

    Parameters
    ----------
    on_end : callable
        Called when the process of ``owner`` has ended, before it is started again.
    """
    record, loop = cluster.record, asyncio.get_running_loop()
    begin = loop.time()
    if TROUBLE:
        record.say(f"fault    the store is down (503) for {STORE_DOWN:g} s")
        cluster.store.faults.status = 503

    def heal() -> None:
        if TROUBLE:
            cluster.store.faults.status = 0
            record.say("healed   the store answers again")

    loop.call_at(begin + STORE_DOWN, heal)
    await asyncio.sleep(0.7)
    stop = asyncio.create_task(owner.end(signal.SIGTERM))
    await asyncio.sleep(0.3)
    programs = [AgentProgram(cluster, e) for e in choose_programs(owner.name, 6)]
    entry = next(each for each in cluster.fronts if each is not owner)
    await asyncio.gather(*(each.run_until_stopped(entry) for each in programs))
    await stop
    record.say(f"ended    {owner.name}")
    on_end()
    await asyncio.sleep(0.3)
    await owner.start()
    await owner.wait_ready()
    await asyncio.sleep(max(0.0, begin + STORE_DOWN - loop.time()))
    return programs


async def return_programs(cluster: Cluster, programs: list[AgentProgram]) -> int:
    """Let the stopped programs come again; return the exit code."""
    cluster.record.say("return   the stopped programs come again")
    entry = cluster.fronts[0]
    await asyncio.gather(*(each.run_until_stopped(entry) for each in programs))
    return judge(cluster, programs)


async def restart_fronts(cluster: Cluster, gap: float) -> None:
    """Stop and start the fronts in turn, ``gap`` seconds apart, as planned work."""

    async def restart(front: Front, delay: float) -> None:
        await asyncio.sleep(delay)
        await front.end(signal.SIGTERM)
        await asyncio.sleep(0.3)
        await front.start()
        await front.wait_ready()

    await asyncio.gather(*(restart(f, n * gap) for n, f in enumerate(cluster.fronts)))


def judge(cluster: Cluster, programs: list[AgentProgram]) -> int:
    """Return the exit code: whether a program got more than the rule allows."""
    most = max(each.tokens for each in programs)
    over = [each.name for each in programs if each.tokens > BUDGET + LARGEST_TURN]
    cluster.record.say(
        f"{'BROKEN' if over else 'held'}: {len(over)} of {len(programs)} programs got "
        f"more than {BUDGET} + {LARGEST_TURN} tokens; the most is {most}"
    )
    return BROKEN if over else HELD
