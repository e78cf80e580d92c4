"""Fault switches of the engine stand-in."""

from attrs import define

from standins._base import Faults, notify

__all__ = ["EngineFaults"]


@define(kw_only=True, on_setattr=notify, slots=False)
class EngineFaults(Faults):
    """Switches of an engine; counts apply to the next chat requests.

    Attributes
    ----------
    crash_on : str
        A chat body that contains this text crashes the process.
    crash_after : int
        Events sent before such a crash.
    crash_seconds : float
        Seconds until the process is back, with an empty cache.
    cut_next, cut_after : int
        Number of streams that break, and the events sent before.
    stall_next, stall_after : int
        Number of streams that fall silent, and the events sent before.
    hang_next : int
        Number of requests that get no answer.
    refuse_next : int
        Number of requests refused with 503 as not run.
    cross_answers : int
        Number of pairs of concurrent requests that get each other's answer.
    slow : float
        Factor of all computing times.
    checks_fence : bool
        Whether an old fencing token is refused.
    event_lag, load_lag : float
        Seconds by which cache events and load reports are late.
    lose_events : int
        Number of next cache events that are never sent.
    refuse_release : int
        Number of next releases of a session that fail.
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
