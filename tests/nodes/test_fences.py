"""No action of the old owner half runs after one of the new half."""

import asyncio
from collections.abc import AsyncIterator

import pytest
import pytest_asyncio

from fireflyspread.clock import ManualClock
from fireflyspread.exceptions import StaleFenceError
from fireflyspread.nodes import FenceGuard, PeerClient, PeerServer
from fireflyspread.recovery import Member
from fireflyspread.settings import Address

TARGET = "charges"


class Node:
    """A member whose guard answers over a real connection.

    Attributes
    ----------
    waits : int
        Number of waits of the guard.
    on_wait : callable
        Called during each wait.
    """

    def __init__(self, name: str, clock: ManualClock) -> None:
        self.name = name
        self.version = 1
        self.clock = clock
        self.waits = 0
        self.on_wait = lambda: None
        self.client = PeerClient()
        self.server = PeerServer(Address(host="127.0.0.1", port=0))
        self.guard = FenceGuard(
            self.client,
            node=name,
            get_incarnation=lambda: f"{name}.1",
            get_version=lambda: self.version,
            clock=clock,
            sleep=self.wait,
        )

    async def wait(self, seconds: float) -> None:
        self.waits += 1
        self.clock.advance(seconds)
        self.on_wait()
        await asyncio.sleep(0)

    async def start(self) -> None:
        self.guard.register(self.server)
        address = await self.server.start()
        self.member = Member(
            name=self.name,
            incarnation=f"{self.name}.1",
            zone="a",
            vm=self.name,
            internal="",
            peers=str(address),
        )

    async def stop(self) -> None:
        await self.client.close()
        await self.server.stop()


@pytest_asyncio.fixture
async def nodes() -> AsyncIterator[tuple[Node, Node]]:
    clock = ManualClock()
    pair = Node("entry-1", clock), Node("entry-2", clock)
    for node in pair:
        await node.start()
    yield pair
    for node in pair:
        await node.stop()


class TestFenceGuard:
    """FenceGuard.wait_until_drained, begin and end."""

    async def test_waits_for_action_of_other_node(
        self, nodes: tuple[Node, Node]
    ) -> None:
        """Guards against an action that starts while one of the old half runs."""
        own, other = nodes
        own.version = other.version = 2
        other.guard.begin(TARGET, 1)
        ended: list[int] = []

        def end() -> None:
            if not ended:
                other.guard.end(TARGET, 1)
                ended.append(own.waits)

        own.on_wait = end
        members = [node.member for node in nodes]
        await own.guard.wait_until_drained(TARGET, 2, lambda: members, timeout=5.0)
        assert ended == [1]

    async def test_own_action_counts(self, nodes: tuple[Node, Node]) -> None:
        """Guards against older actions of the node itself that are not counted."""
        own, other = nodes
        own.version = other.version = 2
        own.guard.begin(TARGET, 1)
        members = [node.member for node in nodes]
        with pytest.raises(StaleFenceError, match="entry-1"):
            await own.guard.wait_until_drained(TARGET, 2, lambda: members, timeout=1.0)

    async def test_waits_for_version(self, nodes: tuple[Node, Node]) -> None:
        """Guards against a node with the old bundle that acts for the old half."""
        own, _ = nodes
        own.version = 2
        members = [node.member for node in nodes]
        with pytest.raises(StaleFenceError, match="entry-2"):
            await own.guard.wait_until_drained(TARGET, 2, lambda: members, timeout=1.0)

    async def test_confirmed_node_starts_no_old_action(
        self, nodes: tuple[Node, Node]
    ) -> None:
        """Guards against an action under the old bundle after ``confirm``."""
        own, other = nodes
        own.version = other.version = 2
        members = [node.member for node in nodes]
        await own.guard.wait_until_drained(TARGET, 2, lambda: members, timeout=5.0)
        with pytest.raises(StaleFenceError):
            other.guard.begin(TARGET, 1)
        with other.guard.act(TARGET, 2):
            assert other.guard.confirm(TARGET, 2) == 0

    async def test_removed_member_is_not_waited_for(
        self, nodes: tuple[Node, Node]
    ) -> None:
        """Guards against a lost node that blocks a target forever."""
        own, other = nodes
        own.version = 2
        await other.stop()
        members = [node.member for node in nodes]
        own.on_wait = lambda: members.remove(other.member) if members[1:] else None
        await own.guard.wait_until_drained(TARGET, 2, lambda: members, timeout=30.0)

    async def test_other_targets_are_not_blocked(
        self, nodes: tuple[Node, Node]
    ) -> None:
        """Guards against a change of one target's owner that stops other targets."""
        own, other = nodes
        own.version = other.version = 2
        other.guard.begin("labels", 1)
        members = [node.member for node in nodes]
        await own.guard.wait_until_drained(TARGET, 2, lambda: members, timeout=5.0)
        other.guard.begin("labels", 1)
