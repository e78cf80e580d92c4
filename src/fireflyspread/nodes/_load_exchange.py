"""Exchange of the load and speed of replicas with the aggregators of the zones."""

import asyncio
import logging
import random
from collections.abc import Callable, Mapping, Sequence

from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError
from fireflyspread.nodes._messages import ExchangeLoads, Message
from fireflyspread.nodes._peers import PeerClient, PeerServer
from fireflyspread.recovery import NodeAddress
from fireflyspread.routing import (
    LoadShare,
    LoadShares,
    PolicyScheduler,
    choose_aggregators,
)

__all__ = ["LoadExchange"]

_LOG = logging.getLogger(__name__)

# Seconds for one message; the latency between nodes is a few milliseconds.
_MESSAGE_TIMEOUT = 0.1
# With more nodes than this the interval grows, so that an aggregator of three zones
# gets no more than about 320 messages a second.
_NODES_AT_INTERVAL = 48
# Seconds for which a node that has not answered is not asked; another one of its zone
# is the aggregator meanwhile.
_SILENCE_SECONDS = 2.0


class LoadExchange:
    """Tells the aggregator of the zone this node's load, and learns that of others.

    Nothing is sent until a replica reports its speed. If no aggregator answers, the
    estimates of placement grow old, and requests are placed without them.

    Parameters
    ----------
    list_members : callable
        Returns the other nodes.
    interval : float
        Seconds between exchanges with up to 48 nodes.
    """

    def __init__(
        self,
        client: PeerClient,
        scheduler: PolicyScheduler,
        clock: Clock,
        *,
        node: str,
        zone: str,
        list_members: Callable[[], Sequence[NodeAddress]],
        rng: random.Random,
        interval: float,
    ) -> None:
        self._client = client
        self._scheduler = scheduler
        self._clock = clock
        self._node = node
        self._zone = zone
        self._list_members = list_members
        self._rng = rng
        self._interval = interval
        self._shares = LoadShares()
        self._silent_until: dict[str, float] = {}
        self.told_nodes = 0

    def register(self, server: PeerServer) -> None:
        """Handle what other nodes tell."""
        server.register(ExchangeLoads, self._handle)

    async def _handle(self, message: ExchangeLoads) -> Message:
        now = self._clock.read_monotonic()
        self._merge(message, now)
        return self._make_sums(message.node, is_aggregator=message.is_aggregator)

    def _merge(self, message: ExchangeLoads, now: float) -> None:
        shares = {
            replica: LoadShare(*share) for replica, share in message.loads.items()
        }
        self._shares.merge(
            message.node, shares, is_aggregator=message.is_aggregator, now=now
        )

    def _make_sums(self, asker: str, *, is_aggregator: bool) -> ExchangeLoads:
        """Return what this node tells ``asker``, which may be an aggregator."""
        sums = self._shares.sum_up(
            self._scheduler.read_load_shares(),
            asker=asker,
            is_aggregator=is_aggregator,
            now=self._clock.read_monotonic(),
        )
        return ExchangeLoads(
            node=self._node, is_aggregator=True, loads=_encode_shares(sums)
        )

    async def run(self) -> None:
        """Exchange loads until cancelled."""
        while True:
            interval = self._interval * self._rng.uniform(0.8, 1.2)
            nodes = len(self._list_members()) + 1
            await asyncio.sleep(interval * max(1.0, nodes / _NODES_AT_INTERVAL))
            if self._scheduler.knows_speeds() or self._shares.count():
                await self.exchange()

    async def exchange(self) -> None:
        """Exchange loads once."""
        now = self._clock.read_monotonic()
        members = {member.name: member for member in self._list_members()}
        silent = {n: until for n, until in self._silent_until.items() if until > now}
        self._silent_until = silent
        zones = {name: member.zone for name, member in members.items()}
        zones[self._node] = self._zone
        aggregators = choose_aggregators(zones, excluded=list(silent))
        is_aggregator = self._node in aggregators
        if not is_aggregator:
            own = [name for name in aggregators if zones[name] == self._zone]
            aggregators = own or aggregators[:1]
        await asyncio.gather(
            *(
                self._exchange_with(members[name], is_aggregator)
                for name in aggregators
                if name != self._node
            )
        )
        self.told_nodes = self._shares.count()
        if is_aggregator:
            sums = self._shares.sum_up(
                {},
                asker=self._node,
                is_aggregator=False,
                now=self._clock.read_monotonic(),
            )
            self._scheduler.record_load_shares(sums)

    async def _exchange_with(self, member: NodeAddress, is_aggregator: bool) -> None:
        message: Message = ExchangeLoads(
            node=self._node,
            is_aggregator=False,
            loads=_encode_shares(self._scheduler.read_load_shares()),
        )
        if is_aggregator:
            message = self._make_sums(member.name, is_aggregator=True)
        try:
            answer = await self._client.ask(
                member.peers, message, timeout=_MESSAGE_TIMEOUT
            )
            if not isinstance(answer, ExchangeLoads):
                raise PeerError(f"{member.name} answered {type(answer).__name__}")
        except PeerError as exc:
            now = self._clock.read_monotonic()
            self._silent_until[member.name] = now + _SILENCE_SECONDS
            _LOG.info(
                "loads of replicas not exchanged: %s", exc, extra={"node": member.name}
            )
            return
        if is_aggregator:
            self._merge(answer, self._clock.read_monotonic())
        else:
            self._scheduler.record_load_shares(
                {r: LoadShare(*share) for r, share in answer.loads.items()}
            )


def _encode_shares(
    shares: Mapping[str, LoadShare],
) -> dict[str, tuple[int, float | None, float]]:
    return {
        replica: (share.running, share.slowdown, round(share.age, 3))
        for replica, share in shares.items()
    }
