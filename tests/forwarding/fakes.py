"""Fakes of a backend and a sink, and a forwarder that runs without a network."""

import random
from collections.abc import AsyncIterator, Callable, Mapping, Sequence

from attrs import define, field

from fireflyspread.budgets import (
    BudgetAccounts,
    BudgetOwners,
    BudgetPeers,
    Grant,
    HandOver,
    LoanLog,
    LoanTotals,
)
from fireflyspread.bundle import Replica, Team
from fireflyspread.clock import SystemClock
from fireflyspread.exceptions import (
    NoConnectionError,
    PeerError,
    PeerGoneError,
    ReplicaCrashedError,
    TargetUnreachableError,
)
from fireflyspread.forwarding import (
    Backend,
    CallerLimits,
    ConfigHolder,
    Dispatch,
    EngineTraits,
    Forwarder,
    ForwardingConfig,
    ForwardingRoute,
    ForwardRequest,
    FoundStream,
    Framing,
    ProgramCall,
    Prompt,
    Reply,
    ResponseSink,
    RouteKind,
    ServiceTraits,
    StreamOrigin,
    StreamVersionPeers,
    StreamVersions,
    TeamPolicy,
)
from fireflyspread.limits import StaticSplitLimiter
from fireflyspread.metrics import Metrics
from fireflyspread.routing import (
    CrashSeriesPolicy,
    LoadReport,
    PolicyScheduler,
    PromptPlacement,
    Quarantine,
    ReplicaDirectory,
    ReplicaRecord,
)
from tests.recovery.snapshot_store import MemoryStore
from tests.turns.fakes import make_turn_keeper


@define(kw_only=True)
class Answer:
    """How a fake replica handles a request.

    Attributes
    ----------
    chunks : list of bytes or None
        Body; the connection breaks at a None.
    is_lost : bool
        Whether the connection breaks after the request ran, before any answer.
    is_without_connection : bool
        Whether this node may open no connection.
    is_crash : bool
        Whether the replica crashes when the request begins to run.
    """

    status: int = 200
    headers: list[tuple[str, str]] = field(factory=list)
    chunks: list[bytes | None] = field(factory=lambda: [b"ok"])
    is_refusal: bool = False
    is_wrong_instance: bool = False
    is_unreachable: bool = False
    is_without_connection: bool = False
    is_lost: bool = False
    is_crash: bool = False
    load: LoadReport | None = None
    framing: Framing = Framing.CHUNKS
    rate_limit: float | None = None


class FakeReply(Reply):
    """The reply of a replica that gives an ``Answer``."""

    def __init__(self, answer: Answer) -> None:
        self.status = answer.status
        self.headers = answer.headers
        self.is_refusal = answer.is_refusal
        self.is_wrong_instance = answer.is_wrong_instance
        self.load = answer.load
        self.framing = answer.framing
        self.rate_limit = answer.rate_limit
        self._chunks = answer.chunks

    async def iterate(self) -> AsyncIterator[bytes]:
        for chunk in self._chunks:
            if chunk is None:
                raise ReplicaCrashedError("the connection broke; resume")
            yield chunk

    async def close(self) -> None:
        """Nothing to close."""


class FakeBackend(Backend):
    """Replicas with scripted answers; records which replica got and ran requests.

    Attributes
    ----------
    crashed : set of str
        Replicas that accept no connection.
    """

    def __init__(self, answer: Callable[[str, int], Answer]) -> None:
        self._answer = answer
        self.sent: list[tuple[str, Dispatch]] = []
        self.ran: list[str] = []
        self.crashed: set[str] = set()

    def answer_with(self, chunks: list[bytes | None]) -> None:
        """Answer all further requests with the same body."""
        self._answer = lambda name, n: Answer(chunks=chunks)

    async def send(
        self, request: ForwardRequest, replica: Replica, dispatch: Dispatch
    ) -> Reply:
        answer = self._answer(replica.name, len(self.sent))
        self.sent.append((replica.name, dispatch))
        if answer.is_unreachable or replica.name in self.crashed:
            raise TargetUnreachableError("no connection; try another replica")
        if answer.is_without_connection:
            raise NoConnectionError("connections in use; try another replica")
        if not (answer.is_refusal or answer.is_wrong_instance):
            self.ran.append(replica.name)
        if answer.is_crash:
            self.crashed.add(replica.name)
        if answer.is_lost or answer.is_crash:
            raise ReplicaCrashedError("no answer; retry if repeatable")
        return FakeReply(answer)

    async def accepts_connection(self, replica: Replica) -> bool:
        return replica.name not in self.crashed


