"""Concurrent rolls over a store that loses requests and responses."""

import asyncio
import random

import msgspec
import pytest

from fireflyspread.bundle import (
    CURRENT_KEY,
    Bundle,
    CurrentDocument,
    Roll,
    Rollout,
    hash_key,
)
from fireflyspread.exceptions import (
    BundleConflictError,
    BundleError,
    NotFoundError,
    StoreError,
    StoreUncertainError,
)
from tests.bundle.examples import KEY, make_bundle
from tests.bundle.memory_store import MemoryStore

OPERATORS = ("ana", "ben", "eva", "ivo")
ROLLS = 6


class Race:
    """Operators that roll concurrently without pauses over one store."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.store = MemoryStore(rng=self.rng, loss_probability=0.3)
        self.rollout = Rollout(
            self.store, rng=self.rng, max_attempts=8, max_retry_delay=0.0
        )
        self.reported: list[Roll] = []
        self.uncertain_count = 0

    async def roll_repeatedly(self, operator: str) -> None:
        """Roll several bundles, except those whose key was withdrawn."""
        for number in range(ROLLS):
            bundle = make_bundle(
                rate=number + 1,
                half=self.rng.choice(["north", "south"]),
                has_key=self.rng.random() < 0.5,
            )
            try:
                await self.roll(bundle, operator)
            except BundleError:
                assert bundle.keys[0].digest == hash_key(KEY)

    async def roll(self, bundle: Bundle, operator: str) -> None:
        """Roll ``bundle`` over any version in force."""
        digest = await self._approve(bundle, operator)
        while True:
            current = await self.rollout.read_current()
            version = 0 if current is None else current.version
            try:
                roll = await self.rollout.roll(digest, operator, version)
            except BundleConflictError as exc:
                assert f" rolled version {version + 1} " in exc.message
                continue
            except StoreUncertainError:
                self.uncertain_count += 1
                return
            assert roll.version == version + 1
            self.reported.append(roll)
            return

    async def withdraw(self, operator: str) -> int:
        """Withdraw the example's key; return the version that lacks it."""
        while True:
            try:
                roll = await self.rollout.withdraw_key(hash_key(KEY), operator)
            except NotFoundError:
                # Another operator has rolled a bundle without the key.
                await self.roll(make_bundle(), operator)
            except (StoreError, BundleConflictError):
                continue
            else:
                return roll.version

    async def _approve(self, bundle: Bundle, operator: str) -> str:
        while True:
            try:
                digest = await self.rollout.draft(bundle)
                await self.rollout.approve(digest, operator)
            except StoreError:
                continue
            return digest

    def read_documents(self) -> list[CurrentDocument]:
        """Return every value that ``bundle/current`` had, in order."""
        return [
            msgspec.json.decode(entry.value, type=CurrentDocument)
            for entry in self.store.written
            if entry.key == CURRENT_KEY
        ]


class TestRace:
    """Rollout with several operators."""

    @pytest.mark.parametrize("seed", range(25))
    async def test_one_winner_for_each_version(self, seed: int) -> None:
        """Guards against versions that are rolled twice, skipped or reverted.

        A roll is reported as success exactly when it took effect, even when the
        response was lost and another roll followed.
        """
        race = Race(seed)
        await asyncio.gather(*(race.roll_repeatedly(name) for name in OPERATORS))
        documents = race.read_documents()
        assert [d.version for d in documents] == list(range(1, len(documents) + 1))
        written = {d.version: d.roll for d in documents}
        assert len(race.reported) == len({r.version for r in race.reported})
        assert all(written[roll.version] == roll for roll in race.reported)
        unreported = len(documents) - len(race.reported)
        assert 0 <= unreported <= race.uncertain_count
        assert len(race.reported) + race.uncertain_count == ROLLS * len(OPERATORS)

    @pytest.mark.parametrize("seed", range(10))
    async def test_fences_only_rise(self, seed: int) -> None:
        """Guards against a fencing number that changes without a change of owner."""
        race = Race(seed)
        await asyncio.gather(*(race.roll_repeatedly(name) for name in OPERATORS))
        half, fence = "", 0
        for document in race.read_documents():
            bundle = await race.rollout.read_bundle(document.digest)
            now = bundle.targets[1].half
            expected = fence if now == half else document.version
            assert document.fences["quotes"] == expected
            half, fence = now, expected

    @pytest.mark.parametrize("seed", range(25))
    async def test_withdrawn_key_stays_out(self, seed: int) -> None:
        """Guards against concurrent rolls of older drafts that restore the key."""
        race = Race(seed)
        await race.roll(make_bundle(rate=9.5), "ana")
        rolling = [race.roll_repeatedly(name) for name in OPERATORS[:3]]
        version, *_ = await asyncio.gather(race.withdraw("ivo"), *rolling)
        later = [d for d in race.read_documents() if d.version >= version]
        assert later
        for document in later:
            bundle = await race.rollout.read_bundle(document.digest)
            assert hash_key(KEY) not in [key.digest for key in bundle.keys]
