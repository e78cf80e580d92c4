"""Draws programs' budgets from the store and hands them out turn by turn."""

import asyncio
import logging
import math
import secrets
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

import msgspec
import xxhash
from attrs import frozen

from fireflyspread.budgets._account import (
    LOST,
    Account,
    ProgramRecord,
    find_node,
    make_drawer,
)
from fireflyspread.budgets._notes import BudgetNotes, Noted
from fireflyspread.clock import Clock
from fireflyspread.exceptions import (
    BudgetExceededError,
    OverloadedError,
    PeerError,
    StoreError,
)
from fireflyspread.recovery import (
    Entry,
    SnapshotStore,
    Write,
    WriteCombiner,
    WriteConflictError,
)

__all__ = ["AllowanceBook", "Grant"]

_LOG = logging.getLogger(__name__)

_PREFIX = "programs/"
# Part of the budget that one draw takes. One draw serves most programs, and half of
# the budget is left for the node that takes over when this one fails.
_DRAW_FRACTION = 0.5
# Part of the budget that a loan has at least, so that a program costs few loans.
_LEND_FRACTION = 0.25
# Seconds that a turn waits for its draw. The store answers in about 4 ms, and 60
# times as slow at times; beyond that it counts as away.
_DRAW_TIMEOUT = 0.4
# Conflicting draws of one turn; each conflict means that another node drew.
_DRAW_ATTEMPTS = 6
# Seconds without a turn after which an account is dropped. Programs may come back
# within a minute.
_IDLE_SECONDS = 150.0
_EXPIRE_INTERVAL = 10.0
_FLUSH_INTERVAL = 0.1
# Seconds after a failed draw in which no other is tried.
_AWAY_SECONDS = 0.25
# Seconds after which a turn may come back that this node must not lend to.
_AWAY_RETRY = 0.3

# Asks a node (name, program, tokens, what each process has drawn) for what it holds;
# returns what it gives.
AskHolder = Callable[[str, str, int, dict[str, int]], Awaitable[int]]


@frozen
class Grant:
    """Tokens set aside for one turn.

    Attributes
    ----------
    is_new : bool
        Whether the program has used nothing so far and no other turn of it runs.
    drawn : int
        Tokens that nodes have drawn from the store, as far as is known.
    """

    tokens: int
    is_new: bool
    drawn: int = 0


