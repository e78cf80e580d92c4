"""KV cache memory that requests in flight hold on replicas."""

from fireflyspread.routing._placement import ReplicaState
from fireflyspread.routing._scheduler import Work

__all__ = ["CacheMemory"]

# Fraction of the KV cache that requests in flight may hold. The rest absorbs requests
# that other nodes have sent since the last report.
_MAX_FRACTION = 0.9
# Weight of the newest request in the mean of the tokens that a request holds.
_SMOOTHING = 0.05


class CacheMemory:
    """Decides whether a replica has memory for the tokens of one more request.

    A request holds its prompt and at most its maximum output. Requests of other nodes
    are taken to hold as much as those of this node do on average. A replica whose
    memory runs out preempts requests, and crashes if they exceed it.

    Parameters
    ----------
    capacity_tokens : int
        Size of a replica's KV cache; 0 if unknown, which limits nothing.
    """

    def __init__(self, capacity_tokens: int = 0) -> None:
        self.capacity_tokens = capacity_tokens
        self._mean_tokens = 0.0

    def record(self, work: Work) -> None:
        """Add a request that is placed to the mean."""
        if self._mean_tokens == 0.0:
            self._mean_tokens = float(work.held_tokens)
        self._mean_tokens += _SMOOTHING * (work.held_tokens - self._mean_tokens)

    def estimate_held(self, state: ReplicaState, others: float) -> float:
        """Return the tokens that requests on the replica hold.

        Parameters
        ----------
        others : float
            Requests of other nodes on the replica.
        """
        return sum(state.held_tokens.values()) + others * self._mean_tokens

    def has_room(self, work: Work, state: ReplicaState, others: float) -> bool:
        """Return whether the replica can hold the request beside the others."""
        if self.capacity_tokens <= 0 or not work.held_tokens:
            return True
        held = self.estimate_held(state, others) + work.held_tokens
        return held <= _MAX_FRACTION * self.capacity_tokens
