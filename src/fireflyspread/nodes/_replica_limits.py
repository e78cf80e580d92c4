"""Tells the other nodes which limits replicas have named."""

import asyncio
import logging
import random
from collections.abc import Callable, Sequence

from fireflyspread.exceptions import PeerError
from fireflyspread.limits import ReplicaLimits
from fireflyspread.nodes._gossip import find_neighbours
from fireflyspread.nodes._messages import ExchangeLimits, Message
from fireflyspread.nodes._peers import PeerClient, PeerServer
from fireflyspread.recovery import Member, NodeAddress

__all__ = ["LimitExchange"]

_LOG = logging.getLogger(__name__)

# Seconds for one message; the latency between nodes is a few milliseconds.
_MESSAGE_TIMEOUT = 0.15
# Seconds for which changes are collected before they are sent.
_DELAY = 0.01
# Seconds between exchanges that reach nodes which missed a change.
_INTERVAL = 1.0


class LimitExchange:
    """Exchanges limits with neighbours in a ring; each passes changes on.

    A change reaches n nodes in at most log2(n) steps. A node that has just started asks
    a neighbour for all limits.

    Parameters
    ----------
    list_members : callable
        Returns the other nodes.
    """

    def __init__(
        self,
        client: PeerClient,
        limits: ReplicaLimits,
        *,
        node: str,
        list_members: Callable[[], Sequence[Member | NodeAddress]],
        rng: random.Random,
    ) -> None:
        self._client = client
        self._limits = limits
        self._node = node
        self._list_members = list_members
        self._rng = rng
        self._changed = asyncio.Event()
        self._has_asked = False
        limits.add_listener(self._changed.set)

    def register(self, server: PeerServer) -> None:
        """Handle the limits that other nodes send."""

        async def exchange(message: ExchangeLimits) -> Message:
            self._limits.merge(message.node, message.limits)
            return self._make_message()

        server.register(ExchangeLimits, exchange)

    def _make_message(self) -> ExchangeLimits:
        return ExchangeLimits(node=self._node, limits=self._limits.list_known())

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
        """Exchange all limits with one neighbour, if there may be any."""
        self._limits.expire()
        neighbours = self._list_neighbours()
        if neighbours and (self._limits.list_known() or not self._has_asked):
            self._has_asked |= await self._send(self._rng.choice(neighbours))

    async def _send(self, address: str) -> bool:
        try:
            answer = await self._client.ask(
                address, self._make_message(), timeout=_MESSAGE_TIMEOUT
            )
            if not isinstance(answer, ExchangeLimits):
                raise PeerError(f"{address} answered {type(answer).__name__}")
        except PeerError as exc:
            _LOG.debug("limits of replicas not exchanged with %s: %s", address, exc)
            return False
        self._limits.merge(answer.node, answer.limits)
        return True