class AllowanceBook:
    """The accounts of the programs that this node keeps.

    A node hands out only tokens that it has drawn from the program's record in the
    store by compare-and-swap, or that another node has given up. So no cut, restart or
    loss of nodes lets a program exceed its budget: what a lost node had drawn counts
    as spent.

    While the store does not answer, a node lends. Loans are noted on disks first and
    written to the store when it is back. A node that keeps a program without record
    counts the loans of lost nodes as drawn.

    Parameters
    ----------
    notes : BudgetNotes
        Where loans and draws are noted.
    is_outage : callable
        Returns whether the store is known to be away for all nodes. Only then may a
        node lend: no other one can draw for the program meanwhile.
    """

    def __init__(
        self,
        store: SnapshotStore,
        *,
        node: str,
        clock: Clock,
        ask_holder: AskHolder,
        notes: BudgetNotes,
        is_outage: Callable[[], bool],
    ) -> None:
        self._combiner = WriteCombiner(store)
        self._node = node
        self._clock = clock
        self._ask_holder = ask_holder
        self._notes = notes
        self._noting: set[asyncio.Task[Noted | None]] = set()
        self._is_outage = is_outage
        self._away_until = -math.inf
        self._accounts: dict[str, Account] = {}
        self._drawer = make_drawer(node, secrets.token_hex(4))
        self._debtors: set[str] = set()

    async def grant(
        self, program: str, budget: int, most: int, *, may_lend: bool = False
    ) -> Grant:
        """Set ``most`` tokens aside for a turn; give back what it does not use.

        Parameters
        ----------
        budget : int
            Tokens that all turns of the program may generate.
        may_lend : bool
            Whether this node may lend, if the store is away for all nodes.

        Raises
        ------
        BudgetExceededError
            The budget does not hold this turn beside what was spent and what other
            turns may still use.
        StoreError
            The store is away here and nothing was lent; another node may reach it.
        OverloadedError
            The store is away and no node may hand out more; the turn may come back.
        """
        account = self._accounts.get(program)
        if account is None:
            account = self._accounts[program] = Account(program=program, budget=budget)
        account.used_at = self._clock.read_monotonic()
        if not account.reserve(most):
            async with account.lock:
                if not account.reserve(most):
                    await self._fill(account, most, may_lend=may_lend)
        is_new = account.drawn + account.debt == account.held + most
        return Grant(most, is_new, account.drawn)

    def note_drawn(self, program: str, budget: int, drawn: int) -> None:
        """Take note of what other nodes have drawn while this one could not.

        Otherwise this node could lend the same tokens in an outage that follows.
        """
        account = self._accounts.get(program)
        if account is None:
            account = self._accounts[program] = Account(program=program, budget=budget)
        account.used_at = self._clock.read_monotonic()
        if drawn > account.drawn:
            account.record = _assume_drawn(account, drawn)
            account.revision = 0

    def give_back(self, program: str, tokens: int) -> None:
        """Take back what a turn did not use."""
        account = self._accounts.get(program)
        if account is not None:
            account.held += tokens
            account.used_at = self._clock.read_monotonic()

    def give_up(
        self, program: str, amount: int, drawn: dict[str, int] | None = None
    ) -> int:
        """Give up to ``amount`` to another node that keeps the program now.

        Parameters
        ----------
        drawn : dict of str to int or None
            What each process has drawn by the store's record.
        """
        account = self._accounts.get(program)
        if account is None:
            return 0
        account.credit((drawn or {}).get(self._drawer, 0))
        if account.debt:
            return 0
        given = max(0, min(account.held, amount))
        account.held -= given
        return given

    async def _fill(self, account: Account, most: int, *, may_lend: bool) -> None:
        try:
            await self._draw_in_time(account, most)
        except StoreError:
            if not may_lend and not account.debt:
                raise
            await self._lend(account, most)
        if account.reserve(most):
            return
        await self._ask_holders(account, most)
        if not account.reserve(most):
            raise BudgetExceededError(
                f"the budget of {account.budget} tokens does not hold {most} more; "
                "end the program"
            )

    async def _draw_in_time(self, account: Account, most: int) -> None:
        if self.is_away:
            raise StoreError("the store was away a moment ago; ask another node")
        try:
            async with asyncio.timeout(_DRAW_TIMEOUT):
                await self._draw(account, most)
        except (StoreError, TimeoutError) as exc:
            self._away_until = self._clock.read_monotonic() + _AWAY_SECONDS
            raise StoreError(f"no draw from the store: {exc}; retry") from exc

    @property
    def is_away(self) -> bool:
        """Whether the store did not take a draw a moment ago."""
        return self._clock.read_monotonic() < self._away_until

    async def _draw(self, account: Account, most: int) -> None:
        self._assume_loss(account)
        for _ in range(_DRAW_ATTEMPTS):
            missing = most - account.held
            step = max(missing, int(account.budget * _DRAW_FRACTION))
            amount = min(account.left, step) if missing > 0 else 0
            if amount <= 0 and not account.debt:
                return
            if await self._write(account, amount + account.debt):
                return
        raise StoreError("the program's record keeps changing; retry")

    def _assume_loss(self, account: Account) -> None:
        """Count as drawn what lost nodes have lent to a program."""
        lost = min(account.budget, self._notes.find_lost(account.program))
        drawn = {} if account.record is None else account.record.drawn
        if lost > drawn.get(LOST, 0):
            account.record = ProgramRecord(
                budget=account.budget, drawn={**drawn, LOST: lost}
            )

    async def _write(self, account: Account, amount: int) -> bool:
        """Add ``amount`` to what this process drew; False if the record moved on."""
        drawn = {} if account.record is None else dict(account.record.drawn)
        drawn[self._drawer] = drawn.get(self._drawer, 0) + amount
        record = ProgramRecord(budget=account.budget, drawn=drawn)
        write = Write(_make_key(account.program), _encode(record), account.revision)
        try:
            account.revision = await self._combiner.write(write)
        except WriteConflictError as exc:
            self._load(account, exc.entry)
            return False
        account.record = record
        account.others = 0
        # Before any of it is handed out, so that of a draw and another node's loan at
        # the same moment one learns of the other.
        noted = await self._notes.note_draw(account.program, account.drawn)
        self._book_draw(account, noted)
        return True

    def _load(self, account: Account, entry: Entry | None) -> None:
        """Take over the record that the store has."""
        account.record = None if entry is None else _decode(entry.value, account)
        account.revision = 0 if entry is None else entry.revision
        if account.record is not None:
            account.credit(account.record.drawn.get(self._drawer, 0))

    def _book_draw(self, account: Account, noted: Noted) -> None:
        """Book a draw beside what this and other nodes have lent."""
        assert account.record is not None
        debt = account.debt
        account.credit(account.record.drawn[self._drawer])
        if account.debt < debt:
            self._start_note(
                self._notes.note_loan(account.program, account.debt - debt)
            )
        withheld = account.withhold(_count_alive(account, noted.lent))
        if withheld:
            _LOG.info(
                "budget withheld for another node's loan",
                extra={"program": account.program, "tokens": withheld},
            )

    def _start_note(
        self, work: Coroutine[Any, Any, Noted | None]
    ) -> asyncio.Task[Noted | None]:
        task = asyncio.create_task(work)
        self._noting.add(task)
        task.add_done_callback(self._noting.discard)
        return task

    async def _lend(self, account: Account, most: int) -> None:
        """Hand out tokens that the store will be told of later.

        The loan is on a disk before any of it is handed out, so that it counts even
        if all nodes are lost before the store is back.
        """
        missing = max(0, most - account.held)
        amount = max(missing, int(account.budget * _LEND_FRACTION))
        amount = min(account.left, amount)
        if not missing or not amount:
            return
        noted = None
        if self._is_outage():
            noted = await self._notes.note_loan(account.program, amount)
        if noted is None:
            raise OverloadedError(
                "the store is away and the program's budget cannot be drawn; retry",
                retry_after=_AWAY_RETRY,
            )
        # Both of two nodes that lend at the same moment see the other's loan.
        account.others = max(account.others, _count_alive(account, noted.lent))
        # The node that kept the program before may have drawn and be lost by now.
        self.note_drawn(account.program, account.budget, noted.drawn)
        amount = min(amount, account.left)
        account.held += amount
        account.debt += amount
        self._debtors.add(account.program)
        _LOG.info(
            "budget lent", extra={"program": account.program, "tokens": account.debt}
        )

    async def _ask_holders(self, account: Account, most: int) -> None:
        """Take over what other nodes hold that kept the program before."""
        drawn = {} if account.record is None else account.record.drawn
        nodes = {find_node(drawer) for drawer in drawn} - {None, self._node}
        for node in sorted(filter(None, nodes)):
            missing = most - account.held
            try:
                given = await self._ask_holder(node, account.program, missing, drawn)
            except PeerError as exc:
                _LOG.warning(
                    "no allowance from %s: %s",
                    node,
                    exc,
                    extra={"program": account.program},
                )
                continue
            account.held += given
            if account.held >= most:
                return

    async def run(self) -> None:
        """Write loans when the store is back and drop idle accounts."""
        expired_at = self._clock.read_monotonic()
        while True:
            await asyncio.sleep(_FLUSH_INTERVAL)
            try:
                await self.settle_loans()
                if self._clock.read_monotonic() > expired_at + _EXPIRE_INTERVAL:
                    expired_at = self._clock.read_monotonic()
                    await self._expire()
            except StoreError as exc:
                _LOG.warning("budget records not written: %s", exc)

    async def settle_loans(self) -> None:
        """Write to the store what was lent; raises ``StoreError``."""
        await asyncio.gather(*(self._settle(each) for each in tuple(self._debtors)))

    async def _settle(self, program: str) -> None:
        account = self._accounts.get(program)
        if account is None:
            self._debtors.discard(program)
            return
        async with account.lock:
            for _ in range(_DRAW_ATTEMPTS):
                amount = account.debt
                if not amount:
                    break
                self._assume_loss(account)
                await self._write(account, amount)
            if not account.debt:
                self._debtors.discard(program)

    async def _expire(self) -> None:
        now = self._clock.read_monotonic()
        idle = [
            account
            for account in self._accounts.values()
            if now - account.used_at > _IDLE_SECONDS
        ]
        await asyncio.gather(*(self._forget(account) for account in idle))

    async def _forget(self, account: Account) -> None:
        async with account.lock:
            if account.revision:
                write = Write(_make_key(account.program), None, account.revision)
                try:
                    await self._combiner.write(write)
                except WriteConflictError:
                    # Another node has drawn since; it removes the record later.
                    _LOG.debug("record kept", extra={"program": account.program})
            self._accounts.pop(account.program, None)

    async def close(self) -> None:
        """Give back what this node holds of programs that go on elsewhere."""
        accounts = [a for a in self._accounts.values() if a.held > 0 or a.debt > 0]
        results = await asyncio.gather(
            *(self._hand_over(account) for account in accounts), return_exceptions=True
        )
        failed = [result for result in results if isinstance(result, StoreError)]
        if failed:
            _LOG.warning("%d allowances not given back: %s", len(failed), failed[0])

    async def _hand_over(self, account: Account) -> None:
        async with account.lock:
            await self._return_all(account)

    async def _return_all(self, account: Account) -> None:
        """Give what is held back to the store, less what was lent."""
        for _ in range(_DRAW_ATTEMPTS):
            mine = account.mine + account.debt - account.held
            drawn = {} if account.record is None else dict(account.record.drawn)
            record = ProgramRecord(
                budget=account.budget, drawn={**drawn, self._drawer: mine}
            )
            write = Write(_make_key(account.program), _encode(record), account.revision)
            try:
                await self._combiner.write(write)
            except WriteConflictError as exc:
                self._load(account, exc.entry)
                continue
            account.held = account.debt = 0
            return
        _LOG.warning(
            "allowance not given back, its record keeps changing",
            extra={"program": account.program, "tokens": account.held},
        )

    def dump(self) -> dict[str, object]:
        """Return the state as JSON types."""
        return {"accounts": len(self._accounts), "debtors": len(self._debtors)}


def _count_alive(account: Account, lent: int) -> int:
    """Return what was lent beyond the loans of lost nodes, which count as drawn."""
    lost = 0 if account.record is None else account.record.drawn.get(LOST, 0)
    return max(0, lent - lost)


def _assume_drawn(account: Account, tokens: int) -> ProgramRecord:
    drawn = {LOST: min(account.budget, tokens)}
    return ProgramRecord(budget=account.budget, drawn=drawn)


def _make_key(program: str) -> str:
    # Callers choose the ids, so they may be long or hold any character.
    return _PREFIX + xxhash.xxh3_128_hexdigest(program.encode())


def _encode(record: ProgramRecord) -> bytes:
    return msgspec.json.encode(record)


def _decode(value: bytes, account: Account) -> ProgramRecord:
    try:
        return msgspec.json.decode(value, type=ProgramRecord)
    except msgspec.DecodeError as exc:
        _LOG.error(
            "budget record cannot be read, counted as spent: %s",
            exc,
            extra={"program": account.program},
        )
        return ProgramRecord(budget=account.budget, drawn={LOST: account.budget})
