"""Which request runs next, and on which replica."""

from fireflyspread.routing._scheduler import (
    LoadReport,
    Result,
    Scheduler,
    Ticket,
    Work,
)

__all__ = ["LoadReport", "Result", "Scheduler", "Ticket", "Work"]
