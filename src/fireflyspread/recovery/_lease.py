"""The store lease of this node."""

import msgspec

from fireflyspread.exceptions import StoreUncertainError
from fireflyspread.recovery._assignment import replace_member
from fireflyspread.recovery._document import DocumentKeeper
from fireflyspread.recovery._members import Member, MembersDocument
from fireflyspread.recovery._monitor import find_lease_key
from fireflyspread.recovery._slot_keeper import is_member
from fireflyspread.recovery._store import Store

__all__ = ["grant_member_lease", "name_member_lease"]


async def grant_member_lease(store: Store, member: Member, ttl: int) -> Member:
    """Return ``member`` with a new lease whose key is in the store.

    Raises
    ------
    StoreError
        The store does not answer; call again.
    """
    lease = await store.grant_lease(ttl)
    key = find_lease_key(member)
    entry = await store.read(key)
    revision = 0 if entry is None else entry.revision
    if await store.replace(key, b"{}", revision=revision, lease=lease) is None:
        raise StoreUncertainError(f"{key} was written meanwhile; retry")
    return msgspec.structs.replace(member, lease=lease)


async def name_member_lease(keeper: DocumentKeeper, member: Member) -> bool:
    """Write the lease of ``member`` to the members document.

    A monitor that found the old lease expired removes the node by compare-and-swap
    on the document it read before. Only the change of the document tells the node
    which of the two came first, so the new lease gives no authority before it.

    Returns
    -------
    bool
        False when the member has been removed.
    """

    def edit(document: MembersDocument) -> MembersDocument | None:
        found = document.find_member(member.name)
        if found is None or not is_member(document, member):
            return None
        return replace_member(
            document, msgspec.structs.replace(found, lease=member.lease)
        )

    return await keeper.change(edit)
