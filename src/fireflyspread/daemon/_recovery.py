"""Membership, journal and rate limiter of one node behind one interface."""

import asyncio
import uuid
from collections.abc import Awaitable, Callable
from typing import Any

from fireflyspread.bundle import ActiveBundle
from fireflyspread.daemon._build import NodeState
from fireflyspread.daemon._peers import NodePeers, RecordHolder
from fireflyspread.exceptions import NoAuthorityError
from fireflyspread.limits import GRANT_TIMEOUT, ReplicaLimiter, ShareLimiter
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
    """Slots that this node owns, its journal, and its share of the teams' rates.

    Parameters
    ----------
    on_lost : async callable
        Ends every running request; called when this node has been removed.
    on_bundle_version : callable
        Called with the name of the monitor and the bundle version that it reports.
    """

    def __init__(
        self,
        state: NodeState,
        store: Store,
        client: PeerClient,
        *,
        on_lost: Callable[[], Awaitable[None]],
        on_bundle_version: Callable[[str, int], None],
    ) -> None:
        self.name = state.settings.node.name
        peers = NodePeers(client)
        holder = RecordHolder(
            client,
            name=self.name,
            zone=state.settings.node.zone,
            get_members=lambda: self.membership.members(),
        )
        self.membership: Membership = Membership.from_config(
            state.settings,
            store,
            peers,
            clock=state.clock,
            rng=state.rng,
            holder=holder.hold,
            on_lost=on_lost,
            on_bundle_version=lambda version: on_bundle_version(
                self.membership.member.monitor, version
            ),
            read_bundle_version=lambda: state.bundles.version,
        )
        peers.read_member = lambda: self.membership.member
        self.membership.add_state(CombinedState(state.programs, state.intents))
        # Distinguishes grants of this process from those of an earlier process.
        self._process_incarnation = uuid.uuid4().hex
        self.limiter = ShareLimiter.from_config(
            state.settings,
            self._make_token_peers(client),
            clock=state.clock,
            rng=state.rng,
            check_authority=self.check_authority,
        )
        self.replica_limiter = ReplicaLimiter(
            self.name,
            self._make_token_peers(
                client, find_limit=lambda name: self.replica_limiter.find_limit(name)
            ),
            clock=state.clock,
            rng=state.rng,
        )
        self._clock = state.clock
        # Seconds from joining until the share of a node accrues, see ShareLimiter.
        self._share_delay = state.settings.timing.authority_ttl + GRANT_TIMEOUT
        self._joined_at = float("inf")
        self._incarnation = ""
        self.membership.add_listener(self._set_members)
        state.bundles.add_listener(self._set_teams)

    def _make_token_peers(
        self,
        client: PeerClient,
        *,
        find_limit: Callable[[str], float] | None = None,
    ) -> NodeTokenPeers:
        return NodeTokenPeers(
            client,
            node=self.name,
            incarnation=self._process_incarnation,
            find_member=self._find_member,
            find_limit=find_limit,
        )

    def register(self, server: PeerServer) -> None:
        """Register the handlers of messages about authority, records and rates."""
        server.register(RenewAuthority, self._renew_authority)
        server.register(HoldRecords, self._hold_records)
        server.register(TakeRecords, self._take_records)
        register_token_handler(
            server,
            self.limiter,
            self.replica_limiter,
            node=self.name,
            incarnation=self._process_incarnation,
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
        ready_at = self._joined_at + self._share_delay
        if self._clock.read_monotonic() < ready_at:
            raise NoAuthorityError(
                "this node's share of the rates is not in force yet; use another node"
            )

    async def commit(self, *records: Record, allow_pending: bool = False) -> Durability:
        return await self.membership.journal.commit(
            *records, allow_pending=allow_pending
        )

    def enqueue(self, *records: Record) -> None:
        self.membership.journal.enqueue(*records)

    def dump(self) -> dict[str, Any]:
        """Return the state for a state dump, in JSON types."""
        return {
            **self.membership.dump(),
            "rates": self.limiter.dump(),
            "replica_limits": self.replica_limiter.dump(),
        }

    def _find_member(self, name: str) -> Member | None:
        members = self.membership.members()
        return next((member for member in members if member.name == name), None)

    def _set_members(self, epoch: int, members: tuple[Member, ...]) -> None:
        names = [member.name for member in members]
        self.limiter.set_members(epoch, names)
        self.replica_limiter.set_members(epoch, names)
        own_member = self._find_member(self.name)
        if own_member is not None and own_member.incarnation != self._incarnation:
            self._incarnation = own_member.incarnation
            self._joined_at = self._clock.read_monotonic()

    def _set_teams(self, active: ActiveBundle) -> None:
        self.limiter.set_teams(active.teams)

    async def _renew_authority(self, message: RenewAuthority) -> Message:
        response = self.membership.grant_authority(
            message.node, message.incarnation, message.epoch
        )
        return AuthorityRenewed(
            granted=response.granted,
            seconds=response.seconds,
            epoch=response.epoch,
            bundle_version=response.bundle_version,
            document=response.document,
            revision=response.revision,
        )

    async def _hold_records(self, message: HoldRecords) -> Message:
        self.membership.hold_records(message.journal, message.position, message.records)
        return RecordsHeld(position=message.position)

    async def _take_records(self, message: TakeRecords) -> Message:
        return RecordsTaken(records=self.membership.take_held_records(message.journal))
