"""Nodes that share an in-memory store and a manual clock."""

import asyncio
import random
from collections.abc import AsyncIterator, Awaitable, Iterable
from typing import TypeVar

from fireflyspread.exceptions import NoAuthorityError, PeerError, StoreError
from fireflyspread.recovery import (
    BudgetReserved,
    Change,
    Durability,
    Entry,
    Member,
    Membership,
    Peers,
    Record,
    RenewalResponse,
    SlotState,
    Store,
)
from fireflyspread.settings import Timing
from tests.recovery.fakes import FakeStore, FakeTime

T = TypeVar("T")


class NumberState(SlotState):
    """The numbers recorded for each slot, in order."""

    def __init__(self) -> None:
        self.numbers: dict[int, list[int]] = {}
        self.busy: set[int] = set()

    def apply(self, record: Record) -> None:
        assert isinstance(record, BudgetReserved)
        self.numbers.setdefault(record.slot, []).append(record.reserved)

    def restore(self, slots: frozenset[int], records: Iterable[Record]) -> None:
        self.drop(slots)
        for record in records:
            if record.slot in slots:
                self.apply(record)

    def snapshot(self, slots: frozenset[int]) -> tuple[Record, ...]:
        return tuple(
            make_record(slot, number)
            for slot in sorted(slots)
            for number in self.numbers.get(slot, [])
        )

    def settle(self, slots: frozenset[int]) -> tuple[Record, ...]:
        return ()

    def drop(self, slots: frozenset[int]) -> None:
        for slot in slots:
            self.numbers.pop(slot, None)

    def is_idle(self, slots: frozenset[int]) -> bool:
        return not self.busy & slots


def make_record(slot: int, number: int) -> Record:
    return BudgetReserved(slot=slot, subject=f"p{number}", reserved=number)


