"""Drafting, approval and roll of bundles, and withdrawal of keys."""

import asyncio
import random

import msgspec
from attrs import evolve

from fireflyspread.bundle._documents import (
    CURRENT_KEY,
    WITHDRAWN_PREFIX,
    CurrentDocument,
    Roll,
    make_approval_prefix,
    make_contents_key,
    read_active,
    read_contents,
    read_current,
    require_digest,
    require_operator,
)
from fireflyspread.bundle._model import ActiveBundle, Bundle
from fireflyspread.exceptions import (
    BundleConflictError,
    BundleError,
    BundleNotApprovedError,
    NotFoundError,
    Outcome,
    StoreError,
    StoreUncertainError,
)
from fireflyspread.recovery import Store
from fireflyspread.settings import Settings

__all__ = ["MAX_BUNDLE_BYTES", "Rollout", "compute_fences"]

# The store accepts values up to 1 MB.
MAX_BUNDLE_BYTES = 1_000_000

# At 13,000 rolls a day, 32 rolls cover about 3 minutes, longer than the command-line
# client waits for a response.
_MAX_RECENT_ROLLS = 32

# A conflict means that another roll succeeded, so some operator always makes
# progress; 20 conflicts in a row do not happen by chance.
_MAX_WITHDRAW_ATTEMPTS = 20

# If every request to the store runs into its timeout of 1 s, three attempts and their
# reads end before the command-line client times out after 10 s.
_MAX_CREATE_ATTEMPTS = 3


def compute_fences(
    old: Bundle | None, fences: dict[str, int], new: Bundle, version: int
) -> dict[str, int]:
    """Return the fencing number of each target of ``new``.

    Parameters
    ----------
    old : Bundle or None
        Bundle in force before ``new``.
    fences : dict of str to int
        Fencing numbers of ``old``.
    version : int
        Version of ``new``. It becomes the fencing number of each target that is
        new or whose owner half changed.
    """
    halves = {} if old is None else {target.name: target.half for target in old.targets}
    return {
        target.name: fences.get(target.name, version)
        if halves.get(target.name) == target.half
        else version
        for target in new.targets
    }


