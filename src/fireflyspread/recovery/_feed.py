"""The nodes that watch the store and pass changes on to the others."""

import enum

from attrs import frozen

from fireflyspread.recovery._delegates import DelegateChoice
from fireflyspread.recovery._store import Change

__all__ = ["FEEDERS_PER_ZONE", "FeedAnswer", "FeedChoice", "FeedStatus"]

# One feeder may fail while the nodes of its zone move to the other.
FEEDERS_PER_ZONE = 2


class FeedStatus(enum.StrEnum):
    """State of a node's watch, as it tells nodes that ask it for changes.

    ``OFF``: the node does not watch the store. ``REFUSED``: the store does not answer
    it. ``GAP``: it does not know all changes since the revision of the other node.
    """

    OK = "ok"
    OFF = "off"
    REFUSED = "refused"
    GAP = "gap"


@frozen(kw_only=True)
class FeedAnswer:
    """Answer of a feeder.

    Attributes
    ----------
    revision : int
        Revision up to which ``changes`` are complete.
    age : float
        Seconds since the store has answered the feeder.
    """

    status: FeedStatus
    changes: tuple[Change, ...] = ()
    revision: int = 0
    age: float = 0.0


class FeedChoice(DelegateChoice):
    """Chooses where a node gets changes: from the store or from a feeder.

    The nodes of a zone share its feeders: each asks them in an order of its own. A node
    whose feeders have all failed watches the store until it may ask one of them again.
    """

    role = "feed"
    count = FEEDERS_PER_ZONE
    is_shared = True
