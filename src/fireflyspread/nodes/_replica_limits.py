"""Tells the other nodes which limits replicas have named."""

import random
from collections.abc import Callable, Sequence

from fireflyspread.limits import ReplicaLimits
from fireflyspread.nodes._messages import ExchangeLimits, Message
from fireflyspread.nodes._peers import PeerClient
from fireflyspread.nodes._ring_exchange import RingExchange
from fireflyspread.recovery import Member, NodeAddress

__all__ = ["LimitExchange"]


class LimitExchange(RingExchange):
    """Exchanges limits of replicas; ``RingExchange`` describes the parameters."""

    message_type = ExchangeLimits

    def __init__(
        self,
        client: PeerClient,
        limits: ReplicaLimits,
        *,
        node: str,
        list_members: Callable[[], Sequence[Member | NodeAddress]],
        rng: random.Random,
    ) -> None:
        super().__init__(client, node=node, list_members=list_members, rng=rng)
        self._limits = limits
        limits.add_listener(self.announce)

    def make_message(self) -> Message:
        return ExchangeLimits(node=self._node, limits=self._limits.list_known())

    def is_empty(self) -> bool:
        self._limits.expire()
        return not self._limits.list_known()

    def merge(self, message: Message) -> None:
        if isinstance(message, ExchangeLimits):
            self._limits.merge(message.node, message.limits)