class NodeStore(Store):
    """A node's connection to the shared store.

    It can be cut, and a paused node receives no response.
    """

    def __init__(self, node: "Node", shared: FakeStore) -> None:
        self.node = node
        self.shared = shared
        self.is_cut = False

    async def _relay(self, call: Awaitable[T]) -> T:
        try:
            if self.is_cut:
                raise StoreError("no connection to the store")
            return await call
        finally:
            if asyncio.iscoroutine(call):
                call.close()
            await self.node.wait_resumed()

    async def read(self, key: str) -> Entry | None:
        return await self._relay(self.shared.read(key))

    async def read_prefix(self, prefix: str, *, limit: int = 0) -> tuple[Entry, ...]:
        return await self._relay(self.shared.read_prefix(prefix, limit=limit))

    async def replace(
        self, key: str, value: bytes, *, revision: int, lease: int = 0
    ) -> int | None:
        return await self._relay(
            self.shared.replace(key, value, revision=revision, lease=lease)
        )

    async def delete(self, *keys: str) -> None:
        await self._relay(self.shared.delete(*keys))

    async def grant_lease(self, ttl: int) -> int:
        return await self._relay(self.shared.grant_lease(ttl))

    async def renew_lease(self, lease: int) -> bool:
        return await self._relay(self.shared.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> None:
        await self._relay(self.shared.revoke_lease(lease))

    async def watch(
        self, prefix: str, *, start_revision: int = 0
    ) -> AsyncIterator[Change]:
        async for change in self.shared.watch(prefix, start_revision=start_revision):
            yield change

    async def close(self) -> None:
        pass


class Node(Peers):
    """One node, and its connections to the other nodes.

    Attributes
    ----------
    is_paused : bool
        Whether its tasks are suspended and it answers no messages.
    is_isolated : bool
        Whether no messages pass between this node and the others.
    losses : int
        Number of times that the node was removed from the members.
    """

    def __init__(self, cluster: "Cluster", name: str, zone: str, seed: int) -> None:
        self.cluster = cluster
        self.name = name
        self.store = NodeStore(self, cluster.store)
        self.state = NumberState()
        self.is_paused = False
        self.is_isolated = False
        self.losses = 0
        self.membership = Membership(
            self.store,
            self,
            Member(
                name=name, incarnation="", zone=zone, vm=name, internal="", peers=""
            ),
            clock=cluster.time,
            rng=random.Random(seed),
            timing=Timing(),
            holder=self.hold,
            on_lost=self.count_loss,
            sleep=self.sleep,
        )
        self.membership.add_state(self.state)
        self.task = asyncio.ensure_future(self.membership.run())

    async def sleep(self, seconds: float) -> None:
        """Sleep; a paused node wakes only after it was resumed."""
        await self.cluster.time.sleep(seconds)
        await self.wait_resumed()

    async def wait_resumed(self) -> None:
        """Return once the node is not paused."""
        while self.is_paused:
            await self.cluster.time.sleep(0.05)

    async def count_loss(self) -> None:
        self.losses += 1

    async def commit(
        self, slot: int, number: int, *, allow_pending: bool = False
    ) -> Durability:
        """Record a number as a request does."""
        if not self.membership.owns(slot):
            raise NoAuthorityError("not the owner")
        record = make_record(slot, number)
        durability = await self.membership.journal.commit(
            record, allow_pending=allow_pending
        )
        self.state.apply(record)
        return durability

    def _reach(self, name: str) -> Membership:
        other = self.cluster.nodes.get(name)
        if other is None or other.is_isolated or self.is_isolated or other.is_paused:
            raise PeerError(f"{name} does not answer")
        return other.membership

    async def renew_authority(
        self, member: Member, epoch: int, bundle_version: int
    ) -> RenewalResponse:
        own = self.membership.member
        return self._reach(member.name).grant_authority(
            own.name, own.incarnation, epoch
        )

    async def take_held_records(
        self, member: Member, journal: str
    ) -> tuple[bytes, ...]:
        return self._reach(member.name).take_held_records(journal)

    async def hold(self, journal: str, position: int, records: bytes) -> None:
        for name in sorted(self.cluster.nodes):
            if name != self.name:
                try:
                    self._reach(name).hold_records(journal, position, records)
                except (PeerError, NoAuthorityError):
                    continue
                if records:
                    return
        if records:
            raise PeerError("no node accepted the records")


class Cluster:
    """Nodes by name."""

    def __init__(self) -> None:
        self.time = FakeTime()
        self.store = FakeStore(self.time)
        self.nodes: dict[str, Node] = {}

    async def start(self, *names: str, seconds: float = 10.0) -> None:
        """Start nodes and advance the clock by ``seconds``, so that they join."""
        for number, name in enumerate(names):
            zone = f"zone-{len(self.nodes) % 3}"
            self.nodes[name] = Node(self, name, zone, number)
        await self.time.run_for(seconds)

    async def kill(self, name: str) -> None:
        """Stop a node without a leave."""
        node = self.nodes.pop(name)
        node.task.cancel()
        await asyncio.gather(node.task, return_exceptions=True)
        await node.membership.journal.close()

    def set_vms(self) -> None:
        """Set the VM list of all nodes to the running ones."""
        for node in self.nodes.values():
            node.membership.set_vms(frozenset(self.nodes))

    async def stop(self) -> None:
        """Stop all nodes."""
        for name in list(self.nodes):
            await self.kill(name)

    def find_owner(self, slot: int) -> Node | None:
        """Return the node that admits requests of ``slot``."""
        owners = [n for n in self.nodes.values() if n.membership.owns(slot)]
        assert len(owners) <= 1, f"slot {slot} has two owners"
        return owners[0] if owners else None

    def count_slots(self) -> dict[str, int]:
        """Return how many slots each node admits requests of."""
        return {
            name: sum(node.membership.owns(slot) for slot in range(256))
            for name, node in self.nodes.items()
        }
