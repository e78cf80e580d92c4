"""Tests of chains of turns."""

import pytest

from fireflyspread.clock import SystemClock
from fireflyspread.exceptions import (
    PayloadTooLargeError,
    TurnNotFoundError,
    TurnUncertainError,
)
from fireflyspread.turns import TurnKeeper, TurnLimits, TurnStore
from tests.recovery.snapshot_store import MemoryStore
from tests.turns.fakes import FakeDisks, FakePeers, make_turn_keeper
from tests.turns.test_turn import make_turn


class _Fixture:
    """A keeper before a store, disks and other nodes."""

    def __init__(self, **options: object) -> None:
        self.store = MemoryStore()
        self.disks = FakeDisks()
        self.peers = FakePeers()
        self.clock = SystemClock()
        self.keeper: TurnKeeper = make_turn_keeper(
            self.store, self.clock, disks=self.disks, peers=self.peers, **options
        )

    def make_turn(self, turn_id: str = "t0", **changes: object):
        """Return a turn that ended now."""
        return make_turn(turn_id, **{"ended_at": self.clock.read_wall(), **changes})

    async def begin(self, previous: str | None = "t0", **options: object) -> bytes:
        """Begin a turn and return the body for the replica."""
        values = {"team": "lids", "new_input": b"new", "retention": 60.0, **options}
        recorder = await self.keeper.begin("t1", previous=previous, **values)
        return recorder.body


@pytest.fixture
def fixture() -> _Fixture:
    return _Fixture()


class TestChains:
    async def test_first_turn_has_its_input_only(self, fixture):
        """Guards against a lookup for a turn that continues from none."""
        assert await fixture.begin(None) == b"new"

    @pytest.mark.parametrize("place", ["node", "store", "disks"])
    async def test_turn_is_found_where_it_is(self, fixture, place):
        """Guards against "no such turn" for one that only one place knows."""
        turn = fixture.make_turn()
        if place == "node":
            fixture.peers.share(turn)
        elif place == "store":
            await TurnStore(fixture.store, fixture.clock).write([turn])
        else:
            await fixture.disks.write(turn)
        assert await fixture.begin() == b"inout\nnew"
        # The node remembers it from now on.
        fixture.store.is_down = True
        fixture.peers.turns.clear()
        assert await fixture.begin() == b"inout\nnew"

    async def test_turn_on_disks_is_found_while_the_store_is_away(self, fixture):
        """Guards against programs that stop because the store is away."""
        await fixture.disks.write(fixture.make_turn())
        fixture.store.is_down = True
        assert await fixture.begin() == b"inout\nnew"

    async def test_another_node_searches_for_one_that_is_cut(self, fixture):
        """Guards against refusals by a node that reaches neither store nor disks."""
        fixture.store.is_down = True
        fixture.disks.is_certain = False
        fixture.peers.durable["t0"] = fixture.make_turn()
        assert await fixture.begin() == b"inout\nnew"

    async def test_long_chain_is_refused(self):
        """Guards against values that the store refuses after the answer was sent."""
        fixture = _Fixture(limits=TurnLimits(max_chain_bytes=8))
        fixture.peers.share(fixture.make_turn())
        with pytest.raises(PayloadTooLargeError):
            await fixture.begin()


class TestUnknownTurns:
    async def test_is_not_found_if_all_places_answer(self, fixture):
        """Guards against callers that retry for a turn that does not exist."""
        with pytest.raises(TurnNotFoundError):
            await fixture.begin()

    async def test_of_another_team_is_not_found(self, fixture):
        """Guards against a team that continues from the turn of another."""
        fixture.peers.share(fixture.make_turn(team="jars"))
        with pytest.raises(TurnNotFoundError):
            await fixture.begin()

    async def test_expired_turn_is_not_found(self, fixture):
        """Guards against turns that are continued for as long as a lease lasts."""
        turn = fixture.make_turn(ended_at=fixture.clock.read_wall() - 71.0)
        await TurnStore(fixture.store, fixture.clock).write([turn])
        with pytest.raises(TurnNotFoundError):
            await fixture.begin()

    @pytest.mark.parametrize("place", ["store", "disks"])
    async def test_may_exist_if_a_place_does_not_answer(self, fixture, place):
        """Guards against "no such turn" for one that cannot be read now."""
        fixture.store.is_down = place == "store"
        fixture.disks.is_certain = place != "disks"
        with pytest.raises(TurnUncertainError) as caught:
            await fixture.begin()
        assert caught.value.retry_after
