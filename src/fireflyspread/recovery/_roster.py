"""Registry in the store of the nodes that share the rate limits of the teams."""

import asyncio
import logging
import random
from collections.abc import Callable

import msgspec

from fireflyspread._decoding import decode_json
from fireflyspread.clock import Clock
from fireflyspread.exceptions import NoAuthorityError, PeerError, StoreError
from fireflyspread.recovery._announcements import (
    Announcements,
    JoinStage,
    NodeAddress,
)
from fireflyspread.recovery._follower import PrefixListener
from fireflyspread.recovery._store import Change, Entry, SnapshotStore, Write
from fireflyspread.settings import Address

__all__ = [
    "LOAN_SERVERS_PREFIX",
    "LOAN_SERVER_LEASES_PREFIX",
    "LEASE_SECONDS",
    "ROSTER_PREFIX",
    "Roster",
]

_LOG = logging.getLogger(__name__)

ROSTER_PREFIX = "cluster/"
_MEMBERS_PREFIX = ROSTER_PREFIX + "members/"
_ALIVE_PREFIX = ROSTER_PREFIX + "alive/"
# Addresses of the processes that store loans on the disk of a VM.
LOAN_SERVERS_PREFIX = ROSTER_PREFIX + "journals/"
# Keys on the leases of these processes.
LOAN_SERVER_LEASES_PREFIX = ROSTER_PREFIX + "journal-leases/"

# TTL of a node's lease. Longer than the outages and network partitions of the platform
# (up to 12 s), so that a node keeps its share during them.
LEASE_SECONDS = 20
# Three renewals may fail before the lease expires.
_RENEW_INTERVAL_SECONDS = 5.0
# Seconds between attempts after a failure; doubled after each up to the maximum. A
# lease that was renewed 5 s before an outage of 12 s has 3 s left at its end.
_MIN_RETRY_SECONDS = 0.5
_MAX_RETRY_SECONDS = 1.0
# Time without a lease after which a node is removed and its share is divided among the
# others. A node whose lease expired in an outage obtains a new one sooner.
_REMOVAL_DELAY_SECONDS = 10.0
# The same for a loan server, whose lease is short, and seconds between the checks.
_LOAN_SERVER_REMOVAL_DELAY = 1.5
_LOAN_SERVER_CHECK_INTERVAL = 0.5
# Further seconds after which any node removes a loan server, in place of the first one.
_OTHERS_DELAY = 2.0


