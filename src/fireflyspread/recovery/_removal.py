"""Entry of this node into the members document and removal of others."""

import logging
from collections.abc import Set

import msgspec

from fireflyspread.recovery._assignment import (
    add_member,
    assign_rows,
    remove_members,
    replace_member,
)
from fireflyspread.recovery._document import DocumentKeeper
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._monitor import Monitor, find_lease_key
from fireflyspread.recovery._slot_keeper import is_member
from fireflyspread.recovery._store import Store

__all__ = ["announce_leave", "leave_members", "remove_expired", "try_join"]

logger = logging.getLogger(__name__)


async def try_join(store: Store, keeper: DocumentKeeper, member: Member) -> bool:
    """Add ``member`` in the place of an older incarnation whose lease has expired.

    Returns
    -------
    bool
        False when the older one's lease lives or the document changed meanwhile.

    Raises
    ------
    StoreError
        The store does not answer; the member may have been added.
    """
    document = await keeper.refresh()
    if is_member(document, member):
        return True
    old = document.find_member(member.name)
    if old is not None and await store.read(find_lease_key(old)) is not None:
        return False

    def edit(present: MembersDocument) -> MembersDocument | None:
        if present is not document:
            return None
        cleared = remove_members(present, {member.name}, heir=member.name)
        return add_member(cleared, member)

    return await keeper.try_change(edit)


async def announce_leave(keeper: DocumentKeeper, member: Member) -> None:
    """Tell the other nodes to give no more slots to this one."""

    def edit(document: MembersDocument) -> MembersDocument | None:
        found = document.find_member(member.name)
        if found is None or not is_member(document, member):
            return None
        return replace_member(document, msgspec.structs.replace(found, is_leaving=True))

    await keeper.change(edit)


async def leave_members(keeper: DocumentKeeper, member: Member) -> None:
    """Remove this node itself; its monitor takes over its duties.

    The node has stopped giving promises before.
    """

    def edit(document: MembersDocument) -> MembersDocument | None:
        if not is_member(document, member):
            return document
        heir = member.monitor
        return assign_rows(remove_members(document, {member.name}, heir=heir))

    await keeper.change(edit)


async def remove_expired(
    store: Store,
    keeper: DocumentKeeper,
    monitor: Monitor,
    member: Member,
    vms: Set[str] | None,
) -> None:
    """Remove the members whose lease has expired and that ``member`` may remove.

    The document is read before the leases and the change applies to just that
    document, so a node that renews its lease meanwhile is not removed.

    Raises
    ------
    StoreError
        The store does not answer; the members may have been removed.
    """
    document = await keeper.refresh()
    rows = await store.read_prefix("nodes/")
    removable = monitor.find_removable(document, {row.key for row in rows}, vms)
    if not removable or keeper.document is not document:
        return
    names = {other.name for other in removable}
    logger.warning("removing %s", ", ".join(sorted(names)))
    monitor.begin_removal(document, removable)

    def edit(present: MembersDocument) -> MembersDocument | None:
        if present is not document:
            return None
        return assign_rows(remove_members(present, names, heir=member.name))

    await keeper.try_change(edit)
