"""Slots that this node owns: adoption, release and rebalancing."""

import asyncio
import logging
from collections.abc import Iterable
from functools import partial

from fireflyspread.clock import Clock
from fireflyspread.recovery._assignment import (
    choose_receivers,
    list_eligible_owners,
    mark_replayed,
    move_slots,
    plan_transfers,
    remove_discarded,
)
from fireflyspread.recovery._document import DocumentCache, Edit
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._slots import SlotState
from fireflyspread.recovery._store_journal import Sleep, StoreJournal
from fireflyspread.recovery._takeover import Takeover

__all__ = ["SlotManager"]

_LOG = logging.getLogger(__name__)

# Slots that one round of rebalancing moves. Callers of these slots wait for the
# takeover, so the bound keeps it short.
_MAX_MOVES_PER_ROUND = 32

# How long a busy slot admits nothing while its running requests end.
_DRAIN_SECONDS = 2.0

_DRAIN_POLL_SECONDS = 0.05


class SlotManager:
    """Adopts and releases the slots of this node.

    Parameters
    ----------
    store_timeout : float
        Seconds to wait for the journal before a release is abandoned.

    Attributes
    ----------
    states : list of SlotState
        States that follow the ownership of slots.
    adopted : set of int
        Slots whose state is complete on this node.
    draining : set of int
        Slots that admit no requests because they are to be released.
    replaying : set of int
        Slots whose source journal is being replayed.
    """

    def __init__(
        self,
        document_cache: DocumentCache,
        journal: StoreJournal,
        takeover: Takeover,
        *,
        clock: Clock,
        sleep: Sleep,
        store_timeout: float,
    ) -> None:
        self._document_cache = document_cache
        self._journal = journal
        self._takeover = takeover
        self._clock = clock
        self._sleep = sleep
        self._store_timeout = store_timeout
        self._changed = asyncio.Event()
        self.states: list[SlotState] = []
        self.adopted: set[int] = set()
        self.draining: set[int] = set()
        self.replaying: set[int] = set()

    def notify(self) -> None:
        """Wake all tasks that wait for a change."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_changed(self) -> None:
        """Return after the next change."""
        await self._changed.wait()

    def is_open(self, slot: int) -> bool:
        """Whether the slot is adopted and admits requests."""
        return slot in self.adopted and slot not in self.draining

    def drop_all(self) -> None:
        """Drop all slots without moving them to other members."""
        slots = frozenset(self.adopted | self.replaying)
        self.adopted.clear()
        self.draining.clear()
        self.replaying.clear()
        for state in self.states:
            state.drop(slots)
        self.notify()

    def dump(self) -> dict[str, list[int]]:
        """Return the slots by state."""
        return {
            "adopted": sorted(self.adopted),
            "draining": sorted(self.draining),
            "replaying": sorted(self.replaying),
        }

    def _find_unadopted(self, member: Member) -> dict[str, set[int]]:
        """Return slots not adopted yet by the journal to replay (empty: none)."""
        groups: dict[str, set[int]] = {}
        for slot, row in enumerate(self._document_cache.document.slots):
            if row.owner == member.name and slot not in self.adopted:
                groups.setdefault(row.sources[0] if row.sources else "", set()).add(
                    slot
                )
        return groups

    async def adopt(self, member: Member) -> None:
        """Adopt all slots that the members document assigns to this node."""
        for source, found in self._find_unadopted(member).items():
            slots = frozenset(found)
            if not source:
                for state in self.states:
                    state.restore(slots, ())
                self._open(slots)
                continue
            self.replaying |= slots
            await self._takeover.replay(member, source, slots, self.states)
            if not await self._document_cache.change(
                self._make_replayed_edit(member, source, slots)
            ):
                return
            self.replaying -= slots
            self._open(slots)

    async def delete_discarded(self, member: Member) -> None:
        """Delete the discarded journals; only the first member does this.

        Raises
        ------
        StoreError
            The store does not answer; the journals stay scheduled for deletion.
        """
        document = self._document_cache.document
        if member.name != min(list_eligible_owners(document), default=""):
            return
        for source in document.discarded:
            await self._takeover.delete(member, source)
            await self._document_cache.change(partial(remove_discarded, journal=source))

    def _make_replayed_edit(
        self, member: Member, source: str, slots: frozenset[int]
    ) -> Edit:
        def edit(document: MembersDocument) -> MembersDocument | None:
            if not is_member(document, member):
                return None
            return mark_replayed(document, member.name, source, slots)

        return edit

    def _open(self, slots: frozenset[int]) -> None:
        self.adopted |= slots
        _LOG.info("adopted %d slots, %d in total", len(slots), len(self.adopted))
        self.notify()

    def _is_idle(self, slots: Iterable[int]) -> bool:
        return all(state.is_idle(frozenset(slots)) for state in self.states)

    async def rebalance(self, member: Member) -> None:
        """Release slots to members that have fewer."""
        receivers = plan_transfers(self._document_cache.document, member.name)[
            :_MAX_MOVES_PER_ROUND
        ]
        if not receivers or self._journal.is_failing:
            return
        own = sorted(self.adopted - self.draining)
        slots = [slot for slot in own if self._is_idle({slot})][: len(receivers)]
        if slots:
            self.draining.update(slots)
        elif own:
            # All slots are busy; the clock selects another one to drain each second.
            slots = await self._drain(own[int(self._clock.read_wall()) % len(own)])
        if slots:
            await self.release(member, dict(zip(slots, receivers, strict=False)))

    async def _drain(self, slot: int) -> list[int]:
        """Stop admission to a busy slot until it is idle or the time is up."""
        self.draining.add(slot)
        end = self._clock.read_monotonic() + _DRAIN_SECONDS
        while self._clock.read_monotonic() < end:
            if self._is_idle({slot}):
                return [slot]
            await self._sleep(_DRAIN_POLL_SECONDS)
        self.draining.discard(slot)
        self.notify()
        return []

    async def release(self, member: Member, receivers: dict[int, str]) -> bool:
        """Move idle slots, which no longer admit requests, to other members.

        Returns
        -------
        bool
            False if the store did not answer in time or this node is no longer a
            member.
        """
        slots = frozenset(receivers)
        for state in self.states:
            self._journal.enqueue(*state.settle(slots))
        flush = asyncio.ensure_future(self._journal.flush())
        timer = asyncio.ensure_future(self._sleep(self._store_timeout))
        try:
            await asyncio.wait({flush, timer}, return_when=asyncio.FIRST_COMPLETED)
            if not flush.done():
                self.draining -= slots
                self.notify()
                return False
            flush.result()
        finally:
            flush.cancel()
            timer.cancel()

        def edit(document: MembersDocument) -> MembersDocument | None:
            names = {other.name for other in document.members}
            wanted = {s: name for s, name in receivers.items() if name in names}
            if not is_member(document, member):
                return None
            # After a lost response, rows may have been moved already; these stay.
            return move_slots(document, member, wanted)

        if not await self._document_cache.change(edit):
            return False
        rows = self._document_cache.document.slots
        moved = frozenset(s for s in slots if rows[s].owner != member.name)
        for state in self.states:
            state.drop(moved)
        self.adopted -= moved
        self.draining -= slots
        self.notify()
        return True

    async def release_all(self, member: Member, deadline: float) -> None:
        """Release each slot once it is idle, until ``deadline`` (monotonic clock)."""
        self.draining |= self.adopted
        while self.adopted and self._clock.read_monotonic() < deadline:
            self.draining |= self.adopted
            idle = [slot for slot in sorted(self.adopted) if self._is_idle({slot})]
            receivers = choose_receivers(
                self._document_cache.document, member.name, idle
            )
            if receivers:
                await self.release(member, receivers)
                self.draining |= self.adopted
            elif len(idle) == len(self.adopted):
                return
            await self._sleep(_DRAIN_POLL_SECONDS)


def is_member(document: MembersDocument, member: Member) -> bool:
    """Whether the document contains this incarnation."""
    found = document.find_member(member.name)
    return found is not None and found.incarnation == member.incarnation
