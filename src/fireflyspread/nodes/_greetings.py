"""Spreads versions, leaving VMs and quarantined requests between nodes."""

import asyncio
import logging
import random
from collections.abc import Callable

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError
from fireflyspread.nodes._messages import Hello, Message
from fireflyspread.nodes._peers import PeerClient
from fireflyspread.recovery import Member

__all__ = ["Greeter", "find_neighbours"]

_LOG = logging.getLogger(__name__)

# Seconds; longer than any exchange inside a region, shorter than the 3 s in which a
# bundle has to be in force everywhere.
_TIMEOUT = 1.0


def find_neighbours(names: list[str], own: str) -> tuple[str, ...]:
    """Return the nodes to exchange greetings with.

    Each node takes those at distances 1, 2, 4, ... in the order of names. News reaches
    n nodes in at most log2(n) exchanges, and a node makes log2(n) exchanges an
    interval instead of n - 1.
    """
    ring = sorted({*names, own})
    start, size = ring.index(own), len(ring)
    found: list[str] = []
    distance = 1
    while distance < size:
        found.append(ring[(start + distance) % size])
        distance *= 2
    return tuple(found)


class Greeter:
    """One task for each neighbour.

    Parameters
    ----------
    make_hello : callable
        Returns what this node knows.
    take_hello : callable
        Takes what the other node knows.
    interval : float
        Seconds between two exchanges with one neighbour.
    """

    def __init__(
        self,
        client: PeerClient,
        *,
        own: str,
        make_hello: Callable[[], Hello],
        take_hello: Callable[[Hello], None],
        interval: float,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._client = client
        self._own = own
        self._make_hello = make_hello
        self._take_hello = take_hello
        self._interval = interval
        self._clock = clock
        self._rng = rng
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._heard: dict[str, tuple[float, Hello]] = {}

    def set_members(self, members: tuple[Member, ...]) -> None:
        """Greet the neighbours among ``members`` and no others."""
        by_name = {member.name: member for member in members}
        names = find_neighbours(list(by_name), self._own)
        wanted = {by_name[n].peers: by_name[n] for n in names if n in by_name}
        for address in set(self._tasks) - set(wanted):
            self._tasks.pop(address).cancel()
            self._client.forget(address)
        for address in set(wanted) - set(self._tasks):
            task = asyncio.create_task(self._greet(address))
            self._tasks[address] = task
        for name in set(self._heard) - set(by_name):
            del self._heard[name]

    def take(self, hello: Hello) -> Hello:
        """Answer a greeting of another node."""
        self._note(hello)
        return self._make_hello()

    def get_heard(self) -> dict[str, tuple[float, Hello]]:
        """Return the last greeting of each node with its age in seconds."""
        now = self._clock.read_monotonic()
        return {name: (now - at, hello) for name, (at, hello) in self._heard.items()}

    async def close(self) -> None:
        """Stop all tasks."""
        tasks = list(self._tasks.values())
        self._tasks.clear()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _greet(self, address: str) -> None:
        while True:
            try:
                answer: Message = await self._client.ask(
                    address, self._make_hello(), timeout=_TIMEOUT
                )
                if isinstance(answer, Hello):
                    self._note(answer)
            except PeerError as exc:
                _LOG.debug("no greeting from %s: %s", address, exc)
            # Jitter keeps the nodes from greeting in step.
            await asyncio.sleep(self._interval * self._rng.uniform(0.8, 1.0))

    def _note(self, hello: Hello) -> None:
        self._heard[hello.node] = (self._clock.read_monotonic(), hello)
        self._take_hello(hello)
