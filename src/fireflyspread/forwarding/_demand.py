"""Estimates what a program will ask for, from what its first turn tells."""

from fireflyspread.forwarding._request import ForwardRequest
from fireflyspread.limits import Demand

__all__ = ["estimate_demand"]

# Requests of a program, turns and calls of tools, for each whole turn that its budget
# holds. Callers allow budgets of 1.5 turns for each one they plan, and a planned turn
# comes with 1.25 calls; half of the programs seen lie between 1.3 and 1.6.
_REQUESTS_PER_BUDGETED_TURN = 1.5
# Part of the time until its deadline that a program takes; half of those seen lie
# between 0.46 and 0.63.
_TIME_FRACTION = 0.55
# Seconds that a program takes when it tells no deadline.
_UNKNOWN_SECONDS = 3.0
_LEAST_SECONDS = 0.1


def estimate_demand(request: ForwardRequest) -> Demand | None:
    """Return the demand of the program that begins with ``request``, if it tells."""
    program, prompt = request.program, request.prompt
    if program is None or program.budget is None or prompt is None:
        return None
    turns = program.budget / max(1, prompt.output_tokens)
    seconds = _UNKNOWN_SECONDS
    if program.remaining is not None:
        seconds = max(_LEAST_SECONDS, _TIME_FRACTION * program.remaining)
    return Demand(
        requests=max(1.0, _REQUESTS_PER_BUDGETED_TURN * turns), seconds=seconds
    )
