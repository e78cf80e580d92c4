"""Draft, approve and roll bundles, and withdraw keys."""

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

# The store takes values up to 1 MB.
MAX_BUNDLE_BYTES = 1_000_000

# At 13,000 rolls a day, 32 rolls cover about 3 minutes, longer than any response
# is waited for.
_RECENT_ROLLS = 32

# Each conflict means that another roll succeeded, so the operators together
# always make progress; 20 losses in a row do not happen by chance.
_WITHDRAW_ATTEMPTS = 20

# With a store that does not respond within its timeout of 1 s, three tries and their
# reads end before the command line gives up after 10 s.
_CREATE_ATTEMPTS = 3


def compute_fences(
    old: Bundle | None, fences: dict[str, int], new: Bundle, version: int
) -> dict[str, int]:
    """Return the fencing number of each target of ``new``.

    Parameters
    ----------
    old : Bundle or None
        Bundle in force before.
    fences : dict of str to int
        Fencing numbers of ``old``.
    version : int
        Version of ``new``; it becomes the number of each target that is new or
        whose owner half changed.
    """
    halves = {} if old is None else {target.name: target.half for target in old.targets}
    return {
        target.name: fences.get(target.name, version)
        if halves.get(target.name) == target.half
        else version
        for target in new.targets
    }


