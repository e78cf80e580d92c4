"""Agent programs that loop without end until they are stopped, and their judgement."""

import asyncio

from cluster import BROKEN, HELD, Cluster, Front

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


def judge(cluster: Cluster, programs: list[AgentProgram]) -> int:
    """Return the exit code: whether a program got more than the rule allows."""
    most = max(each.tokens for each in programs)
    over = [each.name for each in programs if each.tokens > BUDGET + LARGEST_TURN]
    cluster.record.say(
        f"{'BROKEN' if over else 'held'}: {len(over)} of {len(programs)} programs got "
        f"more than {BUDGET} + {LARGEST_TURN} tokens; the most is {most}"
    )
    return BROKEN if over else HELD
