"""Renewal of this node's authority by the store or by its monitor."""

from collections.abc import Callable

import msgspec

from fireflyspread.clock import Clock
from fireflyspread.recovery._assignment import choose_monitor, replace_member
from fireflyspread.recovery._authority import Authority
from fireflyspread.recovery._document import DocumentCache
from fireflyspread.recovery._lease import grant_member_lease, record_member_lease
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._peers import Peers
from fireflyspread.recovery._slot_manager import is_member
from fireflyspread.recovery._store import Store
from fireflyspread.settings import Timing

__all__ = ["Renewal"]

# The monitor is asked once less than this fraction of the authority's ttl is left. By
# then one renewal by the store has failed, and there is time for several attempts.
_ASK_MONITOR_FRACTION = 0.7


class Renewal:
    """Renews lease and authority by the store, or by the monitor during an outage.

    Parameters
    ----------
    read_member, read_bundle_version : callable
        Return this incarnation and the version of the bundle in force.
    on_renewed : callable
        Called when the node has regained its authority.
    on_lost : callable
        Called when this incarnation is no longer a member.
    on_bundle_version : callable
        Called with the bundle version that the monitor reports.
    """

    def __init__(
        self,
        store: Store,
        peers: Peers,
        document_cache: DocumentCache,
        authority: Authority,
        *,
        clock: Clock,
        timing: Timing,
        read_member: Callable[[], Member],
        read_bundle_version: Callable[[], int],
        on_renewed: Callable[[], None],
        on_lost: Callable[[], None],
        on_bundle_version: Callable[[int], None],
    ) -> None:
        self._store = store
        self._peers = peers
        self._document_cache = document_cache
        self._authority = authority
        self._clock = clock
        self._timing = timing
        self._read_member = read_member
        self._read_bundle_version = read_bundle_version
        self._on_renewed = on_renewed
        self._on_lost = on_lost
        self._on_bundle_version = on_bundle_version
        self._is_changing_monitor = False

    def reset(self) -> None:
        """Reset for a new incarnation."""
        self._is_changing_monitor = False

    async def renew_by_store(self) -> None:
        """Renew the lease, read the document, and renew the authority if both succeed.

        Rate shares depend on the epoch, so a node that cannot read the document for
        the ttl of the authority must stop.

        Raises
        ------
        StoreError
            The store does not answer.
        """
        member = self._read_member()
        sent_at = self._clock.read_monotonic()
        is_renewed = await self._store.renew_lease(member.lease)
        await self._document_cache.refresh()
        if is_renewed:
            self._renew(member, sent_at)
            return
        updated = await grant_member_lease(self._store, member, self._timing.lease_ttl)
        if not await record_member_lease(self._document_cache, updated):
            self._on_lost()

    def _renew(
        self, member: Member, sent_at: float, seconds: float | None = None
    ) -> None:
        # The answer may arrive after this incarnation was removed.
        if not is_member(self._document_cache.document, member):
            return
        was_held = self._authority.is_held
        self._authority.renew(sent_at, seconds)
        if not was_held:
            self._on_renewed()

    async def renew_by_monitor(self) -> None:
        """Ask the monitor if a renewal by the store has failed.

        Raises
        ------
        PeerError
            The monitor does not answer.
        """
        if self._authority.remaining > _ASK_MONITOR_FRACTION * self._authority.ttl:
            return
        member, document = self._read_member(), self._document_cache.document
        monitor = document.find_member(member.monitor) if member.monitor else None
        # During a change of monitor it is not known which node may remove this one,
        # so a grant of neither is valid.
        if monitor is None or self._is_changing_monitor:
            return
        sent_at = self._clock.read_monotonic()
        response = await self._peers.renew_authority(
            monitor, document.epoch, self._read_bundle_version()
        )
        self._on_bundle_version(response.bundle_version)
        if response.document:
            self._document_cache.accept_encoded(response.document, response.revision)
        is_valid = (
            self._read_member().monitor == monitor.name
            and self._document_cache.document.epoch >= response.epoch
        )
        if response.granted and is_valid and not self._is_changing_monitor:
            self._renew(member, sent_at, response.seconds)

    async def update_monitor(self) -> None:
        """Make the next member on the ring this node's monitor.

        Raises
        ------
        StoreError
            The store does not answer; the monitor is unchanged.
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

        if choose_monitor(self._document_cache.document, member.name) == member.monitor:
            return
        # Fails while the store is unavailable: the current monitor stays valid.
        await self._document_cache.refresh()
        self._is_changing_monitor = True
        await self._document_cache.change(edit)
        self._is_changing_monitor = False
