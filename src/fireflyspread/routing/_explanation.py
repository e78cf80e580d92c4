"""Explanation of where a request would be placed."""

from collections.abc import Collection, Mapping

from attrs import frozen

from fireflyspread.bundle import Replica
from fireflyspread.routing._permits import Permits
from fireflyspread.routing._placement import Choice, ReplicaFigures, ReplicaState
from fireflyspread.routing._scheduler import Work
from fireflyspread.routing._target import TargetState

__all__ = [
    "PlacementExplanation",
    "ReplicaExplanation",
    "explain_excluded",
    "explain_replicas",
]


@frozen(kw_only=True)
class ReplicaExplanation:
    """What a node knows of a replica, in JSON types; None where it knows nothing.

    Attributes
    ----------
    state : str
        ``usable``, or why the request would not be sent to the replica.
    running : int or None
        Requests of this node.
    slots : int or None
        Requests that the replica runs at once.
    others : float or None
        Estimated requests of other nodes.
    others_age, slowdown_age, report_age : float or None
        Seconds since the figure was observed.
    load : int or None
        Requests of all nodes by the last load report and those of this node since then.
    held_tokens : int or None
        Tokens of KV cache that requests of this node hold.
    uncached_tokens, prompt_tokens, expected_seconds
        See ``ReplicaFigures``.
    """

    name: str
    zone: str
    version: str
    state: str
    is_cold: bool = False
    running: int | None = None
    slots: int | None = None
    others: float | None = None
    others_age: float | None = None
    slowdown: float | None = None
    slowdown_age: float | None = None
    load: int | None = None
    report_age: float | None = None
    held_tokens: int | None = None
    uncached_tokens: int | None = None
    prompt_tokens: float | None = None
    expected_seconds: float | None = None


@frozen(kw_only=True)
class PlacementExplanation:
    """Where a request would be placed now.

    Attributes
    ----------
    refusal : str
        Why the request would be refused; empty if it would not.
    replica : str or None
        Replica that would be chosen; None if the request would wait or be refused.
    rule : str
        What decides.
    near : tuple of str
        Replicas that the rule regards as equal.
    is_random : bool
        Whether the choice among them is random.
    queued : int
        Requests that wait for the service at this node.
    wait_seconds : float
        Expected wait behind them.
    """

    refusal: str
    replica: str | None
    rule: str
    near: tuple[str, ...]
    is_random: bool
    queued: int
    wait_seconds: float
    replicas: tuple[ReplicaExplanation, ...]

    @classmethod
    def from_choice(
        cls,
        choice: Choice | None,
        *,
        refusal: str,
        queued: int,
        wait: float,
        replicas: tuple[ReplicaExplanation, ...],
    ) -> "PlacementExplanation":
        """Return the explanation; ``choice`` is None if no replica is free."""
        chosen = None
        if choice is not None and choice.replica is not None and not refusal:
            chosen = choice.replica.replica.name
        return cls(
            refusal=refusal,
            replica=chosen,
            rule="no replica is free" if choice is None else choice.rule,
            near=() if choice is None else choice.near,
            is_random=choice is not None and choice.is_random,
            queued=queued,
            wait_seconds=round(wait, 4),
            replicas=replicas,
        )


def explain_excluded(replica: Replica, state: str) -> ReplicaExplanation:
    """Return the explanation of a replica that takes no requests."""
    return ReplicaExplanation(
        name=replica.name, zone=replica.zone, version=replica.version, state=state
    )


def explain_replicas(
    work: Work,
    state: TargetState,
    figures: Mapping[str, ReplicaFigures],
    *,
    free: Collection[ReplicaState],
    choice: Choice | None,
    leaving_vms: frozenset[str],
    permits: Permits,
    now: float,
) -> tuple[ReplicaExplanation, ...]:
    """Return the explanations of all replicas of a target."""
    without_room = frozenset[str]() if choice is None else choice.without_room
    names = {each.replica.name for each in free}
    return tuple(
        _explain_replica(
            each,
            "no room"
            if name in without_room
            else "usable"
            if name in names
            else _find_obstacle(work, state, each, leaving_vms, permits),
            figures.get(name, ReplicaFigures()),
            is_cold=permits.is_cold(each),
            now=now,
        )
        for name, each in state.replicas.items()
    )


def _find_obstacle(
    work: Work,
    state: TargetState,
    each: ReplicaState,
    leaving_vms: frozenset[str],
    permits: Permits,
) -> str:
    """Return why a replica that is not free cannot take the request."""
    replica, zones = each.replica, work.allowed_zones
    if replica.vm in leaving_vms:
        return "leaving"
    if zones is not None and replica.zone not in zones:
        return "outside the homes"
    if not work.may_run_on(replica):
        return "not allowed"
    if each.isolated_request is not None or each.reserved_for is not None:
        return "reserved"
    if not state.health.may_use(replica.name):
        return "ejected"
    if permits.read_pause(each):
        return "cold" if permits.is_cold(each) else "limit used up"
    return "full"


def _explain_replica(
    each: ReplicaState,
    state: str,
    figures: ReplicaFigures,
    *,
    is_cold: bool,
    now: float,
) -> ReplicaExplanation:
    estimate, report = each.estimate, each.report
    return ReplicaExplanation(
        name=each.replica.name,
        zone=each.replica.zone,
        version=each.replica.version,
        state=state,
        is_cold=is_cold,
        running=each.running,
        slots=each.concurrency,
        others=round(estimate.estimate_others(now), 2),
        others_age=_round(estimate.read_others_age(now)),
        slowdown=round(estimate.estimate_slowdown(now), 3),
        slowdown_age=_round(estimate.read_slowdown_age(now)),
        load=each.estimate_load(),
        report_age=None if report is None else _round(now - report.received_at),
        held_tokens=sum(each.held_tokens.values()),
        uncached_tokens=figures.uncached_tokens,
        prompt_tokens=_round(figures.prompt_tokens),
        expected_seconds=_round(figures.seconds),
    )


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 4)
