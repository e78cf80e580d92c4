"""The refusals of the scheduler."""

from fireflyspread.exceptions import (
    FireflyError,
    OverloadedError,
    QuarantinedError,
)
from fireflyspread.routing._queue import Waiting
from fireflyspread.routing._scheduler import Work

__all__ = ["make_overloaded", "make_quarantined", "set_error"]

_MIN_RETRY_AFTER = 0.1
_MAX_RETRY_AFTER = 60.0


def set_error(waiting: Waiting, error: FireflyError) -> None:
    if waiting.future is not None and not waiting.future.done():
        waiting.future.set_exception(error)


def make_quarantined(work: Work) -> QuarantinedError:
    return QuarantinedError(
        f"request {work.request} equals one that crashed two replicas; "
        "change the request"
    )


def make_overloaded(target: str, delay: float) -> OverloadedError:
    return OverloadedError(
        f"target {target} cannot start the request before its deadline; retry later",
        retry_after=min(_MAX_RETRY_AFTER, max(_MIN_RETRY_AFTER, delay)),
    )
