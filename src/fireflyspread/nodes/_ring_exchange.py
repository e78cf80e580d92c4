"""Exchange of small, seldom changed states between neighbours in a ring."""

import abc
import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from fireflyspread.exceptions import PeerError
from fireflyspread.nodes._gossip import find_neighbours
from fireflyspread.nodes._messages import Message
from fireflyspread.nodes._peers import PeerClient, PeerServer
from fireflyspread.recovery import Member, NodeAddress

__all__ = ["RingExchange"]

_LOG = logging.getLogger(__name__)

# Seconds for one message; the latency between nodes is a few milliseconds.
_MESSAGE_TIMEOUT = 0.15
# Seconds for which changes are collected before they are sent.
_DELAY = 0.01
# Seconds between exchanges that reach nodes which missed a change.
_INTERVAL = 1.0


class RingExchange(abc.ABC):
    """Exchanges a state with neighbours in a ring; each passes changes on.

    A change reaches n nodes in at most log2(n) steps. A node that has just started asks
    a neighbour for its state. Messages of both directions have the same type.

    Parameters
    ----------
    list_members : callable
        Returns the other nodes.

    Attributes
    ----------
    message_type : type
        Type of the messages.
    """

    message_type: type[Message]

    def __init__(
        self,
        client: PeerClient,
        *,
        node: str,
        list_members: Callable[[], Sequence[Member | NodeAddress]],
        rng: random.Random,
    ) -> None:
        self._client = client
        self._node = node
        self._list_members = list_members
        self._rng = rng
        self._changed = asyncio.Event()
        self._has_asked = False

    @abc.abstractmethod
    def make_message(self) -> Message:
        """Return the state of this node."""

    @abc.abstractmethod
    def is_empty(self) -> bool:
        """Return whether there is nothing to tell."""

    @abc.abstractmethod
    def merge(self, message: Message) -> None:
        """Add the state of another node."""

    def announce(self) -> None:
        """Send the state soon, because it has changed."""
        self._changed.set()

    def register(self, server: PeerServer) -> None:
        """Handle the state that other nodes send."""

        async def exchange(message: Message) -> Message:
            self.merge(message)
            return self.make_message()

        server.register(self.message_type, exchange)

    def _list_neighbours(self) -> list[str]:
        by_name = {m.name: m.peers for m in self._list_members()}
        names = find_neighbours(list(by_name), self._node)
        return [by_name[name] for name in names if name in by_name]

    async def run(self) -> None:
        """Send changes until cancelled."""
        while True:
            try:
                async with asyncio.timeout(_INTERVAL * self._rng.uniform(0.8, 1.0)):
                    await self._changed.wait()
            except TimeoutError:
                await self._exchange_one()
                continue
            await asyncio.sleep(_DELAY)
            self._changed.clear()
            neighbours = self._list_neighbours()
            await asyncio.gather(*(self._send(address) for address in neighbours))

    async def _exchange_one(self) -> None:
        """Exchange the state with one neighbour, if there may be any."""
        neighbours = self._list_neighbours()
        if neighbours and (not self.is_empty() or not self._has_asked):
            self._has_asked |= await self._send(self._rng.choice(neighbours))

    async def _send(self, address: str) -> bool:
        try:
            answer = await self._client.ask(
                address, self.make_message(), timeout=_MESSAGE_TIMEOUT
            )
            if not isinstance(answer, self.message_type):
                raise PeerError(f"{address} answered {type(answer).__name__}")
        except PeerError as exc:
            name = self.message_type.__name__
            _LOG.debug("%s not exchanged with %s: %s", name, address, exc)
            return False
        self.merge(answer)
        return True
