"""Membership and journal of one node, as the request handlers see them."""

import asyncio
import uuid
from collections.abc import Callable

from fireflyspread.daemon._build import Base
from fireflyspread.limits import RateLimiter
from fireflyspread.exceptions import NoAuthorityError, StoreError
from fireflyspread.nodes import PeerClient, PeerServer
from fireflyspread.recovery import (
    SLOT_COUNT,
    Durability,
    Member,
    MembersDocument,
    Ownership,
    Record,
    SlotRow,
    Store,
    StoreJournal,
)
import msgspec

MEMBERS_KEY = "members"


class Recovery(Ownership):
    """First cut: joins the members document and splits the slots evenly."""

    def __init__(
        self,
        base: Base,
        store: Store,
        client: PeerClient,
        *,
        is_vm_listed: Callable[[str], bool | None],
    ) -> None:
        settings = base.settings
        self._base = base
        self._store = store
        self.name = settings.node.name
        self._member = Member(
            name=settings.node.name,
            incarnation=uuid.uuid4().hex,
            zone=settings.node.zone,
            vm=settings.node.vm,
            internal=str(settings.internal_address),
            peers=str(settings.peers_address),
        )
        self._journal = StoreJournal.from_config(
            settings.timing, store, self._member, clock=base.clock, rng=base.rng
        )
        self._document: MembersDocument | None = None
        self._listeners: list[Callable[[tuple[Member, ...]], None]] = []
        self.membership = self

    @property
    def epoch(self) -> int:
        return 0 if self._document is None else self._document.epoch

    def members(self) -> tuple[Member, ...]:
        return () if self._document is None else self._document.members

    def add_listener(self, listener: Callable[[tuple[Member, ...]], None]) -> None:
        self._listeners.append(listener)

    def register(self, server: PeerServer) -> None:
        return

    def owned_slots(self) -> frozenset[int]:
        if self._document is None:
            return frozenset()
        rows = enumerate(self._document.slots)
        return frozenset(i for i, row in rows if row.owner == self.name)

    def owns(self, slot: int) -> bool:
        return slot in self.owned_slots()

    def find_owner(self, slot: int) -> Member | None:
        if self._document is None:
            return None
        return self._document.find_member(self._document.slots[slot].owner)

    def check_authority(self) -> None:
        if self._document is None:
            raise NoAuthorityError("this node has not joined yet; try another")

    async def commit(self, *records: Record, may_pend: bool = False) -> Durability:
        return await self._journal.commit(*records, may_pend=may_pend)

    def enqueue(self, *records: Record) -> None:
        self._journal.enqueue(*records)

    def dump(self) -> dict[str, object]:
        return {"epoch": self.epoch, "slots": len(self.owned_slots())}

    async def run(self) -> None:
        joined = False
        while True:
            try:
                joined = joined or await self._join()
                await self._read()
            except StoreError:
                pass
            await asyncio.sleep(0.3)

    async def leave(self) -> None:
        return

    async def _read(self) -> int:
        entry = await self._store.read(MEMBERS_KEY)
        if entry is None:
            return 0
        document = msgspec.json.decode(entry.value, type=MembersDocument)
        if document.epoch != self.epoch:
            self._document = document
            for listener in self._listeners:
                listener(document.members)
        return entry.revision

    async def _join(self) -> bool:
        revision = await self._read()
        members = [m for m in self.members() if m.name != self.name]
        members = sorted([*members, self._member], key=lambda m: m.name)
        rows = tuple(
            SlotRow(owner=members[i % len(members)].name) for i in range(SLOT_COUNT)
        )
        document = MembersDocument(
            epoch=self.epoch + 1,
            write_id=uuid.uuid4().hex,
            members=tuple(members),
            slots=rows,
        )
        value = msgspec.json.encode(document)
        return await self._store.replace(MEMBERS_KEY, value, revision=revision) is not None
