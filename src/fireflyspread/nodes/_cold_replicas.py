"""Tells the other nodes which replicas are cold."""

import random
from collections.abc import Callable, Sequence

from fireflyspread.limits import ColdReplicas
from fireflyspread.nodes._messages import ExchangeCold, Message
from fireflyspread.nodes._peers import PeerClient
from fireflyspread.nodes._ring_exchange import RingExchange
from fireflyspread.recovery import Member, NodeAddress

__all__ = ["ColdExchange"]


class ColdExchange(RingExchange):
    """Exchanges cold replicas; ``RingExchange`` describes the parameters."""

    message_type = ExchangeCold

    def __init__(
        self,
        client: PeerClient,
        cold: ColdReplicas,
        *,
        node: str,
        list_members: Callable[[], Sequence[Member | NodeAddress]],
        rng: random.Random,
    ) -> None:
        super().__init__(client, node=node, list_members=list_members, rng=rng)
        self._cold = cold
        cold.add_listener(self.announce)

    def make_message(self) -> Message:
        return ExchangeCold(node=self._node, replicas=self._cold.list_known())

    def is_empty(self) -> bool:
        return not self._cold.list_known()

    def merge(self, message: Message) -> None:
        if isinstance(message, ExchangeCold):
            self._cold.merge(message.node, message.replicas)
