"""The members document: members of the cluster and owners of the slots."""

import msgspec

__all__ = ["Member", "MembersDocument", "SlotRow"]


class Member(msgspec.Struct, frozen=True, kw_only=True):
    """One node incarnation.

    Attributes
    ----------
    incarnation : str
        Unique to one membership of the node; each join chooses a new one.
    monitor : str
        Name of the only member that may remove this one while its VM is listed.
    internal, peers : str
        Addresses as ``ip:port``.
    lease : int
        Id of the store lease of the key ``nodes/<name>/<incarnation>``.
    is_leaving : bool
        Whether the node is releasing its slots and must not be assigned any.
    """

    name: str
    incarnation: str
    zone: str
    vm: str
    internal: str
    peers: str
    monitor: str = ""
    lease: int = 0
    is_leaving: bool = False

    @property
    def journal(self) -> str:
        """Key prefix of the member's journal."""
        return f"journal/{self.name}/{self.incarnation}/"


class SlotRow(msgspec.Struct, frozen=True, kw_only=True):
    """Owner of one slot and the journals that the owner has yet to replay."""

    owner: str = ""
    sources: tuple[str, ...] = ()


class MembersDocument(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the store key ``members``.

    Attributes
    ----------
    epoch : int
        Incremented by each change.
    write_id : str
        Unique to one write, so that a lost response can be resolved.
    slots : tuple of SlotRow
        One row for each slot.
    discarded : tuple of str
        Journals that no slot row refers to and that are to be deleted.
    """

    epoch: int
    write_id: str
    members: tuple[Member, ...]
    slots: tuple[SlotRow, ...]
    discarded: tuple[str, ...] = ()

    def find_member(self, name: str) -> Member | None:
        """Return the member called ``name`` or None."""
        return next((m for m in self.members if m.name == name), None)
