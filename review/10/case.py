"""Programs end with 402 after the connections between the machines have gone silent."""

import asyncio
import contextlib
import json
import random
from base64 import b64decode, b64encode
from collections import Counter
from pathlib import Path

from cluster import BROKEN, HELD, TROUBLE, Cluster, Front, LoanServer, run_case
from programs import BUDGET, FRONTS, KEY, LARGEST_TURN, STORES, STRIDE, TENANTS

from standins.store_view import StoreView

# Turns of a program; with up to two more sends of one of them they fit its budget.
TURNS = 6
# Programs of a wave, seconds between waves, and how many there are.
PROGRAMS, INTERVAL, WAVES = 24, 4.0, 3
# Seconds from the silence until the first wave (contactMs 3,000).
CALM = 8.0


class SilentProxy:
    """Passes bytes on; connections from before the silence then carry none any more.

    They stay open for good, and new ones work.
    """

    def __init__(self, address: str) -> None:
        self._target = address.rsplit(":", 1)
        self._server: asyncio.Server | None = None
        self._silences = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> str:
        """Listen on a free port and return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        for writer in self._writers:
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    def silence(self) -> int:
        """Silence the open connections; return how many there are."""
        self._silences += 1
        return len(self._writers) // 2

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = self._target
        try:
            server_reader, server_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        silences = self._silences

        async def forward(
            source: asyncio.StreamReader, sink: asyncio.StreamWriter
        ) -> None:
            with contextlib.suppress(OSError):
                while data := await source.read(65536):
                    if silences == self._silences:
                        sink.write(data)
                        await sink.drain()
            if silences == self._silences:
                sink.close()

        both = {writer, server_writer}
        self._writers |= both
        try:
            await asyncio.gather(
                forward(reader, server_writer), forward(server_reader, writer)
            )
        finally:
            self._writers -= both
            for each in both:
                each.close()


class ProxiedView(StoreView):
    """The store as the fronts see it: fronts and loan servers lie behind proxies."""

    async def _replace_address(self, item) -> None:
        if not item.get("value"):
            return
        value = b64decode(item["value"]).decode()
        if item["key"].startswith("cluster/journals/"):
            value = await self._find_proxy(value)
        elif item["key"].startswith("cluster/members/"):
            member = json.loads(value)
            member["peers"] = await self._find_proxy(member["peers"])
            value = json.dumps(member)
        else:
            return
        item["value"] = b64encode(value.encode()).decode()

    async def _find_proxy(self, address: str) -> str:
        if address not in self._addresses:
            proxy = self._proxies[address] = SilentProxy(address)
            self._addresses[address] = await proxy.start()
        return self._addresses[address]

    def silence(self) -> int:
        """Silence all open connections; return how many there are."""
        return sum(proxy.silence() for proxy in self._proxies.values())


class Program:
    """A program of a few turns that fit its budget."""

    def __init__(self, cluster: Cluster, number: int, *, moves: bool) -> None:
        self.cluster = cluster
        self.name = f"{0x7A310000 + number:x}"
        self.answers: list[int] = []
        # Tokens handed to the client, and tokens of all other sends at their most.
        self.tokens = self.others = 0
        self._moves = moves
        self._random = random.Random(number)
        zones = list(dict.fromkeys(front.zone for front in cluster.fronts))
        self._zones = zones[number % len(zones) :] + zones[: number % len(zones)]

    @property
    def is_denied(self) -> bool:
        """Whether the last answer is a 402 though the budget holds the turn."""
        most = self.tokens + self.others
        return self.answers[-1] == 402 and most + LARGEST_TURN <= BUDGET

    async def run(self) -> None:
        """Run the turns until one fails for good."""
        for turn in range(TURNS):
            if await self._send_turn(turn) != 200:
                return
            await asyncio.sleep(self._random.uniform(0.03, 0.12))

    async def _send_turn(self, turn: int) -> int:
        """Send a turn, and up to twice more if it fails."""
        zone = self._zones[turn % len(self._zones) if self._moves else 0]
        status = 0
        for attempt in range(3):
            if attempt:
                await asyncio.sleep(self._random.uniform(0.1, 0.4))
            # A new connection goes to any ready front of its zone.
            front = self._random.choice([f for f in self.cluster.fronts if f.zone == zone])
            status = await self._send(front)
            if status in (200, 402):
                break
            self.others += LARGEST_TURN
        return status

    async def _send(self, front: Front) -> int:
        request = f"{self.name}{len(self.answers):08x}"
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
        self.answers.append(status)
        return status


async def main() -> int:
    async with Cluster(Path(__file__).with_name("record.txt")) as cluster:
        record = cluster.record
        record.say(f"TROUBLE={int(TROUBLE)}")
        view = ProxiedView(cluster.store.url)
        await view.start()
        cluster.views.append(view)
        await cluster.add_replicas("models", 3)
        await cluster.add_replicas("orders", 1)
        cluster.put_config(TENANTS)
        cluster.loan_servers = [LoanServer(cluster, *each) for each in STORES]
        cluster.fronts = [Front(cluster, *each) for each in FRONTS]
        for front in cluster.fronts:
            front.store = view.address
        await cluster.start_all()
        await asyncio.sleep(6.0)
        programs: list[Program] = []
        if await run_wave(cluster, 0, "before", programs):
            raise RuntimeError("programs are refused before the disruption")
        if TROUBLE:
            count = view.silence()
            record.say(f"fault    {count} open connections go silent; new ones work")
        await asyncio.sleep(CALM)
        denied = 0
        for wave in range(1, WAVES + 1):
            denied += await run_wave(cluster, wave, f"wave {wave}", programs)
            await asyncio.sleep(INTERVAL)
        requests = sum(len(program.answers) for program in programs)
        allowed = 5 + requests / 500
        broken = denied > allowed
        record.say(
            f"{'BROKEN' if broken else 'held'}: {denied} of {requests} requests were "
            f"answered 402 although the budget holds the turn; {allowed:.1f} are allowed"
        )
        return BROKEN if broken else HELD


async def run_wave(
    cluster: Cluster, wave: int, name: str, programs: list[Program]
) -> int:
    """Run the programs of a wave; return how many were denied a turn.

    Parameters
    ----------
    programs : list of Program
        Gets the programs.
    """
    # Every second program moves to another zone from one turn to the next.
    begun = [
        Program(cluster, wave * PROGRAMS + number, moves=number % 2 == 1)
        for number in range(PROGRAMS)
    ]
    programs += begun
    await asyncio.gather(*(each.run() for each in begun))
    ends = Counter(each.answers[-1] for each in begun)
    denied = [each for each in begun if each.is_denied]
    cluster.record.say(f"programs {name}: last answers {dict(sorted(ends.items()))}")
    for each in denied:
        cluster.record.write(
            f"denied   {each.name}: 402 after {each.tokens} tokens and at most "
            f"{each.others} of sends that failed, of {BUDGET}"
        )
    return len(denied)


run_case(main)
