"""Membership, journal and rates of one node, as the request handlers see them."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from fireflyspread.bundle import ActiveBundle
from fireflyspread.daemon._build import Base
from fireflyspread.daemon._peers import NodePeers, RecordHolder
from fireflyspread.exceptions import NoAuthorityError
from fireflyspread.limits import ASK_TIMEOUT, ShareLimiter
from fireflyspread.nodes import (
    AuthorityRenewed,
    HoldRecords,
    Message,
    NodeTokenPeers,
    PeerClient,
    PeerServer,
    RecordsHeld,
    RecordsTaken,
    RenewAuthority,
    TakeRecords,
    register_token_handler,
)
from fireflyspread.programs import CombinedState
from fireflyspread.recovery import (
    Durability,
    Member,
    Membership,
    Ownership,
    Record,
    Store,
)

__all__ = ["Recovery"]


class Recovery(Ownership):
    """Which slots this node owns, its journal, and its share of the rates.

    Parameters
    ----------
    on_lost : async callable
        Ends every running request; called when this node was removed.
    on_version : callable
        Takes the name of the monitor and the bundle version it knows.
    """

    def __init__(
        self,
        base: Base,
        store: Store,
        client: PeerClient,
        *,
        on_lost: Callable[[], Awaitable[None]],
        on_version: Callable[[str, int], None],
    ) -> None:
        self.name = base.settings.node.name
        peers = NodePeers(client)
        holder = RecordHolder(
            client,
            name=self.name,
            zone=base.settings.node.zone,
            get_members=lambda: self.membership.members(),
        )
        self.membership: Membership = Membership.from_config(
            base.settings,
            store,
            peers,
            clock=base.clock,
            rng=base.rng,
            holder=holder.hold,
            on_lost=on_lost,
            on_version=lambda v: on_version(self.membership.member.monitor, v),
            read_version=lambda: base.bundles.version,
        )
        peers.own = lambda: self.membership.member
        self.membership.add_state(CombinedState(base.programs, base.intents))
        # Tells the grants of this process from those of an earlier one.
        self._process = uuid.uuid4().hex
        self.limiter = self._build_limiter(base, client)
        self._clock = base.clock
        # A new share accrues only after this time, see ShareLimiter.
        self._settling = base.settings.timing.authority_ttl + ASK_TIMEOUT
        self._joined_at = float("inf")
        self._incarnation = ""
        self.membership.add_listener(self._set_members)
        base.bundles.add_listener(self._set_teams)

    def _build_limiter(self, base: Base, client: PeerClient) -> ShareLimiter:
        tokens = NodeTokenPeers(
            client,
            node=self.name,
            incarnation=self._process,
            find_member=self._find_member,
        )
        return ShareLimiter.from_config(
            base.settings,
            tokens,
            clock=base.clock,
            rng=base.rng,
            check_authority=self.check_authority,
        )

    def register(self, server: PeerServer) -> None:
        """Answer what other nodes ask about authority, records and rates."""
        server.register(RenewAuthority, self._renew_authority)
        server.register(HoldRecords, self._hold_records)
        server.register(TakeRecords, self._take_records)
        register_token_handler(
            server, self.limiter, node=self.name, incarnation=self._process
        )

    def owned_slots(self) -> frozenset[int]:
        return self.membership.owned_slots()

    def owns(self, slot: int) -> bool:
        return self.membership.owns(slot)

    async def wait_owned(self, slot: int, *, timeout: float) -> bool:
        try:
            async with asyncio.timeout(timeout):
                await self.membership.wait_owned(slot)
        except (NoAuthorityError, TimeoutError):
            return False
        return True

    def find_owner(self, slot: int) -> Member | None:
        return self.membership.find_owner(slot)

    def members(self) -> tuple[Member, ...]:
        return self.membership.members()

    def check_authority(self) -> None:
        self.membership.authority.check()

    def check_ready(self) -> None:
        self.check_authority()
        settled_at = self._joined_at + self._settling
        if self._clock.read_monotonic() < settled_at:
            raise NoAuthorityError(
                "this node's share of the rates is not in force yet; use another node"
            )

    async def commit(self, *records: Record, may_pend: bool = False) -> Durability:
        return await self.membership.journal.commit(*records, may_pend=may_pend)

    def enqueue(self, *records: Record) -> None:
        self.membership.journal.enqueue(*records)

    def dump(self) -> dict[str, Any]:
        """Return the state for a dump of the process."""
        return {**self.membership.dump(), "rates": self.limiter.dump()}

    def _find_member(self, name: str) -> Member | None:
        members = self.membership.members()
        return next((member for member in members if member.name == name), None)

    def _set_members(self, epoch: int, members: tuple[Member, ...]) -> None:
        self.limiter.set_members(epoch, [member.name for member in members])
        own = self._find_member(self.name)
        if own is not None and own.incarnation != self._incarnation:
            self._incarnation = own.incarnation
            self._joined_at = self._clock.read_monotonic()

    def _set_teams(self, active: ActiveBundle) -> None:
        self.limiter.set_teams(active.teams)

    async def _renew_authority(self, message: RenewAuthority) -> Message:
        promise = self.membership.grant_authority(
            message.node, message.incarnation, message.epoch
        )
        return AuthorityRenewed(
            granted=promise.granted,
            seconds=promise.seconds,
            epoch=promise.epoch,
            bundle_version=promise.bundle_version,
            document=promise.document,
            revision=promise.revision,
        )

    async def _hold_records(self, message: HoldRecords) -> Message:
        self.membership.hold_records(message.journal, message.position, message.records)
        return RecordsHeld(position=message.position)

    async def _take_records(self, message: TakeRecords) -> Message:
        return RecordsTaken(records=self.membership.take_held_records(message.journal))
