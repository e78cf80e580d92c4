"""Rollout of bundles: approval, compare-and-swap, lost responses, withdrawal."""

import asyncio

import pytest

from fireflyspread.bundle import CURRENT_KEY, Bundle, Rollout, hash_key
from fireflyspread.exceptions import (
    BundleConflictError,
    BundleError,
    BundleNotApprovedError,
    NotFoundError,
    Outcome,
    RequestError,
    StoreError,
    StoreUncertainError,
)
from tests.bundle.examples import KEY, OTHER_KEY, make_bundle
from tests.bundle.memory_store import MemoryStore


@pytest.fixture
def store() -> MemoryStore:
    """An empty store."""
    return MemoryStore()


@pytest.fixture
def rollout(store: MemoryStore) -> Rollout:
    """Rollout that needs one approval and retries without delay."""
    return Rollout(store, max_retry_delay=0.0)


class BlockingStore(MemoryStore):
    """Store that blocks writes whose key or value contains a given text."""

    def __init__(self) -> None:
        super().__init__()
        self.blocks: dict[bytes, tuple[asyncio.Event, asyncio.Event]] = {}

    async def replace(
        self, key: str, value: bytes, *, revision: int, lease: int = 0
    ) -> int | None:
        for text, (reached, released) in list(self.blocks.items()):
            if text in key.encode() + value:
                reached.set()
                await released.wait()
        return await super().replace(key, value, revision=revision)

    def block_writes(self, text: bytes) -> asyncio.Event:
        """Block writes with ``text`` until the returned event is set."""
        self.blocks[text] = (asyncio.Event(), asyncio.Event())
        return self.blocks[text][1]

    async def wait_blocked(self, text: bytes) -> None:
        """Return once a write with ``text`` is blocked; fail after 10 s."""
        await asyncio.wait_for(self.blocks[text][0].wait(), 10.0)


async def roll(rollout: Rollout, bundle: Bundle, version: int) -> None:
    """Draft, approve and roll ``bundle`` over ``version``."""
    digest = await rollout.draft(bundle)
    await rollout.approve(digest, "ana")
    await rollout.roll(digest, "ana", version)


class TestApprove:
    """Rollout.approve."""

    async def test_refuses_unknown_digest(self, rollout: Rollout) -> None:
        """Guards against the approval of a mistyped digest."""
        with pytest.raises(NotFoundError, match="draft it first"):
            await rollout.approve("0" * 64, "ana")

    async def test_counts_operator_once(self, rollout: Rollout) -> None:
        """Guards against one operator that gives two approvals."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        assert await rollout.approve(digest, "ana") == ("ana",)

    async def test_refuses_path_in_operator(self, rollout: Rollout) -> None:
        """Guards against an operator name that reaches another bundle's approvals."""
        digest = await rollout.draft(make_bundle())
        with pytest.raises(RequestError, match="operator name"):
            await rollout.approve(digest, "../ana")


