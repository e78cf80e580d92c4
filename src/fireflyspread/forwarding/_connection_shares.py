"""Decides how many connections this node may have to each replica."""

from collections import deque

from attrs import define

from fireflyspread.clock import Clock

__all__ = ["ConnectionShares", "NodeCount"]

# Connections that a node may always have to a replica, so that it can send while there
# are more nodes than connections.
_MIN_SHARE = 2
# Connections that remain after a reset, so that a node without others can find out
# whether the replica accepts connections again.
_MIN_LOWERED = 1
# Seconds after a reset for which the share stays lowered, and between the steps in
# which it grows again.
_HOLD_SECONDS = 3.0
_STEP_SECONDS = 1.0
# Part of the share by which it grows in one step.
_STEP_FRACTION = 1 / 8
# Seconds after the first of several resets without a response in between until another
# connection is opened, doubled by each further one up to the maximum. A request that
# failed on the first one may go to the same replica again.
_FIRST_PAUSE = 0.1
_MAX_PAUSE = 2.0
# Connections that a failing replica has reset before doubling them again changes
# nothing.
_MAX_DOUBLINGS = 8
# Replicas without connections above which those without a recent reset are forgotten.
_MAX_REMEMBERED = 4096


class NodeCount:
    """The largest number of nodes within an interval.

    The others may not have seen yet that a node has gone, and this node may see fewer
    nodes for a while than there are.

    Parameters
    ----------
    interval : float
        Seconds.
    """

    def __init__(self, clock: Clock, *, interval: float) -> None:
        self._clock = clock
        self._interval = interval
        self._count = 1
        # Earlier numbers, each with the monotonic seconds until which it held.
        self._earlier: deque[tuple[float, int]] = deque()

    def record(self, count: int) -> None:
        """Set the current number of nodes."""
        count = max(1, count)
        if count != self._count:
            now = self._clock.read_monotonic()
            self._earlier.append((now, self._count))
            self._count = count

    def read_max(self) -> int:
        """Return the largest number of the interval that ends now."""
        since = self._clock.read_monotonic() - self._interval
        while self._earlier and self._earlier[0][0] <= since:
            self._earlier.popleft()
        return max(self._count, *(count for _, count in self._earlier), 1)


@define
class _Lowered:
    """The lowered share of a replica that has reset a new connection."""

    limit: int
    at: float
    resets: int = 0


@define
class _Use:
    """Connections to one replica.

    Attributes
    ----------
    max_connections : int or None
        Connections that the replica accepts from all nodes; None if unknown.
    open : int
        Open connections, those that are being opened or closed included.
    closing : int
        Connections that are being closed.
    """

    max_connections: int | None = None
    open: int = 0
    closing: int = 0
    lowered: _Lowered | None = None


