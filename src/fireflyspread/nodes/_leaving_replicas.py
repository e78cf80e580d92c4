"""Tells the other nodes which replicas have said that they are leaving."""

import random
from collections.abc import Callable, Sequence

from fireflyspread.nodes._messages import ExchangeLeaving, Message
from fireflyspread.nodes._peers import PeerClient
from fireflyspread.nodes._ring_exchange import RingExchange
from fireflyspread.recovery import Member, NodeAddress
from fireflyspread.routing import ReplicaDirectory

__all__ = ["LeavingExchange"]


class LeavingExchange(RingExchange):
    """Exchanges leaving replicas; ``RingExchange`` describes the parameters.

    Only those that are registered are told, so that a message lists no process for long
    after its end.
    """

    message_type = ExchangeLeaving

    def __init__(
        self,
        client: PeerClient,
        directory: ReplicaDirectory,
        *,
        node: str,
        list_members: Callable[[], Sequence[Member | NodeAddress]],
        rng: random.Random,
    ) -> None:
        super().__init__(client, node=node, list_members=list_members, rng=rng)
        self._directory = directory
        directory.add_leaving_listener(self.announce)

    def make_message(self) -> Message:
        return ExchangeLeaving(
            node=self._node, replicas=self._directory.read_leaving_ages()
        )

    def is_empty(self) -> bool:
        return not self._directory.read_leaving_ages()

    def merge(self, message: Message) -> None:
        if isinstance(message, ExchangeLeaving):
            self._directory.merge_leaving(message.node, message.replicas)
