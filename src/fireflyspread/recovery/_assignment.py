"""Edits of the members document, as functions from document to document."""

from collections import Counter
from collections.abc import Iterable, Set

import msgspec

from fireflyspread.recovery._members import Member, MembersDocument, SlotRow
from fireflyspread.recovery._slots import SLOT_COUNT

__all__ = [
    "add_member",
    "assign_rows",
    "choose_monitor",
    "mark_replayed",
    "plan_transfers",
    "remove_discarded",
    "list_journals",
    "list_eligible_owners",
    "move_slots",
    "remove_members",
    "replace_member",
    "choose_receivers",
]


def _order_ring(members: Iterable[Member]) -> list[Member]:
    """Order members so that neighbours are in different zones where possible."""
    seen: Counter[str] = Counter()
    keyed = []
    for member in sorted(members, key=lambda m: m.name):
        keyed.append((seen[member.zone], member.zone, member.name, member))
        seen[member.zone] += 1
    return [row[-1] for row in sorted(keyed, key=lambda row: row[:3])]


def choose_monitor(document: MembersDocument, name: str) -> str:
    """Return the next member on the ring, or an empty string if there is no other.

    On a ring of three or more, no two nodes monitor each other, so two nodes that
    fail together are removed one after the other.
    """
    ring = [member.name for member in _order_ring(document.members)]
    if name not in ring or len(ring) < 2:
        return ""
    return ring[(ring.index(name) + 1) % len(ring)]


def list_eligible_owners(document: MembersDocument) -> list[str]:
    """Return the names of the members that may be assigned slots."""
    return [member.name for member in document.members if not member.is_leaving]


def assign_rows(document: MembersDocument) -> MembersDocument:
    """Assign rows without an owner to the members with the fewest slots."""
    names = {member.name for member in document.members}
    eligible = list_eligible_owners(document)
    if not eligible:
        return document
    counts = Counter({name: 0 for name in names})
    counts.update(row.owner for row in document.slots if row.owner in names)
    rows = list(document.slots) or [SlotRow()] * SLOT_COUNT
    for index, row in enumerate(rows):
        if row.owner not in names:
            owner = min(eligible, key=lambda name: (counts[name], name))
            counts[owner] += 1
            rows[index] = SlotRow(owner=owner, sources=row.sources)
    return msgspec.structs.replace(document, slots=tuple(rows))


def add_member(document: MembersDocument, member: Member) -> MembersDocument:
    """Add a member and assign slots without an owner; other slots do not move."""
    joined = msgspec.structs.replace(document, members=(*document.members, member))
    monitor = choose_monitor(joined, member.name)
    member = msgspec.structs.replace(member, monitor=monitor)
    return assign_rows(replace_member(joined, member))


def replace_member(document: MembersDocument, member: Member) -> MembersDocument:
    """Replace the member of the same name."""
    members = tuple(
        member if other.name == member.name else other for other in document.members
    )
    return msgspec.structs.replace(document, members=members)


def _clear_owner(row: SlotRow, removed: dict[str, Member]) -> SlotRow:
    if row.owner not in removed:
        return row
    # An owner that has not finished its takeover has acknowledged nothing for this
    # slot, so the journal that it was replaying stays the only source.
    sources = row.sources or (removed[row.owner].journal,)
    return SlotRow(owner="", sources=sources)


def remove_members(
    document: MembersDocument, names: Set[str], *, successor: str = ""
) -> MembersDocument:
    """Remove members and record their journals as sources of their slots.

    The rows have no owner afterwards; ``assign_rows`` assigns new ones.

    Parameters
    ----------
    successor : str
        Name of the member that becomes the monitor in place of removed monitors.
    """
    removed = {m.name: m for m in document.members if m.name in names}
    members = []
    for member in document.members:
        if member.name in removed:
            continue
        if member.monitor in removed:
            monitor = successor if successor != member.name else ""
            member = msgspec.structs.replace(member, monitor=monitor)
        members.append(member)
    rows = tuple(_clear_owner(row, removed) for row in document.slots)
    changed = msgspec.structs.replace(document, members=tuple(members), slots=rows)
    return _add_discarded(changed, {member.journal for member in removed.values()})


def _add_discarded(document: MembersDocument, journals: Set[str]) -> MembersDocument:
    """Schedule those of ``journals`` for deletion that nothing refers to."""
    unused = sorted(journals - list_journals(document) - set(document.discarded))
    discarded = (*document.discarded, *unused)
    return msgspec.structs.replace(document, discarded=discarded)


def remove_discarded(document: MembersDocument, journal: str) -> MembersDocument:
    """Remove ``journal`` from the journals to delete."""
    discarded = tuple(other for other in document.discarded if other != journal)
    return msgspec.structs.replace(document, discarded=discarded)


def mark_replayed(
    document: MembersDocument, owner: str, source: str, slots: Set[int]
) -> MembersDocument:
    """Mark ``slots`` of ``owner`` as replayed from ``source``."""
    rows = tuple(
        SlotRow(owner=owner)
        if index in slots and row == SlotRow(owner=owner, sources=(source,))
        else row
        for index, row in enumerate(document.slots)
    )
    if rows == document.slots:
        return document
    return _add_discarded(msgspec.structs.replace(document, slots=rows), {source})


def move_slots(
    document: MembersDocument, owner: Member, receivers: dict[int, str]
) -> MembersDocument:
    """Move slots that ``owner`` has drained to their receivers."""
    rows = list(document.slots)
    for slot, receiver in receivers.items():
        if rows[slot] == SlotRow(owner=owner.name):
            rows[slot] = SlotRow(owner=receiver, sources=(owner.journal,))
    return msgspec.structs.replace(document, slots=tuple(rows))


def plan_transfers(document: MembersDocument, name: str) -> tuple[str, ...]:
    """Return one receiver for each slot that ``name`` should release to balance."""
    counts = Counter(dict.fromkeys(list_eligible_owners(document), 0))
    counts.update(row.owner for row in document.slots if row.owner in counts)
    receivers: list[str] = []
    while name in counts:
        receiver = min(counts, key=lambda other: (counts[other], other))
        if counts[name] - counts[receiver] < 2:
            break
        counts[name] -= 1
        counts[receiver] += 1
        receivers.append(receiver)
    return tuple(receivers)


def choose_receivers(
    document: MembersDocument, name: str, slots: Iterable[int]
) -> dict[int, str]:
    """Return a receiver for each slot that ``name`` releases; empty if none exists."""
    others = [other for other in list_eligible_owners(document) if other != name]
    counts = Counter(row.owner for row in document.slots)
    receivers: dict[int, str] = {}
    for slot in slots if others else ():
        receivers[slot] = min(others, key=lambda other: (counts[other], other))
        counts[receivers[slot]] += 1
    return receivers


def list_journals(document: MembersDocument) -> frozenset[str]:
    """Return the journals of members and those that slot rows refer to."""
    journals = {member.journal for member in document.members}
    journals.update(source for row in document.slots for source in row.sources)
    return frozenset(journals)