class Rollout:
    """The operators' side of bundles.

    Parameters
    ----------
    approvals_needed : int
        Operators that must approve a bundle before it can be rolled.
    rng : random.Random, optional
        Source of write ids and jitter; the system's generator by default.
    attempts : int
        Tries of one write whose responses are lost.
    retry_delay : float
        Longest pause between tries in seconds.
    """

    def __init__(
        self,
        store: Store,
        *,
        approvals_needed: int = 1,
        rng: random.Random | None = None,
        attempts: int = 5,
        retry_delay: float = 0.2,
    ) -> None:
        self._store = store
        self._approvals_needed = approvals_needed
        self._rng = rng or random.SystemRandom()
        self._attempts = attempts
        self._retry_delay = retry_delay

    @classmethod
    def from_config(cls, settings: Settings, store: Store) -> "Rollout":
        """Build the rollout of one node from its settings."""
        return cls(store, approvals_needed=settings.approvals_needed)

    @property
    def approvals_needed(self) -> int:
        """Operators that must approve a bundle before it can be rolled."""
        return self._approvals_needed

    async def read_active(self) -> ActiveBundle | None:
        """Return the bundle in force, or None before the first roll."""
        return await read_active(self._store)

    async def read_current(self) -> CurrentDocument | None:
        """Return who rolled which version, or None before the first roll."""
        return (await read_current(self._store))[0]

    async def read_bundle(self, digest: str) -> Bundle:
        """Return a drafted bundle; raises ``NotFoundError``."""
        return await read_contents(self._store, digest)

    async def draft(self, bundle: Bundle) -> str:
        """Store ``bundle`` and return its digest.

        Raises
        ------
        BundleError
            The bundle exceeds the size of a store value.
        """
        value = bundle.to_json()
        if len(value) > MAX_BUNDLE_BYTES:
            raise BundleError(
                f"the bundle has {len(value)} bytes and the store takes "
                f"{MAX_BUNDLE_BYTES}; remove withdrawn keys and unused routes"
            )
        # The key is the digest of the value, so an existing key has this value.
        if not await self._create(make_contents_key(bundle.digest), value):
            await read_contents(self._store, bundle.digest)
        return bundle.digest

    async def approve(self, digest: str, operator: str) -> tuple[str, ...]:
        """Record that ``operator`` approves a drafted bundle.

        Returns
        -------
        tuple of str
            All operators that approve it. Approving twice counts once.
        """
        key = make_approval_prefix(digest) + require_operator(operator)
        await read_contents(self._store, digest)
        value = msgspec.json.encode(
            {"operator": operator, "write_id": self._make_write_id()}
        )
        await self._create(key, value)
        return await self.list_approvals(digest)

    async def list_approvals(self, digest: str) -> tuple[str, ...]:
        """Return the operators that approve a bundle, by name."""
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
            Version in force that the operator knows; 0 before the first.
        write_id : str, optional
            Unique to this roll. A repeated call with the same id reports the first
            call's success and rolls nothing.

        Raises
        ------
        BundleConflictError
            Another operator rolled first.
        BundleNotApprovedError
            Approvals are missing.
        StoreUncertainError
            The store gave no response; the roll may have taken effect.
        """
        require_operator(operator)
        if not await self._is_approved(digest):
            have = await self.list_approvals(digest)
            raise BundleNotApprovedError(
                f"bundle {digest[:12]} has {len(have)} of {self._approvals_needed} "
                f"approvals; run 'fireflyspread bundle approve {digest}'"
            )
        return await self._roll(
            digest, operator, expected_version, write_id or self._make_write_id()
        )

    async def withdraw_key(self, digest: str, operator: str) -> Roll:
        """Make, approve and roll a bundle without one key.

        One operator suffices whatever ``approvals_needed`` is, because a leaked key
        cannot wait. From then on no bundle that has the key can be rolled.

        Raises
        ------
        NotFoundError
            No key with this digest is in force or was withdrawn.
        """
        mark = WITHDRAWN_PREFIX + require_digest(digest)
        active = await self.read_active()
        is_known = active is not None and digest in active.keys
        if not is_known and await self._store.read(mark) is None:
            raise NotFoundError(
                f"no key with digest {digest[:12]} is in force; check the digest with "
                "'fireflyspread key hash'"
            )
        # The mark is written before the bundle is read. A roll that did not see the
        # mark has read an older bundle, so its compare-and-swap fails after ours.
        # For the same reason a version is rolled even when the key is gone already.
        value = {"operator": require_operator(operator), "id": self._make_write_id()}
        await self._create(mark, msgspec.json.encode(value))
        for _ in range(_WITHDRAW_ATTEMPTS):
            try:
                return await self._roll_without(digest, operator)
            except BundleConflictError:
                await self._pause()
        raise BundleConflictError(
            "other operators kept rolling bundles; withdraw the key again",
            retry_after=1.0,
        )

    async def _roll_without(self, key_digest: str, operator: str) -> Roll:
        active = await self.read_active()
        if active is None:
            raise NotFoundError("no bundle is in force; roll one first")
        # Keys of withdrawals that were cut off after their mark go too; with them no
        # bundle could be rolled.
        entries = await self._store.read_prefix(WITHDRAWN_PREFIX)
        gone = {entry.key.removeprefix(WITHDRAWN_PREFIX) for entry in entries}
        gone.add(key_digest)
        keys = tuple(key for key in active.bundle.keys if key.digest not in gone)
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
            for done in current.rolls:
                if done.write_id == write_id:
                    return done
        if version != expected_version:
            raise _make_conflict(current, expected_version)
        bundle = await read_contents(self._store, digest)
        await self._refuse_withdrawn(bundle)
        old = None if current is None else await self.read_bundle(current.digest)
        fences = {} if current is None else current.fences
        recent = () if current is None else current.rolls[:_RECENT_ROLLS]
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

    async def _refuse_withdrawn(self, bundle: Bundle) -> None:
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
        for _ in range(self._attempts):
            try:
                if await self._store.replace(CURRENT_KEY, value, revision=revision):
                    return
            except StoreUncertainError:
                is_uncertain = True
            except StoreError:
                if not is_uncertain:
                    raise
            try:
                current, now = await read_current(self._store)
            except StoreError:
                await self._pause()
                continue
            if _find_outcome(current, document):
                return
            if now != revision:
                raise _make_conflict(current, document.version - 1)
            # The lost write may still take effect. The same write again is safe,
            # because only one of the two can find the key at this revision.
            await self._pause()
        raise _make_uncertain(document)

    async def _create(self, key: str, value: bytes) -> bool:
        """Create a key, again when the request was lost; see ``create_once``."""
        for _ in range(_CREATE_ATTEMPTS - 1):
            try:
                return await self._store.create_once(key, value)
            except StoreError:
                await self._pause()
        return await self._store.create_once(key, value)

    async def _pause(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, self._retry_delay))

    def _make_write_id(self) -> str:
        return f"{self._rng.getrandbits(128):032x}"


def _find_outcome(current: CurrentDocument | None, document: CurrentDocument) -> bool:
    """Return whether ``document`` took effect.

    Raises
    ------
    StoreUncertainError
        So many rolls followed that this cannot be told any more.
    """
    if current is None or current.version < document.version:
        return False
    if any(roll.write_id == document.write_id for roll in current.rolls):
        return True
    if current.rolls[-1].version > document.version:
        raise _make_uncertain(document)
    return False


def _make_uncertain(document: CurrentDocument) -> StoreUncertainError:
    return StoreUncertainError(
        f"the store did not confirm the roll of version {document.version}; run "
        "'fireflyspread bundle status' to see whether it took effect",
        outcome=Outcome.MAY_HAVE_RUN,
    )


def _make_conflict(
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
