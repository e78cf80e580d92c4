"""Estimates the demand of a program from the headers of its first turn."""

from fireflyspread.forwarding._request import ForwardRequest
from fireflyspread.limits import Demand

__all__ = ["estimate_demand"]

# Requests of a program (turns and tool calls) for each full turn that its budget
# covers. Callers budget 1.5 turns for each planned turn, and a planned turn comes with
# 1.25 calls; half of the observed programs lie between 1.3 and 1.6.
_REQUESTS_PER_BUDGETED_TURN = 1.5
# Fraction of the time until its deadline that a program takes; half of the observed
# programs lie between 0.46 and 0.63.
_DURATION_FRACTION = 0.55
# Assumed duration of a program without a deadline.
_DEFAULT_DURATION_SECONDS = 3.0
_MIN_DURATION_SECONDS = 0.1


def estimate_demand(request: ForwardRequest) -> Demand | None:
    """Return the demand of the program that starts with ``request``.

    Returns None if the request declares no program, budget or prompt.
    """
    program, prompt = request.program, request.prompt
    if program is None or program.budget is None or prompt is None:
        return None
    turns = program.budget / max(1, prompt.max_output_tokens)
    seconds = _DEFAULT_DURATION_SECONDS
    if program.remaining is not None:
        seconds = max(_MIN_DURATION_SECONDS, _DURATION_FRACTION * program.remaining)
    return Demand(
        requests=max(1.0, _REQUESTS_PER_BUDGETED_TURN * turns), seconds=seconds
    )
