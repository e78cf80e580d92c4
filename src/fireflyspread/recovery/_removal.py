"""Changes of membership: join and leave of this node, removal of others."""

import logging
from collections.abc import Set

import msgspec

from fireflyspread.recovery._assignment import (
    add_member,
    assign_rows,
    remove_members,
    replace_member,
)
from fireflyspread.recovery._document import DocumentCache
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._monitor import Monitor, format_lease_key
from fireflyspread.recovery._slot_manager import is_member
from fireflyspread.recovery._store import Store

__all__ = ["announce_leave", "remove_self", "remove_expired", "try_join"]

_LOG = logging.getLogger(__name__)


async def try_join(store: Store, document_cache: DocumentCache, member: Member) -> bool:
    """Add ``member``, replacing an older incarnation whose lease has expired.

    Returns
    -------
    bool
        False if the lease of the older incarnation is alive or the document was
        changed concurrently.

    Raises
    ------
    StoreError
        The store does not answer; the member may have been added.
    """
    document = await document_cache.refresh()
    if is_member(document, member):
        return True
    old = document.find_member(member.name)
    if old is not None and await store.read(format_lease_key(old)) is not None:
        return False

    def edit(current: MembersDocument) -> MembersDocument | None:
        if current is not document:
            return None
        without_old = remove_members(current, {member.name}, successor=member.name)
        return add_member(without_old, member)

    return await document_cache.try_change(edit)


async def announce_leave(document_cache: DocumentCache, member: Member) -> None:
    """Mark this node as leaving, so that other nodes assign it no more slots."""

    def edit(document: MembersDocument) -> MembersDocument | None:
        found = document.find_member(member.name)
        if found is None or not is_member(document, member):
            return None
        return replace_member(document, msgspec.structs.replace(found, is_leaving=True))

    await document_cache.change(edit)


async def remove_self(document_cache: DocumentCache, member: Member) -> None:
    """Remove this node from the members.

    Its monitor becomes the monitor of the nodes that this one has monitored. The node
    must no longer grant authority to others.
    """

    def edit(document: MembersDocument) -> MembersDocument | None:
        if not is_member(document, member):
            return document
        successor = member.monitor
        return assign_rows(remove_members(document, {member.name}, successor=successor))

    await document_cache.change(edit)


async def remove_expired(
    store: Store,
    document_cache: DocumentCache,
    monitor: Monitor,
    member: Member,
    vms: Set[str] | None,
) -> None:
    """Remove the members with an expired lease that ``member`` may remove.

    The document is read before the leases, and the edit applies only to that version
    of it. A node that obtains a new lease concurrently is therefore not removed.

    Raises
    ------
    StoreError
        The store does not answer; the members may have been removed.
    """
    document = await document_cache.refresh()
    rows = await store.read_prefix("nodes/")
    removable = monitor.find_removable(document, {row.key for row in rows}, vms)
    if not removable or document_cache.document is not document:
        return
    names = {other.name for other in removable}
    _LOG.warning("removing members without a lease: %s", ", ".join(sorted(names)))
    monitor.begin_removal(document, removable)

    def edit(current: MembersDocument) -> MembersDocument | None:
        if current is not document:
            return None
        return assign_rows(remove_members(current, names, successor=member.name))

    await document_cache.try_change(edit)
