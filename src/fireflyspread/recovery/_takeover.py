"""Takeover of slots: replay of another journal into this node's state."""

import asyncio
import logging
import random
import uuid
from collections.abc import Callable

from fireflyspread.clock import Clock
from fireflyspread.exceptions import FireflyError, StoreError
from fireflyspread.recovery._compaction import drop_expired
from fireflyspread.recovery._entries import (
    JournalEntry,
    StoredJournal,
    decode_entry,
    join_records,
    read_journal,
    seal_journal,
)
from fireflyspread.recovery._fold import fold_records
from fireflyspread.recovery._held import HeldRecords
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._peers import Peers
from fireflyspread.recovery._records import Record
from fireflyspread.recovery._slots import SlotState
from fireflyspread.recovery._store import Store
from fireflyspread.recovery._store_journal import Sleep, StoreJournal

__all__ = ["Takeover"]

_LOG = logging.getLogger(__name__)

# A seal stops a paused owner from appending after its journal was deleted, so it must
# outlive any pause of a process.
_SEAL_TTL_SECONDS = 86_400

# A transaction of the store behind ``EtcdStore`` has at most 128 operations.
_DELETE_BATCH = 100


class Takeover:
    """Replays source journals and appends the slots' state to this node's journal.

    Parameters
    ----------
    read_document : callable
        Returns the newest members document read by this node.
    """

    def __init__(
        self,
        store: Store,
        journal: StoreJournal,
        peers: Peers,
        held: HeldRecords,
        *,
        clock: Clock,
        rng: random.Random,
        sleep: Sleep,
        read_document: Callable[[], MembersDocument],
    ) -> None:
        self._store = store
        self._journal = journal
        self._peers = peers
        self._held = held
        self._clock = clock
        self._rng = rng
        self._sleep = sleep
        self._read_document = read_document

    async def replay(
        self,
        member: Member,
        source: str,
        slots: frozenset[int],
        states: list[SlotState],
    ) -> None:
        """Restore ``slots`` from ``source`` and snapshot them to this node's journal.

        Returns once the snapshots are in the store; retries while the store or a
        member does not answer.

        Raises
        ------
        SealedError
            This node's own journal was sealed.
        """
        stored, held = await self._read_source(member, source)
        records = fold_records(join_records([*stored.entries, *held]))
        own_records: list[Record] = [
            r for slot in sorted(slots) for r in records.get(slot, [])
        ]
        for state in states:
            state.restore(slots, own_records)
        for slot in sorted(slots):
            one = frozenset({slot})
            snapshot = [r for state in states for r in state.snapshot(one)]
            kept = drop_expired(snapshot, self._clock.read_wall())
            self._journal.enqueue_snapshot(slot, kept)
        await self._journal.flush()
        _LOG.info("replayed %d records of %s", len(own_records), source)

    async def _read_source(
        self, member: Member, source: str
    ) -> tuple[StoredJournal, list[JournalEntry]]:
        while True:
            document = self._read_document()
            try:
                if any(other.journal == source for other in document.members):
                    # The owner is still a member: it has drained and released the
                    # slots, so no seal is needed.
                    return await read_journal(self._store, source), []
                stored = await self._seal(member, source)
            except StoreError as exc:
                _LOG.info("takeover of %s failed, retrying: %s", source, exc)
                await self._sleep(self._rng.uniform(0.1, 0.5))
                continue
            return stored, await self._fetch_held(member, source)

    async def _seal(self, member: Member, source: str) -> StoredJournal:
        stored = await read_journal(self._store, source)
        if stored.sealed_by:
            return stored
        return await seal_journal(
            self._store,
            source,
            write_id=uuid.uuid4().hex,
            sealed_by=f"{member.name}/{member.incarnation}",
            lease=await self._store.grant_lease(_SEAL_TTL_SECONDS),
        )

    async def _fetch_held(self, member: Member, source: str) -> list[JournalEntry]:
        """Fetch the records that the members hold for a sealed journal.

        A member that does not answer is asked again until it answers or is removed,
        because it may be the only one that holds an acknowledged record.
        """
        found = list(self._held.take(source))
        answered = {(member.name, member.incarnation)}
        while True:
            unanswered = [
                other
                for other in self._read_document().members
                if (other.name, other.incarnation) not in answered
            ]
            if not unanswered:
                return [decode_entry(data) for data in found]
            answers = await asyncio.gather(
                *(self._peers.take_held_records(m, source) for m in unanswered),
                return_exceptions=True,
            )
            is_complete = True
            for other, answer in zip(unanswered, answers, strict=True):
                if isinstance(answer, FireflyError):
                    is_complete = False
                    _LOG.warning(
                        "records held by %s not fetched, retrying: %s",
                        other.name,
                        answer,
                    )
                elif isinstance(answer, BaseException):
                    raise answer
                else:
                    found.extend(answer)
                    answered.add((other.name, other.incarnation))
            if not is_complete:
                await self._sleep(self._rng.uniform(0.1, 0.3))

    async def delete(self, member: Member, source: str) -> None:
        """Delete a journal that is no longer needed, except its seal.

        Raises
        ------
        StoreError
            The store does not answer; some entries may remain.
        """
        keys = (await self._seal(member, source)).keys[:-1]
        for start in range(0, len(keys), _DELETE_BATCH):
            await self._store.delete(*keys[start : start + _DELETE_BATCH])
