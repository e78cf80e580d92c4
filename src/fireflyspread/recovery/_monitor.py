"""Duties of a monitor: promises, and the decision who may be removed."""

from collections.abc import Set

from fireflyspread.clock import Clock
from fireflyspread.recovery._authority import Authority
from fireflyspread.recovery._members import Member, MembersDocument

__all__ = ["Monitor"]


class Monitor:
    """Promises that this node gave and the removals that it may make.

    Parameters
    ----------
    name : str
        This node.
    """

    def __init__(self, name: str, *, clock: Clock, authority: Authority) -> None:
        self._name = name
        self._clock = clock
        self._authority = authority
        self._promised: dict[tuple[str, str], float] = {}
        self._removing: dict[tuple[str, str], int] = {}
        self._seen: dict[tuple[str, str, str, int], float] = {}
        self.is_leaving = False

    def follow(self, document: MembersDocument) -> None:
        """Note when each relation of node, monitor and lease was first seen."""
        now = self._clock.read_monotonic()
        keys = [(m.name, m.incarnation, m.monitor, m.lease) for m in document.members]
        self._seen = {key: self._seen.get(key, now) for key in keys}
        nodes = {key[:2] for key in keys}
        self._promised = {k: v for k, v in self._promised.items() if k in nodes}
        # A removal that was tried on an older epoch can no longer take effect.
        self._removing = {
            k: epoch for k, epoch in self._removing.items() if epoch >= document.epoch
        }

    def promise(self, document: MembersDocument, node: str, incarnation: str) -> bool:
        """Promise not to remove a node for the authority's ttl, if allowed."""
        member = document.find_member(node)
        if (
            member is None
            or member.incarnation != incarnation
            or member.monitor != self._name
            or (node, incarnation) in self._removing
            or self.is_leaving
            or not self._authority.is_held
        ):
            return False
        deadline = self._clock.read_monotonic() + self._authority.ttl
        self._promised[node, incarnation] = deadline
        return True

    def begin_removal(self, document: MembersDocument, members: list[Member]) -> None:
        """Promise nothing more to ``members`` until the document has changed."""
        for member in members:
            self._removing[member.name, member.incarnation] = document.epoch

    def find_removable(
        self, document: MembersDocument, live: Set[str], vms: Set[str] | None
    ) -> list[Member]:
        """Return the members that this node may remove now.

        Parameters
        ----------
        live : set of str
            Lease keys that are present, read after ``document``.
        vms : set of str or None
            VMs on the platform's list; None when it is not known.
        """
        return [
            member
            for member in document.members
            if member.name != self._name
            and find_lease_key(member) not in live
            and self._may_remove(member, vms)
        ]

    def _may_remove(self, member: Member, vms: Set[str] | None) -> bool:
        now = self._clock.read_monotonic()
        key = (member.name, member.incarnation, member.monitor, member.lease)
        # An earlier monitor may have given a promise just before this relation
        # came about, so its whole duration passes first.
        if now - self._seen.get(key, now) < self._authority.ttl:
            return False
        if vms is not None and member.vm not in vms:
            return True
        if member.monitor not in ("", self._name):
            return False
        return now >= self._promised.get((member.name, member.incarnation), now)


def find_lease_key(member: Member) -> str:
    """Return the key that exists while the member's lease lives."""
    return f"nodes/{member.name}/{member.incarnation}"