class Roster(PrefixListener):
    """Registers this node, renews its lease and tracks the other nodes.

    Parameters
    ----------
    own : NodeAddress
        Entry of this node. If its name is registered already, this process goes on at
        the stage of the one before.
    on_members : callable
        Called with the names of all members on each change of them or of the members
        that share rates.
    on_loss : callable
        Called when a member has restarted or lost its lease.

    Attributes
    ----------
    is_returning : bool
        Whether the node's name was registered before this process registered it.
    has_read_members : bool
        Whether the members have been read at least once.
    """

    def __init__(
        self,
        store: SnapshotStore,
        *,
        own: NodeAddress,
        clock: Clock,
        rng: random.Random,
        on_members: Callable[[frozenset[str]], None],
        on_loss: Callable[[], None],
    ) -> None:
        self._store = store
        self._own = own
        self._clock = clock
        self._rng = rng
        self._on_members = on_members
        self._members: dict[str, tuple[NodeAddress, int]] = {}
        self._lease_lost_at: dict[str, float] = {}
        self._renewed_at = -float("inf")
        self._lease = 0
        self._on_loss = on_loss
        self._loan_servers: dict[str, tuple[str, int]] = {}
        # Monotonic seconds at which loan servers were seen to have lost their lease.
        self._loan_server_lost_at: dict[str, float] = {}
        self.has_read_members = False
        self._listed = asyncio.Event()
        self._announcements = Announcements(clock)
        self._is_leaving = False
        self.is_returning = False

    @property
    def own(self) -> NodeAddress:
        """Entry of this node."""
        return self._own

    def list_sharing(self) -> frozenset[str]:
        """Return the members that share rates, this node only when it may."""
        others = {address.name for address in self.list_peers() if address.has_share}
        if self._own.stage == JoinStage.MEMBER:
            others.add(self._own.name)
        return frozenset(others)

    def list_peers(self) -> list[NodeAddress]:
        """Return the other nodes."""
        return [a for a, _ in self._members.values() if a.name != self._own.name]

    def list_names(self) -> list[str]:
        """Return the names of members with a lease, or of all if none has one."""
        alive = [name for name in self._members if name not in self._lease_lost_at]
        return alive or list(self._members) or [self._own.name]

    def list_live(self) -> list[NodeAddress]:
        """Return the members that ``list_names`` names, this node if it is one."""
        found = (self.find(name) for name in self.list_names())
        return [address for address in found if address is not None]

    def list_loan_servers(self) -> dict[str, str]:
        """Return the addresses of the loan servers by VM name."""
        return {name: address for name, (address, _) in self._loan_servers.items()}

    def list_incarnations(self) -> set[str]:
        """Return the incarnations of all members."""
        return {address.incarnation for address, _ in self._members.values()}

    def _report_loss(self, name: str) -> None:
        _LOG.info("node restarted or lost its lease", extra={"node": name})
        self._on_loss()

    def find(self, name: str) -> NodeAddress | None:
        """Return the address of a member, or None if the name is unknown."""
        found = self._members.get(name)
        return None if found is None else found[0]

    def is_gone(self, name: str) -> bool:
        """Return whether a node is known to be no member any more.

        A node that has not read the members knows of none that it is gone.
        """
        return self.has_read_members and name not in self._members

    def has_lease(self, name: str) -> bool:
        """Return whether a member's lease is not known to have ended."""
        return name not in self._lease_lost_at

    def get_peer_address(self, name: str, *, allow_loan_servers: bool = False) -> str:
        """Return the address of a member for messages.

        Raises
        ------
        PeerError
            The name is unknown.
        """
        member = self.find(name)
        if member is not None:
            return member.peers
        if allow_loan_servers and name in self._loan_servers:
            return self._loan_servers[name][0]
        raise PeerError(f"{name} is not a member; ask another node")

    def check_authority(self) -> None:
        """Check that no other node may have removed this one yet.

        Raises
        ------
        NoAuthorityError
            The lease was not renewed in time.
        """
        if self._clock.read_monotonic() > self._renewed_at + LEASE_SECONDS:
            raise NoAuthorityError(
                f"this node has not renewed its lease for {LEASE_SECONDS} s; "
                "try another node"
            )

    async def run(self) -> None:
        """Register this node and renew its lease until cancelled."""
        retry = _MIN_RETRY_SECONDS
        while not self._is_leaving:
            try:
                await self._renew()
                await self._remove_expired()
                pause, retry = _RENEW_INTERVAL_SECONDS, _MIN_RETRY_SECONDS
            except StoreError as exc:
                _LOG.warning("lease of this node not renewed: %s", exc)
                pause = retry
                if self._lease:
                    # A node that is not registered yet keeps trying at short intervals.
                    retry = min(2 * retry, _MAX_RETRY_SECONDS)
            await asyncio.sleep(self._rng.uniform(0.7, 1.0) * pause)

    async def leave(self) -> None:
        """Revoke the lease, so that ``list_names`` on other nodes omits this one."""
        self._is_leaving = True
        if self._lease:
            await self._store.revoke_lease(self._lease)

    async def _renew(self) -> None:
        sent_at = self._clock.read_monotonic()
        if self._lease and await self._store.renew_lease(self._lease):
            self._renewed_at = sent_at
            return
        lease = await self._store.grant_lease(LEASE_SECONDS)
        await self._register(lease)
        self._lease = lease
        self._renewed_at = sent_at

    async def _register(self, lease: int) -> None:
        """Write the member entry and the liveness key in one transaction."""
        member, alive = _MEMBERS_PREFIX + self._own.name, _ALIVE_PREFIX + self._own.name
        revisions = {member: 0, alive: 0}
        for _ in range(4):
            writes = [
                Write(member, msgspec.json.encode(self._own), revisions[member]),
                Write(
                    alive, self._own.incarnation.encode(), revisions[alive], lease=lease
                ),
            ]
            result = await self._store.write_all(writes)
            if isinstance(result, int):
                return
            revisions = dict.fromkeys(revisions, 0)
            for entry in result:
                revisions[entry.key] = entry.revision
                if entry.key == member:
                    # A restarted node replaces the entry of its name.
                    self._handle_return(entry)
        raise StoreError(
            "the entry of this node changed during each attempt to write it; retry"
        )

    def _handle_return(self, entry: Entry) -> None:
        """Go on at the stage of the process that registered under this name before."""
        previous = _read_address(entry)
        if previous is None or previous.incarnation == self._own.incarnation:
            return
        self._adopt(previous)
        if self.has_read_members:
            self._on_members(frozenset(self._members))

    def _adopt(self, previous: NodeAddress) -> None:
        self._own = msgspec.structs.replace(self._own, stage=previous.stage)
        self.is_returning = True

    async def wait_listed(self) -> None:
        """Wait until the members that were read include this process.

        They then include all members that were registered before it.
        """
        await self._listed.wait()

    async def advance(self, stage: JoinStage) -> None:
        """Write the stage of this node to its entry; raises ``StoreError``."""
        key = _MEMBERS_PREFIX + self._own.name
        own = msgspec.structs.replace(self._own, stage=stage)
        known = self._members.get(own.name)
        revision = 0 if known is None else known[1]
        for _ in range(2):
            write = Write(key, msgspec.json.encode(own), revision)
            result = await self._store.write_all([write])
            if isinstance(result, int):
                self._own = own
                self._members[own.name] = (own, result)
                self._on_members(frozenset(self._members))
                return
            # The watch may not have shown the last write of this node yet.
            entry = next(iter(result), None)
            found = None if entry is None else _read_address(entry)
            if entry is None or found is None or found.incarnation != own.incarnation:
                break
            revision = entry.revision
        raise StoreError("the entry of this node has changed; retry")

    def note_announced(self, address: NodeAddress) -> None:
        """Count a member that has announced itself, before the store shows it.

        A node that the store refuses learns of new members in no other way.
        """
        known = self.find(address.name)
        if known is not None and not known.is_behind(address):
            return
        self._announcements.add(address)
        merged = self._announcements.merge(address.name, known)
        if merged is None or merged == known:
            return
        _LOG.info("node has announced itself", extra={"node": address.name})
        revision = self._members[address.name][1] if known is not None else 0
        self._members[address.name] = (merged, revision)
        self._on_members(frozenset(self._members))

    async def _remove_expired(self) -> None:
        """Remove members that have lost their lease; only one node does this."""
        now = self._clock.read_monotonic()
        alive = [name for name in self._members if name not in self._lease_lost_at]
        if not alive or min(alive) != self._own.name:
            return
        for name, since in tuple(self._lease_lost_at.items()):
            if now - since < _REMOVAL_DELAY_SECONDS or name not in self._members:
                continue
            _, revision = self._members[name]
            _LOG.warning("member without a lease removed", extra={"node": name})
            await self._store.write_all([Write(_MEMBERS_PREFIX + name, None, revision)])

    def replace(self, entries: tuple[Entry, ...]) -> None:
        self._members = {}
        self._loan_servers = {}
        alive = set()
        leased = {
            entry.key.removeprefix(LOAN_SERVER_LEASES_PREFIX)
            for entry in entries
            if entry.key.startswith(LOAN_SERVER_LEASES_PREFIX)
        }
        for name in leased:
            self._apply_loan_server_lease(name, is_alive=True)
        for entry in entries:
            if entry.key.startswith(LOAN_SERVER_LEASES_PREFIX):
                continue
            if entry.key.startswith(LOAN_SERVERS_PREFIX):
                self._apply_loan_server(entry.key, entry)
            elif entry.key.startswith(_ALIVE_PREFIX):
                alive.add(entry.key.removeprefix(_ALIVE_PREFIX))
            elif (address := _read_address(entry)) is not None:
                self._members[address.name] = (address, entry.revision)
        for name in self._announcements.list_names():
            stored, revision = self._members.get(name, (None, 0))
            if (merged := self._announcements.merge(name, stored)) is not None:
                self._members[name] = (merged, revision)
        self._note_own_entry()
        now = self._clock.read_monotonic()
        self._lease_lost_at = {
            name: self._lease_lost_at.get(name, now)
            for name in self._members
            # The store has not shown a member that has only announced itself.
            if name not in alive and self._members[name][1]
        }
        self.has_read_members = True
        self._on_members(frozenset(self._members))

    def _note_own_entry(self) -> None:
        own = self.find(self._own.name)
        if own is None:
            return
        if own.incarnation == self._own.incarnation:
            self._listed.set()
        elif not self._lease:
            # The entry of the process before, which this one replaces.
            self._adopt(own)

    def _apply_loan_server(self, key: str, entry: Entry | None) -> None:
        name = key.removeprefix(LOAN_SERVERS_PREFIX)
        if entry is None:
            self._loan_servers.pop(name, None)
        elif _is_address(address := entry.value.decode("ascii", "replace")):
            self._loan_servers[name] = address, entry.revision
        else:
            _LOG.warning("entry of loan server %s ignored: no address", name)
            self._loan_servers.pop(name, None)

    def _apply_loan_server_lease(self, name: str, *, is_alive: bool) -> None:
        if is_alive:
            self._loan_server_lost_at.pop(name, None)
        else:
            self._loan_server_lost_at[name] = self._clock.read_monotonic()

    def handle_reconnect(self) -> None:
        # Leases may have ended in an outage, and loan servers register again.
        now = self._clock.read_monotonic()
        self._loan_server_lost_at = dict.fromkeys(self._loan_server_lost_at, now)

    async def remove_lost_loan_servers(self, *, min_left: int) -> None:
        """Remove loan servers that have lost their lease, until cancelled.

        The number of answers that make the loans known is counted from the list, so a
        loan server that is gone for good must not stay there once another one has
        replaced it. One that runs and only does not reach the store registers again,
        with its loans.

        Parameters
        ----------
        min_left : int
            Loan servers with a lease without which none is removed: they have more
            than the majority of the copies of each loan.
        """
        while True:
            await asyncio.sleep(_LOAN_SERVER_CHECK_INTERVAL)
            lost = self._loan_server_lost_at
            if sum(name not in lost for name in self._loan_servers) < min_left:
                continue
            is_first = min(self.list_names()) == self._own.name
            delay = _LOAN_SERVER_REMOVAL_DELAY + (0.0 if is_first else _OTHERS_DELAY)
            oldest = self._clock.read_monotonic() - delay
            for name in [name for name, since in lost.items() if since <= oldest]:
                try:
                    await self._remove_loan_server(name)
                except StoreError as exc:
                    _LOG.info("loan server %s not removed: %s", name, exc)

    async def _remove_loan_server(self, name: str) -> None:
        if name in self._loan_servers:
            # A loan server that is back has written its entry again.
            _, revision = self._loan_servers[name]
            write = Write(LOAN_SERVERS_PREFIX + name, None, revision)
            if isinstance(await self._store.write_all([write]), int):
                _LOG.warning(
                    "loan server without a lease removed", extra={"node": name}
                )
        self._loan_server_lost_at.pop(name, None)

    def apply(self, change: Change) -> None:
        if change.key.startswith(LOAN_SERVER_LEASES_PREFIX):
            name = change.key.removeprefix(LOAN_SERVER_LEASES_PREFIX)
            is_alive = change.entry is not None
            self._apply_loan_server_lease(name, is_alive=is_alive)
            return
        if change.key.startswith(LOAN_SERVERS_PREFIX):
            self._apply_loan_server(change.key, change.entry)
            return
        if change.key.startswith(_ALIVE_PREFIX):
            name = change.key.removeprefix(_ALIVE_PREFIX)
            if change.entry is None:
                self._lease_lost_at[name] = self._clock.read_monotonic()
                self._report_loss(name)
            else:
                self._lease_lost_at.pop(name, None)
            return
        name = change.key.removeprefix(_MEMBERS_PREFIX)
        known, sharing = frozenset(self._members), self.list_sharing()
        address = None if change.entry is None else _read_address(change.entry)
        if address is None or change.entry is None:
            self._announcements.discard(name)
            self._members.pop(name, None)
        else:
            address = self._announcements.merge(name, address) or address
            before = self._members.get(name)
            if before is not None and before[0].incarnation != address.incarnation:
                self._report_loss(name)
            self._members[name] = (address, change.entry.revision)
            self._note_own_entry()
        if (frozenset(self._members), self.list_sharing()) != (known, sharing):
            self._on_members(frozenset(self._members))


def _read_address(entry: Entry) -> NodeAddress | None:
    """Return the node that ``entry`` names; None if nodes cannot connect to it."""
    try:
        address = decode_json(entry.value, NodeAddress)
    except msgspec.DecodeError as exc:
        _LOG.warning("member entry %s cannot be decoded: %s", entry.key, exc)
        return None
    if (
        entry.key != _MEMBERS_PREFIX + address.name
        or not _is_address(address.peers)
        or (address.relay and not _is_address(address.relay))
    ):
        _LOG.warning("member entry %s ignored: wrong name or address", entry.key)
        return None
    return address


def _is_address(text: str) -> bool:
    try:
        return Address.from_text(text).port > 0
    except ValueError:
        return False
