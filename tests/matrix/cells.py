"""Rows, columns and cells of the fault matrix."""

from attrs import frozen

__all__ = ["CELLS", "COLUMNS", "NOT_APPLICABLE", "QUICK", "STEPS", "Cell"]

STEPS = (
    "admit",
    "authenticate",
    "reserve",
    "place",
    "dispatch",
    "stream",
    "record",
    "answer",
    "release",
)

# Each column is one or two faults of ``faults.FAULTS``, injected together.
COLUMNS: dict[str, tuple[str, ...]] = {
    "kill owner": ("kill_owner",),
    "kill entry": ("kill_entry",),
    "partition store": ("partition_store",),
    "partition all": ("isolate",),
    "pause": ("pause",),
    "store down": ("store_down",),
    "store slow": ("store_slow",),
    "response lost": ("lose_responses",),
    "lease expired": ("expire_lease",),
    "operators racing": ("race",),
    "key withdrawn": ("withdraw",),
    "poison request": ("poison",),
    "VM leaving": ("leave_vm",),
    "node leaving": ("drain",),
    "store down+kill": ("store_down", "kill_owner"),
    "kill two": ("kill_owner", "kill_entry"),
    "pause+key withdrawn": ("pause", "withdraw"),
    "partition+racing": ("isolate", "race"),
    "partition+key withdrawn": ("isolate", "withdraw"),
    "store slow+kill": ("store_slow", "kill_owner"),
    "response lost+kill": ("lose_responses", "kill_owner"),
}

NO_WRITE = "no write of the request is in flight at this step"
NO_BODY = "no request body reaches an engine at this step"

NOT_APPLICABLE: dict[tuple[str, str], str] = {
    ("authenticate", "response lost"): NO_WRITE,
    ("place", "response lost"): NO_WRITE,
    ("authenticate", "response lost+kill"): NO_WRITE,
    ("place", "response lost+kill"): NO_WRITE,
    ("admit", "poison request"): NO_BODY,
    ("authenticate", "poison request"): NO_BODY,
    ("reserve", "poison request"): NO_BODY,
    ("release", "poison request"): NO_BODY,
}


@frozen(order=True)
class Cell:
    """One column of faults at one step."""

    step: str
    column: str

    @property
    def name(self) -> str:
        """Id of the test."""
        return f"{self.column}-{self.step}".replace(" ", "_")


CELLS = tuple(
    Cell(step, column)
    for column in COLUMNS
    for step in STEPS
    if (step, column) not in NOT_APPLICABLE
)

# ``make test`` tests each column at one step.
QUICK = frozenset(
    {
        Cell("stream", "kill owner"),
        Cell("dispatch", "kill entry"),
        Cell("dispatch", "partition store"),
        Cell("stream", "partition all"),
        Cell("dispatch", "pause"),
        Cell("record", "store down"),
        Cell("reserve", "store slow"),
        Cell("record", "response lost"),
        Cell("stream", "lease expired"),
        Cell("admit", "operators racing"),
        Cell("stream", "key withdrawn"),
        Cell("stream", "poison request"),
        Cell("place", "VM leaving"),
        Cell("answer", "node leaving"),
        Cell("stream", "store down+kill"),
        Cell("record", "kill two"),
        Cell("stream", "pause+key withdrawn"),
        Cell("admit", "partition+racing"),
        Cell("stream", "partition+key withdrawn"),
        Cell("dispatch", "store slow+kill"),
        Cell("release", "response lost+kill"),
    }
)
