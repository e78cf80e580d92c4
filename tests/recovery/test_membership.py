"""Nodes join, renew authority, take over slots and leave."""

import asyncio
from collections.abc import AsyncIterator

import pytest

from fireflyspread.exceptions import FireflyError, NoAuthorityError
from fireflyspread.recovery import Durability
from tests.recovery.cluster import Cluster
from tests.recovery.fakes import settle

NAMES = ("a", "b", "c", "d")


@pytest.fixture
async def cluster() -> AsyncIterator[Cluster]:
    cluster = Cluster()
    await cluster.start(*NAMES, seconds=20.0)
    yield cluster
    await cluster.stop()


class TestJoin:
    """Membership.run and rebalancing."""

    async def test_spreads_slots_evenly(self, cluster) -> None:
        """Guards against a node that joins and adds no capacity."""
        assert cluster.count_slots() == dict.fromkeys(NAMES, 64)

    async def test_names_monitors_on_a_ring(self, cluster) -> None:
        """Guards against two nodes that monitor each other.

        If both fail, no monitor removes them.
        """
        members = cluster.nodes["a"].membership.members()
        monitors = {m.name: m.monitor for m in members}
        assert set(monitors.values()) == set(NAMES)
        assert all(monitors[monitors[name]] != name for name in NAMES)

    async def test_moved_slots_keep_their_records(self, cluster) -> None:
        """Guards against a new owner that misses the slot's earlier records."""
        for slot in range(256):
            owner = cluster.find_owner(slot)
            await cluster.time.drive(owner.commit(slot, slot))
        await cluster.start("e", seconds=20.0)
        assert cluster.count_slots()["e"] >= 50
        for slot in range(256):
            assert cluster.find_owner(slot).state.numbers[slot] == [slot]

    async def test_calls_to_store_are_bounded(self, cluster) -> None:
        """Guards against more store calls than the platform allows.

        Four nodes may use 100 writes/s and 400 reads/s at full load.
        """
        writes, reads = cluster.store.writes, cluster.store.reads
        for step in range(500):
            for node in cluster.nodes.values():
                slot = min(node.membership._slots.adopted)
                node.membership.journal.enqueue(
                    *node.state.snapshot(frozenset({slot})),
                )
                node.state.numbers.setdefault(slot, [step])
            await cluster.time.run_for(0.02)
        assert (cluster.store.writes - writes) / 10.0 <= 100
        assert (cluster.store.reads - reads) / 10.0 <= 40


