"""Results of the comparison of policies."""

from collections import defaultdict

from attrs import define, field

__all__ = ["Results", "TeamResults"]


@define
class TeamResults:
    """Results of one team in one run.

    Attributes
    ----------
    latencies, interactive_latencies : list of float
        Seconds of each program without its pauses.
    slowdowns : list of float
        Latency of each program relative to its ideal.
    served_tokens, offered_tokens : float
        Tokens of answered and of all steps.
    requests_within_rate, refused_within_rate : int
        Requests within the rate limit of the team, and those of them that were refused.
    bucket_tokens, refilled_at : float
        Token bucket of the rate limit and the time of its last refill in seconds.
    """

    latencies: list[float] = field(factory=list)
    interactive_latencies: list[float] = field(factory=list)
    slowdowns: list[float] = field(factory=list)
    served_tokens: float = 0.0
    offered_tokens: float = 0.0
    requests: int = 0
    requests_within_rate: int = 0
    refused_within_rate: int = 0
    failed: int = 0
    bucket_tokens: float = 20.0
    refilled_at: float = 0.0


@define
class Results:
    """Results of one run.

    Attributes
    ----------
    prefix_tokens, recomputed_tokens : int
        Tokens of the programs' histories in all prompts, and the uncached ones of them.
    """

    teams: dict[str, TeamResults] = field(factory=lambda: defaultdict(TeamResults))
    prefix_tokens: int = 0
    recomputed_tokens: int = 0
    crashes: int = 0