class ConnectionShares:
    """Counts this node's connections to each replica and bounds them by its share.

    The share is the number of connections that the replica accepts, divided by the
    number of nodes. After a replica has reset a new connection, the share is lowered to
    the connections that remain, and grows in steps some seconds later. Replicas are
    identified by their address.

    Attributes
    ----------
    opened, refused, resets : int
        Since the start: connections opened, requests that got none within the share,
        and new connections that a replica has reset.
    """

    def __init__(self, clock: Clock, *, interval: float = 0.0) -> None:
        self._clock = clock
        self.nodes = NodeCount(clock, interval=interval)
        self._uses: dict[str, _Use] = {}
        self.opened = 0
        self.refused = 0
        self.resets = 0

    @property
    def open_count(self) -> int:
        """Open connections to all replicas."""
        return sum(use.open for use in self._uses.values())

    def count_lowered(self) -> int:
        """Return the number of replicas whose share is lowered."""
        return sum(self._read_lowered(use) is not None for use in self._uses.values())

    def set_max_connections(self, address: str, value: int | None) -> None:
        """Set the connections that a replica accepts; None sets no bound."""
        use = self._uses.get(address)
        if use is None:
            self._forget_unused()
            use = self._uses[address] = _Use()
        use.max_connections = value

    def get_limit(self, address: str) -> int | None:
        """Return how many connections this node may have now; None if unbounded."""
        use = self._uses.get(address)
        share = None if use is None else self._compute_share(use)
        if use is None or share is None:
            return None
        lowered = self._read_lowered(use)
        return share if lowered is None else min(share, lowered)

    def count_excess(self, address: str) -> int:
        """Return how many connections beyond the share are not being closed yet."""
        limit = self.get_limit(address)
        if limit is None:
            return 0
        use = self._uses[address]
        return max(0, use.open - use.closing - limit)

    def is_full(self, address: str) -> bool:
        """Return whether all connections of the share are open."""
        limit = self.get_limit(address)
        return limit is not None and self._uses[address].open >= limit

    def get_pause(self, address: str) -> float:
        """Return the seconds until another connection may be tried after a reset."""
        use = self._uses.get(address)
        if use is None or use.lowered is None or use.max_connections is None:
            return 0.0
        doublings = min(use.lowered.resets - 1, _MAX_DOUBLINGS)
        if doublings < 0:
            return 0.0
        pause = min(_MAX_PAUSE, _FIRST_PAUSE * 2**doublings)
        return max(0.0, use.lowered.at + pause - self._clock.read_monotonic())

    def try_open(self, address: str) -> bool:
        """Count a connection that is about to be opened; False if there is no room."""
        if self.is_full(address) or self.get_pause(address) > 0:
            return False
        self._uses.setdefault(address, _Use()).open += 1
        return True

    def record_opened(self) -> None:
        """Record that a connection was established."""
        self.opened += 1

    def record_closing(self, address: str) -> None:
        """Record that a counted connection is being closed."""
        self._uses[address].closing += 1

    def record_closed(self, address: str, *, was_closing: bool = False) -> None:
        """Record that a counted connection has ended or was not established."""
        use = self._uses[address]
        use.open -= 1
        use.closing -= was_closing

    def record_refused(self) -> None:
        """Record a request that got no connection within the share."""
        self.refused += 1

    def record_reset(self, address: str) -> None:
        """Lower the share, because the replica has reset a new connection.

        The connection must no longer be counted.
        """
        self.resets += 1
        use = self._uses.get(address)
        limit = self.get_limit(address)
        if use is None or limit is None:
            return
        resets = 1 if use.lowered is None else use.lowered.resets + 1
        use.lowered = _Lowered(
            limit=max(_MIN_LOWERED, min(limit, use.open)),
            at=self._clock.read_monotonic(),
            resets=resets,
        )

    def record_accepted(self, address: str) -> None:
        """Record that the replica has answered on a new connection."""
        use = self._uses.get(address)
        if use is not None and use.lowered is not None:
            use.lowered.resets = 0

    def forget_resets(self, address: str) -> None:
        """Forget resets by a process that no longer runs at the address."""
        use = self._uses.get(address)
        if use is not None:
            use.lowered = None

    def _compute_share(self, use: _Use) -> int | None:
        if use.max_connections is None:
            return None
        return max(_MIN_SHARE, use.max_connections // self.nodes.read_max())

    def _read_lowered(self, use: _Use) -> int | None:
        """Return the lowered share as it has grown; None once it is whole again."""
        share = self._compute_share(use)
        if use.lowered is None or share is None:
            return None
        elapsed = self._clock.read_monotonic() - use.lowered.at - _HOLD_SECONDS
        steps = 0 if elapsed < 0 else 1 + int(elapsed / _STEP_SECONDS)
        limit = use.lowered.limit + steps * max(1, int(share * _STEP_FRACTION))
        if limit >= share and steps:
            use.lowered = None
            return None
        return limit

    def _forget_unused(self) -> None:
        if len(self._uses) < _MAX_REMEMBERED:
            return
        self._uses = {
            address: use
            for address, use in self._uses.items()
            if use.open or self._read_lowered(use) is not None
        }