class TestTakeover:
    """Other nodes take over the slots of a failed node."""

    async def test_records_of_a_killed_node_survive(self, cluster) -> None:
        """Guards against the loss of acknowledged records of a killed node."""
        node = cluster.nodes["b"]
        slots = sorted(node.membership._slots.adopted)
        for slot in slots:
            await cluster.time.drive(node.commit(slot, slot))
        await cluster.kill("b")
        await cluster.time.run_for(15.0)
        assert sum(cluster.count_slots().values()) == 256
        for slot in slots:
            assert cluster.find_owner(slot).state.numbers[slot] == [slot]

    async def test_waits_for_its_own_journal(self, cluster) -> None:
        """Guards against a takeover that ends before its records are stored."""
        node = cluster.nodes["b"]
        slot = min(node.membership._slots.adopted)
        await cluster.time.drive(node.commit(slot, 7))
        await cluster.kill("b")
        members = [other.membership.member for other in cluster.nodes.values()]
        cluster.store.blocked = tuple(member.journal for member in members)
        await cluster.time.run_for(15.0)
        assert cluster.find_owner(slot) is None
        cluster.store.blocked = ()
        await cluster.time.run_for(5.0)
        assert cluster.find_owner(slot).state.numbers[slot] == [7]

    async def test_two_nodes_killed_together_are_removed(self, cluster) -> None:
        """Guards against nodes that stay members because their monitor has failed.

        The node that removes a monitor becomes the monitor in its place.
        """
        node = cluster.nodes["a"]
        monitor = node.membership.member.monitor
        await cluster.kill("a")
        await cluster.kill(monitor)
        await cluster.time.run_for(25.0)
        assert sum(cluster.count_slots().values()) == 256

    async def test_new_node_takes_over_from_killed_ones(self, cluster) -> None:
        """Guards against failed nodes that stay members as they monitor each other.

        They are removed because their VMs are not on the VM list.
        """
        node = cluster.nodes["b"]
        slots = sorted(node.membership._slots.adopted)
        for slot in slots:
            await cluster.time.drive(node.commit(slot, slot))
        for name in ("a", "b", "c", "d"):
            await cluster.kill(name)
        await cluster.start("e", seconds=20.0)
        assert sum(cluster.count_slots().values()) == 0
        cluster.set_vms()
        await cluster.time.run_for(10.0)
        for slot in slots:
            assert cluster.find_owner(slot).state.numbers[slot] == [slot]

    async def test_paused_node_acknowledges_nothing(self, cluster) -> None:
        """Guards against acknowledgements by a paused node after a takeover."""
        node = cluster.nodes["c"]
        slot = min(node.membership._slots.adopted)
        await cluster.time.drive(node.commit(slot, 1))
        node.is_paused = True
        await cluster.time.run_for(15.0)
        with pytest.raises(NoAuthorityError):
            node.membership.authority.check()
        journal = node.membership.journal
        node.is_paused = False
        with pytest.raises(FireflyError):
            await cluster.time.drive(journal.commit(*node.state.snapshot({slot})))
        assert cluster.find_owner(slot).state.numbers[slot] == [1]
        await cluster.time.run_for(20.0)
        assert node.losses == 1
        assert cluster.count_slots() == dict.fromkeys(NAMES, 64)

    async def test_restarted_node_joins_again(self, cluster) -> None:
        """Guards against a restarted node that waits for its old monitor."""
        old = cluster.nodes["d"].membership.member.incarnation
        await cluster.kill("d")
        await cluster.start("d", seconds=25.0)
        assert cluster.nodes["d"].membership.member.incarnation != old
        assert cluster.count_slots() == dict.fromkeys(NAMES, 64)

    async def test_journal_is_deleted_except_its_seal(self, cluster) -> None:
        """Guards against a paused owner that appends after its journal was deleted."""
        node = cluster.nodes["b"]
        slot = min(node.membership._slots.adopted)
        for number in range(5):
            await cluster.time.drive(node.commit(slot, number))
        prefix = node.membership.member.journal
        await cluster.kill("b")
        while slot in node.membership._slots.adopted and not cluster.find_owner(slot):
            await cluster.time.run_for(0.05)
        # The members document lists the deletion, so any member can complete it.
        await cluster.kill("a")
        await cluster.time.run_for(20.0)
        assert len([k for k in cluster.store.rows if k.startswith(prefix)]) == 1


