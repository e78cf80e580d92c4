"""Membership of this node: join, renewal of authority, removal of other nodes."""

import asyncio
import logging
import random
import uuid
from collections.abc import Awaitable, Callable
from contextlib import suppress
from typing import Any

import msgspec

from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    FireflyError,
    NoAuthorityError,
    PeerError,
    StoreError,
)
from fireflyspread.recovery._assignment import list_journals
from fireflyspread.recovery._authority import Authority
from fireflyspread.recovery._compaction import Compactor
from fireflyspread.recovery._document import DocumentCache
from fireflyspread.recovery._held import HeldRecords
from fireflyspread.recovery._lease import grant_member_lease
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._monitor import Monitor
from fireflyspread.recovery._peers import Peers, RenewalResponse
from fireflyspread.recovery._removal import (
    announce_leave,
    remove_expired,
    remove_self,
    try_join,
)
from fireflyspread.recovery._renewal import Renewal
from fireflyspread.recovery._slot_manager import SlotManager, is_member
from fireflyspread.recovery._slots import SlotState
from fireflyspread.recovery._store import Store
from fireflyspread.recovery._store_journal import Holder, Sleep, StoreJournal
from fireflyspread.recovery._takeover import Takeover
from fireflyspread.settings import Settings, Timing

__all__ = ["Membership"]

_LOG = logging.getLogger(__name__)


