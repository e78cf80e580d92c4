"""Gossip of versions, leaving VMs and quarantined requests between nodes."""

import asyncio
import logging
import random
from collections.abc import Callable

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError
from fireflyspread.nodes._messages import Hello, Message
from fireflyspread.nodes._peers import PeerClient
from fireflyspread.recovery import Member

__all__ = ["Gossip", "find_neighbours"]

_LOG = logging.getLogger(__name__)

# Seconds. Longer than any exchange within a region, shorter than the 3 s within which
# a bundle must be in force on all nodes.
_EXCHANGE_TIMEOUT = 1.0


def find_neighbours(names: list[str], own: str) -> tuple[str, ...]:
    """Return the nodes that the node ``own`` exchanges ``Hello`` messages with.

    The nodes form a ring in the order of their names, and each one takes those at
    distances 1, 2, 4, ... An update reaches n nodes in at most log2(n) exchanges, and a
    node makes log2(n) exchanges per interval instead of n - 1.
    """
    ring = sorted({*names, own})
    start, size = ring.index(own), len(ring)
    found: list[str] = []
    distance = 1
    while distance < size:
        found.append(ring[(start + distance) % size])
        distance *= 2
    return tuple(found)


class Gossip:
    """Exchanges ``Hello`` messages with each neighbour in a background task.

    Parameters
    ----------
    node : str
        Name of this node.
    make_hello : callable
        Returns a message with the state of this node.
    on_hello : callable
        Called with each message of another node.
    interval : float
        Seconds between two exchanges with one neighbour.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        node: str,
        make_hello: Callable[[], Hello],
        on_hello: Callable[[Hello], None],
        interval: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._node = node
        self._make_hello = make_hello
        self._on_hello = on_hello
        self._interval = interval
        self._clock = clock
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._last_hellos: dict[str, tuple[float, Hello]] = {}

    def set_members(self, members: tuple[Member, ...]) -> None:
        """Exchange messages with the neighbours among ``members`` only."""
        by_name = {member.name: member for member in members}
        names = find_neighbours(list(by_name), self._node)
        wanted = {by_name[n].peers: by_name[n] for n in names if n in by_name}
        for address in set(self._tasks) - set(wanted):
            self._tasks.pop(address).cancel()
            self._client.forget(address)
        for address in set(wanted) - set(self._tasks):
            task = asyncio.create_task(self._exchange(address))
            self._tasks[address] = task
        for name in set(self._last_hellos) - set(by_name):
            del self._last_hellos[name]

    def receive(self, hello: Hello) -> Hello:
        """Take the message of another node and return that of this node."""
        self._record(hello)
        return self._make_hello()

    def get_last_hellos(self) -> dict[str, tuple[float, Hello]]:
        """Return the last message of each node with its age in seconds."""
        now = self._clock.read_monotonic()
        return {
            name: (now - at, hello) for name, (at, hello) in self._last_hellos.items()
        }

    async def close(self) -> None:
        """Stop all tasks."""
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _exchange(self, address: str) -> None:
        while True:
            try:
                answer: Message = await self._client.ask(
                    address, self._make_hello(), timeout=_EXCHANGE_TIMEOUT
                )
                if isinstance(answer, Hello):
                    self._record(answer)
            except PeerError as exc:
                _LOG.debug("no Hello from %s: %s", address, exc)
            # Jitter keeps the nodes from sending at the same moment.
            await asyncio.sleep(self._interval * self._rng.uniform(0.8, 1.0))

    def _record(self, hello: Hello) -> None:
        self._last_hellos[hello.node] = (self._clock.read_monotonic(), hello)
        self._on_hello(hello)