class FakeSink(ResponseSink):
    """Records a response."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Sequence[tuple[str, str]] = ()
        self.body = b""
        self.is_finished = False

    async def start(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        assert not self.is_started
        self.is_started, self.status, self.headers = True, status, headers

    async def write(self, data: bytes) -> None:
        self.body += data

    async def finish(self) -> None:
        self.is_finished = True


class NoLoanLog(LoanLog):
    """The loan log of a deployment without loan servers."""

    def get_lost_loans(self, program: str) -> dict[str, int]:
        return {}

    async def append_loan(
        self, program: str, tokens: int, *, budget: int = 0
    ) -> LoanTotals | None:
        return None

    async def append_draw(
        self, program: str, drawn: int, *, must_confirm: bool = False
    ) -> LoanTotals:
        return LoanTotals(0, drawn)


class NoPeers(BudgetPeers):
    """The peers of a deployment with one node."""

    async def grant(
        self,
        node: str,
        program: str,
        budget: int,
        max_tokens: int,
        *,
        may_lend: bool,
        max_wait: float,
    ) -> Grant:
        raise PeerError("there are no other nodes")

    async def report_drawn(
        self, node: str, program: str, budget: int, drawn: int
    ) -> None:
        raise PeerError("there are no other nodes")

    async def return_tokens(self, node: str, program: str, tokens: int) -> None:
        raise PeerError("there are no other nodes")


class NoStreamPeers(StreamVersionPeers):
    """The peers of a deployment with one node."""

    async def report(
        self,
        node: str,
        origins: Mapping[str, StreamOrigin],
        versions: Mapping[str, Sequence[str]],
    ) -> Mapping[str, Sequence[str]]:
        raise PeerError("there are no other nodes")

    async def find(self, node: str, request: str, target: str) -> FoundStream:
        raise PeerError("there are no other nodes")


def make_route(name: str, kind: RouteKind, **options: object) -> ForwardingRoute:
    """Return a route of host ``h`` with the prefix ``/<name>/``."""
    values: dict[str, object] = {
        "services": (("models" if kind is RouteKind.STREAM else "orders", 1.0),),
        "timeout": 2.0,
        "latency_target": 0.2,
        "max_replicas": 1,
    }
    values.update(options)
    return ForwardingRoute(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=kind,
        **values,  # type: ignore[arg-type]
    )


CONFIG = ForwardingConfig(
    version=7,
    routes=(
        make_route("turns", RouteKind.STREAM, resumable=True),
        make_route("prices", RouteKind.SAFE, max_replicas=2),
        make_route("orders", RouteKind.UNSAFE),
        make_route("hours", RouteKind.SAFE, open=True),
    ),
    services={
        "models": ServiceTraits(
            name="models",
            engine=EngineTraits(slots=4, cache_tokens=10_000, tokens_per_event=9),
        ),
        "orders": ServiceTraits(name="orders"),
    },
    teams={
        "lids": TeamPolicy(name="lids", limits=Team(name="lids", rate=100, burst=100)),
        "jars": TeamPolicy(name="jars", limits=Team(name="jars", rate=1, burst=1)),
    },
    keys={"lid-key": "lids", "jar-key": "jars"},
    limits=CallerLimits(),
)


class Harness:
    """A forwarder with fake replicas."""

    def __init__(
        self,
        answer: Callable[[str, int], Answer],
        *,
        replicas: Sequence[str] = ("r1", "r2", "r3"),
        versions: Mapping[str, str] | None = None,
        config: ForwardingConfig | None = CONFIG,
    ) -> None:
        clock = SystemClock()
        self.clock = clock
        self.backend = FakeBackend(answer)
        self.store = MemoryStore()
        self.directory = ReplicaDirectory(clock, lambda changed: None)
        for name in replicas:
            for service in ("models", "orders"):
                version = (versions or {}).get(name, "v1")
                self.register(service, name, version=version)
        self.configs = configs = ConfigHolder()
        limiter = StaticSplitLimiter(clock=clock)
        if config is not None:
            configs.offer(config, source="test")
            self.directory.set_slots({"models": 4})
        rng = random.Random(1)
        accounts = BudgetAccounts(
            self.store,
            node="a",
            clock=clock,
            request_hand_over=self._request_hand_over,
            loan_log=NoLoanLog(),
            is_outage=lambda: False,
        )
        self.scheduler = PolicyScheduler(
            clock,
            rng,
            placement=PromptPlacement(rng),
            quarantine=Quarantine(clock, policy=CrashSeriesPolicy()),
        )
        self.forwarder = Forwarder(
            configs=configs,
            limiter=limiter,
            budgets=BudgetOwners(
                accounts, NoPeers(), node="a", clock=clock, list_members=lambda: ["a"]
            ),
            scheduler=self.scheduler,
            directory=self.directory,
            stream_versions=StreamVersions(
                NoStreamPeers(),
                node="a",
                clock=clock,
                list_members=lambda: ["a"],
                list_versions=self.directory.list_versions,
            ),
            turns=make_turn_keeper(self.store, clock),
            backend=self.backend,
            clock=clock,
            metrics=Metrics(),
        )

    def register(
        self, service: str, name: str, *, version: str = "v1", born: int = 0
    ) -> None:
        """Register a replica of a service."""
        self.directory.put(
            ReplicaRecord(
                instance=f"{service}-{name}",
                service=service,
                address="10.0.0.1:80",
                zone="z",
                slots=4,
                version=version,
                born=born,
            )
        )

    async def _request_hand_over(
        self,
        node: str,
        program: str,
        amount: int,
        drawn: dict[str, int],
        request: str,
    ) -> HandOver:
        raise PeerGoneError("there are no other nodes")

    def make_request(self, path: str, **options: object) -> ForwardRequest:
        """Return a request of team ``lids``."""
        values: dict[str, object] = {"key": "lid-key", "id": "request-1"}
        values.update(options)
        return ForwardRequest(
            method="POST",
            host="h",
            path=path,
            request_target=path,
            headers=(),
            body=b"{}",
            received_at=self.clock.read_monotonic(),
            **values,  # type: ignore[arg-type]
        )

    async def forward(self, path: str, **options: object) -> FakeSink:
        """Forward one request and return the caller's sink."""
        sink = FakeSink()
        await self.forwarder.forward(self.make_request(path, **options), sink)
        return sink


def make_turn(program: str = "p", *, budget: int = 864) -> dict[str, object]:
    """Return the options of a request that is a turn of a program."""
    return {
        "program": ProgramCall(id=program, session_id=program, budget=budget),
        "prompt": Prompt(
            model="m",
            input_tokens=500,
            max_output_tokens=288,
            parts=(("s", 400), ("p", 100)),
        ),
    }


def make_events(first: int, last: int) -> bytes:
    """Return complete events with the ids from ``first`` to ``last``."""
    return b"".join(b"id: %d\ndata: x\n\n" % n for n in range(first, last + 1))
