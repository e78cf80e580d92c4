"""Tells the other nodes which zones are being evacuated."""

import random
from collections.abc import Callable, Sequence

from fireflyspread.nodes._messages import ExchangeEvacuations, Message
from fireflyspread.nodes._peers import PeerClient
from fireflyspread.nodes._ring_exchange import RingExchange
from fireflyspread.recovery import Member, NodeAddress
from fireflyspread.routing import ZoneEvacuations

__all__ = ["EvacuationExchange"]


class EvacuationExchange(RingExchange):
    """Exchanges evacuated zones; ``RingExchange`` describes the other parameters.

    A node that the store does not answer asks a neighbour each second, so that it also
    learns of an evacuation that was announced while the neighbours did not reach it.

    Parameters
    ----------
    is_store_unavailable : callable
        Returns whether this node gets no answers from the store.
    """

    message_type = ExchangeEvacuations

    def __init__(
        self,
        client: PeerClient,
        evacuations: ZoneEvacuations,
        *,
        node: str,
        list_members: Callable[[], Sequence[Member | NodeAddress]],
        is_store_unavailable: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        super().__init__(client, node=node, list_members=list_members, rng=rng)
        self._evacuations = evacuations
        self._is_store_unavailable = is_store_unavailable
        evacuations.add_listener(self.announce)

    def make_message(self) -> Message:
        return ExchangeEvacuations(
            node=self._node,
            zones=sorted(self._evacuations.zones),
            revision=self._evacuations.revision,
        )

    def is_empty(self) -> bool:
        return not self._evacuations.zones and not self._is_store_unavailable()

    def merge(self, message: Message) -> None:
        if isinstance(message, ExchangeEvacuations):
            self._evacuations.offer(
                message.zones, message.revision, source=message.node
            )
