"""Forwards opaque requests from callers to replicas and relays the answers."""

from fireflyspread.forwarding._answer_buffers import AnswerBuffers
from fireflyspread.forwarding._backend import Backend, Dispatch, Framing, Reply
from fireflyspread.forwarding._config import (
    CallerLimits,
    EngineTraits,
    ForwardingConfig,
    ForwardingRoute,
    RouteKind,
    ServiceTraits,
    TeamPolicy,
)
from fireflyspread.forwarding._config_holder import ConfigHolder
from fireflyspread.forwarding._connection_shares import ConnectionShares, NodeCount
from fireflyspread.forwarding._event_order import EventOrder, EventSteps
from fireflyspread.forwarding._events import EventSplitter
from fireflyspread.forwarding._explanation import RequestExplanation
from fireflyspread.forwarding._forwarder import Forwarder
from fireflyspread.forwarding._guarded_backend import GuardedBackend
from fireflyspread.forwarding._relays import RelayingBackend, RelayNode, RelayNodes
from fireflyspread.forwarding._replica_watch import ReplicaWatch
from fireflyspread.forwarding._request import (
    ForwardRequest,
    ProgramCall,
    Prompt,
    ResponseSink,
)
from fireflyspread.forwarding._stream_memory import (
    STREAM_RETENTION,
    VERSION_RETENTION,
    RouteTargets,
    StreamMemory,
    StreamOrigin,
    VersionMemory,
)
from fireflyspread.forwarding._stream_versions import (
    FoundStream,
    StreamVersionPeers,
    StreamVersions,
)

__all__ = [
    "STREAM_RETENTION",
    "VERSION_RETENTION",
    "AnswerBuffers",
    "Backend",
    "CallerLimits",
    "ConfigHolder",
    "ConnectionShares",
    "Dispatch",
    "EngineTraits",
    "EventOrder",
    "EventSplitter",
    "EventSteps",
    "ForwardRequest",
    "Forwarder",
    "ForwardingConfig",
    "ForwardingRoute",
    "FoundStream",
    "Framing",
    "ProgramCall",
    "GuardedBackend",
    "NodeCount",
    "Prompt",
    "RelayNode",
    "RelayNodes",
    "RelayingBackend",
    "ReplicaWatch",
    "Reply",
    "RequestExplanation",
    "ResponseSink",
    "RouteKind",
    "RouteTargets",
    "ServiceTraits",
    "StreamMemory",
    "StreamOrigin",
    "StreamVersionPeers",
    "StreamVersions",
    "VersionMemory",
    "TeamPolicy",
]
