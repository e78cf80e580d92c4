"""Outcomes of errors that follow a dispatch."""

from fireflyspread.exceptions import FireflyError, Outcome

__all__ = ["correct_outcome"]


def correct_outcome(error: FireflyError) -> None:
    """Change the outcome ``not_run`` of an error after a dispatch to ``may_have_run``.

    The error of a retry, for example a refusal by the queue, has the outcome of that
    retry only, and an earlier attempt has reached a target.
    """
    if error.outcome is Outcome.NOT_RUN:
        error.outcome = Outcome.MAY_HAVE_RUN
