"""What nodes tell each other of the load and speed of replicas.

Each node tells one aggregator of its zone how many requests it has on each replica and
which slowdowns it has seen. Aggregators tell each other the sums of the nodes that
report to them. The answer tells a node what all others have on the replicas.
"""

from collections.abc import Mapping, Sequence
from itertools import islice

import xxhash
from attrs import frozen

__all__ = ["LoadShare", "LoadShares", "choose_aggregators"]

# Seconds after which what a node has told no longer counts: it has stopped, or asks
# another aggregator. Nodes tell their load several times within this time.
_SHARE_TTL = 1.5
# Seconds after which a slowdown is not passed on.
_SLOWDOWN_TTL = 1.0
# Replicas of one message and nodes of one aggregator; both bound memory and messages.
_MAX_REPLICAS = 512
_MAX_NODES = 1024


@frozen
class LoadShare:
    """What a node, or all nodes that an aggregator speaks for, have on one replica.

    Attributes
    ----------
    running : int
        Requests that have been sent and not answered.
    slowdown : float or None
        Last reported slowdown.
    age : float
        Seconds since it was reported.
    """

    running: int
    slowdown: float | None = None
    age: float = 0.0


class LoadShares:
    """The shares that nodes have told this node, by replica process."""

    def __init__(self) -> None:
        self._shares: dict[str, tuple[float, bool, Mapping[str, LoadShare]]] = {}

    def merge(
        self,
        node: str,
        shares: Mapping[str, LoadShare],
        *,
        is_aggregator: bool,
        now: float,
    ) -> None:
        """Replace what a node has told.

        Parameters
        ----------
        is_aggregator : bool
            Whether the shares are sums of several nodes.
        """
        self._expire(now)
        if len(shares) > _MAX_REPLICAS or (
            node not in self._shares and len(self._shares) >= _MAX_NODES
        ):
            return
        self._shares[node] = (now, is_aggregator, shares)

    def sum_up(
        self,
        own: Mapping[str, LoadShare],
        *,
        asker: str,
        is_aggregator: bool,
        now: float,
    ) -> dict[str, LoadShare]:
        """Return what all nodes but the asker have on the replicas.

        Parameters
        ----------
        own : mapping of str to LoadShare
            Share of this node.
        is_aggregator : bool
            Whether the asker is an aggregator, which other aggregators tell their
                sums itself.
        """
        self._expire(now)
        running = {replica: share.running for replica, share in own.items()}
        speeds = {r: (share.age, share.slowdown) for r, share in own.items()}
        for node, (told_at, is_sum, shares) in self._shares.items():
            if node == asker or (is_sum and is_aggregator):
                continue
            for replica, share in shares.items():
                running[replica] = running.get(replica, 0) + share.running
                age = share.age + now - told_at
                if share.slowdown is None or age > _SLOWDOWN_TTL:
                    continue
                known = speeds.get(replica)
                if known is None or known[1] is None or age < known[0]:
                    speeds[replica] = (age, share.slowdown)
        return {
            replica: _make_share(count, speeds.get(replica))
            for replica, count in islice(running.items(), _MAX_REPLICAS)
        }

    def count(self) -> int:
        """Return the number of nodes that have told their shares."""
        return len(self._shares)

    def _expire(self, now: float) -> None:
        expired = [
            node
            for node, (told_at, _, _) in self._shares.items()
            if now - told_at > _SHARE_TTL
        ]
        for node in expired:
            del self._shares[node]


def _make_share(running: int, speed: tuple[float, float | None] | None) -> LoadShare:
    if speed is None:
        return LoadShare(running)
    return LoadShare(running, speed[1], speed[0])


def choose_aggregators(
    nodes: Mapping[str, str], *, excluded: Sequence[str]
) -> list[str]:
    """Return the aggregator of each zone, by rendezvous hashing.

    Parameters
    ----------
    nodes : mapping of str to str
        Zones by node.
    excluded : sequence of str
        Nodes that do not answer.
    """
    aggregators: dict[str, str] = {}
    for node, zone in nodes.items():
        if node not in excluded:
            best = aggregators.get(zone)
            if best is None or _rank(zone, node) > _rank(zone, best):
                aggregators[zone] = node
    return sorted(aggregators.values())


def _rank(zone: str, node: str) -> tuple[int, str]:
    return (xxhash.xxh3_64_intdigest(f"load/{zone}/{node}".encode()), node)
