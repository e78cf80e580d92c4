"""Account of one program's budget on one node."""

import asyncio

import msgspec
from attrs import define, field, frozen

__all__ = [
    "LOST_NODES",
    "REQUEST_SEPARATOR",
    "Account",
    "ProgramRecord",
    "Refill",
    "find_node",
    "is_lost_process",
    "make_lost_process",
    "make_process_id",
]

# Stands in ``ProgramRecord.drawn`` for tokens of nodes that are not known by name.
LOST_NODES = "lost"
_LENDER_SEPARATOR = ":"
_SEPARATOR = "/"
# Between the process that asks for tokens and the number of its request.
REQUEST_SEPARATOR = "#"
# Requests of other nodes for tokens whose answers an account remembers. Each node has
# one at a time.
_MAX_HAND_OVERS = 64


class ProgramRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Tokens drawn from a program's budget, as recorded in the store.

    Attributes
    ----------
    drawn : dict of str to int
        Tokens by the process that drew them, named by ``make_process_id``. They count
        as spent until that process returns them.
    """

    budget: int
    drawn: dict[str, int]

    @property
    def left(self) -> int:
        """Tokens that no node has drawn."""
        return max(0, self.budget - sum(self.drawn.values()))


@frozen(eq=False)
class Refill:
    """A draw in progress, and the turn that it was begun for."""

    task: asyncio.Task[None]
    max_tokens: int
    may_lend: bool


@define(eq=False, kw_only=True)
class Account:
    """Tokens of one program that this node may grant.

    Attributes
    ----------
    process : str
        Name under which the account draws from the store.
    available : int
        Tokens drawn and neither spent nor reserved for a running turn.
    unconfirmed : int
        Tokens drawn that may be granted only once the loan log has the draw, because
        other nodes may have lent them.
    own_drawn : int
        Tokens that the account is known to have drawn under this name.
    lent : int
        Tokens lent by this node, available or granted, that the store's record does
        not include yet.
    lent_by_others : int
        Tokens that other nodes have lent since the store became unavailable.
    record : ProgramRecord or None
        The store's record as last read or written, at ``revision``.
    used_at : float
        Monotonic seconds of the last use.
    asked_at : dict of str to float
        Monotonic seconds at which former owners were asked for their tokens.
    emptied_at : dict of str to float
        Monotonic seconds at which those were asked that have answered.
    hand_over_requests : dict of str to str
        Ids of the requests to former owners that have not been answered.
    handed_over : dict of str to int
        Tokens that this account has handed over, by the id of the request.
    recipients : set of str
        Nodes to which former owners have handed over tokens. The record does not name
        them.
    refill : Refill or None
        The draw in progress.
    """

    program: str
    budget: int
    process: str
    available: int = 0
    unconfirmed: int = 0
    own_drawn: int = 0
    lent: int = 0
    lent_by_others: int = 0
    record: ProgramRecord | None = None
    revision: int = 0
    used_at: float = 0.0
    lock: asyncio.Lock = field(factory=asyncio.Lock)
    asked_at: dict[str, float] = field(factory=dict)
    emptied_at: dict[str, float] = field(factory=dict)
    hand_over_requests: dict[str, str] = field(factory=dict)
    handed_over: dict[str, int] = field(factory=dict)
    recipients: set[str] = field(factory=set)
    refill: Refill | None = None

    def reserve(self, amount: int) -> bool:
        """Reserve ``amount`` tokens for a turn if that many are available."""
        if self.available < amount:
            return False
        self.available -= amount
        return True

    def hand_over(self, amount: int, request: str = "") -> int:
        """Take out up to ``amount`` available tokens for another node.

        A repeated ``request`` is answered as before: the first answer may be lost.
        """
        if request in self.handed_over:
            return self.handed_over[request]
        taken = max(0, min(self.available, amount))
        self.available -= taken
        if request:
            self.handed_over[request] = taken
            while len(self.handed_over) > _MAX_HAND_OVERS:
                del self.handed_over[next(iter(self.handed_over))]
        return taken

    def list_recipients(self) -> tuple[str, ...]:
        """Return the nodes to which this account has handed over tokens."""
        nodes = {
            find_node(request.rpartition(REQUEST_SEPARATOR)[0])
            for request, tokens in self.handed_over.items()
            if tokens
        }
        return tuple(sorted(filter(None, nodes)))

    def take_available(self) -> int:
        """Take out all available tokens, so that nobody else gets them."""
        taken, self.available = self.available, 0
        return taken

    def rename(self, process: str) -> None:
        """Draw under a new name from now on.

        What the store records under the old name is never credited again, because it
        is no longer known which of these tokens have been spent.
        """
        self.process = process
        self.own_drawn = 0

    def credit(self, drawn: int) -> None:
        """Credit the tokens that the store records as ``drawn`` under this name.

        They may include draws whose answer was lost. They settle loans first.
        """
        surplus = max(0, drawn - self.own_drawn)
        settled = min(self.lent, surplus)
        self.own_drawn += surplus
        self.lent -= settled
        self.available += surplus - settled

    def withhold(self, lent_by_others: int, total_drawn: int = 0) -> int:
        """Withhold tokens that other nodes have lent or drawn; return how many.

        Parameters
        ----------
        lent_by_others : int
            Tokens that other nodes have lent and not drawn.
        total_drawn : int
            Tokens that all nodes have drawn according to the loan log. If it is more
            than in this node's record, another node has drawn since. If not, that node
            withholds what exceeds the budget.
        """
        drawn = total_drawn if total_drawn > self.total_drawn else self.drawn
        excess = drawn + self.lent + lent_by_others - self.budget
        withheld = max(0, min(self.available, excess))
        self.available -= withheld
        return withheld

    def keep_unconfirmed(self, available: int) -> None:
        """Withhold what was credited beyond ``available`` until it is confirmed."""
        credited = max(0, self.available - available)
        self.unconfirmed += credited
        self.available -= credited

    def confirm(self, lent_by_others: int = 0, total_drawn: int = 0) -> int:
        """Make the unconfirmed tokens available that nobody else has lent or drawn.

        Returns
        -------
        int
            Number of tokens that are not.
        """
        drawn = max(self.total_drawn, total_drawn)
        excess = max(0, drawn + self.lent + lent_by_others - self.budget)
        lost = min(self.unconfirmed, excess)
        self.available += self.unconfirmed - lost
        self.unconfirmed = 0
        return lost

    @property
    def is_record_reported(self) -> bool:
        """Whether another node reported the record's total, which has no revision."""
        return self.record is not None and not self.revision

    @property
    def total_drawn(self) -> int:
        """Tokens in the record, which may exceed the budget after loans."""
        return 0 if self.record is None else sum(self.record.drawn.values())

    @property
    def drawn(self) -> int:
        """Tokens of the budget that all nodes are known to have drawn."""
        return 0 if self.record is None else self.record.budget - self.record.left

    @property
    def left(self) -> int:
        """Tokens that can still be drawn from the store, as far as this node knows."""
        undrawn = self.budget if self.record is None else self.record.left
        return max(0, undrawn - self.lent - self.lent_by_others)


def make_process_id(node: str, incarnation: str) -> str:
    """Return the name under which one process draws tokens."""
    return f"{node}{_SEPARATOR}{incarnation}"


def make_lost_process(lender: str) -> str:
    """Return the name under which the loans of a lost lender are recorded."""
    return f"{LOST_NODES}{_LENDER_SEPARATOR}{lender}"


def is_lost_process(process: str) -> bool:
    """Return whether lost nodes have drawn or lent what is recorded under a name."""
    return process.partition(_LENDER_SEPARATOR)[0] == LOST_NODES


def find_node(process: str) -> str | None:
    """Return the node of a process; None if no process can be asked for its tokens."""
    node, separator, _ = process.rpartition(_SEPARATOR)
    return node if separator else None
