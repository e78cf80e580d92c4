"""Which members share the teams' rates, and since when this node has a share."""

import math
from collections.abc import Iterable
from typing import Any

from attrs import evolve

from fireflyspread.bundle import Team
from fireflyspread.clock import Clock
from fireflyspread.gateway._settings import RateTolerance
from fireflyspread.limits import PermitLimiter, ShareLimiter

__all__ = ["RateMembership", "add_tolerance"]

# Fraction of the operators' tolerance that is used. The remainder covers requests that
# are sent to a replica twice and tokens in transit between nodes.
_TOLERANCE_FRACTION = 0.85


def add_tolerance(team: Team, tolerance: RateTolerance) -> Team:
    """Return the limits that are enforced for ``team``.

    Operators count requests per window. Programs arrive in bursts around a mean rate
    far below the team's, so the tolerance of a window is added to the burst, where it
    helps most.
    """
    allowed = team.rate * tolerance.window + team.burst
    tolerated = allowed * tolerance.overshoot + tolerance.slack
    return evolve(team, burst=team.burst + _TOLERANCE_FRACTION * tolerated)


class RateMembership:
    """Gives the limiter the members, and the time from which this node's share accrues.

    At the first start of the whole system no node has used any rate, so buckets are
    full. A node that restarts uses its share at once, with empty buckets: its previous
    process has ended. A new node has no share until all others have given it one; see
    ``NodeJoin``.

    A member is removed only long after it has lost its authority, so the others may use
    its share as soon as they see the removal.
    """

    def __init__(self, *, node: str, clock: Clock, is_first_start: bool) -> None:
        self._node = node
        self._clock = clock
        self._started_at = clock.read_monotonic()
        self._accrues_since = -math.inf if is_first_start else None
        self._is_member = False
        self._is_joining = False

    @property
    def is_member(self) -> bool:
        """Whether this node has seen itself among the members."""
        return self._is_member

    def apply(
        self,
        names: frozenset[str],
        limiters: Iterable[ShareLimiter | PermitLimiter[Any]],
        *,
        sharing: frozenset[str],
    ) -> None:
        """Pass the names of the members that share rates on to the limiters.

        Parameters
        ----------
        names : frozenset of str
            All members.
        sharing : frozenset of str
            Those that share rates.
        """
        if self._node not in names:
            return
        self._is_member = True
        if self._node not in sharing:
            # Asks the others for tokens until it has a share.
            self._is_joining = True
            for limiter in limiters:
                limiter.replace_members(sharing, since=self._clock.read_monotonic())
            return
        if self._is_joining:
            self._is_joining = False
            self._accrues_since = self._clock.read_monotonic()
            for limiter in limiters:
                limiter.drop_tokens(since=self._accrues_since)
        if self._accrues_since is None:
            self._accrues_since = self._started_at
        for limiter in limiters:
            limiter.replace_members(sharing, since=self._accrues_since)
