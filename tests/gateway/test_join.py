"""Tests of nodes that join the nodes that share rates."""

import asyncio
import random

import pytest

from fireflyspread.exceptions import PeerError, UnsupportedVersionError
from fireflyspread.gateway import _join
from fireflyspread.gateway._join import NodeJoin
from fireflyspread.nodes import decode_message, encode_message
from fireflyspread.recovery import (
    ROSTER_PREFIX,
    JoinStage,
    NodeAddress,
    PrefixFollower,
    Roster,
)
from tests.recovery.snapshot_store import MemoryStore
from tests.routing.virtual_time import LoopClock, run_virtual


class Network:
    """Messages and the store between nodes, with cuts."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.nodes: dict[str, Node] = {}
        # Pairs of nodes that do not reach each other.
        self.cuts: set[frozenset[str]] = set()

    async def start(self, *names: str, stage: JoinStage) -> None:
        for name in names:
            self.nodes[name] = Node(self, name, stage)
        await asyncio.sleep(0.5)

    def get_sharing(self, name: str) -> str:
        """Return the names that share rates as one node was told last."""
        return self.nodes[name].applied


class Node:
    """One node; it is its own client and server."""

    def __init__(self, network: Network, name: str, stage: JoinStage) -> None:
        self.network = network
        self.name = name
        self.applied = ""
        clock = LoopClock(asyncio.get_running_loop())
        self.roster = Roster(
            network.store,
            own=NodeAddress(
                name=name,
                zone="z",
                # The port is the node's name for ``ask``.
                peers=f"10.0.0.1:{ord(name)}",
                incarnation=f"{name}-{id(self)}",
                stage=stage,
            ),
            clock=clock,
            rng=random.Random(1),
            on_members=self._note_members,
            on_loss=lambda: None,
        )
        follower = PrefixFollower(
            network.store, ROSTER_PREFIX, self.roster, rng=random.Random(1), wait=1.0
        )
        self.join = NodeJoin(self, self.roster, clock)
        self.handlers = {}
        self.join.register(self)
        self.following = asyncio.create_task(follower.run())
        self.tasks = [
            self.following,
            asyncio.create_task(self.roster.run()),
            asyncio.create_task(self.join.run()),
        ]

    def _note_members(self, names: frozenset[str]) -> None:
        # What the limiters of a gateway get.
        self.applied = "".join(sorted(self.roster.list_sharing()))

    def register(self, kind, handler) -> None:
        self.handlers[kind] = handler

    async def ask(self, address, message, *, timeout):
        other = self.network.nodes.get(chr(int(address.partition(":")[2])))
        await asyncio.sleep(0.001)
        if other is None or frozenset((self.name, other.name)) in self.network.cuts:
            await asyncio.sleep(timeout)
            raise PeerError(f"{address} did not answer")
        message = decode_message(encode_message(message))
        return await other.handlers[type(message)](message)

    def refuse_store(self) -> None:
        """Let the store turn this node away: it learns nothing from it any more."""
        self.following.cancel()

    async def kill(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.network.nodes.pop(self.name, None)


class TestNodeJoin:
    def test_node_that_the_store_refuses_learns_of_a_new_one(self):
        """Guards against two nodes that use the whole rate of one team."""

        async def scenario():
            network = Network()
            await network.start("a", "b", stage=JoinStage.MEMBER)
            network.nodes["b"].refuse_store()
            await network.start("c", stage=JoinStage.JOINING)
            return [network.get_sharing(name) for name in "abc"]

        assert run_virtual(scenario()) == ["abc", "abc", "abc"]

    def test_new_node_gets_no_share_before_all_others_know_it(self):
        """Guards against a share in use beside a node that still has the whole rate."""

        async def scenario():
            network = Network()
            await network.start("a", "b", stage=JoinStage.MEMBER)
            network.nodes["b"].refuse_store()
            network.cuts = {frozenset("bc")}
            await network.start("c", stage=JoinStage.JOINING)
            await asyncio.sleep(10.0)
            before = [network.get_sharing(name) for name in "abc"]
            network.cuts = set()
            await asyncio.sleep(1.0)
            return before, [network.get_sharing(name) for name in "abc"]

        before, after = run_virtual(scenario())
        # Meanwhile the others use the rate as before.
        assert before == ["ab", "ab", "ab"]
        assert after == ["abc", "abc", "abc"]

    def test_cut_during_the_announcement_delays_the_share(self):
        """Guards against a new node that counts an answer to an earlier question."""

        async def scenario():
            network = Network()
            await network.start("a", "b", stage=JoinStage.MEMBER)
            network.nodes["b"].refuse_store()
            node = Node(network, "c", JoinStage.JOINING)
            network.nodes["c"] = node
            while node.roster.own.stage == JoinStage.JOINING:  # noqa: ASYNC110
                await asyncio.sleep(0.0005)
            network.cuts = {frozenset("bc")}
            await asyncio.sleep(5.0)
            before = [network.get_sharing(name) for name in "abc"]
            network.cuts = set()
            await asyncio.sleep(1.0)
            return before, [network.get_sharing(name) for name in "abc"]

        before, after = run_virtual(scenario())
        assert before == ["abc", "ab", "ab"]
        assert after == ["abc", "abc", "abc"]

    def test_restart_in_the_middle_goes_on_with_the_announcement(self):
        """Guards against a restarted node that is taken for a member of long ago."""

        async def scenario():
            network = Network()
            await network.start("a", "b", stage=JoinStage.MEMBER)
            network.nodes["b"].refuse_store()
            node = Node(network, "c", JoinStage.JOINING)
            network.nodes["c"] = node
            while node.roster.own.stage == JoinStage.JOINING:  # noqa: ASYNC110
                await asyncio.sleep(0.0005)
            await node.kill()
            network.cuts = {frozenset("bc")}
            await network.start("c", stage=JoinStage.JOINING)
            before = [network.get_sharing(name) for name in "abc"]
            network.cuts = set()
            await asyncio.sleep(1.0)
            return before, [network.get_sharing(name) for name in "abc"]

        before, after = run_virtual(scenario())
        assert before == ["abc", "ab", "ab"]
        assert after == ["abc", "abc", "abc"]

    def test_restarted_member_shares_at_once(self):
        """Guards against a node that waits for others after each restart."""

        async def scenario():
            network = Network()
            await network.start("a", "b", stage=JoinStage.MEMBER)
            await network.nodes["b"].kill()
            network.cuts = {frozenset("ab")}
            await network.start("b", stage=JoinStage.JOINING)
            return [network.get_sharing(name) for name in "ab"]

        assert run_virtual(scenario()) == ["ab", "ab"]

    def test_lost_node_is_waited_for_until_its_lease_ends(self):
        """Guards against a new node that never gets a share beside a lost one."""

        async def scenario():
            network = Network()
            await network.start("a", "b", stage=JoinStage.MEMBER)
            await network.nodes["b"].kill()
            await network.start("c", stage=JoinStage.JOINING)
            before = network.get_sharing("c")
            network.store.drop(f"{ROSTER_PREFIX}alive/b")
            await asyncio.sleep(1.0)
            return before, network.get_sharing("c")

        assert run_virtual(scenario()) == ("ab", "abc")

    @pytest.mark.parametrize("refused", ["", "a", "d", "ad"])
    def test_nodes_that_join_together_know_each_other(self, refused):
        """Guards against new nodes that each count the others out."""

        async def scenario():
            network = Network()
            await network.start("a", "b", stage=JoinStage.MEMBER)
            for name in "cde":
                network.nodes[name] = Node(network, name, JoinStage.JOINING)
                await asyncio.sleep(0.002)
            for name in refused:
                network.nodes[name].refuse_store()
            await asyncio.sleep(3.0)
            # A new node that learns nothing from the store does not join.
            members = "abcde" if "d" not in refused else None
            for name in "abcde":
                found = network.get_sharing(name)
                if name not in found:
                    continue
                # Whoever uses a share is counted by all who use one.
                for other in found:
                    assert name in network.get_sharing(other) or (
                        other not in network.get_sharing(other)
                    )
            return members, [network.get_sharing(name) for name in "abcde"]

        members, found = run_virtual(scenario())
        if members is not None:
            assert found == [members] * 5

    def test_node_of_an_earlier_release_has_three_seconds(self):
        """Guards against a new node that waits for ever during an upgrade."""

        async def refuse(message):
            raise UnsupportedVersionError("no handler for AnnounceNode")

        async def scenario():
            network = Network()
            await network.start("a", stage=JoinStage.MEMBER)
            network.nodes["a"].handlers = dict.fromkeys(
                network.nodes["a"].handlers, refuse
            )
            await network.start("c", stage=JoinStage.JOINING)
            early = network.get_sharing("c")
            await asyncio.sleep(_join._PROPAGATION_SECONDS)
            return early, network.get_sharing("c")

        assert run_virtual(scenario()) == ("a", "ac")
