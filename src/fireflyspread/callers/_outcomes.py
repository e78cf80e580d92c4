"""Corrects what an error says about whether the request ran."""

from fireflyspread.exceptions import FireflyError, Outcome

__all__ = ["correct_outcome"]


def correct_outcome(error: FireflyError) -> None:
    """Let an error that followed a dispatch not claim that nothing ran.

    A refusal of a repeated attempt, for example by the queue, says ``not_run`` of that
    attempt only; an earlier attempt had reached a target.
    """
    if error.outcome is Outcome.NOT_RUN:
        error.outcome = Outcome.MAY_HAVE_RUN