class TestAuthority:
    """Authority is renewed by the store or by the monitor."""

    async def test_store_outage_stops_no_node(self, cluster) -> None:
        """Guards against nodes that stop in a store outage.

        They keep their authority and commit to a second node.
        """
        cluster.store.is_down = True
        await cluster.time.run_for(60.0)
        assert cluster.count_slots() == dict.fromkeys(NAMES, 64)
        node = cluster.nodes["a"]
        slot = min(node.membership._slots.adopted)
        durability = await cluster.time.drive(node.commit(slot, 1, allow_pending=True))
        assert durability is Durability.PENDING
        cluster.store.is_down = False
        await cluster.time.run_for(10.0)
        assert cluster.count_slots() == dict.fromkeys(NAMES, 64)
        assert all(n.losses == 0 for n in cluster.nodes.values())

    async def test_slow_store_stops_no_node(self, cluster) -> None:
        """Guards against nodes that lose authority to a slow store.

        Its answers take longer than the ttl of the authority.
        """
        cluster.store.delay = 3.0
        await cluster.time.run_for(60.0)
        assert all(n.membership.authority.is_held for n in cluster.nodes.values())

    async def test_isolated_node_stops(self, cluster) -> None:
        """Guards against a node that acts without the store and its monitor.

        It loses its authority within 2 s.
        """
        node = cluster.nodes["a"]
        node.store.is_cut = node.is_isolated = True
        await cluster.time.run_for(2.01)
        assert not node.membership.authority.is_held
        await cluster.time.run_for(20.0)
        assert sum(cluster.count_slots().values()) == 256

    async def test_monitor_keeps_partitioned_node(self, cluster) -> None:
        """Guards against the removal of a node that is cut off only from the store."""
        node = cluster.nodes["a"]
        node.store.is_cut = True
        await cluster.time.run_for(30.0)
        assert node.membership.authority.is_held
        node.store.is_cut = False
        await cluster.time.run_for(5.0)
        assert node.losses == 0

    async def test_partitioned_node_follows_the_epoch(self, cluster) -> None:
        """Guards against rate shares that exceed the limits in sum.

        A partitioned node would use the share of an outdated epoch.
        """
        node = cluster.nodes["a"]
        node.store.is_cut = True
        await cluster.time.run_for(3.0)
        monitor = cluster.nodes[node.membership.member.monitor].membership
        victim = next(n for n in NAMES if n not in ("a", monitor.member.name))
        await cluster.kill(victim)
        await cluster.time.run_for(15.0)
        assert cluster.nodes["a"].membership.epoch == monitor.epoch
        assert len(node.membership.members()) == 3
        # The ring changes while the node cannot change its monitor.
        await cluster.start("a1", "a2", "b1", seconds=20.0)
        assert node.membership.authority.is_held

    async def test_held_records_survive_their_owner(self, cluster) -> None:
        """Guards against the loss of records that were acknowledged as pending."""
        node = cluster.nodes["b"]
        slots = sorted(node.membership._slots.adopted)
        cluster.store.is_down = True
        work = [node.commit(slot, 7, allow_pending=True) for slot in slots]
        await cluster.time.drive(asyncio.gather(*work))
        await cluster.kill("b")
        cluster.store.is_down = False
        await cluster.time.run_for(20.0)
        for slot in slots:
            assert cluster.find_owner(slot).state.numbers[slot] == [7]


class TestLeave:
    """Membership.leave."""

    async def test_releases_all_slots(self, cluster) -> None:
        """Guards against slots that wait for a lease to expire after a leave."""
        node = cluster.nodes["a"]
        slot = min(node.membership._slots.adopted)
        await cluster.time.drive(node.commit(slot, 3))
        prefix = node.membership.member.journal
        await cluster.time.drive(node.membership.leave())
        await cluster.time.run_for(4.0)
        assert node.task.done()
        # Only a seal may remain, and it expires with its lease.
        left = [key for key in cluster.store.rows if key.startswith(prefix)]
        assert all(key in cluster.store.key_leases for key in left)
        assert sum(cluster.count_slots().values()) == 256
        assert cluster.find_owner(slot).state.numbers[slot] == [3]

    async def test_waits_for_running_requests(self, cluster) -> None:
        """Guards against a slot that moves while a request runs."""
        node = cluster.nodes["a"]
        slot = min(node.membership._slots.adopted)
        node.state.busy.add(slot)
        leaving = cluster.time.drive(node.membership.leave(), limit=100.0)
        task = asyncio.ensure_future(leaving)
        await asyncio.sleep(0)
        await settle(50)
        assert slot in node.membership._slots.adopted
        node.state.busy.clear()
        await task
        assert slot not in node.membership._slots.adopted

    async def test_gets_no_slots_back(self, cluster) -> None:
        """Guards against rebalancing that moves slots back to a leaving node."""
        node = cluster.nodes["a"]
        slots = sorted(node.membership._slots.adopted)
        node.state.busy.add(slots[0])
        task = asyncio.ensure_future(node.membership.leave())
        await cluster.time.run_for(20.0)
        assert node.membership._slots.adopted == {slots[0]}
        node.state.busy.clear()
        await cluster.time.drive(task)