class Membership:
    """Keeps this node a member of the cluster, with a new incarnation for each join.

    Parameters
    ----------
    member : Member
        Identity and addresses; the incarnation is chosen at each join.
    holder : Holder or None
        Holds journal records on another node while the store does not answer.
    on_lost : async callable or None
        Called after this node was removed. It must end every running request before
        it returns, because the node then joins again.
    on_bundle_version : callable or None
        Called with the bundle version that the monitor reports.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        member: Member,
        *,
        clock: Clock,
        rng: random.Random,
        timing: Timing,
        holder: Holder | None = None,
        on_lost: Callable[[], Awaitable[None]] | None = None,
        on_bundle_version: Callable[[int], None] | None = None,
        read_bundle_version: Callable[[], int] = lambda: 0,
        sleep: Sleep = asyncio.sleep,
    ) -> None:
        self._store = store
        self._peers = peers
        self._clock = clock
        self._timing = timing
        self._sleep = sleep
        self._on_lost = on_lost
        self._read_bundle_version = read_bundle_version
        self._member = member
        self._listed_vms: frozenset[str] | None = None
        self._listeners: list[Callable[[int, tuple[Member, ...]], None]] = []
        self._is_joined = False
        self._is_leaving = False
        self._lost = asyncio.Event()
        self.authority = Authority(clock, timing.authority_ttl)
        self.held = HeldRecords()
        self._monitor = Monitor(member.name, clock=clock, authority=self.authority)
        self._document_cache = DocumentCache(
            store, rng=rng, sleep=sleep, on_change=self._handle_document
        )
        self.journal = StoreJournal(
            store,
            member.journal,
            clock=clock,
            rng=rng,
            flush_interval=timing.flush_interval,
            store_timeout=timing.store_timeout,
            holder=holder,
            check_authority=self.authority.check,
            on_sealed=self._mark_lost,
            sleep=sleep,
        )
        takeover = Takeover(
            store,
            self.journal,
            peers,
            self.held,
            clock=clock,
            rng=rng,
            sleep=sleep,
            read_document=lambda: self._document_cache.document,
        )
        self._slots = SlotManager(
            self._document_cache,
            self.journal,
            takeover,
            clock=clock,
            sleep=sleep,
            store_timeout=timing.store_timeout,
        )
        self._compactor = Compactor(self.journal, clock=clock, sleep=sleep)
        self._renewal = Renewal(
            store,
            peers,
            self._document_cache,
            self.authority,
            clock=clock,
            timing=timing,
            read_member=lambda: self._member,
            read_bundle_version=read_bundle_version,
            on_renewed=self._slots.notify,
            on_lost=self._mark_lost,
            on_bundle_version=on_bundle_version or (lambda version: None),
        )

    @classmethod
    def from_config(
        cls,
        settings: Settings,
        store: Store,
        peers: Peers,
        **options: Any,
    ) -> "Membership":
        """Build the membership of the node that the settings describe.

        ``options`` are those of the class, except ``timing``.
        """
        member = Member(
            name=settings.node.name,
            incarnation="",
            zone=settings.node.zone,
            vm=settings.node.vm,
            internal=str(settings.internal_address),
            peers=str(settings.peers_address),
        )
        return cls(store, peers, member, timing=settings.timing, **options)

    def add_listener(self, listener: Callable[[int, tuple[Member, ...]], None]) -> None:
        """Call ``listener`` with the epoch and the members of each new document."""
        self._listeners.append(listener)

    def owned_slots(self) -> frozenset[int]:
        """Return the slots for which this node may admit requests now."""
        if not self.authority.is_held:
            return frozenset()
        return frozenset(self._slots.adopted - self._slots.draining)

    def add_state(self, state: SlotState) -> None:
        """Register ``state`` to follow the ownership of slots; call before ``run``."""
        self._slots.states.append(state)

    @property
    def member(self) -> Member:
        """This incarnation as in the members document."""
        return self._member

    @property
    def epoch(self) -> int:
        """Epoch of the newest document read."""
        return self._document_cache.document.epoch

    def members(self) -> tuple[Member, ...]:
        """Return the members of the newest document read."""
        return self._document_cache.document.members

    def find_owner(self, slot: int) -> Member | None:
        """Return the owner of ``slot``, whether it has adopted the slot yet or not."""
        return self._document_cache.find_owner(slot)

    def owns(self, slot: int) -> bool:
        """Whether this node may admit requests of ``slot`` now."""
        return self.authority.is_held and self._slots.is_open(slot)

    async def wait_owned(self, slot: int) -> None:
        """Return once ``owns(slot)``.

        Raises
        ------
        NoAuthorityError
            The slot belongs to another node.
        """
        while not self.owns(slot):
            owner = self.find_owner(slot)
            if owner is not None and owner.name != self._member.name:
                raise NoAuthorityError(
                    f"slot {slot} is owned by {owner.name}; retry there"
                )
            await self._slots.wait_changed()

    def set_vms(self, vms: frozenset[str]) -> None:
        """Set the VMs on the platform's list."""
        self._listed_vms = vms

    def grant_authority(
        self, node: str, incarnation: str, epoch: int
    ) -> RenewalResponse:
        """Answer a node that asks this one, as its monitor, to renew its authority."""
        granted = self._monitor.grant(self._document_cache.document, node, incarnation)
        document, revision = self._document_cache.export(epoch)
        return RenewalResponse(
            granted=granted,
            seconds=self.authority.ttl if granted else 0.0,
            epoch=self.epoch,
            bundle_version=self._read_bundle_version(),
            document=document,
            revision=revision,
        )

    def hold_records(self, journal: str, position: int, records: bytes) -> None:
        """Hold records of a member; empty records release those before ``position``.

        Raises
        ------
        NoAuthorityError
            This node has no authority and may not accept records.
        PeerError
            The journal belongs to no member.
        SealedError
            A new owner has fetched the records of the journal.
        """
        if records:
            self.authority.check()
        if all(member.journal != journal for member in self.members()):
            raise PeerError(f"no member owns {journal}; read the members again")
        self.held.hold(journal, position, records)

    def take_held_records(self, journal: str) -> tuple[bytes, ...]:
        """Return the records held for a sealed journal to its new owner."""
        return self.held.take(journal)

    async def run(self) -> None:
        """Join, and join again after each removal; returns after ``leave``."""
        while not self._is_leaving:
            await self._join()
            steps = (
                self._renewal.renew_by_store,
                self._renewal.renew_by_monitor,
                self._manage_members,
                self._manage_slots,
            )
            tasks = [asyncio.create_task(self._repeat(step)) for step in steps]
            try:
                await self._lost.wait()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            if not self._is_leaving:
                await self._clear()

    async def _repeat(self, step: Callable[[], Awaitable[None]]) -> None:
        """Run ``step`` forever, pausing for ``renew_interval`` after each run."""
        while True:
            try:
                await step()
            except FireflyError as exc:
                _LOG.info("%s failed: %s", step.__name__, exc)
            except Exception:
                # An unexpected error must not end the renewal of authority.
                _LOG.exception("%s failed", step.__name__)
            await self._sleep(self._timing.renew_interval)

    def _mark_lost(self) -> None:
        """Revoke the authority at once; ``run`` then cleans up."""
        self.authority.revoke()
        self._lost.set()

    def _handle_document(self, document: MembersDocument) -> None:
        self._monitor.observe(document)
        for listener in self._listeners:
            listener(document.epoch, document.members)
        self.held.retain(list_journals(document))
        self._slots.notify()
        if not self._is_joined:
            return
        if not is_member(document, self._member):
            _LOG.warning(
                "incarnation %s was removed from the members", self._member.incarnation
            )
            self._mark_lost()
            return
        found = document.find_member(self._member.name)
        assert found is not None
        self._member = found

    async def _clear(self) -> None:
        """Drop the state of the lost incarnation."""
        self._is_joined = False
        self._slots.drop_all()
        if self._on_lost is not None:
            await self._on_lost()
        with suppress(StoreError):
            await self._store.revoke_lease(self._member.lease)

    async def _join(self) -> None:
        """Join as a new incarnation; retries until it succeeds."""
        member = msgspec.structs.replace(
            self._member, incarnation=uuid.uuid4().hex, monitor="", lease=0
        )
        await self.journal.restart(member.journal)
        self._compactor.reset()
        self._renewal.reset()
        self._lost.clear()
        self.authority.reset()
        while not self._is_leaving:
            try:
                if not member.lease or not await self._store.renew_lease(member.lease):
                    member = await grant_member_lease(
                        self._store, member, self._timing.lease_ttl
                    )
                if await try_join(self._store, self._document_cache, member):
                    break
            except StoreError as exc:
                _LOG.info("join failed, retrying: %s", exc)
            await self._sleep(self._timing.renew_interval)
        self._member = member
        self._is_joined = True
        self._handle_document(self._document_cache.document)
        _LOG.info("joined as %s", member.journal)

    async def _manage_members(self) -> None:
        self.authority.check()
        await self._renewal.update_monitor()
        await remove_expired(
            self._store,
            self._document_cache,
            self._monitor,
            self._member,
            self._listed_vms,
        )

    async def _manage_slots(self) -> None:
        self.authority.check()
        await self._slots.adopt(self._member)
        await self._slots.delete_discarded(self._member)
        if self._is_leaving:
            return
        await self._slots.rebalance(self._member)
        document = self._document_cache.document
        # Another node may be reading this journal to take over released slots.
        is_read = any(self.journal.prefix in row.sources for row in document.slots)
        if not is_read and not self._slots.replaying:
            slots = frozenset(self._slots.adopted)
            await self._compactor.step(slots, self._slots.states)

    async def leave(self) -> None:
        """Release all slots and end the membership within ``drain_timeout``."""
        self._is_leaving = self._monitor.is_leaving = True
        end = self._clock.read_monotonic() + self._timing.drain_timeout
        work = asyncio.ensure_future(self._leave(end))
        timer = asyncio.ensure_future(self._sleep(self._timing.drain_timeout))
        await asyncio.wait({work, timer}, return_when=asyncio.FIRST_COMPLETED)
        work.cancel()
        timer.cancel()
        await asyncio.gather(work, timer, return_exceptions=True)
        self._mark_lost()
        self._slots.drop_all()
        await self.journal.close()

    async def _leave(self, end: float) -> None:
        await announce_leave(self._document_cache, self._member)
        # The last second is left for the flush and the removal.
        await self._slots.release_all(self._member, end - 1.0)
        await self.journal.flush()
        await remove_self(self._document_cache, self._member)
        self.authority.revoke()
        await self._store.revoke_lease(self._member.lease)

    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
        document = self._document_cache.document
        return {
            "member": msgspec.to_builtins(self._member),
            "epoch": document.epoch,
            "members": [f"{m.name}/{m.incarnation}" for m in document.members],
            "authority_seconds": self.authority.remaining,
            "is_joined": self._is_joined,
            "is_leaving": self._is_leaving,
            "slots": self._slots.dump(),
            "journal": self.journal.dump(),
            "held": self.held.dump(),
        }
