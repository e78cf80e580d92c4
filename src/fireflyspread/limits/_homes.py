"""Home nodes of a team."""

from collections.abc import Iterable

import xxhash

from fireflyspread.bundle import Team

__all__ = ["MembersView"]

# Tokens of burst per home node, so that its bucket absorbs the jitter of its share of
# the traffic.
_BURST_FOR_EACH_HOME = 8


class MembersView:
    """Members of one epoch and the home nodes chosen among them.

    Parameters
    ----------
    epoch : int
        Epoch of the members document.
    names : iterable of str
        Names of the members.
    burst_for_each_home : float
        Tokens of a team's burst needed for each of its home nodes.
    max_homes : int or None
        Maximum number of home nodes of a team; None sets none.
    """

    def __init__(
        self,
        epoch: int,
        names: Iterable[str],
        *,
        burst_for_each_home: float = _BURST_FOR_EACH_HOME,
        max_homes: int | None = None,
    ) -> None:
        self._max_homes = max_homes
        self._burst_for_each_home = burst_for_each_home
        self.epoch = epoch
        self.names = frozenset(names)
        self._homes: dict[tuple[str, int], tuple[str, ...]] = {}

    def find_homes(self, team: Team) -> tuple[str, ...]:
        """Return the home nodes of ``team`` by rendezvous hashing.

        The number of home nodes grows with the team's burst; there is at least one and
        at most one per member.
        """
        most = len(self.names)
        if self._max_homes is not None:
            most = min(most, self._max_homes)
        count = max(1, min(int(team.burst // self._burst_for_each_home), most))
        homes = self._homes.get((team.name, count))
        if homes is None:
            ranked = sorted(self.names, key=lambda name: _rank(name, team.name))
            homes = self._homes[team.name, count] = tuple(ranked[:count])
        return homes


def _rank(member: str, team: str) -> tuple[int, str]:
    return xxhash.xxh64_intdigest(f"{member}/{team}".encode()), member
