"""Records the outcome of a turn in the journal and in memory."""

from fireflyspread.callers._context import Context
from fireflyspread.exceptions import FireflyError, StoreError
from fireflyspread.programs import Program
from fireflyspread.recovery import Durability, TurnRecorded

__all__ = ["commit_turn"]


async def commit_turn(
    context: Context, program: Program, record: TurnRecorded
) -> Durability:
    """Commit the record of the running turn and end the turn.

    Raises
    ------
    StoreError
        The record was not stored and will not be; the turn is still running.
    FireflyError
        It is unknown whether the record is stored. The turn has ended, and a repeated
        request for it waits for the record.
    """
    try:
        durability = await context.ownership.commit(record, allow_pending=True)
    except FireflyError as exc:
        # A plain StoreError means that the record was withdrawn. After any other error
        # it stays queued in its order, so the state in memory must follow the journal.
        if type(exc) is not StoreError:
            _end_turn(context, program, record)
        raise
    _end_turn(context, program, record)
    return durability


def _end_turn(context: Context, program: Program, record: TurnRecorded) -> None:
    running = program.running
    context.programs.apply(record)
    program.running = None
    if running is not None:
        running.answer.close()
