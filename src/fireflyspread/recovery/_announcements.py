"""Members that have announced themselves before the store's watch showed them."""

import enum

import msgspec

from fireflyspread.clock import Clock

__all__ = ["Announcements", "JoinStage", "NodeAddress"]

# Seconds after which an announcement no longer counts beside what the store says. A
# node that has ended is removed from the store sooner.
_ANNOUNCEMENT_TTL = 30.0


class JoinStage(enum.StrEnum):
    """How far a node has come with joining the nodes that share rates.

    The others give a node a share of their rates from ``ANNOUNCED`` on; the node uses
    it as a ``MEMBER``, when all others are known to have given it.
    """

    JOINING = "joining"
    ANNOUNCED = "announced"
    MEMBER = ""


_RANKS: dict[str, int] = {
    JoinStage.JOINING: 0,
    JoinStage.ANNOUNCED: 1,
    JoinStage.MEMBER: 2,
}


class NodeAddress(msgspec.Struct, frozen=True, kw_only=True):
    """Address at which a node listens for other nodes.

    Attributes
    ----------
    peers : str
        ``ip:port`` for messages.
    incarnation : str
        Unique to one run of the process.
    relay : str
        ``ip:port`` for requests that the node relays; empty if it relays none.
    stage : str
        A ``JoinStage``; nodes of earlier releases are members from the start.
    """

    name: str
    zone: str
    peers: str
    incarnation: str
    relay: str = ""
    stage: str = JoinStage.MEMBER

    @property
    def has_share(self) -> bool:
        """Whether the other nodes count this one among those that share rates."""
        return self.stage != JoinStage.JOINING

    def is_behind(self, other: "NodeAddress") -> bool:
        """Return whether ``other`` says that the node has come further."""
        member = _RANKS[JoinStage.MEMBER]
        return _RANKS.get(self.stage, member) < _RANKS.get(other.stage, member)


class Announcements:
    """Addresses that nodes have told this one directly."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._told: dict[str, tuple[NodeAddress, float]] = {}

    def add(self, address: NodeAddress) -> None:
        """Record what a node has told."""
        self._told[address.name] = (address, self._clock.read_monotonic())

    def discard(self, name: str) -> None:
        """Forget a node that the store has removed."""
        self._told.pop(name, None)

    def merge(self, name: str, stored: NodeAddress | None) -> NodeAddress | None:
        """Return the newer of what a node has told and what the store says."""
        told = self._told.get(name)
        if told is None:
            return stored
        address, at = told
        if self._clock.read_monotonic() > at + _ANNOUNCEMENT_TTL:
            del self._told[name]
            return stored
        if stored is None:
            return address
        if stored.is_behind(address):
            return msgspec.structs.replace(stored, stage=address.stage)
        del self._told[name]
        return stored

    def list_names(self) -> list[str]:
        """Return the names of the nodes that have told this one."""
        return list(self._told)
