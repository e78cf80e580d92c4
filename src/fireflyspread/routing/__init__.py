"""Scheduling of requests: which one runs next, and on which replica."""

from fireflyspread.routing._affinity import AffinityPlacement
from fireflyspread.routing._cache_memory import CacheMemory
from fireflyspread.routing._completion_placement import (
    CompletionPlacement,
    EngineTimes,
)
from fireflyspread.routing._crashes import Crash, CrashReport, identify_process
from fireflyspread.routing._directory import ReplicaDirectory
from fireflyspread.routing._evacuation import ZoneEvacuations
from fireflyspread.routing._explanation import (
    PlacementExplanation,
    ReplicaExplanation,
    explain_excluded,
)
from fireflyspread.routing._health import ReplicaHealth
from fireflyspread.routing._hints import CacheHint, CacheHints
from fireflyspread.routing._homes import NO_HOMES, Homes, RegionMap
from fireflyspread.routing._isolation import Isolation
from fireflyspread.routing._load_shares import (
    LoadShare,
    LoadShares,
    choose_aggregators,
)
from fireflyspread.routing._long_prompts import LongPromptPolicy, PromptTokens
from fireflyspread.routing._placement import (
    Choice,
    LeastReportedLoadPlacement,
    Placement,
    PrefixAwarePlacement,
    RoundRobinPlacement,
)
from fireflyspread.routing._policy import PolicyScheduler
from fireflyspread.routing._prompt_placement import PromptCache, PromptPlacement
from fireflyspread.routing._quarantine import Quarantine
from fireflyspread.routing._quarantine_policy import (
    CrashSeriesPolicy,
    IsolationPolicy,
    QuarantinePolicy,
)
from fireflyspread.routing._queue import FairQueue, FifoQueue, Queue
from fireflyspread.routing._replica_estimates import ReplicaEstimate
from fireflyspread.routing._replica_record import ReplicaRecord, make_replica
from fireflyspread.routing._retries import RetryBudget, draw_backoff
from fireflyspread.routing._scheduler import (
    LoadReport,
    Result,
    Scheduler,
    Ticket,
    Work,
)
from fireflyspread.routing._sessions import SessionRetentionPolicy
from fireflyspread.routing._trials import Trial, TrialPeers, Trials, TrialTable

__all__ = [
    "NO_HOMES",
    "AffinityPlacement",
    "CacheHint",
    "CacheHints",
    "CacheMemory",
    "Choice",
    "CompletionPlacement",
    "Crash",
    "CrashReport",
    "CrashSeriesPolicy",
    "EngineTimes",
    "FairQueue",
    "FifoQueue",
    "Homes",
    "Isolation",
    "IsolationPolicy",
    "LeastReportedLoadPlacement",
    "LoadReport",
    "LoadShare",
    "LoadShares",
    "LongPromptPolicy",
    "Placement",
    "PlacementExplanation",
    "PolicyScheduler",
    "PrefixAwarePlacement",
    "PromptCache",
    "PromptPlacement",
    "PromptTokens",
    "Quarantine",
    "QuarantinePolicy",
    "Queue",
    "RegionMap",
    "ReplicaDirectory",
    "ReplicaExplanation",
    "ReplicaEstimate",
    "ReplicaHealth",
    "ReplicaRecord",
    "Result",
    "RetryBudget",
    "RoundRobinPlacement",
    "Scheduler",
    "SessionRetentionPolicy",
    "Ticket",
    "Trial",
    "TrialPeers",
    "TrialTable",
    "Trials",
    "Work",
    "ZoneEvacuations",
    "choose_aggregators",
    "explain_excluded",
    "draw_backoff",
    "identify_process",
    "make_replica",
]
