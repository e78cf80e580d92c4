"""Renewal of this node's authority by the store or by its monitor."""

from collections.abc import Callable

import msgspec

from fireflyspread.clock import Clock
from fireflyspread.recovery._assignment import choose_monitor, replace_member
from fireflyspread.recovery._authority import Authority
from fireflyspread.recovery._document import DocumentKeeper
from fireflyspread.recovery._lease import grant_member_lease, name_member_lease
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._peers import Peers
from fireflyspread.recovery._slot_keeper import is_member
from fireflyspread.recovery._store import Store
from fireflyspread.settings import Timing

__all__ = ["Renewal"]

# Share of the authority's ttl below which the monitor is asked: the store has then
# missed one renewal, and there is time for several attempts.
_ASK_MONITOR_BELOW = 0.7


class Renewal:
    """Keeps the lease, names the monitor and asks it while the store is silent.

    Parameters
    ----------
    read_member, read_version : callable
        Return this incarnation and the bundle version in force.
    on_renewed : callable
        Called when authority has come back.
    on_lost : callable
        Called when this incarnation is no longer a member.
    on_version : callable
        Called with the bundle version that the monitor knows.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        keeper: DocumentKeeper,
        authority: Authority,
        *,
        clock: Clock,
        timing: Timing,
        read_member: Callable[[], Member],
        read_version: Callable[[], int],
        on_renewed: Callable[[], None],
        on_lost: Callable[[], None],
        on_version: Callable[[int], None],
    ) -> None:
        self._store = store
        self._peers = peers
        self._keeper = keeper
        self._authority = authority
        self._clock = clock
        self._timing = timing
        self._read_member = read_member
        self._read_version = read_version
        self._on_renewed = on_renewed
        self._on_lost = on_lost
        self._on_version = on_version
        self._is_renaming = False

    def reset(self) -> None:
        """Begin anew for a new incarnation."""
        self._is_renaming = False

    async def renew_by_store(self) -> None:
        """Renew the lease and read the document, and renew the authority with both.

        Rate shares move with the epoch, so a node that reads no newer epoch for the
        ttl of the authority must stop.

        Raises
        ------
        StoreError
            The store does not answer.
        """
        member = self._read_member()
        sent_at = self._clock.read_monotonic()
        is_kept = await self._store.keep_lease(member.lease)
        await self._keeper.refresh()
        if is_kept:
            self._renew(member, sent_at)
            return
        renewed = await grant_member_lease(self._store, member, self._timing.lease_ttl)
        if not await name_member_lease(self._keeper, renewed):
            self._on_lost()

    def _renew(
        self, member: Member, sent_at: float, seconds: float | None = None
    ) -> None:
        # The answer may arrive after this incarnation was removed.
        if not is_member(self._keeper.document, member):
            return
        was_held = self._authority.is_held
        self._authority.renew(sent_at, seconds)
        if not was_held:
            self._on_renewed()

    async def renew_by_monitor(self) -> None:
        """Ask the monitor when the store has missed a renewal.

        Raises
        ------
        PeerError
            The monitor does not answer.
        """
        if self._authority.remaining > _ASK_MONITOR_BELOW * self._authority.ttl:
            return
        member, document = self._read_member(), self._keeper.document
        monitor = document.find_member(member.monitor) if member.monitor else None
        # While a change of monitor is under way, it is not known who may remove
        # this node, so nobody's promise counts.
        if monitor is None or self._is_renaming:
            return
        sent_at = self._clock.read_monotonic()
        promise = await self._peers.renew_authority(
            monitor, document.epoch, self._read_version()
        )
        self._on_version(promise.bundle_version)
        if promise.document:
            self._keeper.offer(promise.document, promise.revision)
        is_valid = (
            self._read_member().monitor == monitor.name
            and self._keeper.document.epoch >= promise.epoch
        )
        if promise.granted and is_valid and not self._is_renaming:
            self._renew(member, sent_at, promise.seconds)

    async def name_monitor(self) -> None:
        """Name the next member on the ring as this node's monitor.

        Raises
        ------
        StoreError
            The store does not answer; the monitor stays.
        """
        member = self._read_member()

        def edit(document: MembersDocument) -> MembersDocument | None:
            found = document.find_member(member.name)
            if found is None or not is_member(document, member):
                return None
            monitor = choose_monitor(document, member.name)
            return replace_member(
                document, msgspec.structs.replace(found, monitor=monitor)
            )

        if choose_monitor(self._keeper.document, member.name) == member.monitor:
            return
        # While the store is silent, the present monitor stays the one to ask.
        await self._keeper.refresh()
        self._is_renaming = True
        await self._keeper.change(edit)
        self._is_renaming = False
