"""Sends requests through other nodes while this node does not reach a replica."""

import abc
import asyncio
import logging
import random
from collections import Counter
from collections.abc import Sequence

from fireflyspread.bundle import Replica
from fireflyspread.clock import Clock
from fireflyspread.exceptions import PeerError, TargetUnreachableError
from fireflyspread.forwarding._backend import Backend, Dispatch, Reply
from fireflyspread.forwarding._request import ForwardRequest

__all__ = ["RelayNode", "RelayNodes", "RelayingBackend"]

_LOG = logging.getLogger(__name__)

# Other nodes that are asked for one request.
_MAX_RELAYS = 3
# Seconds for which a node that could not relay a request is asked last.
_FAILED_RELAY_SECONDS = 2.0
# Seconds for which a replica that no asked node reaches counts as down.
_DOWN_SECONDS = 1.0
# Seconds between attempts to connect to a replica that this node does not reach.
_PROBE_INTERVAL = 1.0
# Seconds between checks of a replica that only other nodes can watch.
_WATCH_INTERVAL = 0.5
# Seconds after which a broken path that nothing uses is forgotten.
_PATH_TTL = 30.0


class RelayNode(abc.ABC):
    """Another node, as a way to the replicas.

    Attributes
    ----------
    name, zone : str
        Name and availability zone of the node.
    """

    name: str
    zone: str

    @abc.abstractmethod
    async def send(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply:
        """Send a request to a replica; raises as ``Backend.send`` does.

        Raises
        ------
        PeerError
            The node did not take the request, so nothing was sent to the replica.
        """

    @abc.abstractmethod
    async def accepts_connection(self, replica: Replica) -> bool:
        """Return whether the node can connect to a replica; raises ``PeerError``."""


class RelayNodes(abc.ABC):
    """The other nodes that may relay requests."""

    @abc.abstractmethod
    def list_nodes(self) -> Sequence[RelayNode]:
        """Return the nodes."""


class _Path:
    """A path to a replica that is broken.

    Attributes
    ----------
    used_at : float
        Monotonic seconds at which a request last needed the path.
    """

    def __init__(self, now: float) -> None:
        self.used_at = now


class RelayingBackend(Backend):
    """Sends requests directly, or through another node that reaches the replica.

    If this node does not reach a replica and another node does, the path is broken and
    not the replica. Requests then go through other nodes until this node can connect
    again. All decisions stay here: the other node sends one request to one replica and
    relays nothing further.

    Parameters
    ----------
    direct : Backend
        Client of the replicas.
    zone : str
        Zone of this node, whose nodes are asked last: they are likely to be cut too.
    """

    def __init__(
        self,
        direct: Backend,
        nodes: RelayNodes,
        *,
        zone: str,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._direct = direct
        self._nodes = nodes
        self._zone = zone
        self._clock = clock
        self._rng = rng
        self._paths: dict[str, _Path] = {}
        self._failed_until: dict[str, float] = {}
        # Until when a replica counts as down, and who asks whether it is.
        self._down_until: dict[str, float] = {}
        self._lookups: dict[str, asyncio.Task[bool | None]] = {}
        self._in_flight: Counter[str] = Counter()
        self._tasks: set[asyncio.Task[None]] = set()

    async def send(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply:
        if self.is_path_broken(replica):
            reply = await self._try_relays(request, replica, dispatch)
            if reply is not None:
                return reply
        try:
            return await self._direct.send(request, replica, dispatch)
        except TargetUnreachableError:
            # Nothing was sent.
            if not await self._is_reached_by_others(replica):
                raise
            self._mark_broken(replica)
            reply = await self._try_relays(request, replica, dispatch)
            if reply is None:
                raise
        return reply

    async def _try_relays(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply | None:
        """Return the reply through another node; None if no node reaches the replica.

        Raises
        ------
        TargetError
            A node sent the request and got no valid response.
        """

        for node in self._choose_nodes(dispatch.relay_zones):
            self._in_flight[node.name] += 1
            try:
                reply = await node.send(request, replica, dispatch)
            except (PeerError, TargetUnreachableError) as exc:
                _LOG.info(
                    "request not relayed: %s",
                    exc.message,
                    extra={"request": request.id, "relay": node.name},
                )
                self._record_failure(node)
                continue
            finally:
                self._in_flight[node.name] -= 1
            _LOG.info(
                "request relayed by another node",
                extra={
                    "request": request.id,
                    "replica": replica.name,
                    "relay": node.name,
                },
            )
            return reply
        return None

    def _record_failure(self, node: RelayNode) -> None:
        now = self._clock.read_monotonic()
        self._failed_until[node.name] = now + _FAILED_RELAY_SECONDS

    def _choose_nodes(self, zones: frozenset[str] | None = None) -> list[RelayNode]:
        now = self._clock.read_monotonic()
        nodes = self._nodes.list_nodes()
        return sorted(
            (node for node in nodes if zones is None or node.zone in zones),
            key=lambda node: (
                self._failed_until.get(node.name, 0.0) > now,
                node.zone == self._zone,
                self._in_flight[node.name],
                self._rng.random(),
            ),
        )[:_MAX_RELAYS]

    async def accepts_connection(self, replica: Replica) -> bool:
        if self.is_path_broken(replica):
            # Without an answer nothing tells the replica's state.
            return await self._is_reached_by_others(replica) is not False
        if await self._direct.accepts_connection(replica):
            return True
        is_reached = bool(await self._is_reached_by_others(replica))
        if is_reached:
            self._mark_broken(replica)
        return is_reached

    async def wait_disconnected(self, replica: Replica, *, timeout: float) -> bool:
        if self.is_path_broken(replica):
            await asyncio.sleep(min(timeout, _WATCH_INTERVAL))
            return timeout > _WATCH_INTERVAL
        return await self._direct.wait_disconnected(replica, timeout=timeout)

    async def _is_reached_by_others(self, replica: Replica) -> bool | None:
        """Ask other nodes at the same time whether they can connect to a replica.

        Requests that fail together share the answer, and a replica that nobody reaches
        is not asked about again for a second.

        Returns
        -------
        bool or None
            None if no node answered.
        """
        name = replica.name
        if self._down_until.get(name, 0.0) > self._clock.read_monotonic():
            return False
        lookup = self._lookups.get(name)
        if lookup is None:
            lookup = self._lookups[name] = asyncio.create_task(self._look_up(replica))
            lookup.add_done_callback(lambda _: self._lookups.pop(name, None))
        return await asyncio.shield(lookup)

    async def _look_up(self, replica: Replica) -> bool | None:
        asked = [
            asyncio.create_task(self._try_connect(node, replica))
            for node in self._choose_nodes()
        ]
        is_reached: bool | None = None
        try:
            for next_answer in asyncio.as_completed(asked):
                answer = await next_answer
                if answer:
                    return True
                is_reached = is_reached if answer is None else answer
        finally:
            for task in asked:
                task.cancel()
        now = self._clock.read_monotonic()
        self._down_until = {n: at for n, at in self._down_until.items() if at > now}
        if is_reached is not None:
            self._down_until[replica.name] = now + _DOWN_SECONDS
        return is_reached

    async def _try_connect(self, node: RelayNode, replica: Replica) -> bool | None:
        """Return whether a node can connect to a replica; None without an answer."""
        try:
            is_reached = await node.accepts_connection(replica)
        except PeerError as exc:
            _LOG.info("no answer about a replica: %s", exc.message)
            is_reached = None
        if not is_reached:
            self._record_failure(node)
        return is_reached

    def is_path_broken(self, replica: Replica) -> bool:
        path = self._paths.get(replica.name)
        if path is not None:
            path.used_at = self._clock.read_monotonic()
        return path is not None

    def list_broken_paths(self) -> list[str]:
        """Return the replicas that only other nodes reach."""
        return sorted(self._paths)

    def _mark_broken(self, replica: Replica) -> None:
        if replica.name in self._paths:
            return
        self._paths[replica.name] = _Path(self._clock.read_monotonic())
        _LOG.warning(
            "replica not reached from this node; using other nodes",
            extra={"replica": replica.name},
        )
        task = asyncio.create_task(self._probe(replica))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _probe(self, replica: Replica) -> None:
        """Wait until this node can connect to a replica again."""
        path = self._paths[replica.name]
        while self._clock.read_monotonic() - path.used_at < _PATH_TTL:
            await asyncio.sleep(self._rng.uniform(0.8, 1.2) * _PROBE_INTERVAL)
            if await self._direct.accepts_connection(replica):
                _LOG.info(
                    "replica reached again from this node",
                    extra={"replica": replica.name},
                )
                break
        del self._paths[replica.name]

    async def close(self) -> None:
        """Stop probing."""
        tasks = (*self._tasks, *self._lookups.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
