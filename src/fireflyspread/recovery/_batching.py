"""Delay for which a node collects changes of the store."""

__all__ = ["SMALL_FLEET_NODES", "compute_batch_delay"]

# Fleets of up to this many nodes have no feeders and no writers of turns. Without them,
# 28 nodes made 5,727 calls in 34 s instead of 4,370.
SMALL_FLEET_NODES = 24
# Fleets of up to this many nodes keep the shortest delay.
_SHORTEST_DELAY_NODES = 40
# Seconds added for each node above that. With 96 nodes the delay is 0.8 s.
_DELAY_PER_NODE = 0.0125
# A draining replica must get no request 3 s after the store has acknowledged it. The
# delay leaves 2.2 s for a slow store (0.27 s) and for a watch that has to be repeated.
_MAX_DELAY_SECONDS = 0.8


def compute_batch_delay(node_count: int, shortest: float) -> float:
    """Return the seconds for which a node collects changes before its next watch.

    Every change wakes the watches of all nodes. While a fleet and its replicas start,
    changes arrive one after the other, and the calls grow with their number times the
    number of nodes. The delay limits the calls of one node; it grows with the number of
    nodes, so that the calls of all nodes do not grow as fast.

    Parameters
    ----------
    shortest : float
        Seconds for fleets of up to 40 nodes.
    """
    above = max(0, node_count - _SHORTEST_DELAY_NODES)
    return max(shortest, min(shortest + _DELAY_PER_NODE * above, _MAX_DELAY_SECONDS))