class TestRoll:
    """Rollout.roll."""

    async def test_requires_approval(self, rollout: Rollout) -> None:
        """Guards against the roll of a bundle without approvals."""
        digest = await rollout.draft(make_bundle())
        with pytest.raises(BundleNotApprovedError, match="0 of 1"):
            await rollout.roll(digest, "ana", 0)
        assert await rollout.read_active() is None

    async def test_requires_second_operator(self, store: MemoryStore) -> None:
        """Guards against a roll by one operator where two must approve."""
        rollout = Rollout(store, approvals_needed=2)
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        with pytest.raises(BundleNotApprovedError, match="1 of 2"):
            await rollout.roll(digest, "ana", 0)

    async def test_conflict_names_first_roll(self, rollout: Rollout) -> None:
        """Guards against a conflict that does not name the roll that came first."""
        await roll(rollout, make_bundle(), 0)
        digest = await rollout.draft(make_bundle(rate=2.0))
        await rollout.approve(digest, "ben")
        with pytest.raises(BundleConflictError, match="ana rolled version 1"):
            await rollout.roll(digest, "ben", 0)

    async def test_resolves_lost_response(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """Guards against a completed roll that is reported as failed or repeated."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        store.lost_responses = [True]
        assert (await rollout.roll(digest, "ana", 0)).version == 1
        assert [e.key for e in store.written].count(CURRENT_KEY) == 1

    async def test_repeats_lost_request(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """Guards against a roll that fails because its request was lost."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        store.lost_responses = [False, False]
        assert (await rollout.roll(digest, "ana", 0)).version == 1

    async def test_draft_repeats_lost_request(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """Guards against a draft or withdrawal that fails because of a lost request."""
        await roll(rollout, make_bundle(), 0)
        store.lost_responses = [False, True, False, False, True]
        assert (await rollout.withdraw_key(hash_key(KEY), "ana")).version == 2

    async def test_reports_unknown_outcome(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """Guards against "not run" for a roll whose outcome cannot be read back."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        store.lost_responses = [False] * 5
        with pytest.raises(StoreUncertainError) as caught:
            await rollout.roll(digest, "ana", 0)
        assert caught.value.outcome is Outcome.MAY_HAVE_RUN

    async def test_recognises_superseded_roll(self, rollout: Rollout) -> None:
        """Guards against a repeated roll that loses its result after another roll."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        first = await rollout.roll(digest, "ana", 0, write_id="w1")
        await roll(rollout, make_bundle(rate=2.0), 1)
        assert await rollout.roll(digest, "ana", 0, write_id="w1") == first
        current = await rollout.read_current()
        assert current is not None and current.version == 2

    async def test_fails_while_store_is_down(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """Guards against an outage of the store that is not reported as one."""
        store.is_down = True
        with pytest.raises(StoreError):
            await rollout.roll("0" * 64, "ana", 0)

    async def test_raises_fence_of_moved_target(self, rollout: Rollout) -> None:
        """Guards against new fencing numbers for targets whose owner is the same."""
        await roll(rollout, make_bundle(), 0)
        await roll(rollout, make_bundle(rate=2.0), 1)
        await roll(rollout, make_bundle(half="south"), 2)
        active = await rollout.read_active()
        assert active is not None
        assert active.fences == {"matcher": 1, "quotes": 3}


class TestWithdrawKey:
    """Rollout.withdraw_key."""

    async def test_removes_key(self, rollout: Rollout) -> None:
        """Guards against a withdrawal that removes more than the key."""
        await roll(rollout, make_bundle(), 0)
        await rollout.withdraw_key(hash_key(KEY), "ben")
        active = await rollout.read_active()
        assert active is not None
        assert set(active.keys) == {hash_key(OTHER_KEY)}

    async def test_finishes_interrupted_withdrawal(
        self, rollout: Rollout, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against an interrupted withdrawal that blocks those of other keys."""
        await roll(rollout, make_bundle(), 0)

        async def fail(digest: str, operator: str) -> None:
            raise TimeoutError

        with monkeypatch.context() as patch, pytest.raises(TimeoutError):
            patch.setattr(rollout, "_roll_without", fail)
            await rollout.withdraw_key(hash_key(KEY), "ben")
        await rollout.withdraw_key(hash_key(OTHER_KEY), "ben")
        active = await rollout.read_active()
        assert active is not None
        assert not active.keys

    async def test_refuses_unknown_key(self, rollout: Rollout) -> None:
        """Guards against a mistyped digest that is reported as withdrawn."""
        await roll(rollout, make_bundle(), 0)
        with pytest.raises(NotFoundError, match="key hash"):
            await rollout.withdraw_key("0" * 64, "ben")

    async def test_keeps_key_withdrawn(self, rollout: Rollout) -> None:
        """Guards against the roll of an older draft that still has the key."""
        await roll(rollout, make_bundle(), 0)
        await rollout.withdraw_key(hash_key(KEY), "ben")
        with pytest.raises(BundleError, match="was withdrawn"):
            await roll(rollout, make_bundle(), 2)

    async def test_is_repeatable(self, rollout: Rollout) -> None:
        """Guards against a withdrawal that fails when it is repeated."""
        await roll(rollout, make_bundle(), 0)
        await rollout.withdraw_key(hash_key(KEY), "ben")
        assert (await rollout.withdraw_key(hash_key(KEY), "ben")).version == 3

    async def test_prevails_over_concurrent_roll(self) -> None:
        """Guards against a roll checked before the withdrawal that restores the key.

        The key was missing from the bundle in force when it was withdrawn, so only the
        new version of the withdrawal makes the other roll fail.
        """
        store = BlockingStore()
        rollout = Rollout(store, max_retry_delay=0.0)
        await roll(rollout, make_bundle(), 0)
        release_marker = store.block_writes(b"bundle/withdrawn/")
        withdrawal = asyncio.create_task(rollout.withdraw_key(hash_key(KEY), "ivo"))
        await store.wait_blocked(b"bundle/withdrawn/")
        await roll(rollout, make_bundle(has_key=False), 1)
        release_roll = store.block_writes(b'"rolled_by":"ben"')
        rolling = asyncio.create_task(rollout.roll(make_bundle().digest, "ben", 2))
        await store.wait_blocked(b'"rolled_by":"ben"')
        release_marker.set()
        await withdrawal
        release_roll.set()
        with pytest.raises(BundleConflictError, match="ivo rolled version 3"):
            await rolling
