"""A monitor respects granted authority and removes only members that it may."""

import random

import msgspec
import pytest

from fireflyspread.recovery import Authority, Member, MembersDocument, SlotRow
from fireflyspread.recovery._assignment import add_member, remove_members
from fireflyspread.recovery._document import DocumentCache
from fireflyspread.recovery._lease import grant_member_lease, record_member_lease
from fireflyspread.recovery._monitor import Monitor
from fireflyspread.recovery._removal import try_join
from tests.recovery.fakes import FakeStore, FakeTime


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
    """Monitor.grant and Monitor.find_removable."""

    def test_waits_for_grants_of_earlier_monitors(self, monitor, clock) -> None:
        """Guards against the removal of a node that still has authority.

        The previous monitor may have granted it just before it failed.
        """
        monitor.observe(DOCUMENT)
        clock.advance(1.9)
        assert monitor.find_removable(DOCUMENT, set(), None) == []
        clock.advance(0.2)
        assert monitor.find_removable(DOCUMENT, set(), None) == [DOCUMENT.members[1]]

    def test_respects_its_grant(self, monitor, clock) -> None:
        """Guards against the removal of a node within the 2 s of a grant."""
        monitor.observe(DOCUMENT)
        clock.advance(5.0)
        assert monitor.grant(DOCUMENT, "x", "1")
        clock.advance(1.9)
        assert monitor.find_removable(DOCUMENT, set(), None) == []
        clock.advance(0.2)
        assert monitor.find_removable(DOCUMENT, set(), None) == [DOCUMENT.members[1]]

    def test_lease_protects(self, monitor, clock) -> None:
        """Guards against the removal of a node with a live lease."""
        monitor.observe(DOCUMENT)
        clock.advance(5.0)
        assert monitor.find_removable(DOCUMENT, {"nodes/x/1"}, None) == []

    def test_only_the_named_monitor_removes(self, monitor, clock) -> None:
        """Guards against removal by a node that does not know the monitor's grants."""
        document = make_document(make_member("m", "y"), make_member("x", "y"))
        monitor.observe(document)
        clock.advance(5.0)
        assert monitor.find_removable(document, set(), None) == []
        assert monitor.find_removable(document, set(), {"vm-m"}) == [
            document.members[1]
        ]

    def test_no_grant_during_removal(self, monitor, clock) -> None:
        """Guards against authority that outlasts the membership."""
        monitor.observe(DOCUMENT)
        monitor.begin_removal(DOCUMENT, [DOCUMENT.members[1]])
        assert not monitor.grant(DOCUMENT, "x", "1")
        newer = msgspec.structs.replace(DOCUMENT, epoch=2)
        monitor.observe(newer)
        assert monitor.grant(newer, "x", "1")

    def test_no_grant_without_authority(self, monitor, clock) -> None:
        """Guards against grants by a monitor that may itself have been removed."""
        clock.advance(200.0)
        assert not monitor.grant(DOCUMENT, "x", "1")


class TestLeases:
    """Expiry of a lease concurrent with a removal."""

    async def test_renewed_lease_defeats_a_removal(self, clock) -> None:
        """Guards against a removal that takes effect after a new lease."""
        store = FakeStore(clock)

        def make_cache() -> DocumentCache:
            return DocumentCache(
                store,
                rng=random.Random(1),
                sleep=clock.sleep,
                on_change=lambda document: None,
            )

        own, other = make_cache(), make_cache()
        member = await grant_member_lease(store, make_member("x"), 5)
        assert await try_join(store, own, member)
        base = await other.refresh()
        clock.advance(6.0)
        renewed = await grant_member_lease(store, member, 5)
        assert await record_member_lease(own, renewed)
        assert not await other.try_change(
            lambda current: remove_members(base, {"x"}) if current is base else None
        )


class TestAssignment:
    """Edits of the members document."""

    def test_unfinished_takeover_keeps_its_source(self) -> None:
        """Guards against records lost when an owner fails during a takeover.

        Its own journal does not have them yet, so the source stays the same.
        """
        document = add_member(make_document(), make_member("a"))
        rows = (SlotRow(owner="a", sources=("journal/old/1/",)), *document.slots[1:])
        document = msgspec.structs.replace(document, slots=rows)
        removed = remove_members(document, {"a"})
        assert removed.slots[0].sources == ("journal/old/1/",)
        assert removed.slots[1].sources == ("journal/a/1/",)
