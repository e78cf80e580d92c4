"""Programs: turn order, budgets, histories, answers, and intents."""

from fireflyspread.programs._answers import AnswerLog
from fireflyspread.programs._budget import Budget
from fireflyspread.programs._history import History, compute_digest
from fireflyspread.programs._intents import Intent, IntentState, IntentTable
from fireflyspread.programs._program import Program, RunningTurn, Step, StepKind
from fireflyspread.programs._state import CombinedState
from fireflyspread.programs._table import ProgramTable

__all__ = [
    "AnswerLog",
    "Budget",
    "CombinedState",
    "History",
    "Intent",
    "IntentState",
    "IntentTable",
    "Program",
    "ProgramTable",
    "RunningTurn",
    "Step",
    "StepKind",
    "compute_digest",
]
