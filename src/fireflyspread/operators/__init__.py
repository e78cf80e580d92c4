"""Administration API and command line for operators."""

from fireflyspread.operators._api import AdminApi
from fireflyspread.operators._authentication import OperatorKeys
from fireflyspread.operators._views import (
    MemberLister,
    MemberVersion,
    ProgramAdmin,
    ProgramView,
    StateDumper,
)

__all__ = [
    "AdminApi",
    "MemberLister",
    "MemberVersion",
    "OperatorKeys",
    "ProgramAdmin",
    "ProgramView",
    "StateDumper",
]
