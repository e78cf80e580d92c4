"""Which programs can still be in time, and how urgent their turns are."""

import enum

from attrs import frozen

__all__ = ["Pace", "Progress", "judge_pace", "rank_engine_work"]

# Part of a program's budget that it plans to use; callers allow half as much again.
_PLANNED_FRACTION = 2 / 3
# Part of a program's time that it takes on idle replicas. Callers allow 1.3 to 1.7
# times that and their latency target.
_IDLE_FRACTION = 0.55
# Work that is left at least, whatever the plan says: the turn at hand.
_LEAST_LEFT = 0.1
# Engines know the priorities 0 to 9, 0 first, with 5 as the default.
_BASE_PRIORITY = 3
_MOST_RANK = 3


class Pace(enum.Enum):
    """How a program stands against its deadline."""

    STEADY = 0
    HOPELESS = 1
    LATE = 2


_PRIORITIES = {Pace.HOPELESS: 7, Pace.LATE: 8}


@frozen(kw_only=True)
class Progress:
    """What is known of a program's work.

    Attributes
    ----------
    budget, used : int
        Tokens that it may generate in all, and has generated or set aside.
    seconds : float
        Time that it had in all.
    """

    budget: int
    used: int
    seconds: float


def judge_pace(remaining: float, progress: Progress | None) -> Pace:
    """Return how a program stands that should finish in ``remaining`` seconds.

    On overloaded replicas all programs run late by a little. Those that cannot be in
    time any more are worth little and delay those that still can. Precedence for
    programs behind their plan adds nothing to that and makes engines preempt more.
    """
    if remaining < 0.0:
        return Pace.LATE
    if progress is None or progress.seconds <= 0.0:
        return Pace.STEADY
    planned = max(1.0, _PLANNED_FRACTION * progress.budget)
    work_left = max(_LEAST_LEFT, 1.0 - progress.used / planned)
    time_left = remaining / progress.seconds
    return Pace.HOPELESS if time_left < _IDLE_FRACTION * work_left else Pace.STEADY


def rank_engine_work(rank: int, pace: Pace) -> int:
    """Return the engine priority of a turn.

    Parameters
    ----------
    rank : int
        Class of the route or team; 0 goes first.
    """
    if pace in _PRIORITIES:
        return _PRIORITIES[pace]
    return _BASE_PRIORITY + min(_MOST_RANK, max(0, rank))