class Rollout:
    """Drafts, approves and rolls bundles, and withdraws keys.

    Parameters
    ----------
    approvals_needed : int
        Number of operators that must approve a bundle before it can be rolled.
    rng : random.Random, optional
        Source of write ids and jitter; the system's generator by default.
    max_attempts : int
        Attempts at a roll whose responses are lost.
    max_retry_delay : float
        Upper bound of the random delay between attempts in seconds.
    """

    def __init__(
        self,
        store: Store,
        *,
        approvals_needed: int = 1,
        rng: random.Random | None = None,
        max_attempts: int = 5,
        max_retry_delay: float = 0.2,
    ) -> None:
        self._store = store
        self._approvals_needed = approvals_needed
        self._rng = rng or random.SystemRandom()
        self._max_attempts = max_attempts
        self._max_retry_delay = max_retry_delay

    @classmethod
    def from_config(cls, settings: Settings, store: Store) -> "Rollout":
        """Build the rollout of one node from its settings."""
        return cls(store, approvals_needed=settings.approvals_needed)

    @property
    def approvals_needed(self) -> int:
        """Number of operators that must approve a bundle before it can be rolled."""
        return self._approvals_needed

    async def read_active(self) -> ActiveBundle | None:
        """Return the bundle in force, or None before the first roll."""
        return await read_active(self._store)

    async def read_current(self) -> CurrentDocument | None:
        """Return the current document, or None before the first roll."""
        return (await read_current(self._store))[0]

    async def read_bundle(self, digest: str) -> Bundle:
        """Return a drafted bundle; raises ``NotFoundError``."""
        return await read_contents(self._store, digest)

    async def draft(self, bundle: Bundle) -> str:
        """Store ``bundle`` and return its digest.

        Raises
        ------
        BundleError
            The bundle exceeds the maximum size of a store value.
        """
        value = bundle.to_json()
        if len(value) > MAX_BUNDLE_BYTES:
            raise BundleError(
                f"the bundle has {len(value)} bytes and the store accepts at most "
                f"{MAX_BUNDLE_BYTES}; remove withdrawn keys and unused routes"
            )
        # The key contains the digest of the value, so an existing key has this value.
        if not await self._create(make_contents_key(bundle.digest), value):
            await read_contents(self._store, bundle.digest)
        return bundle.digest

    async def approve(self, digest: str, operator: str) -> tuple[str, ...]:
        """Record that ``operator`` approves a drafted bundle.

        Returns
        -------
        tuple of str
            All operators that have approved it. A repeated approval counts once.
        """
        key = make_approval_prefix(digest) + require_operator(operator)
        await read_contents(self._store, digest)
        value = msgspec.json.encode(
            {"operator": operator, "write_id": self._make_write_id()}
        )
        await self._create(key, value)
        return await self.list_approvals(digest)

    async def list_approvals(self, digest: str) -> tuple[str, ...]:
        """Return the operators that have approved a bundle, sorted by name."""
        prefix = make_approval_prefix(digest)
        entries = await self._store.read_prefix(prefix)
        return tuple(entry.key.removeprefix(prefix) for entry in entries)

    async def roll(
        self,
        digest: str,
        operator: str,
        expected_version: int,
        *,
        write_id: str | None = None,
    ) -> Roll:
        """Put a bundle in force by one compare-and-swap.

        Parameters
        ----------
        expected_version : int
            Version that the operator expects to be in force; 0 before the first roll.
        write_id : str, optional
            Unique to this roll. A repeated call with the same id returns the roll of
            the first call and rolls nothing.

        Raises
        ------
        BundleConflictError
            Another operator rolled first.
        BundleNotApprovedError
            The bundle has fewer approvals than needed.
        StoreUncertainError
            The store did not confirm the write; the roll may have taken effect.
        """
        require_operator(operator)
        if not await self._is_approved(digest):
            approvals = await self.list_approvals(digest)
            raise BundleNotApprovedError(
                f"bundle {digest[:12]} has {len(approvals)} of "
                f"{self._approvals_needed} approvals; run "
                f"'fireflyspread bundle approve {digest}'"
            )
        return await self._roll(
            digest, operator, expected_version, write_id or self._make_write_id()
        )

    async def withdraw_key(self, digest: str, operator: str) -> Roll:
        """Draft, approve and roll the bundle in force without one key.

        One operator suffices whatever ``approvals_needed`` is, because a leaked key
        must be withdrawn immediately. No bundle with the key can be rolled any more.

        Raises
        ------
        NotFoundError
            No key with this digest is in force or was withdrawn.
        """
        marker_key = WITHDRAWN_PREFIX + require_digest(digest)
        active = await self.read_active()
        is_known = active is not None and digest in active.keys
        if not is_known and await self._store.read(marker_key) is None:
            raise NotFoundError(
                f"no key with digest {digest[:12]} is in force; check the digest with "
                "'fireflyspread key hash'"
            )
        # The marker is written before the bundle is read. A concurrent roll that missed
        # the marker has read an older revision, so its compare-and-swap fails after
        # ours. For this reason a version is rolled even if the bundle lacks the key.
        value = {"operator": require_operator(operator), "id": self._make_write_id()}
        await self._create(marker_key, msgspec.json.encode(value))
        for _ in range(_MAX_WITHDRAW_ATTEMPTS):
            try:
                return await self._roll_without(digest, operator)
            except BundleConflictError:
                await self._sleep_with_jitter()
        raise BundleConflictError(
            f"other operators rolled first in {_MAX_WITHDRAW_ATTEMPTS} attempts in a "
            "row; withdraw the key again",
            retry_after=1.0,
        )

    async def _roll_without(self, key_digest: str, operator: str) -> Roll:
        active = await self.read_active()
        if active is None:
            raise NotFoundError("no bundle is in force; roll one first")
        # Keys of withdrawals that were interrupted after writing their marker are left
        # out too, because a bundle with a withdrawn key cannot be rolled.
        entries = await self._store.read_prefix(WITHDRAWN_PREFIX)
        withdrawn = {entry.key.removeprefix(WITHDRAWN_PREFIX) for entry in entries}
        withdrawn.add(key_digest)
        keys = tuple(key for key in active.bundle.keys if key.digest not in withdrawn)
        digest = await self.draft(evolve(active.bundle, keys=keys))
        await self.approve(digest, operator)
        return await self._roll(digest, operator, active.version, self._make_write_id())

    async def _is_approved(self, digest: str) -> bool:
        return len(await self.list_approvals(digest)) >= self._approvals_needed

    async def _roll(
        self, digest: str, operator: str, expected_version: int, write_id: str
    ) -> Roll:
        current, revision = await read_current(self._store)
        version = 0 if current is None else current.version
        if current is not None:
            for roll in current.rolls:
                if roll.write_id == write_id:
                    return roll
        if version != expected_version:
            raise _make_conflict_error(current, expected_version)
        bundle = await read_contents(self._store, digest)
        await self._require_no_withdrawn_keys(bundle)
        old = None if current is None else await self.read_bundle(current.digest)
        fences = {} if current is None else current.fences
        recent = () if current is None else current.rolls[:_MAX_RECENT_ROLLS]
        document = CurrentDocument(
            version=version + 1,
            digest=digest,
            fences=compute_fences(old, fences, bundle, version + 1),
            rolled_by=operator,
            write_id=write_id,
            recent=recent,
        )
        await self._commit(document, revision)
        return document.roll

    async def _require_no_withdrawn_keys(self, bundle: Bundle) -> None:
        entries = await self._store.read_prefix(WITHDRAWN_PREFIX)
        withdrawn = {entry.key.removeprefix(WITHDRAWN_PREFIX) for entry in entries}
        for key in bundle.keys:
            if key.digest in withdrawn:
                raise BundleError(
                    f"key {key.digest[:12]} of team {key.team!r} was withdrawn; "
                    "remove it from the bundle and issue a new key"
                )

    async def _commit(self, document: CurrentDocument, revision: int) -> None:
        """Replace the current document; return once it is known to be written."""
        value = msgspec.json.encode(document)
        is_uncertain = False
        for _ in range(self._max_attempts):
            try:
                if await self._store.replace(CURRENT_KEY, value, revision=revision):
                    return
            except StoreUncertainError:
                is_uncertain = True
            except StoreError:
                if not is_uncertain:
                    raise
            try:
                current, current_revision = await read_current(self._store)
            except StoreError:
                await self._sleep_with_jitter()
                continue
            if _has_taken_effect(current, document):
                return
            if current_revision != revision:
                raise _make_conflict_error(current, document.version - 1)
            # The lost write may still take effect. Repeating it is safe, because only
            # one of the two can find the key at this revision.
            await self._sleep_with_jitter()
        raise _make_uncertain_error(document)

    async def _create(self, key: str, value: bytes) -> bool:
        """Create a key with retries; see ``Store.create_once``."""
        for _ in range(_MAX_CREATE_ATTEMPTS - 1):
            try:
                return await self._store.create_once(key, value)
            except StoreError:
                await self._sleep_with_jitter()
        return await self._store.create_once(key, value)

    async def _sleep_with_jitter(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, self._max_retry_delay))

    def _make_write_id(self) -> str:
        return f"{self._rng.getrandbits(128):032x}"


