"""Objects that the handlers of caller requests share."""

from attrs import field, frozen

from fireflyspread._pools import ReplicaPool
from fireflyspread.bundle import BundleHolder
from fireflyspread.callers._authentication import Authenticator
from fireflyspread.callers._guard import RequestGuard
from fireflyspread.clock import Clock
from fireflyspread.engines import Engine, SessionReleaser
from fireflyspread.limits import RateLimiter
from fireflyspread.metrics import Metrics
from fireflyspread.nodes import FenceGuard, Relay, RequestSigner
from fireflyspread.programs import IntentTable, ProgramTable
from fireflyspread.recovery import Ownership
from fireflyspread.routing import PolicyScheduler
from fireflyspread.settings import Settings
from fireflyspread.tools import Service

__all__ = ["Context"]


@frozen(kw_only=True)
class Context:
    """Objects of one node that handle caller requests."""

    settings: Settings
    clock: Clock
    bundles: BundleHolder
    authenticator: Authenticator
    guard: RequestGuard
    ownership: Ownership
    programs: ProgramTable
    intents: IntentTable
    limiter: RateLimiter
    scheduler: PolicyScheduler
    engines: ReplicaPool[Engine]
    services: ReplicaPool[Service]
    fences: FenceGuard
    relay: Relay
    signer: RequestSigner
    sessions: SessionReleaser
    metrics: Metrics = field(factory=Metrics)
