"""Interface of the scheduler."""

import abc
import enum
from typing import TYPE_CHECKING

from attrs import define, field, frozen

from fireflyspread.bundle import Replica, Target
from fireflyspread.routing._trials import Trial

if TYPE_CHECKING:
    from fireflyspread.routing._explanation import PlacementExplanation

__all__ = ["LoadReport", "Result", "Scheduler", "Ticket", "Work"]


@frozen(kw_only=True)
class Work:
    """One request that waits for a replica.

    Attributes
    ----------
    fingerprint : str
        Equal for requests that would crash a replica in the same way.
    cost : float
        Expected tokens: the prompt beyond the cached prefix, and the answer.
    attained_tokens : float
        Tokens that the program has used so far.
    deadline : float
        Monotonic seconds.
    holder : str or None
        Replica that has the program's prefix in its KV cache.
    prefix_tokens : int
        Tokens that the holder need not compute again.
    excluded : frozenset of str
        Replicas that have failed this request already.
    parts : tuple of (str, int)
        Ids and tokens of the prompt's parts in order; empty when unknown.
    held_tokens : int
        Tokens of KV cache that the request may hold: its prompt and the longest answer;
        0 when unknown.
    is_continuation : bool
        Whether the request goes on with a stream, part of which its caller has.
    version : str or None
        Software version that the replica must have, because it goes on with a
        stream; None if any will do.
    affinity_key : str
        Equal for requests about the same object; empty if no replica is preferred.
    allowed_zones : frozenset of str or None
        Zones of the replicas that may get the request; None allows all.
    """

    request: str
    team: str
    weight: float
    program: str
    fingerprint: str
    cost: float
    deadline: float
    is_interactive: bool = False
    attained_tokens: float = 0.0
    holder: str | None = None
    prefix_tokens: int = 0
    excluded: frozenset[str] = frozenset()
    parts: tuple[tuple[str, int], ...] = ()
    held_tokens: int = 0
    is_continuation: bool = False
    version: str | None = None
    affinity_key: str = ""
    allowed_zones: frozenset[str] | None = None

    @property
    def is_restricted(self) -> bool:
        """Return whether some replicas may not get the request."""
        return bool(self.excluded) or not (
            self.version is None and self.allowed_zones is None
        )

    def may_run_on(self, replica: Replica) -> bool:
        """Return whether the request may be sent to ``replica``."""
        if replica.name in self.excluded:
            return False
        if self.allowed_zones is not None and replica.zone not in self.allowed_zones:
            return False
        return self.version is None or replica.version == self.version


@define(kw_only=True)
class Ticket:
    """Permission to run one request on one replica.

    Attributes
    ----------
    target : str
        Name of the target that the replica belongs to.
    started_at : float
        Monotonic seconds.
    trial : Trial or None
        Trial of a request that may crash its replica.
    presumed_crash : str or None
        Id of the crash that counts until the trial has ended otherwise.
    """

    work: Work
    target: str
    replica: Replica
    started_at: float = field()
    trial: Trial | None = None
    presumed_crash: str | None = None


@frozen(kw_only=True)
class LoadReport:
    """Load that a replica reported; it lags behind.

    Attributes
    ----------
    running, waiting : int
        Requests of all nodes.
    cache_used, cache_capacity : int
        Tokens of KV cache.
    received_at : float
        Monotonic seconds.
    slowdown : float
        Time that work takes on the replica's machine; 1.0 is usual.
    has_slowdown : bool
        Whether the replica reported ``slowdown``.
    """

    running: int
    waiting: int
    cache_used: int
    cache_capacity: int
    received_at: float
    slowdown: float = 1.0
    has_slowdown: bool = False


class Result(enum.StrEnum):
    """How a request on a replica ended.

    CRASHED means that the replica stopped, BROKEN that only the connection was lost.
    FAILED is an answer that does not show that the request ran to its end. CANCELLED
    means that the caller left, or its time was over, before an answer began; ABANDONED
    that the answer had begun, UNSENT that the request was not sent.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    CRASHED = "crashed"
    BROKEN = "broken"
    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    CANCELLED = "cancelled"
    ABANDONED = "abandoned"
    UNSENT = "unsent"


class Scheduler(abc.ABC):
    """Orders waiting requests and places them on replicas."""

    @abc.abstractmethod
    async def acquire(self, work: Work, target: Target) -> Ticket:
        """Wait until the request may run on a replica.

        Raises
        ------
        OverloadedError
            The request cannot start before its deadline, or the queue is full.
        QuarantinedError
            The request is known to crash replicas.
        """

    @abc.abstractmethod
    def explain(self, work: Work, target: Target) -> "PlacementExplanation":
        """Return where ``work`` would be placed now, without changing anything."""

    @abc.abstractmethod
    async def acquire_resend(self, ticket: Ticket, *, max_wait: float) -> None:
        """Wait until the request may be sent once more to the replica of its ticket.

        Parameters
        ----------
        max_wait : float
            Seconds; a longer wait is refused at once.

        Raises
        ------
        RateLimitedError
            The replica's limit is used up.
        OverloadedError
            The request was in flight at a crash and has to wait for its turn.
        """

    @abc.abstractmethod
    def check_quarantine(self, fingerprint: str) -> None:
        """Raise ``QuarantinedError`` for a request that is known to crash replicas."""

    @abc.abstractmethod
    def record_begin(self, ticket: Ticket) -> None:
        """Record that the first part of an answer has arrived."""

    @abc.abstractmethod
    def release(self, ticket: Ticket, result: Result, *, tokens: int = 0) -> None:
        """End a request on its replica; ``tokens`` is the number it used."""

    @abc.abstractmethod
    def may_retry(self, work: Work) -> bool:
        """Take one retry from the retry budget; False when it is exhausted."""

    @abc.abstractmethod
    def report_load(self, replica: str, report: LoadReport) -> None:
        """Store a load report."""

    @abc.abstractmethod
    def report_limit(
        self, replica: Replica, rate: float | None, *, sent_at: float
    ) -> None:
        """Store the limit that an answer of ``replica`` names.

        Parameters
        ----------
        rate : float or None
            Requests per second of all nodes together; None if it names none.
        sent_at : float
            Monotonic seconds at which the request was sent.
        """

    @abc.abstractmethod
    def record_loss(self, replica: Replica) -> None:
        """Record that a replica is gone without having announced it."""

    @abc.abstractmethod
    def set_leaving_vms(self, vms: frozenset[str]) -> None:
        """Send no new requests to replicas on these VMs."""
