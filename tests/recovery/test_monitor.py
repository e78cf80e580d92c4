"""A monitor keeps its promises and removes only whom it may."""

import random

import msgspec
import pytest

from fireflyspread.recovery import Authority, Member, MembersDocument, SlotRow
from fireflyspread.recovery._assignment import add_member, remove_members
from fireflyspread.recovery._document import DocumentKeeper
from fireflyspread.recovery._lease import grant_member_lease, name_member_lease
from fireflyspread.recovery._monitor import Monitor
from fireflyspread.recovery._removal import try_join
from tests.recovery.fakes import FakeTime, MemoryStore


def make_member(name: str, monitor: str = "") -> Member:
    return Member(
        name=name,
        incarnation="1",
        zone=name,
        vm=f"vm-{name}",
        internal="",
        peers="",
        monitor=monitor,
    )


def make_document(*members: Member) -> MembersDocument:
    return MembersDocument(epoch=1, write_id="", members=members, slots=())


@pytest.fixture
def clock() -> FakeTime:
    return FakeTime()


@pytest.fixture
def authority(clock: FakeTime) -> Authority:
    authority = Authority(clock, 2.0)
    authority.renew(clock.read_monotonic() + 100.0)
    return authority


@pytest.fixture
def monitor(clock: FakeTime, authority: Authority) -> Monitor:
    return Monitor("m", clock=clock, authority=authority)


DOCUMENT = make_document(make_member("m", "x"), make_member("x", "m"))


class TestMonitor:
    """Monitor.promise and Monitor.find_removable."""

    def test_waits_for_promises_of_earlier_monitors(self, monitor, clock) -> None:
        """The monitor before may have given a promise just before it failed."""
        monitor.follow(DOCUMENT)
        clock.advance(1.9)
        assert monitor.find_removable(DOCUMENT, set(), None) == []
        clock.advance(0.2)
        assert monitor.find_removable(DOCUMENT, set(), None) == [DOCUMENT.members[1]]

    def test_keeps_its_promise(self, monitor, clock) -> None:
        """A node acts for 2 s after a promise, so it must stay a member."""
        monitor.follow(DOCUMENT)
        clock.advance(5.0)
        assert monitor.promise(DOCUMENT, "x", "1")
        clock.advance(1.9)
        assert monitor.find_removable(DOCUMENT, set(), None) == []
        clock.advance(0.2)
        assert monitor.find_removable(DOCUMENT, set(), None) == [DOCUMENT.members[1]]

    def test_lease_protects(self, monitor, clock) -> None:
        """A node whose lease lives has authority by the store."""
        monitor.follow(DOCUMENT)
        clock.advance(5.0)
        assert monitor.find_removable(DOCUMENT, {"nodes/x/1"}, None) == []

    def test_only_the_named_monitor_removes(self, monitor, clock) -> None:
        """Another node does not know the promises of the monitor."""
        document = make_document(make_member("m", "y"), make_member("x", "y"))
        monitor.follow(document)
        clock.advance(5.0)
        assert monitor.find_removable(document, set(), None) == []
        assert monitor.find_removable(document, set(), {"vm-m"}) == [
            document.members[1]
        ]

    def test_no_promise_during_removal(self, monitor, clock) -> None:
        """A promise given while the removal is under way could not be kept."""
        monitor.follow(DOCUMENT)
        monitor.begin_removal(DOCUMENT, [DOCUMENT.members[1]])
        assert not monitor.promise(DOCUMENT, "x", "1")
        newer = msgspec.structs.replace(DOCUMENT, epoch=2)
        monitor.follow(newer)
        assert monitor.promise(newer, "x", "1")

    def test_no_promise_without_authority(self, monitor, clock) -> None:
        """A monitor that may itself be removed already can promise nothing."""
        clock.advance(200.0)
        assert not monitor.promise(DOCUMENT, "x", "1")


class TestLeases:
    """A lapsed lease and a removal at the same time."""

    async def test_renewed_lease_defeats_a_removal(self, clock) -> None:
        """A removal decided before the new lease must not take effect after it."""
        store = MemoryStore(clock)

        def make_keeper() -> DocumentKeeper:
            return DocumentKeeper(
                store,
                rng=random.Random(1),
                sleep=clock.sleep,
                on_change=lambda document: None,
            )

        own, other = make_keeper(), make_keeper()
        member = await grant_member_lease(store, make_member("x"), 5)
        assert await try_join(store, own, member)
        base = await other.refresh()
        clock.advance(6.0)
        renewed = await grant_member_lease(store, member, 5)
        assert await name_member_lease(own, renewed)
        assert not await other.try_change(
            lambda present: remove_members(base, {"x"}) if present is base else None
        )


class TestAssignment:
    """Changes of the members document."""

    def test_unfinished_takeover_keeps_its_source(self) -> None:
        """Stale records in the journal of a half-done takeover must not be read."""
        document = add_member(make_document(), make_member("a"))
        rows = (SlotRow(owner="a", sources=("journal/old/1/",)), *document.slots[1:])
        document = msgspec.structs.replace(document, slots=rows)
        removed = remove_members(document, {"a"})
        assert removed.slots[0].sources == ("journal/old/1/",)
        assert removed.slots[1].sources == ("journal/a/1/",)
