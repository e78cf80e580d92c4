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
    """Monitor.grant and Monitor.find_removable."""

    def test_waits_for_grants_of_earlier_monitors(self, monitor, clock) -> None:
        """The previous monitor may have granted authority just before it failed."""
        monitor.observe(DOCUMENT)
        clock.advance(1.9)
        assert monitor.find_removable(DOCUMENT, set(), None) == []
        clock.advance(0.2)
        assert monitor.find_removable(DOCUMENT, set(), None) == [DOCUMENT.members[1]]

    def test_respects_its_grant(self, monitor, clock) -> None:
        """A node acts for 2 s after a grant, so it must remain a member."""
        monitor.observe(DOCUMENT)
        clock.advance(5.0)
        assert monitor.grant(DOCUMENT, "x", "1")
        clock.advance(1.9)
        assert monitor.find_removable(DOCUMENT, set(), None) == []
        clock.advance(0.2)
        assert monitor.find_removable(DOCUMENT, set(), None) == [DOCUMENT.members[1]]

    def test_lease_protects(self, monitor, clock) -> None:
        """A node with a live lease has authority by the store."""
        monitor.observe(DOCUMENT)
        clock.advance(5.0)
        assert monitor.find_removable(DOCUMENT, {"nodes/x/1"}, None) == []

    def test_only_the_named_monitor_removes(self, monitor, clock) -> None:
        """Other nodes do not know what the monitor has granted."""
        document = make_document(make_member("m", "y"), make_member("x", "y"))
        monitor.observe(document)
        clock.advance(5.0)
        assert monitor.find_removable(document, set(), None) == []
        assert monitor.find_removable(document, set(), {"vm-m"}) == [
            document.members[1]
        ]

    def test_no_grant_during_removal(self, monitor, clock) -> None:
        """Authority granted during a removal could outlast the membership."""
        monitor.observe(DOCUMENT)
        monitor.begin_removal(DOCUMENT, [DOCUMENT.members[1]])
        assert not monitor.grant(DOCUMENT, "x", "1")
        newer = msgspec.structs.replace(DOCUMENT, epoch=2)
        monitor.observe(newer)
        assert monitor.grant(newer, "x", "1")

    def test_no_grant_without_authority(self, monitor, clock) -> None:
        """A monitor that may itself have been removed must not grant authority."""
        clock.advance(200.0)
        assert not monitor.grant(DOCUMENT, "x", "1")


class TestLeases:
    """Expiry of a lease concurrent with a removal."""

    async def test_renewed_lease_defeats_a_removal(self, clock) -> None:
        """A removal decided before a new lease must not take effect after it."""
        store = MemoryStore(clock)

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
        """The journal of an owner with an unfinished takeover is not a source."""
        document = add_member(make_document(), make_member("a"))
        rows = (SlotRow(owner="a", sources=("journal/old/1/",)), *document.slots[1:])
        document = msgspec.structs.replace(document, slots=rows)
        removed = remove_members(document, {"a"})
        assert removed.slots[0].sources == ("journal/old/1/",)
        assert removed.slots[1].sources == ("journal/a/1/",)
