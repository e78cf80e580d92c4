"""Which nodes answer requests about budget accounts."""

import logging

from attrs import define

from fireflyspread.clock import Clock

__all__ = ["PeerHealth"]

_LOG = logging.getLogger(__name__)

# Unanswered requests, and seconds since the first of them was sent, after which a node
# no longer owns accounts for this one. A node that is slow once keeps its accounts.
_MIN_MISSES = 3
_MIN_SECONDS = 1.0
# Seconds between requests to a node that is late. It gets little work while it is slow,
# and three requests are sent within a second.
_RETRY_INTERVAL = 0.2
# Seconds between requests to a node whose accounts the next one has taken over.
_RETEST_INTERVAL = 1.0


@define
class _Record:
    """Requests to one node since its last answer."""

    first_sent_at: float
    last_sent_at: float
    misses: int = 0


class PeerHealth:
    """Counts the requests that nodes have left unanswered."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._late: dict[str, _Record] = {}
        self._lost: set[str] = set()

    def may_ask(self, node: str) -> bool:
        """Return whether to send a request now; if so, it counts as sent.

        A node whose last request is late gets few further ones.
        """
        record = self._late.get(node)
        if record is None:
            return True
        now = self._clock.read_monotonic()
        is_lost = node in self._lost
        interval = _RETEST_INTERVAL if is_lost else _RETRY_INTERVAL
        if now < record.last_sent_at + interval:
            return False
        record.last_sent_at = now
        return True

    def is_lost(self, node: str) -> bool:
        """Return whether the next node of the ranking takes over from ``node``."""
        return node in self._lost

    def note_late(self, node: str, sent_at: float) -> None:
        """Record that a request has not been answered in the time allowed for it."""
        if node not in self._late:
            now = self._clock.read_monotonic()
            self._late[node] = _Record(sent_at, now)

    def note_unavailable(self, node: str, reason: str) -> None:
        """Record that a node cannot act now; the next one takes over.

        A process that is killed or restarts leaves no connection; one that is slow
        does. One that starts while the store is unavailable can neither draw nor lend.
        """
        now = self._clock.read_monotonic()
        self._late.setdefault(node, _Record(now, now))
        if node not in self._lost:
            self._lost.add(node)
            _LOG.warning(
                "budget accounts of a node that is not available are taken over: %s",
                reason,
                extra={"node": node},
            )

    def note_miss(self, node: str, sent_at: float) -> None:
        """Record that a request was not answered at all."""
        self.note_late(node, sent_at)
        record = self._late[node]
        record.misses += 1
        seconds = self._clock.read_monotonic() - record.first_sent_at
        if (
            node not in self._lost
            and record.misses >= _MIN_MISSES
            and seconds >= _MIN_SECONDS
        ):
            self._lost.add(node)
            _LOG.warning(
                "budget accounts of a node that does not answer are taken over",
                extra={"node": node, "count": record.misses},
            )

    def note_answer(self, node: str) -> None:
        """Record that a node has answered, in time or not."""
        self._late.pop(node, None)
        if node in self._lost:
            self._lost.discard(node)
            _LOG.info(
                "node answers requests about budget accounts again",
                extra={"node": node},
            )

    def count_lost(self) -> int:
        """Return the number of nodes whose accounts others have taken over."""
        return len(self._lost)