def _has_taken_effect(
    current: CurrentDocument | None, document: CurrentDocument
) -> bool:
    """Return whether ``document`` took effect.

    Raises
    ------
    StoreUncertainError
        More rolls followed than are recorded, so the outcome is unknown.
    """
    if current is None or current.version < document.version:
        return False
    if any(roll.write_id == document.write_id for roll in current.rolls):
        return True
    if current.rolls[-1].version > document.version:
        raise _make_uncertain_error(document)
    return False


def _make_uncertain_error(document: CurrentDocument) -> StoreUncertainError:
    return StoreUncertainError(
        f"the store did not confirm the roll of version {document.version}; run "
        "'fireflyspread bundle status' to see whether it took effect",
        outcome=Outcome.MAY_HAVE_RUN,
    )


def _make_conflict_error(
    current: CurrentDocument | None, expected_version: int
) -> BundleConflictError:
    if current is None:
        return BundleConflictError(
            f"no bundle is in force and you expected version {expected_version}; "
            "roll with expected version 0"
        )
    if current.version < expected_version:
        return BundleConflictError(
            f"version {current.version} is in force and you expected "
            f"{expected_version}; look at 'fireflyspread bundle status'"
        )
    rolls = {roll.version: roll for roll in current.rolls}
    winner = rolls.get(expected_version + 1, current.roll)
    return BundleConflictError(
        f"{winner.rolled_by} rolled version {winner.version} "
        f"({winner.digest[:12]}) first and version {current.version} is in force; "
        "compare your bundle with it and roll again"
    )
