"""Which request runs next, and on which replica."""

from fireflyspread.routing._health import ReplicaHealth
from fireflyspread.routing._placement import (
    LeastReportedLoadPlacement,
    Placement,
    PrefixAwarePlacement,
    RoundRobinPlacement,
)
from fireflyspread.routing._policy import PolicyScheduler
from fireflyspread.routing._quarantine import Quarantine
from fireflyspread.routing._queue import FairQueue, FifoQueue, Queue
from fireflyspread.routing._retries import RetryBudget, draw_backoff
from fireflyspread.routing._scheduler import (
    LoadReport,
    Result,
    Scheduler,
    Ticket,
    Work,
)

__all__ = [
    "FairQueue",
    "FifoQueue",
    "LeastReportedLoadPlacement",
    "LoadReport",
    "Placement",
    "PolicyScheduler",
    "PrefixAwarePlacement",
    "Quarantine",
    "Queue",
    "ReplicaHealth",
    "Result",
    "RetryBudget",
    "RoundRobinPlacement",
    "Scheduler",
    "Ticket",
    "Work",
    "draw_backoff",
]
