"""Store lease of this node's membership."""

import msgspec

from fireflyspread.exceptions import StoreUncertainError
from fireflyspread.recovery._assignment import replace_member
from fireflyspread.recovery._document import DocumentCache
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._monitor import format_lease_key
from fireflyspread.recovery._slot_manager import is_member
from fireflyspread.recovery._store import Store

__all__ = ["grant_member_lease", "record_member_lease"]


async def grant_member_lease(store: Store, member: Member, ttl: int) -> Member:
    """Create a lease and its key, and return ``member`` with the lease.

    Parameters
    ----------
    ttl : int
        Seconds.

    Raises
    ------
    StoreError
        The store does not answer; call again.
    """
    lease = await store.grant_lease(ttl)
    key = format_lease_key(member)
    entry = await store.read(key)
    revision = 0 if entry is None else entry.revision
    if await store.replace(key, b"{}", revision=revision, lease=lease) is None:
        raise StoreUncertainError(f"{key} was changed concurrently; retry")
    return msgspec.structs.replace(member, lease=lease)


async def record_member_lease(document_cache: DocumentCache, member: Member) -> bool:
    """Write the lease of ``member`` to the members document.

    A monitor that found the old lease expired removes the node by compare-and-swap on
    the document that it read before. Only this update of the document shows which of
    the two came first, so the new lease gives no authority before it.

    Returns
    -------
    bool
        False if the member has been removed.
    """

    def edit(document: MembersDocument) -> MembersDocument | None:
        found = document.find_member(member.name)
        if found is None or not is_member(document, member):
            return None
        return replace_member(
            document, msgspec.structs.replace(found, lease=member.lease)
        )

    return await document_cache.change(edit)
