"""Decides which callers are refused when a process holds too much for them."""

import logging
from collections.abc import Callable

from attrs import frozen

from fireflyspread.clock import Clock

__all__ = ["CallerAccount", "CallerLimitsOfProcess", "CallerMemory"]

_LOG = logging.getLogger(__name__)

# MB that a node needs beside what it holds for callers: 51 MB after its start, the
# rest for its state and for connections to replicas.
_OWN_MB = 80.0
# Resident bytes per byte that is held: copies while a body grows or is passed on, and
# what the allocator does not return.
_RESIDENT_FACTOR = 2.5
_MIN_CALLER_BYTES = 8 << 20
# Fraction of the descriptors that callers may have; replicas and nodes have the rest.
_DESCRIPTOR_FRACTION = 0.5
_MIN_CONNECTIONS = 64
# Parser, task and transport of an open connection.
_CONNECTION_BYTES = 12 << 10
# Beyond a limit, callers are refused until this fraction of it is free, so that the
# accounts are not sorted for each byte that arrives.
_FREED_FRACTION = 1 / 16
# Seconds between two log lines on refused callers.
_LOG_INTERVAL = 1.0


@frozen(kw_only=True)
class CallerLimitsOfProcess:
    """What one process holds for callers at most, over all its listeners.

    Attributes
    ----------
    held_bytes : int
        Bytes of heads, bodies, pipelined requests and responses.
    connections : int
        Open connections.
    """

    held_bytes: int
    connections: int

    @classmethod
    def from_vm(
        cls,
        *,
        vm_bytes: float,
        descriptors: int,
        held_bytes: int | None = None,
        connections: int | None = None,
    ) -> "CallerLimitsOfProcess":
        """Return given limits, and for the others what the VM allows."""
        if held_bytes is None:
            spare = (vm_bytes - _OWN_MB * 1e6) / _RESIDENT_FACTOR
            held_bytes = max(_MIN_CALLER_BYTES, int(spare))
        if connections is None:
            connections = max(_MIN_CONNECTIONS, int(descriptors * _DESCRIPTOR_FRACTION))
        return cls(held_bytes=held_bytes, connections=connections)


class CallerAccount:
    """What is held for one connection.

    Parameters
    ----------
    is_refusable : callable
        Returns whether the connection can be refused now.
    refuse : callable
        Frees what is held; must close the account.
    """

    __slots__ = (
        "_byte_seconds",
        "_changed_at",
        "_memory",
        "held_bytes",
        "is_closed",
        "is_refusable",
        "refuse",
    )

    def __init__(
        self,
        memory: "CallerMemory",
        *,
        is_refusable: Callable[[], bool],
        refuse: Callable[[], None],
        now: float,
    ) -> None:
        self._memory = memory
        self.is_refusable = is_refusable
        self.refuse = refuse
        self.held_bytes = 0
        self.is_closed = False
        self._byte_seconds = 0.0
        self._changed_at = now

    def resize(self, held_bytes: int) -> None:
        """Record what is held now; may refuse this and other connections."""
        change = held_bytes - self.held_bytes
        if change:
            self._memory.record(self, change)

    def add(self, change: int, now: float) -> None:
        """Add to what is held."""
        self._byte_seconds = self.measure(now)
        self._changed_at = now
        self.held_bytes += change

    def measure(self, now: float) -> float:
        """Return what the current request has held, in bytes times seconds."""
        held = self.held_bytes + _CONNECTION_BYTES
        return self._byte_seconds + held * (now - self._changed_at)

    def end_request(self) -> None:
        """Begin to measure the next request."""
        self.resize(0)
        self._byte_seconds = 0.0

    def close(self) -> None:
        """End the account; may be called again."""
        self._memory.close(self)


class CallerMemory:
    """Limits what the connections of all listeners together make the process hold.

    Beyond the limit, those are refused first that have held the most for the longest
    time, in bytes times seconds. Requests that run are never refused, because nothing
    would tell their callers whether they have run.

    Parameters
    ----------
    count_answers : callable
        Returns the bytes of answers that are held back; they count like the others.

    Attributes
    ----------
    refused : int
        Connections refused since the start.
    """

    def __init__(
        self,
        limits: CallerLimitsOfProcess,
        clock: Clock,
        *,
        count_answers: Callable[[], int] = lambda: 0,
    ) -> None:
        self.limits = limits
        self._clock = clock
        self._count_answers = count_answers
        self._accounts: set[CallerAccount] = set()
        self._account_bytes = 0
        self._is_reclaiming = False
        self._logged_at = float("-inf")
        self.refused = 0

    @property
    def held_bytes(self) -> int:
        """Bytes held for callers."""
        connections = len(self._accounts) * _CONNECTION_BYTES
        return self._account_bytes + connections + self._count_answers()

    @property
    def connections(self) -> int:
        """Open connections of callers."""
        return len(self._accounts)

    def list_gauges(self) -> list[tuple[str, float]]:
        """Return names and values of gauges."""
        return [
            ("callers.held_bytes", self.held_bytes),
            ("callers.max_held_bytes", self.limits.held_bytes),
            ("callers.connections", self.connections),
            ("callers.refused", self.refused),
        ]

    def open(
        self, *, is_refusable: Callable[[], bool], refuse: Callable[[], None]
    ) -> CallerAccount:
        """Return the account of a new connection."""
        account = CallerAccount(
            self,
            is_refusable=is_refusable,
            refuse=refuse,
            now=self._clock.read_monotonic(),
        )
        self._accounts.add(account)
        self._reclaim()
        return account

    def close(self, account: CallerAccount) -> None:
        """Remove an account."""
        if not account.is_closed:
            account.is_closed = True
            self._accounts.remove(account)
            self._account_bytes -= account.held_bytes
            account.held_bytes = 0

    def record(self, account: CallerAccount, change: int) -> None:
        """Record that a connection holds more or less."""
        if account.is_closed:
            return
        account.add(change, self._clock.read_monotonic())
        self._account_bytes += change
        if change > 0 and self.held_bytes > self.limits.held_bytes:
            self._reclaim()

    def _reclaim(self) -> None:
        excess = self.held_bytes - self.limits.held_bytes
        surplus = len(self._accounts) - self.limits.connections
        if (excess <= 0 and surplus <= 0) or self._is_reclaiming:
            return
        if excess > 0:
            excess += int(self.limits.held_bytes * _FREED_FRACTION)
        if surplus > 0:
            surplus += int(self.limits.connections * _FREED_FRACTION)
        now = self._clock.read_monotonic()
        ranked = sorted(
            (each for each in self._accounts if each.is_refusable()),
            key=lambda each: each.measure(now),
            reverse=True,
        )
        refused = 0
        self._is_reclaiming = True
        try:
            for account in ranked:
                if excess <= 0 and surplus <= 0:
                    break
                excess -= account.held_bytes + _CONNECTION_BYTES
                surplus -= 1
                refused += 1
                account.refuse()
                self.close(account)
        finally:
            self._is_reclaiming = False
        self.refused += refused
        self._log(refused, now)

    def _log(self, refused: int, now: float) -> None:
        if now - self._logged_at < _LOG_INTERVAL:
            return
        self._logged_at = now
        _LOG.warning(
            "callers refused, because the process holds too much for them "
            "(%d connections, %d refused since the start)",
            self.connections,
            self.refused,
            extra={"count": refused, "bytes": self.held_bytes},
        )
