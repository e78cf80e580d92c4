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
        """A mistyped digest cannot be approved."""
        with pytest.raises(NotFoundError, match="draft it first"):
            await rollout.approve("0" * 64, "ana")

    async def test_counts_operator_once(self, rollout: Rollout) -> None:
        """One operator cannot give two approvals."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        assert await rollout.approve(digest, "ana") == ("ana",)

    async def test_refuses_path_in_operator(self, rollout: Rollout) -> None:
        """An operator name cannot reach another bundle's approvals."""
        digest = await rollout.draft(make_bundle())
        with pytest.raises(RequestError, match="operator name"):
            await rollout.approve(digest, "../ana")


class TestRoll:
    """Rollout.roll."""

    async def test_requires_approval(self, rollout: Rollout) -> None:
        """A bundle without approvals cannot be put in force."""
        digest = await rollout.draft(make_bundle())
        with pytest.raises(BundleNotApprovedError, match="0 of 1"):
            await rollout.roll(digest, "ana", 0)
        assert await rollout.read_active() is None

    async def test_requires_second_operator(self, store: MemoryStore) -> None:
        """With two approvals needed, one operator alone cannot roll."""
        rollout = Rollout(store, approvals_needed=2)
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        with pytest.raises(BundleNotApprovedError, match="1 of 2"):
            await rollout.roll(digest, "ana", 0)

    async def test_conflict_names_first_roll(self, rollout: Rollout) -> None:
        """A conflict error names the operator and version that were rolled first."""
        await roll(rollout, make_bundle(), 0)
        digest = await rollout.draft(make_bundle(rate=2.0))
        await rollout.approve(digest, "ben")
        with pytest.raises(BundleConflictError, match="ana rolled version 1"):
            await rollout.roll(digest, "ben", 0)

    async def test_resolves_lost_response(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """A roll that took effect is not reported as failed and not repeated."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        store.lost_responses = [True]
        assert (await rollout.roll(digest, "ana", 0)).version == 1
        assert [e.key for e in store.written].count(CURRENT_KEY) == 1

    async def test_repeats_lost_request(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """A roll whose request was lost is written by the next attempt."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        store.lost_responses = [False, False]
        assert (await rollout.roll(digest, "ana", 0)).version == 1

    async def test_draft_repeats_lost_request(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """A lost request does not make a withdrawal or a draft fail."""
        await roll(rollout, make_bundle(), 0)
        store.lost_responses = [False, True, False, False, True]
        assert (await rollout.withdraw_key(hash_key(KEY), "ana")).version == 2

    async def test_reports_unknown_outcome(
        self, store: MemoryStore, rollout: Rollout
    ) -> None:
        """If the outcome cannot be read back, the error does not claim "not run"."""
        digest = await rollout.draft(make_bundle())
        await rollout.approve(digest, "ana")
        store.lost_responses = [False] * 5
        with pytest.raises(StoreUncertainError) as caught:
            await rollout.roll(digest, "ana", 0)
        assert caught.value.outcome is Outcome.MAY_HAVE_RUN

    async def test_recognises_superseded_roll(self, rollout: Rollout) -> None:
        """A repeated roll returns its first result even after another roll."""
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
        """An outage of the store raises ``StoreError``."""
        store.is_down = True
        with pytest.raises(StoreError):
            await rollout.roll("0" * 64, "ana", 0)

    async def test_raises_fence_of_moved_target(self, rollout: Rollout) -> None:
        """Only a target whose owner half changed gets a new fencing number."""
        await roll(rollout, make_bundle(), 0)
        await roll(rollout, make_bundle(rate=2.0), 1)
        await roll(rollout, make_bundle(half="south"), 2)
        active = await rollout.read_active()
        assert active is not None
        assert active.fences == {"matcher": 1, "quotes": 3}


class TestWithdrawKey:
    """Rollout.withdraw_key."""

    async def test_removes_key(self, rollout: Rollout) -> None:
        """Only the withdrawn key is missing afterwards."""
        await roll(rollout, make_bundle(), 0)
        await rollout.withdraw_key(hash_key(KEY), "ben")
        active = await rollout.read_active()
        assert active is not None
        assert set(active.keys) == {hash_key(OTHER_KEY)}

    async def test_finishes_interrupted_withdrawal(
        self, rollout: Rollout, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """An interrupted withdrawal must not block those of other keys."""
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
        """A mistyped digest is not reported as withdrawn."""
        await roll(rollout, make_bundle(), 0)
        with pytest.raises(NotFoundError, match="key hash"):
            await rollout.withdraw_key("0" * 64, "ben")

    async def test_keeps_key_withdrawn(self, rollout: Rollout) -> None:
        """An older draft that still has the key cannot be rolled."""
        await roll(rollout, make_bundle(), 0)
        await rollout.withdraw_key(hash_key(KEY), "ben")
        with pytest.raises(BundleError, match="was withdrawn"):
            await roll(rollout, make_bundle(), 2)

    async def test_is_repeatable(self, rollout: Rollout) -> None:
        """Withdrawing a key again, as after a lost response, succeeds."""
        await roll(rollout, make_bundle(), 0)
        await rollout.withdraw_key(hash_key(KEY), "ben")
        assert (await rollout.withdraw_key(hash_key(KEY), "ben")).version == 3

    async def test_prevails_over_concurrent_roll(self) -> None:
        """A roll checked before the withdrawal cannot restore the key after it.

        The key was missing from the bundle in force when it was withdrawn, so only
        the new version of the withdrawal makes the other roll fail.
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
