"""Estimates of the speed of a replica and of the load that other nodes put on it."""

import math

from attrs import define, field

from fireflyspread.routing._load_shares import LoadShare
from fireflyspread.routing._scheduler import LoadReport

__all__ = ["ReplicaEstimate"]

# Seconds after which a reported slowdown weighs 1/e. Machines change their speed about
# every 600 ms, after which a figure must weigh little (14%).
_SLOWDOWN_SECONDS = 0.3
# The same for the load of other nodes, which changes as requests of 0.2 to 0.3 s end.
_LOAD_SECONDS = 0.25
# Seconds for which an estimate is better than none.
_FRESH_SECONDS = 1.0
# Seconds over which the usual values of a replica are averaged. Some machines are
# always slower than others, which shows only over many changes of the others' speed.
_USUAL_SECONDS = 10.0
# Maximum weight of one report in the usual values.
_MAX_USUAL_WEIGHT = 0.1


@define(eq=False)
class _Value:
    """Value that decays with its age towards what is usual.

    Attributes
    ----------
    observed_at : float
        Monotonic seconds.
    decay : float
        Seconds.
    """

    usual: float
    decay: float
    last: float = 0.0
    observed_at: float = -math.inf

    def record(self, value: float, at: float) -> None:
        """Add a value; one that is older than the last is ignored."""
        if at < self.observed_at:
            return
        weight = min(_MAX_USUAL_WEIGHT, (at - self.observed_at) / _USUAL_SECONDS)
        self.last, self.observed_at = value, at
        self.usual += weight * (value - self.usual)

    def estimate(self, now: float) -> float:
        """Return the value that is expected now."""
        weight = math.exp(-max(0.0, now - self.observed_at) / self.decay)
        return self.usual + weight * (self.last - self.usual)


@define(eq=False)
class ReplicaEstimate:
    """Estimate for one replica process from its reports and those of other nodes.

    Slowdown and load decay with their age towards what is usual for the replica, which
    itself starts at 1.0 for the slowdown and 0 for the load.

    Attributes
    ----------
    samples : int
        Reports with a slowdown.
    """

    samples: int = 0
    _reported: tuple[float, float] = (1.0, -math.inf)
    _slowdown: _Value = field(factory=lambda: _Value(1.0, _SLOWDOWN_SECONDS))
    _others: _Value = field(factory=lambda: _Value(0.0, _LOAD_SECONDS))

    def record(self, report: LoadReport, *, running: int) -> None:
        """Add a report of the replica.

        Parameters
        ----------
        running : int
            Requests of this node on the replica when the report arrived.
        """
        if not report.has_slowdown:
            return
        self.samples += 1
        others = max(0, report.running + report.waiting - running)
        self._reported = (report.slowdown, report.received_at)
        self._slowdown.record(report.slowdown, report.received_at)
        self._others.record(others, report.received_at)

    def record_others(self, share: LoadShare, now: float) -> None:
        """Add what the other nodes have on the replica and have seen of its speed."""
        self._others.record(share.running, now)
        if share.slowdown is not None and 0 < share.slowdown < math.inf:
            self.samples += 1
            self._slowdown.record(share.slowdown, now - share.age)

    def make_share(self, running: int, now: float) -> LoadShare | None:
        """Return what this node tells others; None if there is nothing to tell.

        Speeds that other nodes have told are not passed on.

        Parameters
        ----------
        running : int
            Requests of this node on the replica.
        """
        slowdown, reported_at = self._reported
        age = now - reported_at
        if age <= _FRESH_SECONDS:
            return LoadShare(running, slowdown, max(0.0, age))
        return LoadShare(running) if running else None

    def is_fresh(self, now: float) -> bool:
        """Return whether the load has been observed lately."""
        return now - self._others.observed_at <= _FRESH_SECONDS

    def read_slowdown_age(self, now: float) -> float | None:
        """Return the seconds since the slowdown was observed; None if it never was."""
        return _compute_age(self._slowdown.observed_at, now)

    def read_others_age(self, now: float) -> float | None:
        """Return the seconds since the load was observed; None if it never was."""
        return _compute_age(self._others.observed_at, now)

    def estimate_slowdown(self, now: float) -> float:
        """Return the factor by which work takes longer than usual now."""
        return self._slowdown.estimate(now)

    def estimate_others(self, now: float) -> float:
        """Return the requests that other nodes have on the replica now."""
        return self._others.estimate(now)


def _compute_age(observed_at: float, now: float) -> float | None:
    return None if observed_at == -math.inf else max(0.0, now - observed_at)
