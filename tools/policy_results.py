"""Results of the comparison of policies."""

from collections import defaultdict

from attrs import define, field

__all__ = ["Results", "TeamResults"]


@define
class TeamResults:
    """What one team experienced."""

    latencies: list[float] = field(factory=list)
    interactive: list[float] = field(factory=list)
    slowdowns: list[float] = field(factory=list)
    served: float = 0.0
    offered: float = 0.0
    requests: int = 0
    inside: int = 0
    refused_inside: int = 0
    failed: int = 0
    credit: float = 20.0
    credit_at: float = 0.0


@define
class Results:
    """Results of one run."""

    teams: dict[str, TeamResults] = field(factory=lambda: defaultdict(TeamResults))
    prefix: int = 0
    recomputed: int = 0
    crashes: int = 0
