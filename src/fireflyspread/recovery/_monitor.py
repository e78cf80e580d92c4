"""Monitor of other nodes: grants of authority and removal of members."""

from collections.abc import Set

from fireflyspread.clock import Clock
from fireflyspread.recovery._authority import Authority
from fireflyspread.recovery._members import Member, MembersDocument

__all__ = ["Monitor"]


class Monitor:
    """Authority that this node has granted, and the removals that it may make.

    Parameters
    ----------
    name : str
        Name of this node.
    """

    def __init__(self, name: str, *, clock: Clock, authority: Authority) -> None:
        self._name = name
        self._clock = clock
        self._authority = authority
        self._granted_until: dict[tuple[str, str], float] = {}
        self._removal_epochs: dict[tuple[str, str], int] = {}
        self._first_seen: dict[tuple[str, str, str, int], float] = {}
        self.is_leaving = False

    def observe(self, document: MembersDocument) -> None:
        """Record when each combination of node, monitor and lease was first seen."""
        now = self._clock.read_monotonic()
        keys = [(m.name, m.incarnation, m.monitor, m.lease) for m in document.members]
        self._first_seen = {key: self._first_seen.get(key, now) for key in keys}
        nodes = {key[:2] for key in keys}
        self._granted_until = {
            k: v for k, v in self._granted_until.items() if k in nodes
        }
        # A removal attempted on an older epoch can no longer take effect.
        self._removal_epochs = {
            k: epoch
            for k, epoch in self._removal_epochs.items()
            if epoch >= document.epoch
        }

    def grant(self, document: MembersDocument, node: str, incarnation: str) -> bool:
        """Grant a node authority for one ttl, in which this node does not remove it.

        Returns
        -------
        bool
            False if this node may not grant it.
        """
        member = document.find_member(node)
        if (
            member is None
            or member.incarnation != incarnation
            or member.monitor != self._name
            or (node, incarnation) in self._removal_epochs
            or self.is_leaving
            or not self._authority.is_held
        ):
            return False
        deadline = self._clock.read_monotonic() + self._authority.ttl
        self._granted_until[node, incarnation] = deadline
        return True

    def begin_removal(self, document: MembersDocument, members: list[Member]) -> None:
        """Grant nothing more to ``members`` until the document has changed."""
        for member in members:
            self._removal_epochs[member.name, member.incarnation] = document.epoch

    def find_removable(
        self, document: MembersDocument, live: Set[str], vms: Set[str] | None
    ) -> list[Member]:
        """Return the members that this node may remove now.

        Parameters
        ----------
        live : set of str
            Lease keys that exist, read after ``document``.
        vms : set of str or None
            VMs on the platform's list; None if it is not known.
        """
        return [
            member
            for member in document.members
            if member.name != self._name
            and format_lease_key(member) not in live
            and self._may_remove(member, vms)
        ]

    def _may_remove(self, member: Member, vms: Set[str] | None) -> bool:
        now = self._clock.read_monotonic()
        key = (member.name, member.incarnation, member.monitor, member.lease)
        # An earlier monitor may have granted authority just before this combination
        # came into force, so a whole ttl must pass first.
        if now - self._first_seen.get(key, now) < self._authority.ttl:
            return False
        if vms is not None and member.vm not in vms:
            return True
        if member.monitor not in ("", self._name):
            return False
        return now >= self._granted_until.get((member.name, member.incarnation), now)


def format_lease_key(member: Member) -> str:
    """Return the key that exists until the member's lease expires."""
    return f"nodes/{member.name}/{member.incarnation}"
