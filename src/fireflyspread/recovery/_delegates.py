"""Chooses few nodes of each zone that act for the others."""

from collections.abc import Collection

from attrs import define

from fireflyspread._ranking import rank_nodes
from fireflyspread.clock import Clock
from fireflyspread.recovery._roster import NodeAddress

__all__ = ["DelegateChoice"]

# Seconds for which a node does not ask a delegate that has failed. Doubled each time in
# succession: a node may be refused by the store for 11 s, and each question to it takes
# an additional call to the store.
_MIN_AVOIDANCE_SECONDS = 1.0
_MAX_AVOIDANCE_SECONDS = 8.0


@define
class _Avoidance:
    until: float
    seconds: float


class DelegateChoice:
    """Chooses whether a node acts itself, or which delegate acts for it.

    Delegates are the first nodes of each zone in a ranking by rendezvous hashing, so
    nodes with the same roster agree without messages.

    Parameters
    ----------
    threshold : int
        Number of nodes up to which each node acts itself.

    Attributes
    ----------
    role : str
        What the delegates do; delegates of different roles are chosen independently.
    count : int
        Delegates of a zone.
    is_shared : bool
        Whether the delegates of a zone share the work. Otherwise the first one does it,
        and the others stand in for it.
    """

    role: str
    count: int
    is_shared: bool

    def __init__(self, *, node: str, zone: str, threshold: int, clock: Clock) -> None:
        self._node = node
        self._zone = zone
        self._threshold = threshold
        self._clock = clock
        self._avoided: dict[str, _Avoidance] = {}

    def is_enabled(self, members: Collection[NodeAddress]) -> bool:
        """Return whether delegates are used among ``members``."""
        return len(members) > self._threshold

    def list_delegates(self, members: Collection[NodeAddress]) -> list[str]:
        """Return the delegates of the node's zone; nobody below the threshold."""
        if not self.is_enabled(members):
            return []
        names = [each.name for each in members if each.zone == self._zone]
        return rank_nodes(names, self.role)[: self.count]

    def is_delegate(self, members: Collection[NodeAddress]) -> bool:
        """Return whether this node acts for others."""
        return self._node in self.list_delegates(members)

    def choose(self, members: Collection[NodeAddress]) -> NodeAddress | None:
        """Return the delegate to ask; None if the node has to act itself."""
        names = self.list_delegates(members)
        if self.is_shared:
            if self._node in names:
                return None
            names = rank_nodes(names, self._node)
        now = self._clock.read_monotonic()
        by_name = {each.name: each for each in members}
        for name in names:
            if name == self._node:
                return None
            avoided = self._avoided.get(name)
            if avoided is None or avoided.until <= now:
                return by_name[name]
        return None

    def record_failure(self, name: str) -> None:
        """Avoid a delegate for a while, longer after each failure in succession."""
        now = self._clock.read_monotonic()
        known = self._avoided.get(name)
        if known is not None and known.until > now:
            # Another request to it has seen the same failure.
            return
        seconds = (
            _MIN_AVOIDANCE_SECONDS
            if known is None
            else min(2 * known.seconds, _MAX_AVOIDANCE_SECONDS)
        )
        self._avoided[name] = _Avoidance(now + seconds, seconds)

    def record_success(self, name: str) -> None:
        """Forget earlier failures of a delegate."""
        known = self._avoided.get(name)
        if known is not None and known.until <= self._clock.read_monotonic():
            del self._avoided[name]
