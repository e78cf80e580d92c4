"""Fault switches of the engine stand-in."""

from attrs import define

from standins._base import Faults, notify

__all__ = ["EngineFaults"]


@define(kw_only=True, on_setattr=notify, slots=False)
class EngineFaults(Faults):
    """Fault switches of an engine; counts apply to the next chat requests.

    Attributes
    ----------
    crash_on : str
        A chat request whose body contains this text crashes the process.
    crash_after : int
        Events sent before such a crash.
    crash_seconds : float
        Seconds until the process is up again, with an empty cache.
    cut_next, cut_after : int
        Number of streams that are reset, and the events sent before.
    stall_next, stall_after : int
        Number of streams that stall, and the events sent before.
    hang_next : int
        Number of requests that are never answered.
    refuse_next : int
        Number of requests refused with 503 as not run.
    cross_answers : int
        Number of pairs of concurrent requests whose answers are swapped.
    slow : float
        Factor by which all computing times are multiplied.
    checks_fence : bool
        Whether requests with an old fencing token are refused.
    event_lag, load_lag : float
        Delay of cache events and load reports in seconds.
    lose_events : int
        Number of next cache events that are never sent.
    refuse_release : int
        Number of next session releases that fail.
    rate_limit : float or None
        Turns a second that answers name as the limit of all nodes together.
    """

    crash_on: str = ""
    crash_after: int = 0
    crash_seconds: float = 1.0
    cut_next: int = 0
    cut_after: int = 0
    stall_next: int = 0
    stall_after: int = 0
    hang_next: int = 0
    refuse_next: int = 0
    cross_answers: int = 0
    slow: float = 1.0
    checks_fence: bool = False
    event_lag: float = 0.2
    load_lag: float = 0.2
    lose_events: int = 0
    refuse_release: int = 0
    rate_limit: float | None = None
